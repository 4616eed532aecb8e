package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

const resumeTimeout = 1700 * time.Millisecond

// testHarness runs a scheduler against fake upstreams that respond immediately.
type testHarness struct {
	t          *testing.T
	now        time.Time
	scheduler  *scheduler.Scheduler
	upstreams  map[string]*schedulertest.Upstream
	notices    []scheduler.Notice
	stops      []scheduler.Stop
	starts     []scheduler.Start
	found      []scheduler.FoundRun
	foundEnds  []scheduler.FoundEnd
	resurfaced []scheduler.ResurfacedRun
}

func newTestHarness(t *testing.T, names ...string) *testHarness {
	b := &testHarness{
		t: t, now: time.Unix(1_700_000_000, 0), upstreams: map[string]*schedulertest.Upstream{},
		scheduler: scheduler.New(time.Unix(1_700_000_000, 0), scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100}),
	}
	var list []scheduler.Upstream
	for _, name := range names {
		info := scheduler.Upstream{Name: name, Service: "rota", Size: scheduler.Size{MilliCPU: 16000, MemoryMB: 1000}}
		b.upstreams[name] = schedulertest.New(b.now, info, time.Second)
		list = append(list, info)
	}
	b.scheduler.BeginTerm(b.now, 100, resumeTimeout)
	b.scheduler.SetUpstreams(b.now, list, false)
	b.pollAll()
	b.record(b.scheduler.Tick(b.now))
	return b
}

// advanceWithPolls moves time forward in small steps and executes all due polls.
func (b *testHarness) advanceWithPolls(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.advance(100 * time.Millisecond)
		b.pollAll()
	}
}

// advance moves time forward in small steps without polls.
func (b *testHarness) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		for _, u := range b.upstreams {
			u.Advance(b.now)
		}
		b.record(b.scheduler.Tick(b.now))
	}
}

func (b *testHarness) record(a scheduler.Actions) {
	b.notices = append(b.notices, a.Notices...)
	b.stops = append(b.stops, a.Stops...)
	b.found = append(b.found, a.Found...)
	b.foundEnds = append(b.foundEnds, a.FoundEnds...)
	b.resurfaced = append(b.resurfaced, a.Resurfaced...)
}

// pollAll executes all due polls.
func (b *testHarness) pollAll() {
	for name, u := range b.upstreams {
		if poll, due, _, _ := b.scheduler.NextPoll(b.now, name); due {
			result, report := u.Poll(b.now, poll)
			b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
		}
	}
}

// place executes the start orders, each for one second of work.
func (b *testHarness) place() []scheduler.Start {
	starts := b.scheduler.Place(b.now)
	for _, s := range starts {
		result, clock := b.upstreams[s.Upstream.Name].Start(b.now, s, scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
		b.record(b.scheduler.HandleStartResult(b.now, s, result, clock))
	}
	b.starts = append(b.starts, starts...)
	return starts
}

func (b *testHarness) job(id string, tasks ...int) scheduler.Job {
	return scheduler.Job{
		ID: id, Origin: "front", OriginIncarnation: 1, Queue: "alert", Service: "rota",
		Size: scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, Estimate: time.Second,
		Sent: b.now, Deadline: b.now.Add(10 * time.Second), Stretch: 1.6, Slack: 60 * time.Millisecond,
		MaxAttempts: 2, Tasks: tasks,
	}
}

func (b *testHarness) offer(j scheduler.Job) {
	a, failure := b.scheduler.Offer(b.now, j)
	require.Nil(b.t, failure)
	b.record(a)
}

func TestTasksArePackedBySize(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0, 1, 2, 3, 4))
	require.Len(t, b.place(), 4, "two tasks of 7 cores fit on each of two upstreams of 16")
	require.Equal(t, 1, b.scheduler.Waiting())
	b.advanceWithPolls(1100 * time.Millisecond)
	require.Len(t, b.place(), 1)
	require.Len(t, b.notices, 4)
}

func TestJobThatFitsNowhereIsRefused(t *testing.T) {
	b := newTestHarness(t, "u1")
	j := b.job("a", 0)
	j.Size.MilliCPU = 20000
	_, failure := b.scheduler.Offer(b.now, j)
	require.NotNil(t, failure)
	require.Contains(t, failure.Reason, "no upstream of service rota has 20000")
}

