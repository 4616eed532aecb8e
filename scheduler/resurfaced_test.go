package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// A run whose lease has expired for the dispatcher goes on, because another VM renews it.
func TestRunThatCountedAsOverIsReported(t *testing.T) {
	for _, end := range []string{"active", "done", "lapsed"} {
		t.Run(end, func(t *testing.T) {
			b := newTestHarness(t, "u1")
			u := b.upstreams["u1"]
			b.offer(b.job("a", 0))
			run := b.place()[0].Run
			renewed := map[string]time.Duration{"active": 900 * time.Millisecond, "done": 1200 * time.Millisecond}[end]
			for began := b.now; b.now.Sub(began) < 1300*time.Millisecond; {
				if b.now.Sub(began) < renewed {
					u.Poll(b.now, scheduler.Poll{Token: 100, Until: u.Clock(b.now) + 200})
				}
				if end == "active" && b.now.Sub(began) > 800*time.Millisecond {
					break
				}
				b.advanceWithout(50*time.Millisecond, "u1")
			}
			poll, _ := b.scheduler.ImmediatePoll(b.now, "u1")
			result, report := u.Poll(b.now, poll)
			b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
			if end == "lapsed" {
				require.Empty(t, b.resurfaced)
				return
			}
			require.Len(t, b.resurfaced, 1)
			require.Equal(t, run, b.resurfaced[0].Run)
			require.Equal(t, end, b.resurfaced[0].State)
			require.Equal(t, "the lease has expired", b.resurfaced[0].Reason)
			require.Positive(t, b.resurfaced[0].Since)
		})
	}
}

// The first poll of a term finds the runs of an earlier one.
func TestRunsOfEarlierTermAreReported(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	run := b.place()[0].Run
	b.beginTerm(200)
	b.advanceWithPolls(300 * time.Millisecond)
	found := scheduler.FoundRun{Run: run, Upstream: "u1"}
	require.Equal(t, []scheduler.FoundRun{found}, b.found)
	require.Empty(t, b.resurfaced)
	b.beginTerm(300)
	b.pollAll()
	again := b.job("a", 0)
	again.Resumed = true
	b.offer(again)
	require.Equal(t, []scheduler.FoundEnd{{FoundRun: found, How: "adopted", Held: 200 * time.Millisecond, Origin: "front"}}, b.foundEnds)
}
