package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/stretchr/testify/require"
)

// crashTime is the time from the start of a deadly task to the crash of its upstream,
// downTime the time until a new process runs there.
const (
	crashTime = 10 * time.Millisecond
	downTime  = 3 * time.Second
)

// crashHarness is a testHarness whose upstreams can crash. While one is down, calls to
// it are refused.
type crashHarness struct {
	*testHarness
	deadly    map[scheduler.Task]bool
	downUntil map[string]time.Time
	crashes   map[scheduler.Task]int // by deadly task
	together  []scheduler.Run        // other runs that ended with a deadly one
	running   map[string]map[scheduler.Run]bool
}

func newCrashHarness(t *testing.T, names ...string) *crashHarness {
	h := &crashHarness{
		testHarness: newTestHarness(t, names...), deadly: map[scheduler.Task]bool{}, downUntil: map[string]time.Time{},
		crashes: map[scheduler.Task]int{}, running: map[string]map[scheduler.Run]bool{},
	}
	for name, u := range h.upstreams {
		h.running[name] = map[scheduler.Run]bool{}
		u.OnStart = func(_ time.Time, run scheduler.Run) { h.running[name][run] = true }
		u.OnCompletion = func(_ time.Time, run scheduler.Run, _ scheduler.CompletionKind) { delete(h.running[name], run) }
	}
	return h
}

func (h *crashHarness) crash(name string) {
	h.upstreams[name].Restart(h.now)
	h.downUntil[name] = h.now.Add(downTime)
	h.record(h.scheduler.HandleSuspectedCrash(h.now, name, h.upstreams[name].Info.Address))
}

// step places tasks, lets deadly ones crash their upstreams and polls, for crashTime.
func (h *crashHarness) step() {
	for _, s := range h.scheduler.Place(h.now) {
		h.starts = append(h.starts, s)
		if h.now.Before(h.downUntil[s.Upstream.Name]) {
			h.record(h.scheduler.HandleStartResult(h.now, s, scheduler.OrderNoProcess, 0))
			continue
		}
		result, clock := h.upstreams[s.Upstream.Name].Start(h.now, s, scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
		h.record(h.scheduler.HandleStartResult(h.now, s, result, clock))
	}
	h.advance(crashTime)
	for name, runs := range h.running {
		var killers []scheduler.Task
		for run := range runs {
			if h.deadly[run.Task] {
				killers = append(killers, run.Task)
			}
		}
		if len(killers) == 0 {
			continue
		}
		for _, task := range killers {
			h.crashes[task]++
		}
		for run := range runs {
			if !h.deadly[run.Task] {
				h.together = append(h.together, run)
			}
		}
		h.crash(name)
	}
	for name, u := range h.upstreams {
		for range 2 {
			poll, due, _, _ := h.scheduler.NextPoll(h.now, name)
			switch {
			case !due:
			case h.now.Before(h.downUntil[name]):
				h.record(h.scheduler.HandlePollResult(h.now, poll, scheduler.PollNoProcess, scheduler.PollReport{}))
			default:
				result, report := u.Poll(h.now, poll)
				h.record(h.scheduler.HandlePollResult(h.now, poll, result, report))
			}
		}
	}
}

func (h *crashHarness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.step()
	}
}

// noticesOf returns the kinds of the notices about the end of a job and its tasks.
func (h *crashHarness) noticesOf(job string) (kinds []scheduler.NoticeKind) {
	for _, n := range h.notices {
		if n.Task.Job == job && n.Kind != scheduler.TaskRetried {
			kinds = append(kinds, n.Kind)
		}
	}
	return kinds
}

func upstreamNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("u%d", i))
	}
	return names
}

// longJob returns a job whose caller waits for half a minute.
func (h *crashHarness) longJob(id string, tasks ...int) scheduler.Job {
	j := h.job(id, tasks...)
	j.Deadline = h.now.Add(30 * time.Second)
	j.Stretch = 20
	return j
}

