package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A waiting poll is answered when a run ends. Its response overtakes that of a later poll, which
// was answered before the run ended and still lists it.
func TestOvertakenReportListsCompletedRunAsFound(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	u := b.upstreams["u1"]
	b.advanceWithPolls(900 * time.Millisecond)
	b.advance(50 * time.Millisecond)
	waiting, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.True(t, due)
	b.advance(10 * time.Millisecond)
	immediate, due := b.scheduler.ImmediatePoll(b.now, "u1")
	require.True(t, due)
	immediateResult, overtaken := u.Poll(b.now, immediate)
	require.Len(t, overtaken.Running, 1)
	b.advance(50 * time.Millisecond)
	result, report := u.Poll(b.now, waiting)
	require.Len(t, report.Completions, 1)
	b.record(b.scheduler.HandlePollResult(b.now, waiting, result, report))
	require.Len(t, b.notices, 1)
	b.record(b.scheduler.HandlePollResult(b.now, immediate, immediateResult, overtaken))
	require.Empty(t, b.found, "the run has ended")
}
