package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// callerReturn is the time after which a caller without an answer sends its job again, to any
// VM.
const callerReturn = 1300 * time.Millisecond

// group is a dispatcher that does not hear the one of another group, and the upstreams that
// it reaches.
type group struct {
	b         *testHarness
	scheduler *scheduler.Scheduler
	reached   []string
	// waits means that polls take the time for which they may wait for a completion, stopsLost
	// that upstreams do not receive stops.
	waits, stopsLost bool
	polledAt         map[string]time.Time
	pollWait         map[string]time.Duration
	starts           []scheduler.Start
	notices          []scheduler.Notice
}

// newGroup returns a group with a settled dispatcher that lists some upstreams.
func (b *testHarness) newGroup(token int64, listed, reached []string) *group {
	return b.newGroupWith(scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100, CallerReturn: callerReturn}, token, listed, reached)
}

// newGroupWith is newGroup for a dispatcher with other settings.
func (b *testHarness) newGroupWith(config scheduler.Config, token int64, listed, reached []string) *group {
	g := &group{b: b, scheduler: scheduler.New(b.now, config), reached: reached, polledAt: map[string]time.Time{}, pollWait: map[string]time.Duration{}}
	var list []scheduler.Upstream
	for _, name := range listed {
		list = append(list, b.upstreams[name].Info)
	}
	g.scheduler.SetUpstreams(b.now, list, len(listed) < len(b.upstreams))
	g.scheduler.SetUnreachablePeers(true)
	g.scheduler.SetPeerLoss(scheduler.PeerLost)
	g.scheduler.BeginTerm(b.now, token, resumeTimeout)
	return g
}

