package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// pendingOrder lets the harness's dispatcher issue a start order that only the next process of
// the upstream executes. That process has a clock that is behind and grants the longest lease.
func (b *testHarness) pendingOrder() scheduler.Start {
	b.advance(20 * time.Second)
	for name := range b.upstreams {
		b.pollImmediately(name)
	}
	b.offer(b.job("a", 0))
	starts := b.scheduler.Place(b.now)
	require.Len(b.t, starts, 1)
	u := b.upstreams[starts[0].Upstream.Name]
	b.advance(20 * time.Millisecond)
	u.Restart(b.now)
	b.advance(20 * time.Millisecond)
	result, _ := u.Start(b.now, starts[0], scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, 5*time.Second)
	require.Equal(b.t, scheduler.OrderDone, result)
	return starts[0]
}

// The start order gets no response, and the process that has executed it is cut off before it
// reports.
func TestPendingOrderReachesNewProcessThatIsCutOff(t *testing.T) {
	for _, result := range []scheduler.OrderResult{scheduler.OrderUnanswered, scheduler.OrderDisconnected} {
		t.Run(result.String(), func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2")
			start := b.pendingOrder()
			b.record(b.scheduler.HandleStartResult(b.now, start, result, 0))
			restarted := time.Duration(0)
			for began := b.now; b.now.Sub(began) < 1500*time.Millisecond; {
				b.advance(10 * time.Millisecond)
				b.pollWithout(start.Upstream.Name)
				if len(b.place()) > 0 {
					restarted = b.now.Sub(began)
				}
				require.LessOrEqual(t, len(b.runsOf(start.Run.Task)), 1, "after %v", b.now.Sub(began))
			}
			require.Positive(t, restarted, "the task has not started again")
			require.Less(t, restarted, 1150*time.Millisecond)
		})
	}
}

// A run that was confirmed before its upstream is cut off is over with its lease, also beside
// one whose start order got no response.
func TestConfirmedRunIsOverBeforePendingOrder(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.offer(b.job("b", 0))
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	b.advance(20 * time.Millisecond)
	b.record(b.scheduler.HandleStartResult(b.now, starts[0], scheduler.OrderUnanswered, 0))
	b.advance(600 * time.Millisecond)
	require.Equal(t, 1, b.scheduler.Waiting(), "the confirmed run is over, the pending one may not be")
	b.advance(500 * time.Millisecond)
	require.Equal(t, 2, b.scheduler.Waiting())
}

// The dispatcher ends while the start order is pending. The next one does not reach the process
// that executes it, and knows only how long the leases are that dispatchers request.
func TestPendingOrderOfEarlierDispatcherReachesNewProcess(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	start := b.pendingOrder()
	b.scheduler.EndTerm()
	others := map[string]string{"u1": "u2", "u2": "u1"}
	next := b.newGroup(200, []string{"u1", "u2"}, []string{others[start.Upstream.Name]})
	next.offer(b.job("a", 0))
	b.workAll(1500*time.Millisecond, start.Run.Task, next)
}

// A poll that renews a lease names the process whose lease it is. If that one has been replaced, the
// next poll claims the new one.
func TestPollNamesProcess(t *testing.T) {
	b := newTestHarness(t, "u1")
	u := b.upstreams["u1"]
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	poll, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.True(t, due)
	require.Positive(t, poll.Until)
	require.Equal(t, u.ProcessStart(), poll.ProcessStart)
	b.advance(10 * time.Millisecond)
	u.Restart(b.now)
	b.record(b.scheduler.HandlePollResult(b.now, poll, scheduler.PollOtherProcess, scheduler.PollReport{}))
	poll, due, _, _ = b.scheduler.NextPoll(b.now, "u1")
	require.True(t, due)
	require.Zero(t, poll.Until)
	require.Zero(t, poll.ProcessStart)
	result, report := u.Poll(b.now, poll)
	b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
	require.Equal(t, 1, b.scheduler.Waiting(), "the run is over with its process")
	for began := b.now; len(b.place()) == 0; b.advance(10 * time.Millisecond) {
		require.Less(t, b.now.Sub(began), 300*time.Millisecond, "the task starts again")
		b.pollAll()
	}
}

// A start order without a response stays in the network for a second. The process that executes it
// has replaced the intended one and is cut off.
func TestOrderExecutedAfterItsCallReachesNewProcess(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.advance(20 * time.Second) // the clock of the next process is behind
	for name := range b.upstreams {
		b.pollImmediately(name)
	}
	b.offer(b.job("a", 0))
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	start := starts[0]
	u := b.upstreams[start.Upstream.Name]
	b.advance(20 * time.Millisecond)
	u.Restart(b.now)
	b.record(b.scheduler.HandleStartResult(b.now, start, scheduler.OrderUnanswered, 0))
	executed := false
	for began := b.now; b.now.Sub(began) < 2*time.Second; {
		if !executed && b.now.Sub(began) >= time.Second {
			executed = true
			result, _ := u.Start(b.now, start, scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, 5*time.Second)
			require.Equal(t, scheduler.OrderDone, result)
		}
		b.advance(10 * time.Millisecond)
		b.pollWithout(start.Upstream.Name)
		b.place()
		require.LessOrEqual(t, len(b.runsOf(start.Run.Task)), 1, "after %v", b.now.Sub(began))
	}
}
