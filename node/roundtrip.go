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
	deviations      = 4
	// minGrowth is the least growth of the deviation with an answer that is lost.
	minGrowth = 100 * time.Microsecond
	// minPatience is the least wait for an answer: upstreams answer within some
	// milliseconds, and this process may wait for its processor as long.
	minPatience = 30 * time.Millisecond
	// maxPatience is the longest wait; an order without an answer holds its room
	// meanwhile.
	maxPatience = 150 * time.Millisecond
)

// roundTrip estimates how long upstreams take to answer. It is safe for
// concurrent use; its zero value waits for maxPatience.
type roundTrip struct {
	mu        sync.Mutex // guards the fields below
	mean      time.Duration
	deviation time.Duration
}

// observe enters an answer.
func (r *roundTrip) observe(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += ((took - r.mean).Abs() - r.deviation) / deviationWeight
	r.mean += (took - r.mean) / meanWeight
}

// lost enters that no answer came, so that a wait that has become too short
// grows.
func (r *roundTrip) lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deviation += max(r.deviation/meanWeight, minGrowth)
}

// patience returns the time after which an answer is no longer waited for.
func (r *roundTrip) patience() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == 0 {
		return maxPatience
	}
	return min(max(r.mean+deviations*r.deviation, minPatience), maxPatience)
}
