package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

// RateLimiterConfig holds the limits of a RateLimiter.
type RateLimiterConfig struct {
	// Rate is the number of calls per second, Burst the largest number at once.
	Rate, Burst float64
	// BackoffMin is the backoff after the first failure. It doubles with each
	// further failure, up to BackoffMax.
	BackoffMin, BackoffMax time.Duration
	// Seed seeds the jitter of the backoff.
	Seed uint64
}

// RateLimiter limits one process's calls to the platform's store with a token
// bucket, and backs off after failures. A pending watch counts as one call. It
// reads no clock and is safe for concurrent use.
type RateLimiter struct {
	config RateLimiterConfig

	mu         sync.Mutex // guards the fields below
	tokens     float64    // negative while calls wait for their turn
	updated    time.Time  // when tokens was last computed
	failures   int        // consecutive failed calls
	backoffEnd time.Time  // end of the backoff after failures
	random     *rand.Rand
}

// NewRateLimiter returns a rate limiter with a full bucket.
func NewRateLimiter(config RateLimiterConfig) *RateLimiter {
	return &RateLimiter{
		config: config, tokens: config.Burst,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// Reserve takes one token and returns how long to wait before the call.
func (l *RateLimiter) Reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.updated.IsZero() {
		l.tokens = min(l.config.Burst, l.tokens+now.Sub(l.updated).Seconds()*l.config.Rate)
	}
	l.updated = now
	l.tokens--
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens / l.config.Rate * float64(time.Second))
}

// Backoff returns how much of the backoff is left. Calls that can wait should
// wait for its end.
func (l *RateLimiter) Backoff(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.backoffEnd.Sub(now))
}

// Observe records the result of a call. The backoff after a failure is jittered
// between half and all of its nominal length.
func (l *RateLimiter) Observe(now time.Time, succeeded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if succeeded {
		l.failures, l.backoffEnd = 0, time.Time{}
		return
	}
	pause := l.config.BackoffMax
	if shift := min(l.failures, maxDoublings); l.config.BackoffMin<<shift < pause {
		pause = l.config.BackoffMin << shift
	}
	l.failures++
	half := pause / 2
	l.backoffEnd = now.Add(half + time.Duration(l.random.Int64N(int64(half)+1)))
}

// maxDoublings keeps the doubled backoff from overflowing time.Duration.
const maxDoublings = 20
