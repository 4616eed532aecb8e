package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/stretchr/testify/require"
)

// turn is the time for which a dispatcher works in a succession of dispatchers that are
// frozen, one after the other.
type turn struct {
	dispatcher *scheduler.Scheduler
	token      int64
	length     time.Duration
}

// work lets a dispatcher poll an upstream, tick and execute its stops for 10 ms.
func (b *testHarness) work(s *scheduler.Scheduler, upstream string) {
	u := b.upstreams[upstream]
	if poll, due, _, _ := s.NextPoll(b.now, upstream); due {
		result, report := u.Poll(b.now, poll)
		s.HandlePollResult(b.now, poll, result, report)
	}
	for _, stop := range s.Tick(b.now).Stops {
		result, clock := u.Stop(b.now, stop)
		s.HandleStopResult(b.now, stop, result, clock)
	}
	b.advance(10 * time.Millisecond)
}

// newDispatcher returns another dispatcher of an upstream.
func (b *testHarness) newDispatcher(upstream string) *scheduler.Scheduler {
	s := scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100})
	s.SetUpstreams(b.now, []scheduler.Upstream{b.upstreams[upstream].Info}, true)
	return s
}

// Two dispatchers are frozen in turn. Each finds a run, of which no job is offered to either,
// and renews its lease.
func TestDispatchersInSuccessionRenewRunWithoutJob(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.upstreams["u1"].Speed = 0.1
	b.pollAll()
	renewed := b.now
	first, second := b.scheduler, b.newDispatcher("u1")
	for i := range int64(6) {
		s := []*scheduler.Scheduler{second, first}[i%2]
		s.BeginTerm(b.now, 200+i, resumeTimeout)
		for range 50 {
			b.work(s, "u1")
			if b.now.Sub(renewed) > 600*time.Millisecond {
				require.Empty(t, b.runsOf(scheduler.Task{Job: "a", Index: 0}), "%v after the last poll of a dispatcher with the job", b.now.Sub(renewed))
			}
		}
	}
}

// Two data centres cannot reach each other. In one of them, dispatchers that are frozen in
// turn find a run. Its caller's deadline has passed, and the caller sends the job to the
// other data centre, whose dispatcher has long known all that it can reach.
func TestJobSentToOtherDataCentreStartsBesideRun(t *testing.T) {
	const (
		deadline   = 1500 * time.Millisecond
		retransmit = 1300 * time.Millisecond
	)
	b := newTestHarness(t, "u1", "u2")
	task := scheduler.Task{Job: "a", Index: 0}
	first := b.newDispatcher("u1")
	first.BeginTerm(b.now, 150, resumeTimeout)
	b.work(first, "u1")
	sent := b.now
	j := b.job("a", 0)
	j.Deadline = sent.Add(deadline)
	_, failure := first.Offer(b.now, j)
	require.Nil(t, failure)
	b.work(first, "u1")
	for b.now.Sub(sent) < 700*time.Millisecond {
		for _, start := range first.Place(b.now) {
			result, clock := b.upstreams["u1"].Start(b.now, start, j.Size, 5*time.Second)
			first.HandleStartResult(b.now, start, result, clock)
		}
		b.work(first, "u1")
	}
	require.Equal(t, []string{"u1"}, b.runsOf(task))

	second := b.newDispatcher("u1")
	sentAgain := false
	for _, turn := range []turn{{first, 150, 550 * time.Millisecond}, {nil, 0, 400 * time.Millisecond}, {second, 160, 600 * time.Millisecond}, {first, 170, time.Second}} {
		if turn.dispatcher != nil && turn.token != 150 {
			turn.dispatcher.BeginTerm(b.now, turn.token, resumeTimeout)
		}
		for range turn.length / (10 * time.Millisecond) {
			if turn.dispatcher == nil {
				b.advance(10 * time.Millisecond)
			} else {
				b.work(turn.dispatcher, "u1")
			}
			if !sentAgain && b.now.Sub(sent) > deadline+retransmit {
				sentAgain = true
				b.offer(b.job("a", 0))
			}
			b.pollWithout("u1")
			b.place()
			require.LessOrEqual(t, len(b.runsOf(task)), 1, "%v after the first request", b.now.Sub(sent))
		}
	}
	require.True(t, sentAgain)
	require.Equal(t, []string{"u2"}, b.runsOf(task))
}

