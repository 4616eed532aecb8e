package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// The tests of this file send a job again while a run of an earlier submission is left.

// advanceWithout moves time forward and executes all due polls. Those of the given
// upstreams get no response.
func (b *testHarness) advanceWithout(d time.Duration, silent ...string) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.advance(20 * time.Millisecond)
		b.pollWithout(silent...)
	}
}

// pollWithout executes all due polls. Those of the given upstreams get no response.
func (b *testHarness) pollWithout(silent ...string) {
	for name, u := range b.upstreams {
		poll, due, _, _ := b.scheduler.NextPoll(b.now, name)
		if !due {
			continue
		}
		result, report := scheduler.PollUnanswered, scheduler.PollReport{}
		if !slices.Contains(silent, name) {
			result, report = u.Poll(b.now, poll)
		}
		b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
	}
}

// runsOf returns the upstreams on which a task is at work.
func (b *testHarness) runsOf(task scheduler.Task) (names []string) {
	for name, u := range b.upstreams {
		if u.HasRun(task) {
			names = append(names, name)
		}
	}
	return names
}

// Review case 1: an upstream that was cut off lists the end of a run of an earlier
// submission, which had the same attempt number as the run that is at work.
func TestEndOfEarlierSubmissionEndsRunOfTheNextOne(t *testing.T) {
	b := newTestHarness(t, "u1", "u2", "u3")
	task := scheduler.Task{Job: "a", Index: 0}
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	cut := b.starts[0].Upstream.Name
	b.advanceWithout(1200*time.Millisecond, cut)
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	b.advanceWithout(200*time.Millisecond, cut)
	require.Empty(t, b.runsOf(task))

	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.advanceWithPolls(300 * time.Millisecond) // the cut is over
	b.place()
	require.Len(t, b.runsOf(task), 1)
	require.Len(t, b.starts, 2, "the run of the second submission goes on")
	b.advanceWithPolls(time.Second)
	require.Len(t, b.notices, 2, "a lost run and the end of the task: %v", b.notices)
	require.Equal(t, scheduler.TaskDone, b.notices[1].Kind)
}

// A run of the next submission must have a higher attempt number than any earlier one:
// an upstream rejects it otherwise, and late stop orders for earlier runs would end it.
func TestAttemptsStartAgainWithTheNextSubmission(t *testing.T) {
	b := newTestHarness(t, "u1")
	for attempt := range 3 {
		b.offer(b.job("a", 0))
		starts := b.place()
		require.Len(t, starts, 1)
		require.Equal(t, attempt+1, starts[0].Run.Attempt)
		b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
		require.Len(t, b.stops, attempt+1)
		stop := b.stops[attempt]
		result, clock := b.upstreams["u1"].Stop(b.now, stop)
		a, _, _ := b.scheduler.HandleStopResult(b.now, stop, result, clock)
		b.record(a)
		b.advanceWithPolls(time.Second)
	}
}

// A job whose first submission has started tasks must not be said not to have run, even if
// the second one starts none.
func TestResubmissionIsSaidNotToHaveRun(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	b.executeStops()
	b.advanceWithPolls(300 * time.Millisecond)
	b.offer(b.job("b", 0, 1)) // leaves no capacity
	require.Len(t, b.place(), 2)
	again := b.job("a", 0)
	again.Deadline = b.now.Add(500 * time.Millisecond)
	b.offer(again)
	require.Empty(t, b.place())
	b.advanceWithPolls(600 * time.Millisecond)
	require.Len(t, b.notices, 1)
	require.Equal(t, scheduler.JobAbandoned, b.notices[0].Kind)
}

// The withdrawal of the first submission is delayed until the job has come to the same VM
// again.
func TestDelayedWithdrawalEndsNextSubmission(t *testing.T) {
	b := newTestHarness(t, "u1")
	first, second := b.job("a", 0), b.job("a", 0)
	first.Submission, second.Submission = 1, 2
	b.offer(first)
	require.Len(t, b.place(), 1)
	b.offer(second)
	b.record(b.scheduler.Withdraw(b.now, "front", "a", first.Submission))
	require.Empty(t, b.stops)
	b.advanceWithPolls(1100 * time.Millisecond)
	require.Len(t, b.notices, 1)
	require.Equal(t, scheduler.TaskDone, b.notices[0].Kind)
	require.Equal(t, second.Submission, b.notices[0].Submission)
}

// beginTerm starts a term under the next token.
func (b *testHarness) beginTerm(token int64) {
	b.scheduler.BeginTerm(b.now, token, resumeTimeout)
}

