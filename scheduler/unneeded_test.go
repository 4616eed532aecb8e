package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// The upstream answers polls, but no stop order: the job's caller has gone, and other jobs
// go on there and arrive.
func TestRunOfWithdrawnJobIsRenewedWhileStopsAreLost(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.upstreams["u1"].Speed = 0.1
	b.pollAll()
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	require.Len(t, b.stops, 1)
	b.offer(b.job("b", 0))
	for range 70 {
		b.advance(10 * time.Millisecond)
		b.pollAll()
		b.place()
	}
	require.Empty(t, b.runsOf(scheduler.Task{Job: "a", Index: 0}))
}

// A stop order that is answered takes effect; the other runs of the upstream go on.
func TestRunsLapseBesideStoppedRun(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	b.offer(b.job("b", 0))
	require.Len(t, b.place(), 2)
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	for range 110 {
		b.advance(10 * time.Millisecond)
		b.pollAll()
		b.executeStops()
	}
	require.Equal(t, scheduler.TaskDone, b.notices[len(b.notices)-1].Kind)
	require.Len(t, b.starts, 2)
}

// One task of an at-most-once job is found running after a takeover and is adopted; the
// other one may have started, so that the job is abandoned.
func TestAdoptedRunOfAbandonedJobGoesOn(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	j := b.atMostOnceJob("a", 0, 1)
	j.Size.MilliCPU = 10_000 // one task on each upstream
	b.offer(j)
	starts := b.place()
	require.Len(t, starts, 2)
	for _, u := range b.upstreams {
		u.Speed = 0.1
	}
	b.beginTerm(200)
	lost := b.upstreams[starts[0].Upstream.Name]
	lost.Restart(b.now)
	b.pollAll()
	j.Resumed = true
	b.offer(j)
	for range 100 {
		b.advance(10 * time.Millisecond)
		b.pollAll()
		b.place()
		b.executeStops()
	}
	require.Equal(t, scheduler.JobAbandoned, b.notices[len(b.notices)-1].Kind)
	require.Empty(t, b.runsOf(starts[1].Run.Task))
}

// An origin that was paused offers a job whose caller no longer waits.
func TestJobIsOfferedAfterItsDeadline(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		b := newTestHarness(t, "u1")
		b.offer(b.job("a", 0))
		require.Len(t, b.place(), 1)
		b.beginTerm(200)
		b.pollAll()
		late := b.job("a", 0)
		late.Resumed, late.Deadline = resumed, b.now
		b.offer(late)
		require.Len(t, b.notices, 1)
		require.Equal(t, scheduler.JobAbandoned, b.notices[0].Kind, "a task has run")
		require.Empty(t, b.foundEnds, "the run is not adopted")
	}
}

// The offer of an earlier submission arrives after that of the next one, which is then
// withdrawn.
func TestLateOfferOfEarlierSubmissionKeepsJob(t *testing.T) {
	b := newTestHarness(t, "u1")
	first := b.job("a", 0)
	first.Submission = 1
	second := b.job("a", 0)
	second.Submission = 2
	b.offer(second)
	require.Len(t, b.place(), 1)
	b.offer(first)
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 2))
	require.Len(t, b.stops, 1)
}

// The upstream answers polls, but no stop order. Small jobs arrive one after another, and each
// start order would prolong the lease of the run beside it.
func TestRunOfWithdrawnJobIsProlongedByStartOrders(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.upstreams["u1"].Speed = 0.1
	b.pollAll()
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	require.Len(t, b.stops, 1)
	for i := range 6 {
		small := b.job("b", i)
		small.ID = string(rune('b' + i))
		small.Size.MilliCPU = 1000
		b.offer(small)
		b.place()
		for range 10 {
			b.advance(10 * time.Millisecond)
			b.pollAll()
		}
	}
	require.Empty(t, b.runsOf(scheduler.Task{Job: "a", Index: 0}), "%d other runs were started there", len(b.starts)-1)
}

// The offer of a submission that is present is repeated, and was delayed on its way.
func TestDelayedOfferProlongsDeadline(t *testing.T) {
	b := newTestHarness(t, "u1")
	j := b.job("a", 0)
	j.Deadline = b.now.Add(300 * time.Millisecond)
	b.offer(j)
	require.Len(t, b.place(), 1)
	b.upstreams["u1"].Speed = 0.1
	j.Deadline = b.now.Add(5 * time.Second)
	b.offer(j)
	for range 60 {
		b.advance(10 * time.Millisecond)
		b.pollAll()
		b.executeStops()
	}
	require.Empty(t, b.runsOf(scheduler.Task{Job: "a", Index: 0}))
}
