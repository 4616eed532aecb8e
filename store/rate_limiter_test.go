package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testLimits = RateLimiterConfig{
	Rate: 10, Burst: 5, BackoffMin: 100 * time.Millisecond, BackoffMax: 2 * time.Second, Seed: 1,
}

func TestRateLimiterLimitsRate(t *testing.T) {
	l := NewRateLimiter(testLimits)
	start := time.Unix(1_000, 0)
	var last time.Duration
	for range 105 {
		last = l.Reserve(start)
	}
	// 5 at once, then one each 100 ms.
	require.Equal(t, 10*time.Second, last)
	require.Zero(t, l.Reserve(start.Add(time.Minute)))
}

func TestBackoffDoublesWithJitterUpToMax(t *testing.T) {
	l := NewRateLimiter(testLimits)
	now := time.Unix(1_000, 0)
	for _, whole := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
		l.Observe(now, false)
		pause := l.Backoff(now)
		require.GreaterOrEqual(t, pause, whole*time.Millisecond/2)
		require.LessOrEqual(t, pause, whole*time.Millisecond)
	}
	for range 100 {
		l.Observe(now, false)
	}
	require.LessOrEqual(t, l.Backoff(now), 2*time.Second)
	l.Observe(now, true)
	require.Zero(t, l.Backoff(now))
}

func TestBackoffDiffersBetweenProcesses(t *testing.T) {
	now := time.Unix(1_000, 0)
	pauses := map[time.Duration]bool{}
	for seed := range uint64(20) {
		config := testLimits
		config.Seed = seed
		l := NewRateLimiter(config)
		l.Observe(now, false)
		pauses[l.Backoff(now)] = true
	}
	require.Greater(t, len(pauses), 15)
}
