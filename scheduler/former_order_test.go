package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// The tests of this file let an order of the former dispatcher be executed by the next process of
// an upstream that the next dispatcher reaches.

// nextDispatcher returns a dispatcher that lists and reaches all upstreams, and hears all VMs.
func (b *testHarness) nextDispatcher(token int64) *group {
	var names []string
	for name := range b.upstreams {
		names = append(names, name)
	}
	next := b.newGroup(token, names, names)
	next.scheduler.SetUnreachablePeers(false)
	next.scheduler.SetPeerLoss(scheduler.PeersHeard)
	return next
}

// The order is executed before the next dispatcher polls the new process.
func TestNextProcessExecutesOrderBeforeHandOver(t *testing.T) {
	for _, resumed := range []bool{true, false} {
		b := newTestHarness(t, "u1", "u2")
		start := b.pendingOrder()
		b.scheduler.EndTerm()
		next := b.nextDispatcher(200)
		j := b.job("a", 0)
		j.Resumed = resumed
		next.offer(j)
		b.workAll(6*time.Second, start.Run.Task, next) // it works for 5 s
		require.Empty(t, next.starts, "the run is adopted")
		require.Len(t, next.notices, 1)
		require.Equal(t, scheduler.TaskDone, next.notices[0].Kind)
	}
}

// The order is executed after the next dispatcher has claimed the process that the order was for. Its
// upstream was idle, so that the next dispatcher has not noticed its restart.
func TestOrderOfFormerDispatcherReachesNextProcessOfIdleUpstream(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.advance(20 * time.Second) // the clock of the next process is behind
	task, orderedAt := scheduler.Task{Job: "a"}, b.now
	until := map[string]int64{}
	for name, u := range b.upstreams {
		until[name] = u.Clock(b.now) + 400
	}
	b.scheduler.EndTerm()
	next := b.nextDispatcher(200)
	b.workAll(2800*time.Millisecond, task, next)
	next.offer(b.job("a", 0)) // its caller sends it again
	for len(next.starts) == 0 {
		b.workAll(10*time.Millisecond, task, next)
	}
	idle := b.upstreams["u1"]
	if next.starts[0].Upstream.Name == "u1" {
		idle = b.upstreams["u2"]
	}
	idle.Restart(b.now)
	b.workAll(200*time.Millisecond, task, next)
	require.Less(t, b.now.Sub(orderedAt), 12*time.Second)
	idle.Start(b.now, scheduler.Start{Upstream: idle.Info, Token: 100, Run: scheduler.Run{Task: task, Attempt: 1}, Until: until[idle.Info.Name]},
		scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
	require.LessOrEqual(t, len(b.runsOf(task)), 1, "%v after the order", b.now.Sub(orderedAt))
}
