package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

// RateLimiterConfig holds the limits of a Budget.
type RateLimiterConfig struct {
	// Rate is the number of calls per second, Burst the most at once.
	Rate, Burst float64
	// BackoffMin is the pause after the first failure. It doubles with each
	// further one up to BackoffMax.
	BackoffMin, BackoffMax time.Duration
	// Seed makes the jitter.
	Seed uint64
}

// RateLimiter decides when a process may call the platform's service. A waiting
// watch is one call. It reads no clock and is safe for concurrent use.
type RateLimiter struct {
	config RateLimiterConfig

	mu       sync.Mutex // guards the fields below
	tokens   float64    // below zero: calls that wait for their turn
	filled   time.Time  // when tokens was computed
	failures int        // in a row
	resume   time.Time  // end of the pause after failures
	random   *rand.Rand
}

// NewRateLimiter returns a full budget.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	return &RateLimiter{
		config: config, tokens: config.Burst,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// Reserve takes one call from the budget and returns how long the caller must
// wait before it makes it.
func (b *RateLimiter) Reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.filled.IsZero() {
		b.tokens = min(b.config.Burst, b.tokens+now.Sub(b.filled).Seconds()*b.config.Rate)
	}
	b.filled = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.config.Rate * float64(time.Second))
}

// Backoff returns how long a caller that can wait shall still pause after
// failures.
func (b *RateLimiter) Backoff(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.resume.Sub(now))
}

// Observe notes whether a call succeeded. The pause after a failure is between
// half and all of the doubled one.
func (b *RateLimiter) Observe(now time.Time, succeeded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if succeeded {
		b.failures, b.resume = 0, time.Time{}
		return
	}
	pause := b.config.BackoffMax
	if shift := min(b.failures, maxDoublings); b.config.BackoffMin<<shift < pause {
		pause = b.config.BackoffMin << shift
	}
	b.failures++
	half := pause / 2
	b.resume = now.Add(half + time.Duration(b.random.Int64N(int64(half)+1)))
}

// maxDoublings keeps the doubled pause within its type.
const maxDoublings = 20
