package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testBudget = RateLimiterConfig{
	Rate: 10, Burst: 5, BackoffMin: 100 * time.Millisecond, BackoffMax: 2 * time.Second, Seed: 1,
}

func TestRateLimiterLimitsRate(t *testing.T) {
	b := NewRateLimiter(testBudget)
	start := time.Unix(1_000, 0)
	var last time.Duration
	for range 105 {
		last = b.Reserve(start)
	}
	// 5 at once, then one each 100 ms.
	require.Equal(t, 10*time.Second, last)
	require.Zero(t, b.Reserve(start.Add(time.Minute)))
}

func TestBackoffDoublesWithJitterUpToMax(t *testing.T) {
	b := NewRateLimiter(testBudget)
	now := time.Unix(1_000, 0)
	for _, whole := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
		b.Observe(now, false)
		pause := b.Backoff(now)
		require.GreaterOrEqual(t, pause, whole*time.Millisecond/2)
		require.LessOrEqual(t, pause, whole*time.Millisecond)
	}
	for range 100 {
		b.Observe(now, false)
	}
	require.LessOrEqual(t, b.Backoff(now), 2*time.Second)
	b.Observe(now, true)
	require.Zero(t, b.Backoff(now))
}

func TestBackoffDiffersBetweenProcesses(t *testing.T) {
	now := time.Unix(1_000, 0)
	pauses := map[time.Duration]bool{}
	for seed := range uint64(20) {
		config := testBudget
		config.Seed = seed
		b := NewRateLimiter(config)
		b.Observe(now, false)
		pauses[b.Backoff(now)] = true
	}
	require.Greater(t, len(pauses), 15)
}
