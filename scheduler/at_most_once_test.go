package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// newAtMostOnceHarness returns a test harness with RetainCompletions.
func newAtMostOnceHarness(t *testing.T, names ...string) *testHarness {
	b := newTestHarness(t, names...)
	list := []scheduler.Upstream{}
	for _, u := range b.upstreams {
		list = append(list, u.Info)
	}
	b.scheduler = scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100, RetainCompletions: true})
	b.scheduler.BeginTerm(b.now, 200, resumeTimeout)
	b.scheduler.SetUpstreams(b.now, list, false)
	b.pollAll()
	b.record(b.scheduler.Tick(b.now))
	return b
}

func (b *testHarness) atMostOnceJob(id string, tasks ...int) scheduler.Job {
	j := b.job(id, tasks...)
	j.AtMostOnce = true
	return j
}

// TestLostRunAbandonsAtMostOnceJob guards against a second start of a task whose run
// was lost: with its process, or because its lease expired.
func TestLostRunAbandonsAtMostOnceJob(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(*testHarness, scheduler.Start)
		kind scheduler.NoticeKind
	}{
		"its process is replaced": {func(b *testHarness, s scheduler.Start) {
			b.now = b.now.Add(2 * time.Millisecond)
			b.upstreams[s.Upstream.Name].Restart(b.now)
		}, scheduler.JobAbandoned},
		"its lease expires": {func(b *testHarness, _ scheduler.Start) { b.advance(1500 * time.Millisecond) }, scheduler.JobAbandoned},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAtMostOnceHarness(t, "u1", "u2")
			b.offer(b.atMostOnceJob("a", 0))
			starts := b.place()
			require.Len(t, starts, 1)
			c.lose(b, starts[0])
			b.advanceWithPolls(3 * time.Second)
			b.place()
			require.Len(t, b.starts, 1, "no task starts twice")
			require.Len(t, b.notices, 1)
			require.Equal(t, c.kind, b.notices[0].Kind)
		})
	}
}

// TestStartWithoutEffectIsRetried guards against abandoning an at-most-once job
// because of a rejected start order: no run exists, so the task can start again.
func TestStartWithoutEffectIsRetried(t *testing.T) {
	for _, result := range []scheduler.OrderResult{
		scheduler.OrderUnhealthy, scheduler.OrderNoRoom, scheduler.OrderLate, scheduler.OrderOtherProcess,
	} {
		b := newAtMostOnceHarness(t, "u1", "u2")
		b.offer(b.atMostOnceJob("a", 0))
		starts := b.scheduler.Place(b.now)
		require.Len(t, starts, 1, result)
		b.record(b.scheduler.HandleStartResult(b.now, starts[0], result, 0))
		b.pollAll()
		require.Len(t, b.place(), 1, result)
		require.Empty(t, b.notices, result)
	}
}

// TestOldAttemptAbandonsAtMostOnceJob guards against retrying a start order that the
// upstream rejected because it has already seen a start of the task.
func TestOldAttemptAbandonsAtMostOnceJob(t *testing.T) {
	b := newAtMostOnceHarness(t, "u1")
	b.offer(b.atMostOnceJob("a", 0))
	b.record(b.scheduler.HandleStartResult(b.now, b.scheduler.Place(b.now)[0], scheduler.OrderOldAttempt, 0))
	require.Empty(t, b.place())
	require.Equal(t, scheduler.JobAbandoned, b.notices[0].Kind)
}

// TestCompletionIsAcknowledgedAfterDelivery checks that a completion stays listed
// until its origin has received it. An early acknowledgement loses the result if the
// dispatcher fails before the delivery.
func TestCompletionIsAcknowledgedAfterDelivery(t *testing.T) {
	b := newAtMostOnceHarness(t, "u1")
	b.offer(b.atMostOnceJob("a", 0, 1))
	require.Len(t, b.place(), 2)
	b.advanceWithPolls(1100 * time.Millisecond)
	require.Len(t, b.notices, 2)
	poll, ok := b.scheduler.ImmediatePoll(b.now, "u1")
	require.True(t, ok)
	require.Zero(t, poll.Acked, "nothing is acknowledged")
	require.EqualValues(t, 2, poll.Seen, "the upstream waits for a later completion")
	b.scheduler.ConfirmDelivery([]scheduler.CompletionRef{b.notices[1].Completion})
	poll, _ = b.scheduler.ImmediatePoll(b.now, "u1")
	require.Less(t, poll.Acked, int64(2))
	b.scheduler.ConfirmDelivery([]scheduler.CompletionRef{b.notices[0].Completion})
	poll, _ = b.scheduler.ImmediatePoll(b.now, "u1")
	require.EqualValues(t, 2, poll.Acked)
}

// resume offers a job again, as its origin does after its dispatcher was lost. No task
// of it has started, which the scheduler does not know.
func (b *testHarness) resume() {
	b.advance(time.Second)
	j := b.atMostOnceJob("a", 0)
	b.advance(time.Second)
	j.Resumed = true
	b.offer(j)
}

// TestResumedAtMostOnceJobNeedsPollOfEveryUpstream guards against a second start of a
// task that an earlier dispatcher started on an upstream that has not answered yet.
func TestResumedAtMostOnceJobNeedsPollOfEveryUpstream(t *testing.T) {
	b := newAtMostOnceHarness(t, "u1", "u2")
	b.resume()
	b.advanceWithPolls(200 * time.Millisecond)
	require.Len(t, b.place(), 1, "every upstream has answered")

	b = newAtMostOnceHarness(t, "u1", "u2")
	b.resume()
	b.advance(2 * resumeTimeout)
	require.Empty(t, b.place())
	require.Len(t, b.notices, 1, "an upstream has not answered")
	require.Equal(t, scheduler.JobAbandoned, b.notices[0].Kind)
	require.Equal(t, verdict.CodeOwnerLost, b.notices[0].Code)
}

