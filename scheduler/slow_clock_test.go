package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// The clocks of upstreams that were idle for long are slow, so that the lease of a start order is
// longer than its dispatcher means. It ends with its VM, and the next one does not reach the
// upstream.
func TestStartOnIdleUpstreamWithSlowClockOutlivesForeignLease(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	all := []string{"u1", "u2"}
	for _, u := range b.upstreams {
		u.ClockRate = 0.98
	}
	task := scheduler.Task{Job: "a", Index: 0}
	first := b.newGroup(150, all, all)
	first.scheduler.SetUnreachablePeers(false)
	first.scheduler.SetPeerLoss(scheduler.PeersHeard)
	b.workAll(40*time.Second, task, first)
	b.upstreams["u1"].Speed, b.upstreams["u2"].Speed = 0.1, 0.1
	first.offer(b.job("a", 0))
	b.workAll(10*time.Millisecond, task, first)
	require.Len(t, first.starts, 1)
	others := map[string]string{"u1": "u2", "u2": "u1"}
	next := b.newGroup(200, all, []string{others[first.starts[0].Upstream.Name]})
	next.offer(b.job("a", 0))
	b.workAll(1200*time.Millisecond, task, next)
	require.Len(t, next.starts, 1)
}

// An idle upstream is polled rarely.
func TestIdleUpstreamIsPolledForItsClock(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.advanceWithPolls(time.Second)
	polls := 0
	for began := b.now; b.now.Sub(began) < 30*time.Second; {
		poll, due, wait, _ := b.scheduler.NextPoll(b.now, "u1")
		if !due {
			require.Positive(t, wait, "nothing else would wake the poller")
			b.advance(min(wait, time.Second))
			continue
		}
		polls++
		require.Zero(t, poll.Until)
		result, report := b.upstreams["u1"].Poll(b.now, poll)
		b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
	}
	require.InDelta(t, 6, polls, 1)
}