// A job that was abandoned and is offered again must not start a task while the
// first run of the task is still being stopped.
func TestTaskWaitsForTerminatingRun(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	first := b.starts[0].Upstream.Name
	b.record(b.scheduler.AbandonJobsOf(b.now, "front", 2))
	require.Len(t, b.stops, 1)
	again := b.job("a", 0)
	again.OriginIncarnation = 2
	b.offer(again)
	require.Empty(t, b.place(), "the first run is still active")
	result, clock := b.upstreams[first].Stop(b.now, b.stops[0])
	actions, _, _ := b.scheduler.HandleStopResult(b.now, b.stops[0], result, clock)
	b.record(actions)
	require.Empty(t, b.place(), "the stop is pending")
	b.advance(50 * time.Millisecond)
	b.pollAll()
	starts := b.place()
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Run.Attempt)
}

// A resumed job may have active runs. It waits until every upstream has answered a
// poll that was sent after the offer.
func TestResumedJobWaitsForPollOfEveryUpstream(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.advance(50 * time.Millisecond)
	j := b.job("a", 0)
	j.Resumed = true
	b.offer(j)
	b.advance(50 * time.Millisecond)
	require.Empty(t, b.place())
	b.pollAll()
	b.advance(20 * time.Millisecond)
	require.Len(t, b.place(), 1)
}

// A job that had no started task in the last term waits like a new one: until every upstream
// has answered, or the leases of earlier terms have expired. Otherwise, or if it was offered to
// another dispatcher since, it waits like any resumed job.
func TestUnstartedJobWaitsLikeANewOneInNextTerm(t *testing.T) {
	const leasesExpired = 600 * time.Millisecond
	for name, c := range map[string]struct {
		started       bool
		previousToken int64
		startsAfter   time.Duration
	}{
		"nothing started":                      {false, 100, leasesExpired},
		"offered to another dispatcher since":  {false, 101, resumeTimeout},
		"started, and active runs are unknown": {true, 100, resumeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestHarness(t, "u1")
			b.offer(b.job("a", 0))
			if c.started {
				require.Len(t, b.scheduler.Place(b.now), 1)
			}
			b.scheduler.BeginTerm(b.now, 200, resumeTimeout)
			silent := scheduler.Upstream{Name: "u2", Service: "s", Size: scheduler.Size{MilliCPU: 16000}}
			b.scheduler.SetUpstreams(b.now, []scheduler.Upstream{b.upstreams["u1"].Info, silent}, false)
			j := b.job("a", 0)
			j.Resumed, j.PreviousToken = true, c.previousToken
			b.offer(j)
			began := b.now
			for len(b.place()) == 0 {
				require.Less(t, b.now.Sub(began), 2*resumeTimeout)
				b.advance(10 * time.Millisecond)
				b.pollWithout(silent.Name)
			}
			require.InDelta(t, c.startsAfter, b.now.Sub(began), float64(50*time.Millisecond))
		})
	}
}

// In the next term, a job that had no started task starts as soon as every upstream has answered.
func TestUnstartedJobStartsOnceUpstreamsHaveAnswered(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0))
	b.beginTerm(200)
	j := b.job("a", 0)
	j.Resumed, j.PreviousToken = true, 100
	b.offer(j)
	b.pollWithout("u2")
	b.record(b.scheduler.Tick(b.now))
	require.Empty(t, b.place())
	b.pollAll()
	b.record(b.scheduler.Tick(b.now))
	require.Len(t, b.place(), 1)
}

// While peers are unreachable, an idle upstream is polled with a wait. If its process
// is replaced, it is claimed again before a competing dispatcher can use it.
func TestIdleUpstreamIsPolledWhilePeersAreUnreachable(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.advanceWithPolls(time.Second)
	_, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.False(t, due)
	b.scheduler.SetUnreachablePeers(true)
	poll, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.True(t, due)
	require.Positive(t, poll.Wait)
}

// The first report of a new process is authoritative for its active runs, even if
// the old process has answered a later poll.
func TestNewProcessAnswersOlderPoll(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	older, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.True(t, due)
	b.now = b.now.Add(time.Millisecond)
	newer, due := b.scheduler.ImmediatePoll(b.now, "u1")
	require.True(t, due)
	result, report := b.upstreams["u1"].Poll(b.now, newer)
	b.record(b.scheduler.HandlePollResult(b.now, newer, result, report))
	report = scheduler.PollReport{Clock: 1000, ProcessStart: report.ProcessStart + 1000, Running: []scheduler.Running{{Run: scheduler.Run{Task: scheduler.Task{Job: "other"}, Attempt: 1}}}}
	b.record(b.scheduler.HandlePollResult(b.now, older, scheduler.PollAnswered, report))
	b.offer(b.job("b", 0))
	require.Empty(t, b.scheduler.Place(b.now), "the orphan has an unknown size")
}

