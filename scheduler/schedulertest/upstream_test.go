package schedulertest_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/stretchr/testify/require"
)

// A test process that is paused for longer than a lease must not make runs lapse that have ended
// before: their tasks would start again, which no rule of the dispatcher causes. Runs that have not
// ended by then lapse.
func TestRunThatEndsWithinItsLeaseDoesNotLapse(t *testing.T) {
	for runTime, kind := range map[time.Duration]scheduler.CompletionKind{
		30 * time.Millisecond:  scheduler.CompletionDone,
		600 * time.Millisecond: scheduler.CompletionLapsed,
		time.Hour:              scheduler.CompletionLapsed,
	} {
		now := time.Unix(1_700_000_000, 0)
		u := schedulertest.New(now, scheduler.Upstream{Name: "u", Size: scheduler.Size{MilliCPU: 1000}}, time.Second)
		var ends []scheduler.CompletionKind
		u.OnCompletion = func(_ time.Time, _ scheduler.Run, k scheduler.CompletionKind) { ends = append(ends, k) }
		u.Poll(now, scheduler.Poll{Token: 1, Until: u.Clock(now) + 500})
		result, _ := u.Start(now, scheduler.Start{Token: 1, Run: scheduler.Run{Task: scheduler.Task{Job: "a"}, Attempt: 1}, Until: u.Clock(now) + 400}, scheduler.Size{MilliCPU: 1000}, runTime)
		require.Equal(t, scheduler.OrderDone, result)
		u.Advance(now.Add(900 * time.Millisecond))
		require.Equal(t, []scheduler.CompletionKind{kind}, ends, "%s", runTime)
	}
}