func TestTaskCrashesOneUpstreamAfterTheOther(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(12)...)
	killer := scheduler.Task{Job: "a", Index: 0}
	h.deadly[killer] = true
	h.offer(h.longJob("a", 0, 1))
	h.run(20 * time.Second)
	require.Equal(t, 2, h.crashes[killer], "the task is given up after two crashes")
	require.Contains(t, h.noticesOf("a"), scheduler.TaskFailed)
}

// A new process shows that the runs of the one before are over.
func TestRunsOfReplacedProcessWaitForTheirLease(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(3)...)
	h.offer(h.longJob("a", 0))
	h.run(50 * time.Millisecond)
	require.Len(t, h.starts, 1)
	h.crash(h.starts[0].Upstream.Name)
	clear(h.downUntil) // another process is there at once
	h.run(100 * time.Millisecond)
	require.Len(t, h.starts, 2, "nothing runs where the process was replaced")
}

// Review case 2: a cut that refuses connections, and a reset of the idle one, look like the
// end of the upstream's process, which works on. Nothing may start elsewhere before the
// lease has ended; the suspicion stops its renewal.
func TestRefusingCutEndsRuns(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(3)...)
	h.offer(h.longJob("a", 0))
	h.run(50 * time.Millisecond)
	require.Len(t, h.starts, 1)
	cut := h.upstreams[h.starts[0].Upstream.Name]
	h.record(h.scheduler.HandleSuspectedCrash(h.now, cut.Info.Name, cut.Info.Address))
	h.downUntil[cut.Info.Name] = h.now.Add(downTime)
	cutAt := h.now
	for len(h.starts) == 1 {
		h.step()
		require.Less(t, h.now.Sub(cutAt), 1200*time.Millisecond, "a lease is at most 1 s long by a clock that may be 2 % slow")
	}
	require.Zero(t, cut.Running(), "the run went on for %v", h.now.Sub(cutAt))
}

// A suspected upstream that answers again has not crashed: its run goes on, and the task is
// not accused.
func TestHealedCutAccusesItsTasks(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(3)...)
	h.offer(h.longJob("a", 0))
	h.run(50 * time.Millisecond)
	require.Len(t, h.starts, 1)
	cut := h.upstreams[h.starts[0].Upstream.Name]
	h.record(h.scheduler.HandleSuspectedCrash(h.now, cut.Info.Name, cut.Info.Address))
	h.run(2 * time.Second)
	require.Len(t, h.starts, 1)
	require.Equal(t, []scheduler.NoticeKind{scheduler.TaskDone}, h.noticesOf("a"))
	require.Zero(t, h.lastHistory(scheduler.Task{Job: "a"}))
}

// An order that was pending when the process ended may have reached the next process.
func TestAnsweredOrderIsLostWithTheProcessBefore(t *testing.T) {
	for _, result := range []scheduler.OrderResult{scheduler.OrderDone, scheduler.OrderDisconnected} {
		b := newTestHarness(t, "u1", "u2")
		b.offer(b.job("a", 0))
		starts := b.scheduler.Place(b.now)
		require.Len(t, starts, 1)
		u := b.upstreams[starts[0].Upstream.Name]
		b.now = b.now.Add(10 * time.Millisecond)
		u.Restart(b.now)
		poll, ok := b.scheduler.ImmediatePoll(b.now, u.Info.Name)
		require.True(t, ok)
		b.record(b.scheduler.HandlePollResult(b.now, poll, scheduler.PollOtherProcess, scheduler.PollReport{}))
		_, clock := u.Start(b.now, starts[0], scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
		if result != scheduler.OrderDone {
			clock = 0
		}
		b.record(b.scheduler.HandleStartResult(b.now, starts[0], result, clock))
		require.Empty(t, b.scheduler.Place(b.now), "%v: the run is at work in the new process", result)
	}
}

func TestSuspectTakesRunsOfOtherJobsAlong(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(6)...)
	h.deadly[scheduler.Task{Job: "a", Index: 0}] = true
	for i := range 6 {
		h.offer(h.longJob(fmt.Sprintf("other%d", i), 0))
	}
	h.offer(h.longJob("a", 0))
	h.run(crashTime)
	for i := range 8 {
		h.offer(h.longJob(fmt.Sprintf("later%d", i), 0, 1))
	}
	h.run(5 * time.Second)
	require.LessOrEqual(t, len(h.together), 1, "only the first crash may end a run of another job: %v", h.together)
	for i := range 6 {
		require.Equal(t, []scheduler.NoticeKind{scheduler.TaskDone}, h.noticesOf(fmt.Sprintf("other%d", i)))
	}
}