// A job that is offered again adopts a run that an earlier dispatcher started, instead
// of starting the task a second time.
func TestRunOfAnEarlierDispatcherIsAdopted(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.scheduler.BeginTerm(b.now, 200, resumeTimeout)
	b.pollAll()
	j := b.job("a", 0)
	j.Resumed = true
	b.offer(j)
	b.pollAll()
	b.advanceWithPolls(1100 * time.Millisecond)
	require.Len(t, b.starts, 1, "the run is not started again")
	require.Equal(t, []scheduler.Notice{{Origin: "front", Task: scheduler.Task{Job: "a"}, Kind: scheduler.TaskDone}}, b.notices)
}

func TestOrphanIsStopped(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	b.place()
	b.scheduler.BeginTerm(b.now, 200, resumeTimeout)
	b.pollAll()
	b.offer(b.job("b", 0, 1))
	require.Empty(t, b.place(), "the orphan has an unknown size")
	b.advanceWithPolls(800 * time.Millisecond)
	require.Len(t, b.stops, 1)
	require.Equal(t, "no job has adopted the run", b.stops[0].Reason)
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	for _, u := range b.upstreams {
		u.Fail = true
	}
	b.offer(b.job("a", 0))
	for range 2 {
		require.Len(t, b.place(), 1)
		b.advanceWithPolls(1100 * time.Millisecond)
	}
	require.NotEqual(t, b.starts[0].Upstream.Name, b.starts[1].Upstream.Name, "a failed task is retried on another upstream")
	require.Equal(t, []scheduler.Notice{{Origin: "front", Task: scheduler.Task{Job: "a"}, Kind: scheduler.TaskRetried, History: history.Task{Failures: 1}},
		{Origin: "front", Task: scheduler.Task{Job: "a"}, Kind: scheduler.TaskFailed, Code: verdict.CodeUpstreamFailed, Reason: "2 runs of a task have failed", History: history.Task{Failures: 2}}}, b.notices)
}

// An unanswered start order keeps its capacity reserved until a stop order is answered
// and a later poll does not list the run. Otherwise the upstream is overcommitted.
func TestUnansweredStartKeepsItsCapacity(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0, 1, 2))
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 2)
	for _, s := range starts {
		b.record(b.scheduler.HandleStartResult(b.now, s, scheduler.OrderUnanswered, 0))
	}
	require.Len(t, b.stops, 2)
	b.pollAll()
	require.Empty(t, b.place())
	for _, stop := range b.stops {
		result, clock := b.upstreams["u1"].Stop(b.now, stop)
		actions, _, _ := b.scheduler.HandleStopResult(b.now, stop, result, clock)
		b.record(actions)
	}
	b.advance(20 * time.Millisecond)
	poll, ok := b.scheduler.ImmediatePoll(b.now, "u1")
	require.True(t, ok)
	result, report := b.upstreams["u1"].Poll(b.now, poll)
	b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
	next := b.place()
	require.Len(t, next, 2)
	require.Equal(t, 2, next[0].Run.Attempt)
	require.Equal(t, 2, next[1].Run.Attempt)
}

// An unhealthy upstream answers a stop order without executing it. The start order may then
// still be executed, late, after a poll that does not list the run.
func TestStopThatWasRefusedEndsRun(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0))
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	b.record(b.scheduler.HandleStartResult(b.now, starts[0], scheduler.OrderUnanswered, 0))
	require.Len(t, b.stops, 1)
	actions, retry, _ := b.scheduler.HandleStopResult(b.now, b.stops[0], scheduler.OrderUnhealthy, 0)
	b.record(actions)
	require.True(t, retry)
	b.advance(20 * time.Millisecond)
	b.pollAll()
	require.Empty(t, b.place(), "the start order may be executed until its time has passed")
	b.advance(500 * time.Millisecond)
	b.pollAll()
	require.Len(t, b.place(), 1)
}

func TestDrainingUpstreamGetsNoNewTasks(t *testing.T) {
	b := newTestHarness(t, "u1")
	info := b.upstreams["u1"].Info
	info.Draining = true
	b.scheduler.SetUpstreams(b.now, []scheduler.Upstream{info}, false)
	b.offer(b.job("a", 0))
	require.Empty(t, b.place())
}

