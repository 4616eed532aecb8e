package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// An upstream lists no more than a number of completions at a time. A run that has ended is then neither
// among its active runs nor among the completions of the report.
func TestRunWhoseEndIsNotListedYetCountsAsLost(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	run := b.starts[0].Run
	b.advance(100 * time.Millisecond)

	report := func(from, to int64, truncated bool) scheduler.PollReport {
		r := scheduler.PollReport{Clock: b.upstreams["u1"].Clock(b.now), ProcessStart: b.upstreams["u1"].ProcessStart(), CompletionsTruncated: truncated}
		for n := from; n <= to; n++ {
			r.Completions = append(r.Completions, scheduler.Completion{Number: n, Run: scheduler.Run{Task: scheduler.Task{Job: "other", Index: int(n)}, Attempt: 1}})
		}
		return r
	}
	poll, _ := b.scheduler.ImmediatePoll(b.now, "u1")
	b.record(b.scheduler.HandlePollResult(b.now, poll, scheduler.PollAnswered, report(1, 500, true)))
	require.Empty(t, b.notices)
	require.Zero(t, b.scheduler.Waiting(), "the task is not started again")

	poll, _ = b.scheduler.ImmediatePoll(b.now, "u1")
	rest := report(501, 501, false)
	rest.Completions = append(rest.Completions, scheduler.Completion{Number: 502, Run: run, Kind: scheduler.CompletionDone})
	b.record(b.scheduler.HandlePollResult(b.now, poll, scheduler.PollAnswered, rest))
	require.Len(t, b.notices, 1)
	require.Equal(t, scheduler.TaskDone, b.notices[0].Kind)
}

// A run that a truncated report lists neither as active nor as completed is lost once a whole one does not
// list it.
func TestRunIsLostAfterTruncatedReport(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	for _, truncated := range []bool{true, false} {
		b.advance(100 * time.Millisecond)
		poll, _ := b.scheduler.ImmediatePoll(b.now, "u1")
		b.record(b.scheduler.HandlePollResult(b.now, poll, scheduler.PollAnswered, scheduler.PollReport{
			Clock: b.upstreams["u1"].Clock(b.now), ProcessStart: b.upstreams["u1"].ProcessStart(), CompletionsTruncated: truncated,
		}))
		require.Equal(t, truncated, b.scheduler.Waiting() == 0)
	}
}