// A job adopts its run while the run of another job, which is not offered again, keeps the
// lease of the upstream from being renewed.
func TestAdoptedRunLapsesBesideOrphan(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	b.offer(b.job("b", 0))
	require.Len(t, b.place(), 2)
	b.pollAll()
	b.advance(250 * time.Millisecond) // the longest time between two polls, and a takeover
	b.beginTerm(200)
	b.pollAll()
	b.advance(50 * time.Millisecond)
	again := b.job("a", 0)
	again.Resumed = true
	b.offer(again)
	for range 100 {
		b.advance(10 * time.Millisecond)
		b.pollAll()
		b.executeStops()
	}
	ends := map[string]string{}
	for _, end := range b.foundEnds {
		ends[end.Job] = end.How
	}
	require.Equal(t, map[string]string{"a": "adopted", "b": "stopped"}, ends)
	require.Len(t, b.notices, 1)
	require.Equal(t, scheduler.TaskDone, b.notices[0].Kind)
}

// A run is adopted while a poll that renews no lease is pending.
func TestAdoptedRunLapsesDuringPoll(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.beginTerm(200)
	b.pollAll()
	pending, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.True(t, due)
	require.Zero(t, pending.Until)
	again := b.job("a", 0)
	again.Resumed = true
	actions, failure := b.scheduler.Offer(b.now, again)
	require.Nil(t, failure)
	require.Equal(t, []string{"u1"}, actions.Polls)
	poll, ok := b.scheduler.ImmediatePoll(b.now, "u1")
	require.True(t, ok)
	require.Positive(t, poll.Until)
}

// A dispatcher begins a term shortly after the one before. Origins have as much time to offer
// their jobs as in the first one.
func TestOrphanIsStoppedBeforeItsJobIsOffered(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.beginTerm(200)
	b.pollAll()
	b.advance(150 * time.Millisecond)
	b.beginTerm(300)
	b.pollAll()
	b.advance(100 * time.Millisecond)
	require.Empty(t, b.stops)
	again := b.job("a", 0)
	again.Resumed = true
	b.offer(again)
	b.advanceWithPolls(time.Second)
	require.Len(t, b.notices, 1)
	require.Equal(t, scheduler.TaskDone, b.notices[0].Kind)
	require.Equal(t, 250*time.Millisecond, b.foundEnds[0].Held)
}

// An upstream that joins gets tasks only once the VMs that may dispatch next list it too.
func TestUpstreamThatJoinsGetsTasksAtOnce(t *testing.T) {
	const joinDelay = time.Second
	b := newTestHarness(t, "u1")
	b.scheduler = scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100, JoinDelay: joinDelay})
	b.scheduler.DoubtList()
	b.beginTerm(200)
	u1 := b.upstreams["u1"].Info
	b.scheduler.SetUpstreams(b.now, []scheduler.Upstream{u1}, false)
	b.scheduler.ConfirmList(200)
	b.pollAll()
	b.advance(20 * time.Millisecond)
	b.offer(b.job("a", 0, 1))
	require.Len(t, b.place(), 2, "it was listed when the term began")

	u2 := schedulertest.New(b.now, scheduler.Upstream{Name: "u2", Service: "rota", Size: u1.Size}, time.Second)
	b.upstreams["u2"] = u2
	b.scheduler.SetUpstreams(b.now, []scheduler.Upstream{u1, u2.Info}, false)
	b.upstreams["u1"].Speed = 0.1
	waiting := b.job("b", 0)
	waiting.Slack = 3 * time.Second // not late before the upstream may be used
	b.offer(waiting)
	b.advanceWithPolls(joinDelay - 100*time.Millisecond)
	require.Empty(t, b.place())
	b.advanceWithPolls(200 * time.Millisecond)
	require.Len(t, b.place(), 1)
}

// A resumed job does not start on the strength of a list that may lack an upstream with its runs.
func TestResumedJobStartsWhileListIsDoubtful(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.scheduler.DoubtList()
	b.beginTerm(200)
	resumed := b.job("a", 0)
	resumed.Resumed = true
	b.offer(resumed)
	b.advanceWithPolls(resumeTimeout - 100*time.Millisecond)
	require.Empty(t, b.place())
	b.scheduler.ConfirmList(200)
	b.advanceWithPolls(100 * time.Millisecond)
	require.Len(t, b.place(), 1)
}

// A listing of the term before ends while the next term begins.
func TestListOfFormerTermConfirmsNextOne(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.scheduler.DoubtList()
	b.beginTerm(200)
	b.scheduler.ConfirmList(100)
	resumed := b.job("a", 0)
	resumed.Resumed = true
	b.offer(resumed)
	b.advanceWithPolls(resumeTimeout - 100*time.Millisecond)
	require.Empty(t, b.place())
}