// A job that has not started is abandoned as not run once its answer would be too
// late to be useful.
func TestQueuedJobThatIsTooLateIsAbandoned(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0, 1))
	b.place()
	b.offer(b.job("b", 0))
	late := b.job("b", 0)
	target := time.Duration(late.Stretch*float64(late.Estimate)) + late.Slack
	require.Equal(t, 1660*time.Millisecond, target)
	b.advanceWithPolls(600 * time.Millisecond)
	require.Empty(t, b.notices, "it can still be in time")
	b.advanceWithPolls(100 * time.Millisecond) // it takes a second
	require.Len(t, b.notices, 1)
	require.GreaterOrEqual(t, b.notices[0].RetryAfter, time.Second)
	b.notices[0].RetryAfter = 0
	require.Equal(t, scheduler.Notice{
		Origin: "front", Task: scheduler.Task{Job: "b"}, Kind: scheduler.JobNotRun, Code: verdict.CodeOverloaded,
		Reason: "capacity is short: the job is hopeless",
	}, b.notices[0])
}

// A pending start order may reach the new process of an upstream that was replaced.
func TestOrderMayReachANewProcess(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0))
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	name := starts[0].Upstream.Name
	b.advanceWithPolls(20 * time.Millisecond)
	b.upstreams[name].Restart(b.now)
	poll, ok := b.scheduler.ImmediatePoll(b.now, name)
	require.True(t, ok)
	result, report := b.upstreams[name].Poll(b.now, poll)
	b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
	require.Empty(t, b.place(), "the order may still be executed")
}

// The runs of an unresponsive upstream end with their lease: failed polls do not
// extend it.
func TestRunsOnUnresponsiveUpstreamEndWithLease(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	silent := b.starts[0].Upstream.Name
	b.pollAll()
	for range 14 {
		b.advance(100 * time.Millisecond)
		for name, u := range b.upstreams {
			poll, due, _, _ := b.scheduler.NextPoll(b.now, name)
			switch {
			case !due:
			case name == silent:
				b.record(b.scheduler.HandlePollResult(b.now, poll, scheduler.PollUnanswered, scheduler.PollReport{}))
			default:
				result, report := u.Poll(b.now, poll)
				b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
			}
		}
	}
	starts := b.place()
	require.Len(t, starts, 1, "the task starts again on another upstream")
	require.NotEqual(t, silent, starts[0].Upstream.Name)
}

// An unreachable peer may claim an upstream that does not respond here, and renew
// its runs until it stops them.
func TestRunRenewedByCompetingDispatcherIsNotRestarted(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	j := b.job("a", 0)
	b.offer(j)
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	name := starts[0].Upstream.Name
	u := b.upstreams[name]
	result, clock := u.Start(b.now, starts[0], j.Size, time.Hour)
	b.record(b.scheduler.HandleStartResult(b.now, starts[0], result, clock))
	b.advance(20 * time.Millisecond)
	b.pollAll()

	competitor := scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100})
	for step := range 100 {
		b.advance(50 * time.Millisecond)
		if poll, due, _, _ := b.scheduler.NextPoll(b.now, name); due {
			b.record(b.scheduler.HandlePollResult(b.now, poll, scheduler.PollUnanswered, scheduler.PollReport{}))
		}
		switch {
		case step == 8:
			b.scheduler.SetUnreachablePeers(true)
		case step == 12:
			competitor.BeginTerm(b.now, 200, resumeTimeout)
			competitor.SetUpstreams(b.now, []scheduler.Upstream{u.Info}, true)
		}
		if step >= 12 {
			if poll, due, _, _ := competitor.NextPoll(b.now, name); due {
				result, report := u.Poll(b.now, poll)
				competitor.HandlePollResult(b.now, poll, result, report)
			}
			for _, stop := range competitor.Tick(b.now).Stops {
				u.Stop(b.now, stop)
			}
		}
		if len(b.scheduler.Place(b.now)) > 0 {
			require.Zero(t, u.Running(), "the first run is still active %d ms after the disconnect", 50*step)
			return
		}
	}
	t.Fatal("the task was not started again")
}

// A process that was paused places tasks before its next tick, which expires jobs. The caller
// may have sent the job again to another VM meanwhile.
func TestTaskStartsAfterCallersDeadline(t *testing.T) {
	b := newTestHarness(t, "u1")
	j := b.job("a", 0)
	j.Deadline = b.now.Add(1500 * time.Millisecond)
	b.offer(j)
	b.now = b.now.Add(4 * time.Second)
	require.Empty(t, b.scheduler.Place(b.now))
	b.record(b.scheduler.Tick(b.now))
	require.Len(t, b.notices, 1)
	require.Equal(t, scheduler.JobNotRun, b.notices[0].Kind)
	require.Zero(t, b.scheduler.Waiting())
}