// Review case 3: a job is sent again after the terms of two dispatchers, while a run of its
// first submission is kept alive until an origin offers the job again.
func TestResubmissionStartsBesideOrphan(t *testing.T) {
	task := scheduler.Task{Job: "a", Index: 0}
	for _, age := range []time.Duration{0, 190 * time.Millisecond, 210 * time.Millisecond, 240 * time.Millisecond, 260 * time.Millisecond, 280 * time.Millisecond, 300 * time.Millisecond, 690 * time.Millisecond, 710 * time.Millisecond, 730 * time.Millisecond} {
		b := newTestHarness(t, "u1", "u2", "u3")
		b.offer(b.job("a", 0))
		require.Len(t, b.place(), 1)
		b.beginTerm(200)
		b.pollAll()
		for end := b.now.Add(age); b.now.Before(end); {
			b.advance(10 * time.Millisecond)
			b.pollAll()
		}
		b.offer(b.job("a", 0))
		b.place()
		require.LessOrEqual(t, len(b.runsOf(task)), 1, "the job was sent again after %v", age)
		for range 150 {
			b.advance(10 * time.Millisecond)
			b.pollAll()
			b.place()
			b.executeStops()
			require.LessOrEqual(t, len(b.runsOf(task)), 1, "the job was sent again after %v", age)
		}
		require.Equal(t, scheduler.TaskDone, b.notices[len(b.notices)-1].Kind, "the job was sent again after %v", age)
	}
}

// executeStops executes the stop orders that were not executed yet.
func (b *testHarness) executeStops() {
	stops := b.stops
	b.stops = nil
	for _, stop := range stops {
		result, clock := b.upstreams[stop.Upstream.Name].Stop(b.now, stop)
		a, _, _ := b.scheduler.HandleStopResult(b.now, stop, result, clock)
		b.record(a)
	}
}

// A job that is offered as new may have been sent before to another VM. Its runs are known
// only once every upstream has answered in the term, or their leases have expired.
func TestResubmissionStartsBeforeUpstreamsHaveAnswered(t *testing.T) {
	task := scheduler.Task{Job: "a", Index: 0}
	for _, silence := range []time.Duration{0, 300 * time.Millisecond, time.Hour} {
		b := newTestHarness(t, "u1", "u2", "u3")
		b.offer(b.job("a", 0))
		require.Len(t, b.place(), 1)
		silent := b.starts[0].Upstream.Name
		b.beginTerm(200)
		b.pollWithout(silent)
		b.offer(b.job("a", 0))
		for began := b.now; b.now.Sub(began) < 1500*time.Millisecond; {
			b.place()
			require.LessOrEqual(t, len(b.runsOf(task)), 1)
			b.advance(10 * time.Millisecond)
			if b.now.Sub(began) < silence {
				b.pollWithout(silent)
			} else {
				b.pollAll()
			}
		}
		b.place()
		if silence == time.Hour {
			require.Len(t, b.starts, 2, "the lease has expired")
		} else {
			require.Len(t, b.starts, 1, "the run goes on")
		}
	}
}

// While a run of an earlier submission is active, the failure of the present one must not
// start the task again.
func TestRetryStartsBesideOrphan(t *testing.T) {
	task := scheduler.Task{Job: "a", Index: 0}
	b := newTestHarness(t, "u1", "u2", "u3")
	b.offer(b.job("a", 0))
	starts := b.place()
	require.Len(t, starts, 1)
	first := starts[0].Upstream.Name
	second := "u1"
	if first == second {
		second = "u2"
	}
	// Another dispatcher has started the task as well; this one finds its run.
	orphan := scheduler.Start{Upstream: b.upstreams[second].Info, Token: 100, Run: scheduler.Run{Task: task, Attempt: 7}, Until: b.upstreams[second].Clock(b.now) + 400}
	result, _ := b.upstreams[second].Start(b.now, orphan, scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Hour)
	require.Equal(t, scheduler.OrderDone, result)
	poll, ok := b.scheduler.ImmediatePoll(b.now, second)
	require.True(t, ok)
	answered, report := b.upstreams[second].Poll(b.now, poll)
	b.record(b.scheduler.HandlePollResult(b.now, poll, answered, report))
	b.upstreams[first].Fail = true
	for range 130 {
		b.advance(10 * time.Millisecond)
		b.pollAll()
		b.executeStops()
		b.place()
		if !b.upstreams[first].HasRun(task) {
			require.LessOrEqual(t, len(b.runsOf(task)), 1)
		}
	}
	require.Len(t, b.starts, 2)
	require.Equal(t, 8, b.starts[1].Run.Attempt)
}