// TestResumedAtMostOnceJobIsAbandonedIfAProcessRestarted guards against a second start
// of a task whose first run left no record, because its upstream restarted.
func TestResumedAtMostOnceJobIsAbandonedIfAProcessRestarted(t *testing.T) {
	b := newAtMostOnceHarness(t, "u1", "u2")
	j := b.atMostOnceJob("a", 0)
	b.advance(time.Second)
	b.upstreams["u2"].Restart(b.now)
	b.scheduler.BeginTerm(b.now, 300, resumeTimeout)
	j.Resumed = true
	b.offer(j)
	b.advanceWithPolls(200 * time.Millisecond)
	require.Empty(t, b.place())
	require.Equal(t, scheduler.JobAbandoned, b.notices[0].Kind)
}

// TestAbandonedAtMostOnceJobIsRejected guards against a second start of a task whose
// job was abandoned after the first one and is offered again.
func TestAbandonedAtMostOnceJobIsRejected(t *testing.T) {
	b := newAtMostOnceHarness(t, "u1")
	b.offer(b.atMostOnceJob("a", 0))
	require.Len(t, b.place(), 1)
	b.record(b.scheduler.AbandonJobsOf(b.now, "front", 2))
	b.advanceWithPolls(1500 * time.Millisecond) // the run ends
	known, _ := b.scheduler.Known("a")
	require.True(t, known, "otherwise a dispatcher of another data centre gets the job during an evacuation")
	j := b.atMostOnceJob("a", 0)
	j.Resumed = true
	_, failure := b.scheduler.Offer(b.now, j)
	require.NotNil(t, failure)
	require.Equal(t, verdict.MayHaveRun, failure.Verdict)
}

// TestCompletedJobIsNotStartedAgain guards against a second start of the tasks of a
// job that has completed: because its origin did not receive the last report and offers
// the job again, or because an earlier offer of the job was held up on its way.
func TestCompletedJobIsNotStartedAgain(t *testing.T) {
	for name, c := range map[string]struct{ delivered, resumed bool }{
		"the report was lost":                     {false, true},
		"a repeated offer was held up on its way": {true, true},
		"the first offer was held up on its way":  {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAtMostOnceHarness(t, "u1", "u2")
			b.upstreams["u1"].Result = func(scheduler.Run) []byte { return []byte("result") }
			b.upstreams["u2"].Result = b.upstreams["u1"].Result
			b.advance(time.Second) // the upstreams' processes are older than the job
			j := b.atMostOnceJob("a", 0, 1)
			b.offer(j)
			require.Len(t, b.place(), 2)
			b.advanceWithPolls(1100 * time.Millisecond)
			require.Len(t, b.notices, 2)
			if c.delivered {
				b.scheduler.ConfirmDelivery([]scheduler.CompletionRef{b.notices[0].Completion, b.notices[1].Completion})
			}
			b.notices = nil
			j.Resumed = c.resumed
			b.offer(j)
			b.advanceWithPolls(time.Second)
			require.Empty(t, b.place())
			require.Len(t, b.notices, 2)
			for _, n := range b.notices {
				require.Equal(t, scheduler.TaskDone, n.Kind)
				require.Equal(t, "result", string(n.Result))
			}
			b.advanceWithPolls(scheduler.CompletionRetention)
			_, failure := b.scheduler.Offer(b.now, j)
			require.NotNil(t, failure, "the results are no longer kept")
			require.Equal(t, verdict.MayHaveRun, failure.Verdict)
		})
	}
}

// TestTaskCompletedUnderEarlierDispatcherIsNotStarted replays a hand-over: the earlier
// dispatcher reports a completion to the origin and acknowledges it to the upstream while
// the job waits at the next one, whose polls therefore list neither the run nor its
// completion.
func TestTaskCompletedUnderEarlierDispatcherIsNotStarted(t *testing.T) {
	b := newAtMostOnceHarness(t, "u1", "u2")
	b.advance(time.Second)
	j := b.atMostOnceJob("a", 0, 1)
	task := func(index int) scheduler.Task { return scheduler.Task{Job: "a", Index: index} }
	require.False(t, b.scheduler.CompleteElsewhere(b.now, task(0), nil), "the offer has not arrived")
	b.advance(time.Second)
	j.Resumed = true
	b.offer(j)
	require.True(t, b.scheduler.CompleteElsewhere(b.now, task(0), nil))
	b.advanceWithPolls(200 * time.Millisecond)
	starts := b.place()
	require.Len(t, starts, 1)
	require.Equal(t, 1, starts[0].Run.Index)
	require.Zero(t, b.scheduler.Waiting())

	b = newAtMostOnceHarness(t, "u1", "u2")
	b.resume()
	require.True(t, b.scheduler.CompleteElsewhere(b.now, task(0), nil))
	require.True(t, b.scheduler.CompleteElsewhere(b.now, task(0), nil), "the job is remembered")
	b.advanceWithPolls(200 * time.Millisecond)
	require.Empty(t, b.place())
	require.Empty(t, b.notices)
}
