package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// A job is withdrawn while a start order is pending, and a poll shows the run.
func TestRunOfWithdrawnJobGoesOnAfterPollConfirmsIt(t *testing.T) {
	task := scheduler.Task{Job: "a", Index: 0}
	for name, c := range map[string]struct {
		foreign   bool // another dispatcher has started the run
		polled    bool // before the answer to the order
		withdrawn bool // before the answer to the order
	}{
		"old attempt":                 {true, false, true},
		"old attempt, then withdrawn": {true, false, false},
		"unanswered after a poll":     {false, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestHarness(t, "u1")
			b.offer(b.job("a", 0))
			starts := b.scheduler.Place(b.now)
			require.Len(t, starts, 1)
			size := scheduler.Size{MilliCPU: 7000, MemoryMB: 64}
			order, result := starts[0], scheduler.OrderUnanswered
			if c.foreign {
				b.startElsewhere("u1", order.Run, 5*time.Second)
				result = scheduler.OrderOldAttempt
			} else {
				started, _ := b.upstreams["u1"].Start(b.now, order, size, 5*time.Second)
				require.Equal(t, scheduler.OrderDone, started)
			}
			if c.withdrawn {
				b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
			}
			b.advance(10 * time.Millisecond)
			if c.polled {
				b.pollAll()
			}
			b.record(b.scheduler.HandleStartResult(b.now, order, result, b.upstreams["u1"].Clock(b.now)))
			if !c.withdrawn {
				b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
			}
			b.advanceWithPolls(300 * time.Millisecond)
			require.True(t, b.upstreams["u1"].HasRun(task), "the stop is not executed")
			require.Len(t, b.stops, 1, "nobody needs the run")
			b.advanceWithPolls(800 * time.Millisecond)
			require.False(t, b.upstreams["u1"].HasRun(task), "its lease is not renewed")
			require.Len(t, b.stops, 1)
		})
	}
}
