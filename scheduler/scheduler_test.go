package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

const resumeTime = 1700 * time.Millisecond

// bench is a scheduler with model upstreams whose calls take no time.
type bench struct {
	t         *testing.T
	now       time.Time
	scheduler *scheduler.Scheduler
	upstreams map[string]*schedulertest.Upstream
	notices   []scheduler.Notice
	stops     []scheduler.Stop
	starts    []scheduler.Start
}

func newBench(t *testing.T, names ...string) *bench {
	b := &bench{
		t: t, now: time.Unix(1_700_000_000, 0), upstreams: map[string]*schedulertest.Upstream{},
		scheduler: scheduler.New(time.Unix(1_700_000_000, 0), scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100}),
	}
	var list []scheduler.Upstream
	for _, name := range names {
		info := scheduler.Upstream{Name: name, Service: "rota", Size: scheduler.Size{MilliCPU: 16000, MemoryMB: 1000}}
		b.upstreams[name] = schedulertest.New(b.now, info, time.Second)
		list = append(list, info)
	}
	b.scheduler.BeginTerm(b.now, 100, resumeTime)
	b.scheduler.SetUpstreams(b.now, list, false)
	b.lookAll()
	return b
}

// pass lets time pass in small steps, with the looks that are due.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.wait(100 * time.Millisecond)
		b.lookAll()
	}
}

// wait lets time pass in small steps, without looks.
func (b *bench) wait(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(10 * time.Millisecond)
		for _, u := range b.upstreams {
			u.Advance(b.now)
		}
		b.act(b.scheduler.Tick(b.now))
	}
}

func (b *bench) act(a scheduler.Actions) {
	b.notices = append(b.notices, a.Notices...)
	b.stops = append(b.stops, a.Stops...)
}

// lookAll carries out every look that is due.
func (b *bench) lookAll() {
	for name, u := range b.upstreams {
		if look, due, _, _ := b.scheduler.NextPoll(b.now, name); due {
			result, report := u.Poll(b.now, look)
			b.act(b.scheduler.HandlePollResult(b.now, look, result, report))
		}
	}
}

