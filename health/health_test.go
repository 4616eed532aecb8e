package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestEjection(t *testing.T) {
	for _, c := range []struct {
		name     string
		events   string // s: a task succeeds; any other letter: a task of that submission fails
		mayEject bool
		want     bool
	}{
		{"healthy", "ssss", true, false},
		{"three submissions fail", "abc", true, true},
		{"one submission fails many tasks", "aaaaaa", true, false},
		{"a success resets consecutive failures", "absab", true, false},
		{"most tasks fail", "absabsabsabsabsabsabsabs", true, true},
		{"few tasks fail", "asssssssasssssssasssssss", true, false},
		{"ejection not allowed", "abcdef", false, false},
	} {
		var tracker Tracker
		for _, e := range c.events {
			if e == 's' {
				tracker.RecordSuccess(start)
			} else {
				tracker.RecordFailure(start, uint64(e), c.mayEject)
			}
		}
		require.Equal(t, c.want, tracker.Ejected(), c.name)
	}
}

func TestProbesBackOffAndReadmit(t *testing.T) {
	var tracker Tracker
	for submission := range uint64(3) {
		tracker.RecordFailure(start, submission, true)
	}
	require.Zero(t, tracker.UsableSlots(start, 8))
	now := start
	probes := 0
	for now.Before(start.Add(10 * time.Minute)) {
		now = now.Add(100 * time.Millisecond)
		if tracker.UsableSlots(now, 8) > 0 {
			require.Equal(t, 1, tracker.UsableSlots(now, 8))
			tracker.RecordFailure(now, uint64(100+probes), true)
			probes++
		}
	}
	require.LessOrEqual(t, probes, 16, "the ejection time doubles up to a minute")
	now = now.Add(maxEjection)
	require.Equal(t, 1, tracker.UsableSlots(now, 8))
	tracker.RecordSuccess(now)
	require.Equal(t, 8, tracker.UsableSlots(now, 8))
}
