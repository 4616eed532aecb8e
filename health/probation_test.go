package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProbationGrowsWithoutBound guards against an upstream that is never trusted again, and
// against one that is trusted after a single fall too little.
func TestProbationGrowsWithoutBound(t *testing.T) {
	var p Probation
	now := start
	require.False(t, p.RecordFall(now, time.Second, false), "a single crash")
	require.True(t, p.Allows(5, time.Hour))
	for i := range 20 {
		now = now.Add(2 * time.Second)
		require.True(t, p.RecordFall(now, 1600*time.Millisecond, false))
		require.Equal(t, min(minProbation<<i, maxProbation), p.Until().Sub(now))
		require.True(t, p.Allows(0, 400*time.Millisecond))
		require.False(t, p.Allows(0, 500*time.Millisecond), "a quarter of such runs is lost")
		require.False(t, p.Allows(1, 0), "one run at a time")
	}
	for range maxCompleted - 1 {
		require.False(t, p.RecordSuccess(now))
	}
	require.True(t, p.RecordSuccess(now), "completed runs end it")
	require.True(t, p.Allows(1, time.Hour))
	now = now.Add(fallMemory + 1)
	p.Expire(now)
	require.False(t, p.RecordFall(now, 0, false), "old falls are forgotten")
}

// TestProbationOfFailingUpstream guards against an upstream that gets full work between two
// ejections.
func TestProbationOfFailingUpstream(t *testing.T) {
	var p Probation
	require.False(t, p.EjectedRecently(start))
	require.True(t, p.RecordFall(start, 0, true))
	require.True(t, p.Allows(0, time.Hour))
	require.False(t, p.Expire(start.Add(minProbation-1)))
	require.True(t, p.Expire(start.Add(minProbation)))
	require.True(t, p.Allows(1, time.Hour))
	require.True(t, p.EjectedRecently(start.Add(minProbation+1)), "one more failure is enough")
	require.False(t, p.EjectedRecently(start.Add(minProbation+fallMemory+1)))
	var tracker Tracker
	tracker.RecordFailure(start, 1, true)
	tracker.Eject(start)
	require.Zero(t, tracker.UsableSlots(start, 2))
}