func TestCrashesAreForgottenWhenTheCallerSendsTheJobAgain(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(12)...)
	killer := scheduler.Task{Job: "a", Index: 0}
	h.deadly[killer] = true
	for range 6 {
		h.offer(h.longJob("a", 0))
		for before := h.crashes[killer]; h.crashes[killer] == before && len(h.noticesOf("a")) == 0; {
			h.step()
		}
		h.record(h.scheduler.Withdraw(h.now, "front", "a", 0))
		h.run(1300 * time.Millisecond)
	}
	require.Equal(t, 2, h.crashes[killer])
	require.Contains(t, h.noticesOf("a"), scheduler.TaskFailed)
}

func TestRackFailureAccusesItsTasks(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(8)...)
	for i := range 8 {
		h.offer(h.longJob(fmt.Sprintf("a%d", i), 0, 1))
	}
	h.run(crashTime)
	require.Len(t, h.starts, 16)
	rack := upstreamNames(4)
	for _, name := range rack {
		h.upstreams[name].Restart(h.now)
		h.downUntil[name] = h.now.Add(downTime)
	}
	for _, name := range rack { // the crashes are detected one after the other
		h.record(h.scheduler.HandleSuspectedCrash(h.now, name, ""))
		h.step()
	}
	h.run(6 * time.Second)
	for i := range 8 {
		require.Equal(t, []scheduler.NoticeKind{scheduler.TaskDone, scheduler.TaskDone}, h.noticesOf(fmt.Sprintf("a%d", i)))
	}
}

func TestSilentUpstreamAccusesItsTasks(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(6)...)
	h.offer(h.longJob("a", 0))
	for range 3 {
		h.run(50 * time.Millisecond)
		silent := h.starts[len(h.starts)-1].Upstream.Name
		for end := h.now.Add(1200 * time.Millisecond); h.now.Before(end); { // no poll is answered
			h.advance(20 * time.Millisecond)
			if poll, due, _, _ := h.scheduler.NextPoll(h.now, silent); due {
				h.record(h.scheduler.HandlePollResult(h.now, poll, scheduler.PollUnanswered, scheduler.PollReport{}))
			}
		}
	}
	h.run(3 * time.Second)
	require.Equal(t, []scheduler.NoticeKind{scheduler.TaskDone}, h.noticesOf("a"))
}

// lastHistory returns the last history that was reported for a task, as its origin keeps it.
func (h *crashHarness) lastHistory(task scheduler.Task) (last history.Task) {
	for _, n := range h.notices {
		if n.Task == task {
			last = last.Merge(n.History)
		}
	}
	return last
}

func TestCrashesAreForgottenByTheNextDispatcher(t *testing.T) {
	killer := scheduler.Task{Job: "a", Index: 0}
	crashes := 0
	var known history.Task
	for range 4 { // each dispatcher is lost after the first crash that it reports
		h := newCrashHarness(t, upstreamNames(6)...)
		h.deadly[killer] = true
		j := h.longJob("a", 0)
		j.Histories = map[int]history.Task{0: known}
		h.offer(j)
		for range 200 {
			if h.lastHistory(killer) != (history.Task{}) {
				break
			}
			h.step()
		}
		crashes += h.crashes[killer]
		known = known.Merge(h.lastHistory(killer))
	}
	require.Equal(t, 2, crashes)
	require.Equal(t, history.Task{Crashes: 2, CrashesIsolated: 2, Suspicion: 1}, known)
}

