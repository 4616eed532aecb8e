package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// The tests of this file send a job again while a run of an earlier submission is left.

// advanceWithout moves time forward and executes all due polls. Those of the given
// upstreams get no response.
func (b *testHarness) advanceWithout(d time.Duration, silent ...string) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.advance(20 * time.Millisecond)
		b.pollWithout(silent...)
	}
}

// pollWithout executes all due polls. Those of the given upstreams get no response.
func (b *testHarness) pollWithout(silent ...string) {
	for name, u := range b.upstreams {
		poll, due, _, _ := b.scheduler.NextPoll(b.now, name)
		if !due {
			continue
		}
		result, report := scheduler.PollUnanswered, scheduler.PollReport{}
		if !slices.Contains(silent, name) {
			result, report = u.Poll(b.now, poll)
		}
		b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
	}
}

// runsOf returns the upstreams on which a task is at work.
func (b *testHarness) runsOf(task scheduler.Task) (names []string) {
	for name, u := range b.upstreams {
		if u.HasRun(task) {
			names = append(names, name)
		}
	}
	return names
}

// Review case 1: an upstream that was cut off lists the end of a run of an earlier
// submission, which had the same attempt number as the run that is at work.
func TestEndOfEarlierSubmissionEndsRunOfTheNextOne(t *testing.T) {
	b := newTestHarness(t, "u1", "u2", "u3")
	task := scheduler.Task{Job: "a", Index: 0}
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	cut := b.starts[0].Upstream.Name
	b.advanceWithout(1200*time.Millisecond, cut)
	b.record(b.scheduler.Withdraw(b.now, "front", []string{"a"}))
	b.advanceWithout(200*time.Millisecond, cut)
	require.Empty(t, b.runsOf(task))

	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.advanceWithPolls(300 * time.Millisecond) // the cut is over
	b.place()
	require.Len(t, b.runsOf(task), 1)
	require.Len(t, b.starts, 2, "the run of the second submission goes on")
	b.advanceWithPolls(time.Second)
	require.Len(t, b.notices, 2, "a lost run and the end of the task: %v", b.notices)
	require.Equal(t, scheduler.TaskDone, b.notices[1].Kind)
}

// A run of the next submission must have a higher attempt number than any earlier one:
// an upstream rejects it otherwise, and late stop orders for earlier runs would end it.
func TestAttemptsStartAgainWithTheNextSubmission(t *testing.T) {
	b := newTestHarness(t, "u1")
	for attempt := range 3 {
		b.offer(b.job("a", 0))
		starts := b.place()
		require.Len(t, starts, 1)
		require.Equal(t, attempt+1, starts[0].Run.Attempt)
		b.record(b.scheduler.Withdraw(b.now, "front", []string{"a"}))
		require.Len(t, b.stops, attempt+1)
		stop := b.stops[attempt]
		result, clock := b.upstreams["u1"].Stop(b.now, stop)
		a, _, _ := b.scheduler.HandleStopResult(b.now, stop, result, clock)
		b.record(a)
		b.advanceWithPolls(time.Second)
	}
}
