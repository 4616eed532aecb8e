package dispatch

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/submission"
	"github.com/stretchr/testify/require"
)

func TestExplain(t *testing.T) {
	d := newTest(1000, 4, 4)
	teach(d, map[string]time.Duration{"u0": 400 * time.Millisecond, "u1": 100 * time.Millisecond})
	running := add(t, d, start, normalCall, "k", 5)
	id := submission.ID{Caller: "a", Key: "k"}
	e := d.Explain("s", id)
	require.Len(t, e.Placed, 4)
	require.Equal(t, 1, e.Waiting)
	require.Equal(t, 1, e.Ahead)
	require.Positive(t, e.ExpectedWait)
	d.Finish(start.Add(time.Second), running[0], Result{Took: time.Second}, nil)
	last := d.Explain("s", id).Placed[4]
	require.Equal(t, "u1", last.Upstream)
	require.Equal(t, time.Second, last.Waited)
	require.Positive(t, last.Declined, "the slow upstream was declined")
	require.Equal(t, 2, last.Upstreams)
	require.Equal(t, 8, last.Slots)
	require.Empty(t, d.Explain("s", submission.ID{Caller: "a", Key: "unknown"}).Placed)
}

func TestHistoryIsBounded(t *testing.T) {
	d := newTest(1000, 1)
	for range 3 {
		id := submission.ID{Caller: "a", Key: "same"}
		for range historySize {
			for _, a := range add(t, d, start, normalCall, "same", 1) {
				d.Finish(start, a, Result{Took: time.Millisecond}, nil)
			}
		}
		require.Len(t, d.Explain("s", id).Placed, historySize)
	}
}
