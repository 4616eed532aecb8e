package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// resize tells the scheduler that an upstream's entry has another capacity.
func (b *testHarness) resize(name string, milliCPU int) {
	u := b.upstreams[name]
	u.Info.Size.MilliCPU = milliCPU
	b.scheduler.SetUpstreams(b.now, []scheduler.Upstream{u.Info}, false)
}

func TestUpstreamThatShrinksUnderItsRunsIsOvercommitted(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0, 1))
	require.Len(t, b.place(), 2)
	b.resize("u1", 8000)
	b.offer(b.job("b", 0, 1))
	require.Empty(t, b.place(), "both runs use more than the capacity")
	b.resize("u1", 20000)
	require.Empty(t, b.place(), "6 of 20 cores are free")
	b.resize("u1", 21000)
	b.advance(scheduler.TickInterval)
	require.Len(t, b.place(), 1)
	b.resize("u1", 8000)
	b.advanceWithPolls(1200 * time.Millisecond)
	require.Len(t, b.place(), 1, "the capacity of one task")
	require.LessOrEqual(t, b.upstreams["u1"].Used.MilliCPU, 8000)
}

func TestRunThatIsBeingStoppedIsForgottenWhenItsUpstreamShrinks(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0, 1))
	require.Len(t, b.place(), 2)
	b.advance(20 * time.Millisecond)
	b.pollAll()
	b.resize("u1", 8000)
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	require.Len(t, b.stops, 2)
	b.offer(b.job("b", 0))
	require.Empty(t, b.place(), "the stops are not finished")
	for _, stop := range b.stops {
		result, clock := b.upstreams["u1"].Stop(b.now, stop)
		actions, _, _ := b.scheduler.HandleStopResult(b.now, stop, result, clock)
		b.record(actions)
	}
	require.Empty(t, b.place(), "the ends are not listed")
	b.advance(30 * time.Millisecond)
	b.pollAll()
	require.Len(t, b.place(), 1)
}

func TestNextDispatcherOvercommitsShrunkUpstream(t *testing.T) {
	b := newTestHarness(t, "u1")
	first := b.job("a", 0, 1)
	b.offer(first)
	require.Len(t, b.place(), 2)
	next := &testHarness{
		t: t, now: b.now, upstreams: b.upstreams,
		scheduler: scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100}),
	}
	next.scheduler.BeginTerm(next.now, 200, resumeTimeout)
	next.resize("u1", 16000)
	next.pollAll() // finds the runs of the earlier dispatcher
	next.resize("u1", 8000)
	waiting := next.job("b", 0)
	waiting.Slack = 3 * time.Second // not late when the capacity becomes free
	next.offer(waiting)
	require.Empty(t, next.place(), "orphans occupy an unknown part of the upstream")
	first.Resumed = true
	next.offer(first)
	require.Empty(t, next.place())
	next.resize("u1", 20000)
	require.Empty(t, next.place(), "the adopted runs use 14 of 20 cores")
	next.advanceWithPolls(1200 * time.Millisecond)
	require.Len(t, next.place(), 1)
}