// work lets the dispatcher poll, place tasks that take a second, tick, and stop runs.
func (g *group) work() {
	now := g.b.now
	var stops []scheduler.Stop
	for name, u := range g.b.upstreams {
		if now.Sub(g.polledAt[name]) < g.pollWait[name] {
			continue
		}
		poll, due, _, _ := g.scheduler.NextPoll(now, name)
		if !due {
			continue
		}
		g.polledAt[name] = now
		if g.waits {
			g.pollWait[name] = poll.Wait
		}
		result, report := scheduler.PollUnanswered, scheduler.PollReport{}
		if slices.Contains(g.reached, name) {
			result, report = u.Poll(now, poll)
		}
		stops = append(stops, g.record(g.scheduler.HandlePollResult(now, poll, result, report))...)
	}
	for _, start := range g.scheduler.Place(now) {
		g.starts = append(g.starts, start)
		result, clock := g.b.upstreams[start.Upstream.Name].Start(now, start, scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
		stops = append(stops, g.record(g.scheduler.HandleStartResult(now, start, result, clock))...)
	}
	stops = append(stops, g.record(g.scheduler.Tick(now))...)
	for _, stop := range stops {
		if g.stopsLost {
			continue
		}
		result, clock := g.b.upstreams[stop.Upstream.Name].Stop(now, stop)
		g.scheduler.HandleStopResult(now, stop, result, clock)
	}
}

func (g *group) record(a scheduler.Actions) []scheduler.Stop {
	g.notices = append(g.notices, a.Notices...)
	return a.Stops
}

func (g *group) offer(j scheduler.Job) {
	_, failure := g.scheduler.Offer(g.b.now, j)
	require.Nil(g.b.t, failure)
}

// workAll lets groups work for some time, and checks that the task has one run at most.
func (b *testHarness) workAll(d time.Duration, task scheduler.Task, groups ...*group) {
	for end := b.now.Add(d); b.now.Before(end); {
		for _, g := range groups {
			g.work()
		}
		require.LessOrEqual(b.t, len(b.runsOf(task)), 1, "at %v", b.now)
		b.now = b.now.Add(10 * time.Millisecond)
		for _, u := range b.upstreams {
			u.Advance(b.now)
		}
	}
}

// newSplit returns two groups that share three upstreams. The second one reaches and claims u3
// only.
func newSplit(t *testing.T) (b *testHarness, first, second *group) {
	b = newTestHarness(t, "u1", "u2", "u3")
	first = b.newGroup(150, []string{"u1", "u2", "u3"}, []string{"u1", "u2", "u3"})
	second = b.newGroup(200, []string{"u3"}, []string{"u3"})
	b.workAll(2*time.Second, scheduler.Task{}, first, second)
	return b, first, second
}

// The connection of a caller breaks without its origin noticing. The caller sends the job to
// the VM of another group, whose dispatcher does not reach the upstream of the first run.
func TestReturningCallersJobStartsBesideItsRun(t *testing.T) {
	b, first, second := newSplit(t)
	task := scheduler.Task{Job: "a", Index: 0}
	b.upstreams["u1"].Speed, b.upstreams["u2"].Speed = 0.1, 0.1
	first.offer(b.job("a", 0))
	b.workAll(callerReturn, task, first, second)
	require.Len(t, first.starts, 1)
	require.Len(t, first.notices, 1, "the caller is answered as soon as the job is given up")
	require.Equal(t, scheduler.JobAbandoned, first.notices[0].Kind)
	second.offer(b.job("a", 0))
	b.workAll(3*time.Second, task, first, second)
	require.Len(t, second.starts, 1)
	require.Len(t, second.notices, 1)
	require.Equal(t, scheduler.TaskDone, second.notices[0].Kind)
}

// The first submission of a job waits for capacity until its caller has sent the job to the VM
// of another group.
func TestEarlierSubmissionStartsBesideRunOfReturningCaller(t *testing.T) {
	b, first, second := newSplit(t)
	task := scheduler.Task{Job: "a", Index: 0}
	first.offer(b.job("busy", 0, 1, 2, 3))
	b.workAll(100*time.Millisecond, task, first, second)
	for _, u := range []string{"u1", "u2"} {
		b.upstreams[u].Speed = 0.6
	}
	first.offer(b.job("a", 0))
	b.workAll(callerReturn, task, first, second)
	second.offer(b.job("a", 0))
	b.workAll(5*time.Second, task, first, second)
	require.Len(t, second.starts, 1)
	require.Equal(t, scheduler.TaskDone, second.notices[len(second.notices)-1].Kind)
}

// A run whose caller waits for longer than the return time goes on while no other dispatcher can
// have an upstream.
func TestLongRunOfWaitingCallerIsGivenUp(t *testing.T) {
	for name, change := range map[string]func(*testHarness, *group){
		"all peers are heard": func(b *testHarness, g *group) {
			g.scheduler.SetPeerLoss(scheduler.PeersHeard)
			g.reached = []string{"u1"}
		},
		"a peer is lost and all upstreams are held": func(*testHarness, *group) {},
		"a heartbeat is missing while an upstream is replaced": func(b *testHarness, g *group) {
			g.scheduler.SetPeerLoss(scheduler.PeerSilent)
			b.upstreams["u2"].Restart(b.now)
			b.workAll(100*time.Millisecond, scheduler.Task{}, g)
			g.scheduler.SetPeerLoss(scheduler.PeersHeard)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2")
			g := b.newGroup(150, []string{"u1", "u2"}, []string{"u1", "u2"})
			b.workAll(time.Second, scheduler.Task{}, g)
			b.upstreams["u2"].Speed = 0
			g.offer(b.job("a", 0))
			b.upstreams["u1"].Speed = 0.3
			b.workAll(callerReturn, scheduler.Task{}, g)
			require.Equal(t, "u1", g.starts[0].Upstream.Name)
			change(b, g)
			b.workAll(3*time.Second, scheduler.Task{}, g)
			require.Len(t, g.starts, 1)
			require.Len(t, g.notices, 1)
			require.Equal(t, scheduler.TaskDone, g.notices[0].Kind)
		})
	}
}

// A VM is lost, but not listed, so that it is not among the unreachable ones. Its dispatcher claims
// an upstream that is idle here.
func TestLostMemberClaimsIdleUpstreamUnnoticed(t *testing.T) {
	for _, unreachable := range []bool{true, false} {
		t.Run(map[bool]string{true: "unreachable peers set", false: "as updateTerm leaves it"}[unreachable], func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2", "u3")
			task := scheduler.Task{Job: "a", Index: 0}
			first := b.newGroup(150, []string{"u1", "u2", "u3"}, []string{"u1", "u2", "u3"})
			first.scheduler.SetUnreachablePeers(unreachable)
			b.workAll(2*time.Second, task, first)
			second := b.newGroup(200, []string{"u3"}, []string{"u3"})
			b.workAll(time.Second, task, first, second)
			b.upstreams["u1"].Speed, b.upstreams["u2"].Speed = 0.1, 0.1
			first.offer(b.job("a", 0))
			b.workAll(callerReturn, task, first, second)
			require.Len(t, first.starts, 1)
			require.NotEqual(t, "u3", first.starts[0].Upstream.Name)
			second.offer(b.job("a", 0))
			b.workAll(3*time.Second, task, first, second)
		})
	}
}

