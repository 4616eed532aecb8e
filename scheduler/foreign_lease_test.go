package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// An earlier dispatcher that has not heard of the present term renews the lease of a run on
// an upstream that this dispatcher cannot reach. Its caller sends the job again to a VM that
// offers it here, as new.
func TestEarlierDispatcherThatIsNotReachableRenews(t *testing.T) {
	for _, c := range []struct {
		unaware time.Duration // how long the earlier dispatcher works on
		peers   bool          // whether it is known to be unreachable
	}{
		{0, false}, {20 * time.Millisecond, false}, {100 * time.Millisecond, false}, {200 * time.Millisecond, false}, {290 * time.Millisecond, false}, {400 * time.Millisecond, false},
		{100 * time.Millisecond, true}, {290 * time.Millisecond, true}, {600 * time.Millisecond, true}, {1300 * time.Millisecond, true},
	} {
		t.Run(c.unaware.String(), func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2")
			former := b.scheduler
			b.offer(b.job("a", 0))
			starts := b.place()
			require.Len(t, starts, 1)
			silent := b.upstreams[starts[0].Upstream.Name]
			silent.Speed = 0.1 // a long run

			b.scheduler = scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100})
			list := []scheduler.Upstream{b.upstreams["u1"].Info, b.upstreams["u2"].Info}
			b.scheduler.SetUpstreams(b.now, list, false)
			b.beginTerm(200)
			b.scheduler.SetUnreachablePeers(c.peers)
			b.pollWithout(silent.Info.Name)
			b.offer(b.job("a", 0))
			task := scheduler.Task{Job: "a", Index: 0}
			for began := b.now; b.now.Sub(began) < 4*time.Second; {
				if b.now.Sub(began) < c.unaware {
					if poll, due, _, _ := former.NextPoll(b.now, silent.Info.Name); due {
						result, report := silent.Poll(b.now, poll)
						former.HandlePollResult(b.now, poll, result, report)
					}
				}
				b.place()
				require.LessOrEqual(t, len(b.runsOf(task)), 1, "after %v", b.now.Sub(began))
				b.advance(10 * time.Millisecond)
				b.pollWithout(silent.Info.Name)
			}
		})
	}
}

// A start order without a response reaches the upstream's next process, which has a clock that
// is behind and grants the longest lease. It does not report: it is cut off.
func TestPendingOrderReachesNewProcessThatIsCutOff(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.advance(20 * time.Second)
	for name := range b.upstreams {
		b.pollImmediately(name)
	}
	b.offer(b.job("a", 0))
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	u := b.upstreams[starts[0].Upstream.Name]
	b.advance(20 * time.Millisecond)
	u.Restart(b.now)
	b.advance(20 * time.Millisecond)
	result, _ := u.Start(b.now, starts[0], scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, 5*time.Second)
	require.Equal(t, scheduler.OrderDone, result)
	b.record(b.scheduler.HandleStartResult(b.now, starts[0], scheduler.OrderUnanswered, 0))
	for began := b.now; b.now.Sub(began) < 1500*time.Millisecond; {
		b.advance(10 * time.Millisecond)
		b.pollWithout(u.Info.Name)
		b.place()
		require.LessOrEqual(t, len(b.runsOf(scheduler.Task{Job: "a", Index: 0})), 1, "after %v", b.now.Sub(began))
	}
}

// Further dispatchers find and renew the run of an upstream that a rival has claimed, one after
// the other.
func TestThirdDispatcherRenewsRunOfFencedUpstream(t *testing.T) {
	for _, thirds := range []int{0, 1, 2, 3} {
		t.Run(fmt.Sprint(thirds), func(t *testing.T) { testThirdDispatcher(t, thirds) })
	}
}

func testThirdDispatcher(t *testing.T, thirds int) {
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0))
	starts := b.place()
	require.Len(t, starts, 1)
	u := b.upstreams[starts[0].Upstream.Name]
	u.Speed = 0.1
	task := starts[0].Run.Task
	var rivals []*scheduler.Scheduler
	rival := func(token int64) {
		s := scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100})
		s.SetUpstreams(b.now, []scheduler.Upstream{u.Info}, true)
		s.BeginTerm(b.now, token, resumeTimeout)
		s.SetUnreachablePeers(true)
		rivals = append(rivals, s)
	}
	rival(200)
	for began := b.now; b.now.Sub(began) < 4*time.Second; {
		if len(rivals) <= thirds && b.now.Sub(began) > time.Duration(len(rivals))*690*time.Millisecond {
			rival(300)
		}
		last := rivals[len(rivals)-1]
		if poll, due, _, _ := last.NextPoll(b.now, u.Info.Name); due {
			result, report := u.Poll(b.now, poll)
			last.HandlePollResult(b.now, poll, result, report)
		}
		for _, stop := range last.Tick(b.now).Stops {
			result, clock := u.Stop(b.now, stop)
			last.HandleStopResult(b.now, stop, result, clock)
		}
		b.pollAll() // is fenced there
		b.place()
		require.LessOrEqual(t, len(b.runsOf(task)), 1, "after %v", b.now.Sub(began))
		b.advance(10 * time.Millisecond)
	}
}

// A VM that has just started misses an upstream whose entry lapsed before its first listing,
// or does not claim it. An earlier dispatcher that it cannot reach renews the runs there.
func TestJobStartsBesideRunOnUnlistedUpstream(t *testing.T) {
	for _, partial := range []bool{false, true} {
		t.Run(fmt.Sprintf("partial %v", partial), func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2")
			former := b.scheduler
			b.offer(b.job("a", 0))
			starts := b.place()
			require.Len(t, starts, 1)
			unlisted := b.upstreams[starts[0].Upstream.Name]
			unlisted.Speed = 0.1
			other := "u1"
			if other == unlisted.Info.Name {
				other = "u2"
			}
			b.scheduler = scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100})
			b.scheduler.SetUpstreams(b.now, []scheduler.Upstream{b.upstreams[other].Info}, partial)
			b.beginTerm(200)
			b.scheduler.SetUnreachablePeers(true)
			if !partial {
				b.scheduler.SetListCompleteSince(b.now.Add(2 * time.Second))
			}
			b.pollWithout(unlisted.Info.Name)
			b.offer(b.job("a", 0))
			task := scheduler.Task{Job: "a", Index: 0}
			for began := b.now; b.now.Sub(began) < 2*time.Second; {
				if poll, due, _, _ := former.NextPoll(b.now, unlisted.Info.Name); due {
					result, report := unlisted.Poll(b.now, poll)
					former.HandlePollResult(b.now, poll, result, report)
				}
				b.place()
				require.LessOrEqual(t, len(b.runsOf(task)), 1, "after %v", b.now.Sub(began))
				b.advance(10 * time.Millisecond)
				b.pollWithout(unlisted.Info.Name)
			}
		})
	}
}