// place carries out the starts, each of work that takes a second.
func (b *bench) place() []scheduler.Start {
	starts := b.scheduler.Place(b.now)
	for _, s := range starts {
		result, clock := b.upstreams[s.Upstream.Name].Start(b.now, s, scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
		b.act(b.scheduler.HandleStartResult(b.now, s, result, clock))
	}
	b.starts = append(b.starts, starts...)
	return starts
}

func (b *bench) job(id string, tasks ...int) scheduler.Job {
	return scheduler.Job{
		ID: id, Origin: "front", OriginIncarnation: 1, Queue: "alert", Service: "rota",
		Size: scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, Estimate: time.Second,
		Sent: b.now, Deadline: b.now.Add(10 * time.Second), Stretch: 1.6, Slack: 60 * time.Millisecond,
		MaxAttempts: 2, Tasks: tasks,
	}
}

func (b *bench) offer(j scheduler.Job) {
	notices, failure := b.scheduler.Offer(b.now, j)
	require.Nil(b.t, failure)
	b.notices = append(b.notices, notices...)
}

func TestTasksArePackedBySize(t *testing.T) {
	b := newBench(t, "u1", "u2")
	b.offer(b.job("a", 0, 1, 2, 3, 4))
	require.Len(t, b.place(), 4, "two tasks of 7 cores fit on each of two upstreams of 16")
	require.Equal(t, 1, b.scheduler.Waiting())
	b.pass(1100 * time.Millisecond)
	require.Len(t, b.place(), 1)
	require.Len(t, b.notices, 4)
}

func TestJobThatFitsNowhereIsRefused(t *testing.T) {
	b := newBench(t, "u1")
	j := b.job("a", 0)
	j.Size.MilliCPU = 20000
	_, failure := b.scheduler.Offer(b.now, j)
	require.NotNil(t, failure)
	require.Contains(t, failure.Reason, "no upstream of service rota has 20000")
}

// A job whose origin was dropped and that is offered again must not start a
// task whose first run is still being stopped.
func TestTaskWaitsForItsFadingRun(t *testing.T) {
	b := newBench(t, "u1", "u2")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	first := b.starts[0].Upstream.Name
	b.act(b.scheduler.AbandonJobsOf(b.now, "front", 2))
	require.Len(t, b.stops, 1)
	again := b.job("a", 0)
	again.OriginIncarnation = 2
	b.offer(again)
	require.Empty(t, b.place(), "the first run goes on")
	result, clock := b.upstreams[first].Stop(b.now, b.stops[0])
	actions, _, _ := b.scheduler.HandleStopResult(b.now, b.stops[0], result, clock)
	b.act(actions)
	require.Empty(t, b.place(), "the stop is under way")
	b.wait(50 * time.Millisecond)
	b.lookAll()
	starts := b.place()
	require.Len(t, starts, 1)
	require.Equal(t, 2, starts[0].Run.Attempt)
}

// A job that another dispatcher may have started waits for an answer of every
// upstream to a look that was sent after the offer.
func TestResumedJobWaitsForASweep(t *testing.T) {
	b := newBench(t, "u1", "u2")
	b.wait(50 * time.Millisecond)
	j := b.job("a", 0)
	j.Resumed = true
	b.offer(j)
	b.wait(50 * time.Millisecond)
	require.Empty(t, b.place())
	b.lookAll()
	b.wait(20 * time.Millisecond)
	require.Len(t, b.place(), 1)
}

// A job of which nothing had started in the last term waits for no upstream, unless
// it was offered to another dispatcher since.
func TestUntouchedJobGoesOnInTheNextTerm(t *testing.T) {
	for name, c := range map[string]struct {
		started bool
		before  int64
		placed  int
	}{
		"nothing started":                   {false, 100, 1},
		"offered to another one since":      {false, 101, 0},
		"started, and what runs is unknown": {true, 100, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "u1")
			b.offer(b.job("a", 0))
			if c.started {
				require.Len(t, b.scheduler.Place(b.now), 1)
			}
			b.scheduler.BeginTerm(b.now, 200, resumeTime)
			silent := scheduler.Upstream{Name: "u2", Service: "s", Size: scheduler.Size{MilliCPU: 16000}}
			b.scheduler.SetUpstreams(b.now, []scheduler.Upstream{b.upstreams["u1"].Info, silent}, false)
			j := b.job("a", 0)
			j.Resumed, j.PreviousToken = true, c.before
			b.offer(j)
			b.lookAll()
			require.Len(t, b.place(), c.placed)
		})
	}
}

// Where others may dispatch, a look waits at every upstream: one whose process is
// replaced is claimed anew before they can use it unseen.
func TestIdleUpstreamIsWatchedWhileRivalsArePresent(t *testing.T) {
	b := newBench(t, "u1")
	b.pass(time.Second)
	_, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.False(t, due)
	b.scheduler.SetUnreachablePeers(true)
	look, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.True(t, due)
	require.Positive(t, look.Wait)
}