// A dispatcher takes over jobs in a term that begins long after one with a split.
func TestSplitOfFormerTermIsConfirmedAtOnce(t *testing.T) {
	for _, before := range []bool{false, true} {
		t.Run(fmt.Sprintf("term in a split before: %v", before), func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2")
			g := b.newGroup(150, []string{"u1", "u2"}, []string{"u1", "u2"})
			if before {
				g.reached = []string{"u1"}
			}
			b.workAll(2*time.Second, scheduler.Task{}, g)
			require.Equal(t, before, g.scheduler.Split())
			g.scheduler.EndTerm()
			g.reached = []string{"u1", "u2"}
			g.scheduler.SetPeerLoss(scheduler.PeersHeard)
			b.advance(10 * time.Minute)
			g.scheduler.SetPeerLoss(scheduler.PeerLost) // the dispatcher has just been lost
			g.scheduler.BeginTerm(b.now, 300, resumeTimeout)
			j := b.job("a", 0)
			j.Sent, j.Resumed = b.now.Add(-callerReturn), true
			g.offer(j)
			g.record(g.scheduler.Tick(b.now))
			require.False(t, g.scheduler.Split(), "confirmed at the first tick of the term")
			require.Empty(t, g.notices)
		})
	}
}

// A dispatcher in a split begins terms again and again, because the other one claims upstreams.
func TestSplitIsLostWithEachTerm(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	g := b.newGroup(150, []string{"u1", "u2"}, []string{"u1"})
	b.workAll(time.Second, scheduler.Task{}, g)
	require.True(t, g.scheduler.Split())
	for token := range int64(10) {
		g.scheduler.BeginTerm(b.now, 200+token, resumeTimeout)
		require.True(t, g.scheduler.Split(), "before the first tick")
		for range 20 {
			g.work()
			require.True(t, g.scheduler.Split())
			b.advance(10 * time.Millisecond)
		}
	}
}

// One poll is lost while leases are short.
func TestShortLeaseLapsesWithLostPoll(t *testing.T) {
	for _, c := range []struct {
		loss  scheduler.PeerLoss
		loses bool
	}{{scheduler.PeersHeard, false}, {scheduler.PeersHeard, true}, {scheduler.PeerLost, false}, {scheduler.PeerLost, true}} {
		t.Run(fmt.Sprintf("%v, poll lost %v", c.loss, c.loses), func(t *testing.T) {
			b := newTestHarness(t, "u1")
			g := b.newGroup(150, []string{"u1"}, []string{"u1"})
			g.scheduler.SetPeerLoss(c.loss)
			g.scheduler.SetUnreachablePeers(c.loss != scheduler.PeersHeard)
			b.workAll(2*time.Second, scheduler.Task{}, g)
			b.upstreams["u1"].Speed = 0.05
			j := b.job("a", 0)
			j.Deadline = b.now.Add(time.Minute)
			g.offer(j)
			b.workAll(200*time.Millisecond, scheduler.Task{}, g)
			require.Len(t, g.starts, 1)
			u, s := b.upstreams["u1"], g.scheduler
			const timeout = 60 * time.Millisecond // node.maxTimeout; 30 ms at best
			var poll scheduler.Poll
			var answerAt time.Time
			lost, pending, wasLost := false, false, false
			began := b.now
			for b.now.Sub(began) < 3*time.Second {
				if pending && !b.now.Before(answerAt) {
					pending = false
					if lost {
						lost = false
						s.HandlePollResult(b.now, poll, scheduler.PollUnanswered, scheduler.PollReport{})
					} else {
						p := poll
						p.Until = 0 // the lease was renewed when the poll arrived
						result, report := u.Poll(b.now, p)
						s.HandlePollResult(b.now, poll, result, report)
					}
				}
				if !pending {
					var due bool
					if poll, due, _, _ = s.NextPoll(b.now, "u1"); due {
						pending = true
						lost = c.loses && !wasLost && poll.Wait > 0 && b.now.Sub(began) > 2*time.Second
						answerAt = b.now.Add(poll.Wait + 10*time.Millisecond)
						if lost { // the request is lost
							wasLost = true
							answerAt = b.now.Add(poll.Wait + timeout)
						} else {
							u.Poll(b.now, poll)
						}
					}
				}
				s.Tick(b.now)
				b.now = b.now.Add(10 * time.Millisecond)
				u.Advance(b.now)
			}
			require.Equal(t, c.loses, wasLost)
			require.Len(t, b.runsOf(scheduler.Task{Job: "a", Index: 0}), 1, "the run has lapsed")
		})
	}
}
