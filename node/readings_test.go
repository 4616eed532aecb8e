package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testRetention = 10 * time.Second

// The changes of the retention time can be read from the first reading on.
func TestReadingsKeepChangesOfRetentionTime(t *testing.T) {
	start := time.Now()
	r := registry{}
	require.Zero(t, r.resumeFrom(start, testRetention), "nothing has been read")
	for i := range 20 {
		now := start.Add(time.Duration(i) * listInterval)
		r.readings.add(now, int64(100+i), testRetention)
		from := r.resumeFrom(now, testRetention)
		require.EqualValues(t, 100+max(i-5, 0), from)
	}
	last := start.Add(19 * listInterval)
	require.EqualValues(t, 114, r.resumeFrom(last.Add(2*maxReadGap), testRetention))
	require.Zero(t, r.resumeFrom(last.Add(2*maxReadGap+1), testRetention), "too many changes")
	require.Empty(t, r.readings)
}

// A listing that a dispatcher has read as well is complete. One from an older copy may follow.
func TestReadingsBeforeCompleteOneAreDropped(t *testing.T) {
	start := time.Now()
	r := registry{}
	for i, revision := range []int64{100, 120, 110, 130} {
		r.readings.add(start.Add(time.Duration(i)*listInterval), revision, testRetention)
	}
	r.readings.dropBefore(99)
	require.EqualValues(t, 100, r.resumeFrom(start, testRetention))
	r.readings.dropBefore(125)
	require.EqualValues(t, 110, r.resumeFrom(start, testRetention))
	r.recordWatched(start, start, 140)
	require.EqualValues(t, 140, r.resumeFrom(start, testRetention))
	r.dropReadings()
	require.Zero(t, r.resumeFrom(start, testRetention))
}
