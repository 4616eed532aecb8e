package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// list returns the description of some upstreams. Those named in draining drain.
func (b *testHarness) list(names []string, draining ...string) (list []scheduler.Upstream) {
	for _, name := range names {
		u := b.upstreams[name].Info
		for _, d := range draining {
			u.Draining = u.Draining || name == d
		}
		list = append(list, u)
	}
	return list
}

// A VM is lost, and an upstream drains. The lost dispatcher has read the list before, and uses the
// upstream.
func TestLostDispatcherUsesDrainingUpstream(t *testing.T) {
	b := newTestHarness(t, "u1", "u2", "u3")
	all := []string{"u1", "u2", "u3"}
	task := scheduler.Task{Job: "a", Index: 0}
	first := b.newGroup(150, all, all)
	b.workAll(2*time.Second, task, first)
	first.scheduler.SetUpstreams(b.now, b.list(all, "u3"), false)
	b.workAll(time.Second, task, first)
	second := b.newGroup(200, []string{"u3"}, []string{"u3"})
	b.workAll(time.Second, task, first, second)
	b.upstreams["u1"].Speed, b.upstreams["u2"].Speed = 0.1, 0.1
	first.offer(b.job("a", 0))
	b.workAll(callerReturn, task, first, second)
	require.Len(t, first.starts, 1)
	second.offer(b.job("a", 0))
	b.workAll(3*time.Second, task, first, second)
	require.Len(t, second.starts, 1)
}

// While a VM is lost, an upstream drains that no other dispatcher has claimed. It costs no run.
func TestDrainingUpstreamThatIsHeldEndsLongRuns(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	all := []string{"u1", "u2"}
	g := b.newGroup(150, all, all)
	b.workAll(time.Second, scheduler.Task{}, g)
	g.scheduler.SetUpstreams(b.now, b.list(all, "u2"), false)
	b.upstreams["u1"].Speed = 0.3
	g.offer(b.job("a", 0))
	b.workAll(4*time.Second, scheduler.Task{}, g)
	require.Len(t, g.starts, 1)
	require.Len(t, g.notices, 1)
	require.Equal(t, scheduler.TaskDone, g.notices[0].Kind)
}

// A VM joins that is cut off from all others, so that nobody knows of it. It reaches some of the
// upstreams. The dispatcher counts it as silent once it has seen a claim, see node.claimSilence.
func testUnknownDispatcher(t *testing.T, reachesBusy bool) {
	b := newTestHarness(t, "u1", "u2", "u3")
	all := []string{"u1", "u2", "u3"}
	task := scheduler.Task{Job: "a", Index: 0}
	first := b.newGroup(150, all, all)
	first.scheduler.SetPeerLoss(scheduler.PeersHeard)
	first.scheduler.SetUnreachablePeers(false)
	b.workAll(time.Second, task, first)
	for _, u := range b.upstreams {
		u.Speed = 0.1
	}
	offered := b.now
	first.offer(b.job("a", 0))
	b.workAll(10*time.Millisecond, task, first)
	first.offer(b.job("b", 0, 1)) // two tasks fit on an upstream
	b.workAll(10*time.Millisecond, task, first)
	require.Len(t, first.starts, 3)
	busy := map[string]bool{}
	for _, start := range first.starts {
		busy[start.Upstream.Name] = true
	}
	require.Len(t, busy, 2)
	var reached []string
	for _, name := range all {
		if name != first.starts[0].Upstream.Name && (reachesBusy || !busy[name]) {
			reached = append(reached, name)
		}
	}
	second := b.newGroup(200, reached, reached)
	returned := false
	for b.now.Sub(offered) < 4*time.Second {
		if first.scheduler.FencedUpstreams() > 0 {
			first.scheduler.SetPeerLoss(scheduler.PeerSilent)
		}
		if !returned && b.now.Sub(offered) >= callerReturn {
			returned = true
			second.offer(b.job("a", 0))
		}
		b.workAll(10*time.Millisecond, task, first, second)
	}
}

func TestUnknownDispatcherClaimsUpstreamWithRun(t *testing.T) { testUnknownDispatcher(t, true) }

func TestUnknownDispatcherClaimsIdleUpstream(t *testing.T) { testUnknownDispatcher(t, false) }