// What runs in a new process is known from its first answer, also where the old one has
// answered a look that was sent later.
func TestNewProcessAnswersAnOlderLook(t *testing.T) {
	b := newBench(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	older, due, _, _ := b.scheduler.NextPoll(b.now, "u1")
	require.True(t, due)
	b.now = b.now.Add(time.Millisecond)
	newer, due := b.scheduler.ImmediatePoll(b.now, "u1")
	require.True(t, due)
	result, report := b.upstreams["u1"].Poll(b.now, newer)
	b.act(b.scheduler.HandlePollResult(b.now, newer, result, report))
	report = scheduler.PollReport{Clock: 1000, ProcessStart: report.ProcessStart + 1000, Running: []scheduler.Running{{Run: scheduler.Run{Task: scheduler.Task{Job: "other"}, Attempt: 1}}}}
	b.act(b.scheduler.HandlePollResult(b.now, older, scheduler.PollAnswered, report))
	b.offer(b.job("b", 0))
	require.Empty(t, b.scheduler.Place(b.now), "what runs there takes an unknown size")
}

// A run that an earlier dispatcher started is adopted by the job that its origin
// offers again.
func TestRunOfAnEarlierDispatcherIsAdopted(t *testing.T) {
	b := newBench(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.scheduler.BeginTerm(b.now, 200, resumeTime)
	b.lookAll()
	j := b.job("a", 0)
	j.Resumed = true
	b.offer(j)
	b.lookAll()
	b.pass(1100 * time.Millisecond)
	require.Len(t, b.starts, 1, "the run is not started anew")
	require.Equal(t, []scheduler.Notice{{Origin: "front", Task: scheduler.Task{Job: "a"}, Kind: scheduler.TaskDone}}, b.notices)
}

func TestRunThatNobodyWantsIsStopped(t *testing.T) {
	b := newBench(t, "u1")
	b.offer(b.job("a", 0))
	b.place()
	b.scheduler.BeginTerm(b.now, 200, resumeTime)
	b.lookAll()
	b.offer(b.job("b", 0, 1))
	require.Empty(t, b.place(), "what runs there takes an unknown size")
	b.pass(800 * time.Millisecond)
	require.Len(t, b.stops, 1)
	require.Equal(t, "no job wants it", b.stops[0].Reason)
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	b := newBench(t, "u1", "u2")
	for _, u := range b.upstreams {
		u.Fail = true
	}
	b.offer(b.job("a", 0))
	for range 2 {
		require.Len(t, b.place(), 1)
		b.pass(1100 * time.Millisecond)
	}
	require.NotEqual(t, b.starts[0].Upstream.Name, b.starts[1].Upstream.Name, "a failed task goes elsewhere")
	require.Equal(t, []scheduler.Notice{{Origin: "front", Task: scheduler.Task{Job: "a"}, Kind: scheduler.TaskFailed}}, b.notices)
}

// A start without an answer takes its room until a stop was answered and a
// later look does not show it.
func TestUnansweredStartKeepsItsRoom(t *testing.T) {
	b := newBench(t, "u1")
	b.offer(b.job("a", 0, 1, 2))
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 2)
	for _, s := range starts {
		b.act(b.scheduler.HandleStartResult(b.now, s, scheduler.OrderUnanswered, 0))
	}
	require.Len(t, b.stops, 2)
	b.lookAll()
	require.Empty(t, b.place())
	for _, stop := range b.stops {
		result, clock := b.upstreams["u1"].Stop(b.now, stop)
		actions, _, _ := b.scheduler.HandleStopResult(b.now, stop, result, clock)
		b.act(actions)
	}
	b.wait(20 * time.Millisecond)
	look, ok := b.scheduler.ImmediatePoll(b.now, "u1")
	require.True(t, ok)
	result, report := b.upstreams["u1"].Poll(b.now, look)
	b.act(b.scheduler.HandlePollResult(b.now, look, result, report))
	next := b.place()
	require.Len(t, next, 2)
	require.Equal(t, 2, next[0].Run.Attempt)
	require.Equal(t, 2, next[1].Run.Attempt)
}

func TestDrainingUpstreamGetsNothing(t *testing.T) {
	b := newBench(t, "u1")
	info := b.upstreams["u1"].Info
	info.Draining = true
	b.scheduler.SetUpstreams(b.now, []scheduler.Upstream{info}, false)
	b.offer(b.job("a", 0))
	require.Empty(t, b.place())
}

// A job whose answer would come too late to be of use is refused at once if it
// has not started, and truthfully.
func TestWorthlessJobIsRefused(t *testing.T) {
	b := newBench(t, "u1")
	b.offer(b.job("a", 0, 1))
	b.place()
	b.offer(b.job("b", 0))
	late := b.job("b", 0)
	aim := time.Duration(late.Stretch*float64(late.Estimate)) + late.Slack
	for range int(3*aim/(100*time.Millisecond)) + 2 {
		b.pass(100 * time.Millisecond)
	}
	require.Contains(t, b.notices, scheduler.Notice{
		Origin: "front", Task: scheduler.Task{Job: "b"}, Kind: scheduler.JobNotRun, Code: verdict.CodeOverloaded,
		Reason: "the queue was longer than the time in which an answer is of use", RetryAfter: time.Second,
	})
}

// An order that is under way while the upstream's process is replaced may reach
// the new process.
func TestOrderMayReachANewProcess(t *testing.T) {
	b := newBench(t, "u1", "u2")
	b.offer(b.job("a", 0))
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	name := starts[0].Upstream.Name
	b.pass(20 * time.Millisecond)
	b.upstreams[name].Restart(b.now)
	look, ok := b.scheduler.ImmediatePoll(b.now, name)
	require.True(t, ok)
	result, report := b.upstreams[name].Poll(b.now, look)
	b.act(b.scheduler.HandlePollResult(b.now, look, result, report))
	require.Empty(t, b.place(), "the order may still be carried out")
}

// What runs on an upstream that does not answer is over when its lease is: looks
// without an answer do not prolong it.
func TestRunsOnASilentUpstreamAreOverWithTheirLease(t *testing.T) {
	b := newBench(t, "u1", "u2")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	silent := b.starts[0].Upstream.Name
	b.lookAll()
	for range 14 {
		b.wait(100 * time.Millisecond)
		for name, u := range b.upstreams {
			look, due, _, _ := b.scheduler.NextPoll(b.now, name)
			switch {
			case !due:
			case name == silent:
				b.act(b.scheduler.HandlePollResult(b.now, look, scheduler.PollUnanswered, scheduler.PollReport{}))
			default:
				result, report := u.Poll(b.now, look)
				b.act(b.scheduler.HandlePollResult(b.now, look, result, report))
			}
		}
	}
	starts := b.place()
	require.Len(t, starts, 1, "the task starts anew elsewhere")
	require.NotEqual(t, silent, starts[0].Upstream.Name)
}

// A dispatcher that is not heard may claim an upstream that does not answer here,
// and renew what runs there until it stops it.
func TestRunThatARivalRenewsIsNotStartedAnew(t *testing.T) {
	b := newBench(t, "u1", "u2")
	j := b.job("a", 0)
	b.offer(j)
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	name := starts[0].Upstream.Name
	u := b.upstreams[name]
	result, clock := u.Start(b.now, starts[0], j.Size, time.Hour)
	b.act(b.scheduler.HandleStartResult(b.now, starts[0], result, clock))
	b.wait(20 * time.Millisecond)
	b.lookAll()

	rival := scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100})
	for step := range 100 {
		b.wait(50 * time.Millisecond)
		if look, due, _, _ := b.scheduler.NextPoll(b.now, name); due {
			b.act(b.scheduler.HandlePollResult(b.now, look, scheduler.PollUnanswered, scheduler.PollReport{}))
		}
		switch {
		case step == 8:
			b.scheduler.SetUnreachablePeers(true)
		case step == 12:
			rival.BeginTerm(b.now, 200, resumeTime)
			rival.SetUpstreams(b.now, []scheduler.Upstream{u.Info}, true)
		}
		if step >= 12 {
			if look, due, _, _ := rival.NextPoll(b.now, name); due {
				result, report := u.Poll(b.now, look)
				rival.HandlePollResult(b.now, look, result, report)
			}
			for _, stop := range rival.Tick(b.now).Stops {
				u.Stop(b.now, stop)
			}
		}
		if len(b.scheduler.Place(b.now)) > 0 {
			require.Zero(t, u.Running(), "the first run goes on at its upstream, %d ms after the cut", 50*step)
			return
		}
	}
	t.Fatal("the task was not started anew")
}
