package node

import (
	"sync"
	"time"
)

// Parameters of the estimated round-trip time to upstreams, modelled on the
// retransmission timer of TCP (RFC 6298).
const (
	meanWeight      = 8 // a response time contributes 1/8 to the mean
	deviationWeight = 4 // and 1/4 to the deviation
	deviationFactor = 4 // the timeout is the mean plus 4 deviations
	// minDeviationGrowth is the least growth of the deviation with each timeout.
	minDeviationGrowth = 100 * time.Microsecond
	// minTimeout is the lower bound of the timeout. Upstreams answer within a few
	// milliseconds, and this process may wait as long for a CPU.
	minTimeout = 30 * time.Millisecond
	// maxTimeout is the upper bound of the timeout. An unanswered order occupies
	// capacity on its upstream meanwhile.
	maxTimeout = 150 * time.Millisecond
)

// rttEstimator estimates the response time of upstreams. It is safe for
// concurrent use. The timeout of its zero value is maxTimeout.
type rttEstimator struct {
	mu        sync.Mutex // guards the fields below
	mean      time.Duration
	deviation time.Duration
}

// observe records a response time.
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

// observeTimeout records a missing answer. It lengthens the timeout, which may
// have become too short.
func (r *rttEstimator) observeTimeout() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deviation += max(r.deviation/meanWeight, minDeviationGrowth)
}

// timeout returns how long to wait for an answer.
func (r *rttEstimator) timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == 0 {
		return maxTimeout
	}
	return min(max(r.mean+deviationFactor*r.deviation, minTimeout), maxTimeout)
}
