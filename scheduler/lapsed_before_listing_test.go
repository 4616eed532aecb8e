package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// lapsedRun is a run on an upstream whose entry lapsed before the first listing of a VM that takes over in a
// planned restart. The dispatcher before knows the upstream, and renews the run until the end of its term.
type lapsedRun struct {
	b    *testHarness
	job  scheduler.Job
	task scheduler.Task
	next *group // does not list the upstream
}

// newLapsedRun returns a run that has lasted for some time when the next dispatcher takes over. Its list
// counts as complete since a time before that.
func newLapsedRun(t *testing.T, atMostOnce bool, ran, complete time.Duration) *lapsedRun {
	b := newTestHarness(t, "u1", "u2")
	config := scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100, CallerReturn: callerReturn, RetainCompletions: true}
	former := b.newGroupWith(config, 150, []string{"u1", "u2"}, []string{"u1", "u2"})
	former.scheduler.SetUnreachablePeers(false)
	former.scheduler.SetPeerLoss(scheduler.PeersHeard)
	r := &lapsedRun{b: b, next: &group{b: b, scheduler: scheduler.New(b.now, config), polledAt: map[string]time.Time{}, pollWait: map[string]time.Duration{}}}
	b.workAll(1500*time.Millisecond, scheduler.Task{}, former)
	r.job = b.job("a", 0)
	r.job.AtMostOnce = atMostOnce
	former.offer(r.job)
	b.workAll(10*time.Millisecond, scheduler.Task{}, former)
	require.Len(t, former.starts, 1)
	r.task = former.starts[0].Run.Task
	known := "u1"
	if former.starts[0].Upstream.Name == known {
		known = "u2"
	}
	b.upstreams[former.starts[0].Upstream.Name].Speed = 0.1
	b.workAll(ran, r.task, former)
	former.scheduler.EndTerm()

	r.next.reached = []string{known}
	r.next.scheduler.SetUpstreams(b.now, []scheduler.Upstream{b.upstreams[known].Info}, false)
	r.next.scheduler.SetListCompleteSince(b.now.Add(-complete))
	r.next.scheduler.BeginTerm(b.now, 200, resumeTimeout)
	b.workAll(50*time.Millisecond, r.task, r.next)
	return r
}

// The caller, of whose broken connection the origin does not know, sends the job to the next dispatcher.
func TestJustStartedDispatcherStartsBesideRunOnUpstreamThatLapsedBeforeItsListing(t *testing.T) {
	r := newLapsedRun(t, false, callerReturn, 500*time.Millisecond)
	r.next.offer(r.b.job("a", 0))
	r.b.workAll(2*time.Second, r.task, r.next)
	require.Len(t, r.next.starts, 1)
}

// The dispatcher before starts tasks on the upstream for 2.5 s after its entry has lapsed, also those of a job
// that is sent when the list of the next one counts as complete.
func TestAtMostOnceJobStartsBesideRunOnUpstreamThatLapsedBeforeListing(t *testing.T) {
	r := newLapsedRun(t, true, 600*time.Millisecond, time.Second)
	r.job.Resumed = true
	r.next.offer(r.job)
	r.b.workAll(2*time.Second, r.task, r.next)
	require.Empty(t, r.next.starts)
}

// The same job, if it may start again: it waits until the run is over.
func TestResumedJobWaitsForRunOnUpstreamThatLapsedBeforeListing(t *testing.T) {
	r := newLapsedRun(t, false, 600*time.Millisecond, time.Second)
	r.job.Resumed = true
	r.next.offer(r.job)
	r.b.workAll(3*time.Second, r.task, r.next)
	require.Len(t, r.next.starts, 1)
}