func TestFailedRunsAreForgottenWhenTheCallerSendsTheJobAgain(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	for _, u := range b.upstreams {
		u.Fail = true
	}
	for range 3 {
		b.offer(b.job("a", 0))
		b.place()
		b.advanceWithPolls(1100 * time.Millisecond)
		b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	}
	require.Len(t, b.starts, 2, "MaxAttempts is 2")
	last := b.notices[len(b.notices)-1]
	require.Equal(t, scheduler.TaskFailed, last.Kind)
}

// A start order can reach a new process before a poll shows that the old one was replaced.
func TestRunOfNewProcessIsLostWithTheOldOne(t *testing.T) {
	for _, speed := range []float64{1, 1000} { // the run is active, or has completed
		b := newTestHarness(t, "u1", "u2", "u3")
		for _, u := range b.upstreams {
			u.Restart(b.now.Add(time.Millisecond))
			u.Speed = speed
		}
		b.now = b.now.Add(10 * time.Millisecond)
		b.offer(b.job("a", 0, 1, 2, 3))
		require.Len(t, b.place(), 4)
		for range 120 {
			b.advance(10 * time.Millisecond)
			b.pollAll()
			require.Empty(t, b.place(), "the runs are on the new processes")
		}
		require.Len(t, b.notices, 4)
	}
}

// Seed 1003 of the soak: another upstream crashed at the same time, and each restart of
// the task within the window for common causes was excused by the crash before.
func TestQuickCrashesExcuseEachOther(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(10)...)
	killer := scheduler.Task{Job: "a", Index: 0}
	h.deadly[killer] = true
	h.offer(h.longJob("b", 0, 1, 2))
	h.step()
	h.crash(h.starts[0].Upstream.Name)
	h.offer(h.longJob("a", 0))
	h.run(10 * time.Second)
	require.LessOrEqual(t, h.crashes[killer], 3)
	require.Contains(t, h.noticesOf("a"), scheduler.TaskFailed)
	require.NotContains(t, h.noticesOf("b"), scheduler.TaskFailed)
}

func TestTaskThatIsGivenUpIsSaidNotToHaveRun(t *testing.T) {
	h := newCrashHarness(t, upstreamNames(2)...)
	j := h.longJob("a", 0)
	j.Histories = map[int]history.Task{0: {Losses: 5}}
	h.offer(j)
	require.Equal(t, []scheduler.NoticeKind{scheduler.JobAbandoned}, h.noticesOf("a"))
}

// replaceProcess offers a task, gets its start executed or pending, and replaces the process
// of its upstream, which answers a poll that was sent to the process before.
func (b *testHarness) replaceProcess(confirmed bool) (u *schedulertest.Upstream, start scheduler.Start, clock int64) {
	for name := range b.upstreams {
		b.pollImmediately(name) // sets the clock
	}
	b.offer(b.job("a", 0))
	starts := b.scheduler.Place(b.now)
	require.Len(b.t, starts, 1)
	u = b.upstreams[starts[0].Upstream.Name]
	clock = u.Clock(b.now)
	if confirmed {
		b.record(b.scheduler.HandleStartResult(b.now, starts[0], scheduler.OrderDone, clock))
	}
	b.now = b.now.Add(10 * time.Millisecond)
	u.Restart(b.now)
	b.advance(20 * time.Millisecond)
	b.pollImmediately(u.Info.Name)
	return u, starts[0], clock
}

// pollImmediately executes a poll without a wait.
func (b *testHarness) pollImmediately(name string) {
	poll, ok := b.scheduler.ImmediatePoll(b.now, name)
	require.True(b.t, ok)
	result, report := b.upstreams[name].Poll(b.now, poll)
	b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
}

