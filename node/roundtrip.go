package node

import (
	"sync"
	"time"
)

// Weights and bounds of the estimate of round trips to upstreams, after the
// retransmission timer of TCP (RFC 6298).
const (
	meanWeight      = 8
	deviationWeight = 4
	deviationFactor      = 4
	// minDeviationGrowth is the least growth of the deviation with an answer that is lost.
	minDeviationGrowth = 100 * time.Microsecond
	// minTimeout is the least wait for an answer: upstreams answer within some
	// milliseconds, and this process may wait for its processor as long.
	minTimeout = 30 * time.Millisecond
	// maxTimeout is the longest wait; an order without an answer holds its room
	// meanwhile.
	maxTimeout = 150 * time.Millisecond
)

// rttEstimator estimates how long upstreams take to answer. It is safe for
// concurrent use; its zero value waits for maxPatience.
type rttEstimator struct {
	mu        sync.Mutex // guards the fields below
	mean      time.Duration
	deviation time.Duration
}

// observe enters an answer.
func (r *rttEstimator) observe(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += ((took - r.mean).Abs() - r.deviation) / deviationWeight
	r.mean += (took - r.mean) / meanWeight
}

// observeTimeout enters that no answer came, so that a wait that has become too short
// grows.
func (r *rttEstimator) observeTimeout() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deviation += max(r.deviation/meanWeight, minDeviationGrowth)
}

// timeout returns the time after which an answer is no longer waited for.
func (r *rttEstimator) timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == 0 {
		return maxTimeout
	}
	return min(max(r.mean+deviationFactor*r.deviation, minTimeout), maxTimeout)
}