// The origin of a job can fall silent. Nobody waits for its runs after the deadline, and the
// caller may send the job again to a VM that has another dispatcher.
func TestRunOutlivesCallersDeadline(t *testing.T) {
	b := newTestHarness(t, "u1")
	j := b.job("a", 0)
	j.Deadline = b.now.Add(300 * time.Millisecond)
	b.offer(j)
	require.Len(t, b.place(), 1)
	b.advanceWithPolls(600 * time.Millisecond)
	b.executeStops()
	b.advanceWithPolls(100 * time.Millisecond)
	require.Empty(t, b.runsOf(scheduler.Task{Job: "a", Index: 0}))
	require.Equal(t, scheduler.JobAbandoned, b.notices[len(b.notices)-1].Kind)
}

// A job waits when the term of its dispatcher ends. Meanwhile its caller sends it again to
// another VM, whose dispatcher starts it on an upstream that has not answered since.
func TestUnstartedJobStartsBesideRunOfAnotherDispatcher(t *testing.T) {
	task := scheduler.Task{Job: "a", Index: 0}
	for _, silence := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond} {
		b := newTestHarness(t, "u1", "u2")
		b.offer(b.job("a", 0))
		other := scheduler.Start{Upstream: b.upstreams["u2"].Info, Token: 150, Run: scheduler.Run{Task: task, Attempt: 1}, Until: b.upstreams["u2"].Clock(b.now) + 400}
		result, _ := b.upstreams["u2"].Start(b.now, other, scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
		require.Equal(t, scheduler.OrderDone, result)
		b.beginTerm(200)
		again := b.job("a", 0)
		again.Resumed, again.PreviousToken = true, 100
		b.offer(again)
		for began := b.now; b.now.Sub(began) < 1300*time.Millisecond; {
			if b.now.Sub(began) < silence {
				b.pollWithout("u2")
			} else {
				b.pollAll()
			}
			b.place()
			require.LessOrEqual(t, len(b.runsOf(task)), 1, "u2 was silent for %v", silence)
			b.advance(10 * time.Millisecond)
		}
		require.Equal(t, scheduler.TaskDone, b.notices[len(b.notices)-1].Kind)
	}
}

// startElsewhere makes another dispatcher, which an upstream's new process does not know to
// be outdated, start a run there.
func (b *testHarness) startElsewhere(name string, run scheduler.Run, work time.Duration) {
	u := b.upstreams[name]
	b.now = b.now.Add(10 * time.Millisecond)
	u.Restart(b.now)
	start := scheduler.Start{Upstream: u.Info, Token: 50, Run: run, Until: u.Clock(b.now) + 5000}
	result, _ := u.Start(b.now, start, scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, work)
	require.Equal(b.t, scheduler.OrderDone, result)
}

// "old attempt" does not tell whether the run that the upstream knows is over.
func TestTaskRejectedAsOldAttemptStartsBesideItsRun(t *testing.T) {
	task := scheduler.Task{Job: "a", Index: 0}
	for _, c := range []struct {
		work, silence time.Duration
		starts        int
	}{
		{time.Second, 0, 1},                      // the run is found and adopted
		{time.Second, 300 * time.Millisecond, 1}, // the same, once polls are answered
		{10 * time.Second, 10 * time.Second, 2},  // its lease expires
		{15 * time.Millisecond, 0, 1},            // its end is found
		{15 * time.Millisecond, 300 * time.Millisecond, 1},
	} {
		b := newTestHarness(t, "u1", "u2")
		b.offer(b.job("a", 0))
		starts := b.scheduler.Place(b.now)
		require.Len(t, starts, 1)
		name := starts[0].Upstream.Name
		b.startElsewhere(name, scheduler.Run{Task: task, Attempt: 3}, c.work)
		b.advance(20 * time.Millisecond)
		result, clock := b.upstreams[name].Start(b.now, starts[0], scheduler.Size{MilliCPU: 7000, MemoryMB: 64}, time.Second)
		require.Equal(t, scheduler.OrderOldAttempt, result)
		b.starts = starts
		b.record(b.scheduler.HandleStartResult(b.now, starts[0], result, clock))
		for began := b.now; b.now.Sub(began) < 2*time.Second; {
			b.place()
			require.LessOrEqual(t, len(b.runsOf(task)), 1, "%+v", c)
			b.advance(10 * time.Millisecond)
			if b.now.Sub(began) < c.silence {
				b.pollWithout(name)
			} else {
				b.pollAll()
			}
		}
		require.Len(t, b.starts, c.starts, "%+v", c)
		if c.starts == 1 {
			require.Equal(t, scheduler.TaskDone, b.notices[len(b.notices)-1].Kind, "%+v", c)
			require.Zero(t, b.scheduler.Waiting())
		}
	}
}