// cutWithRun starts a task on each of two upstreams. The response of the given one is lost,
// and it is cut off.
func (b *testHarness) cutWithRun(cut *schedulertest.Upstream) {
	j := b.job("b", 0, 1)
	j.Size.MilliCPU = 15000
	b.offer(j)
	for _, start := range b.scheduler.Place(b.now) {
		u, work := b.upstreams[start.Upstream.Name], 100*time.Millisecond
		if u == cut {
			work = 5 * time.Second
		}
		result, clock := u.Start(b.now, start, j.Size, work)
		if u == cut {
			result, clock = scheduler.OrderUnanswered, 0
		}
		b.record(b.scheduler.HandleStartResult(b.now, start, result, clock))
	}
	require.Equal(b.t, 1, cut.Running())
	for began := b.now; b.now.Sub(began) < 1500*time.Millisecond; {
		b.advance(10 * time.Millisecond)
		b.pollWithout(cut.Info.Name)
		b.place()
		for _, index := range j.Tasks {
			require.LessOrEqual(b.t, len(b.runsOf(scheduler.Task{Job: "b", Index: index})), 1, "after %v", b.now.Sub(began))
		}
	}
}

// A poll that was sent to the process before asks the new one, whose clock is behind, for
// the longest lease.
func TestRunsOfNewProcessOutliveTheirLease(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.advance(20 * time.Second)
	u, _, _ := b.replaceProcess(true)
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	b.cutWithRun(u)
}

// A response of the process before must not set the clock: leases that are computed from it
// are longer than the scheduler assumes.
func TestLateResponseOfReplacedProcessProlongsLeases(t *testing.T) {
	for _, late := range []string{"start", "stop"} {
		t.Run(late, func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2")
			b.advance(20 * time.Second)
			u, start, clock := b.replaceProcess(late == "stop")
			b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
			b.advance(400 * time.Millisecond)
			if late == "start" {
				b.record(b.scheduler.HandleStartResult(b.now, start, scheduler.OrderNoRoom, clock))
			} else {
				stop := scheduler.Stop{Upstream: u.Info, Token: start.Token, Run: start.Run, ProcessStart: start.ProcessStart}
				a, _, _ := b.scheduler.HandleStopResult(b.now, stop, scheduler.OrderDone, clock)
				b.record(a)
			}
			b.cutWithRun(u)
		})
	}
}

// A poll that a new process has answered can be older than the start orders that the
// process has executed since. Their runs are its own.
func TestReportOfNewProcessIsOlderThanItsRuns(t *testing.T) {
	b := newTestHarness(t, "u1", "u2", "u3", "u4")
	j := b.job("a", 0)
	j.Deadline, j.Stretch = b.now.Add(30*time.Second), 20
	b.offer(j)
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	task, u := starts[0].Run.Task, b.upstreams[starts[0].Upstream.Name]
	b.now = b.now.Add(10 * time.Millisecond)
	u.Restart(b.now)
	poll, ok := b.scheduler.ImmediatePoll(b.now, u.Info.Name)
	require.True(t, ok)
	answered, report := u.Poll(b.now, poll)
	result, clock := u.Start(b.now, starts[0], scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
	require.Equal(t, scheduler.OrderDone, result)
	b.record(b.scheduler.HandleStartResult(b.now, starts[0], result, clock))
	b.record(b.scheduler.HandlePollResult(b.now, poll, answered, report))
	other := b.job("b", 0, 1)
	other.Deadline, other.Stretch = b.now.Add(30*time.Second), 20
	b.offer(other)
	for range 30 {
		b.place()
		require.LessOrEqual(t, len(b.runsOf(task)), 1)
		b.advance(10 * time.Millisecond)
		for name, v := range b.upstreams { // the next answer of u is on its way
			if poll, due, _, _ := b.scheduler.NextPoll(b.now, name); due && v != u {
				result, report := v.Poll(b.now, poll)
				b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
			}
		}
	}
}