// The run of another dispatcher succeeds while the task runs here too. When the run here
// fails, the task is done.
func TestTaskIsRetriedAfterAnotherDispatchersRunSucceeded(t *testing.T) {
	task := scheduler.Task{Job: "a", Index: 0}
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0))
	starts := b.place()
	require.Len(t, starts, 1)
	first, second := starts[0].Upstream.Name, "u1"
	if first == second {
		second = "u2"
	}
	b.upstreams[first].Fail = true
	b.startElsewhere(second, scheduler.Run{Task: task, Attempt: 3}, 200*time.Millisecond)
	poll, ok := b.scheduler.ImmediatePoll(b.now, second)
	require.True(t, ok)
	result, report := b.upstreams[second].Poll(b.now, poll)
	b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
	for range 130 {
		b.advance(10 * time.Millisecond)
		b.pollAll()
		b.place()
	}
	require.Len(t, b.starts, 1)
	require.Equal(t, scheduler.TaskDone, b.notices[len(b.notices)-1].Kind)
	require.Zero(t, b.scheduler.Waiting())
}

// An earlier dispatcher that has not heard of the present term renews the lease of a run on
// an upstream that this dispatcher cannot reach. It reports that it dispatches. Its caller sends the job again to a VM that
// offers it here, as new.
func TestEarlierDispatcherRenewsAfterTermBegan(t *testing.T) {
	for _, unaware := range []time.Duration{0, 100 * time.Millisecond, 290 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		t.Run(unaware.String(), func(t *testing.T) {
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
			b.pollWithout(silent.Info.Name)
			b.offer(b.job("a", 0))
			task := scheduler.Task{Job: "a", Index: 0}
			for began := b.now; b.now.Sub(began) < 4*time.Second; {
				if b.now.Sub(began) < unaware {
					b.scheduler.NotePeerDispatching(b.now)
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

// A dispatcher that begins one term after the other finds an orphan anew each time, and
// renews it.
func TestTermsInSuccessionRenewOrphan(t *testing.T) {
	b := newTestHarness(t, "u1")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.upstreams["u1"].Speed = 0.1
	began := b.now
	for token := int64(200); token < 1200; token += 100 {
		b.beginTerm(token)
		for range 60 { // 0.6 s
			b.advance(10 * time.Millisecond)
			b.pollAll()
			b.executeStops()
		}
	}
	require.Empty(t, b.runsOf(scheduler.Task{Job: "a", Index: 0}), "after %v", b.now.Sub(began))
}

// A dispatcher that was paused accepts a job in its old term, which ends without a start of
// the job. Meanwhile the next dispatcher has started the job for another origin. In the next
// term, either origin may offer the job first.
func TestJobAcceptedAfterPauseStartsBesideRunOfNextDispatcher(t *testing.T) {
	for _, origin := range []string{"front", "other"} {
		for _, silence := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, time.Hour} {
			testJobAcceptedAfterPause(t, origin, silence)
		}
	}
}

// testJobAcceptedAfterPause replays the hand-overs, with the given origin and the given
// silence of the upstream that has the run.
func testJobAcceptedAfterPause(t *testing.T, origin string, silence time.Duration) {
	task := scheduler.Task{Job: "a", Index: 0}
	b := newTestHarness(t, "u1", "u2", "u3")
	next := b.dispatcherWithToken(150)
	next.offer(b.job("a", 0))
	require.Len(t, next.place(), 1)
	silent := next.starts[0].Upstream.Name

	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1, "the upstream rejects the order of the old term")
	require.Equal(t, []string{silent}, b.runsOf(task))
	b.beginTerm(200)
	again := b.job("a", 0)
	again.Resumed, again.PreviousToken, again.Origin = true, 100, origin
	b.offer(again)
	for began := b.now; b.now.Sub(began) < resumeTimeout+600*time.Millisecond; {
		if b.now.Sub(began) < silence {
			b.pollWithout(silent)
		} else {
			b.pollAll()
		}
		b.place()
		require.LessOrEqual(t, len(b.runsOf(task)), 1, "origin %s, %s answers after %v", origin, silent, silence)
		b.advance(10 * time.Millisecond)
	}
	if silence == time.Hour {
		require.Len(t, b.starts, 2, "the lease has expired")
	} else {
		require.Len(t, b.starts, 1, "the run goes on")
	}
}

// dispatcherWithToken returns the harness of another dispatcher of the same upstreams, which
// has claimed them with a token.
func (b *testHarness) dispatcherWithToken(token int64) *testHarness {
	other := &testHarness{t: b.t, now: b.now, upstreams: b.upstreams, scheduler: scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100})}
	var list []scheduler.Upstream
	for _, u := range b.upstreams {
		list = append(list, u.Info)
	}
	other.beginTerm(token)
	other.scheduler.SetUpstreams(other.now, list, false)
	other.pollAll()
	other.record(other.scheduler.Tick(other.now))
	return other
}
