package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// newOnceBench returns a bench that keeps the ends of jobs that must run once only.
func newOnceBench(t *testing.T, names ...string) *bench {
	b := newBench(t, names...)
	list := []scheduler.Upstream{}
	for _, u := range b.upstreams {
		list = append(list, u.Info)
	}
	b.scheduler = scheduler.New(b.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100, RetainCompletions: true})
	b.scheduler.BeginTerm(b.now, 200, resumeTime)
	b.scheduler.SetUpstreams(b.now, list, false)
	b.lookAll()
	return b
}

func (b *bench) once(id string, tasks ...int) scheduler.Job {
	j := b.job(id, tasks...)
	j.AtMostOnce = true
	return j
}

// TestLostRunEndsAJobThatMustRunOnce loses a run in each way.
func TestLostRunEndsAJobThatMustRunOnce(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(*bench, scheduler.Start)
		kind scheduler.NoticeKind
	}{
		"its process is replaced": {func(b *bench, s scheduler.Start) {
			b.now = b.now.Add(2 * time.Millisecond)
			b.upstreams[s.Upstream.Name].Restart(b.now)
		}, scheduler.JobAbandoned},
		"the lease lapses": {func(b *bench, _ scheduler.Start) { b.wait(1500 * time.Millisecond) }, scheduler.JobAbandoned},
	} {
		t.Run(name, func(t *testing.T) {
			b := newOnceBench(t, "u1", "u2")
			b.offer(b.once("a", 0))
			starts := b.place()
			require.Len(t, starts, 1)
			c.lose(b, starts[0])
			b.pass(3 * time.Second)
			b.place()
			require.Len(t, b.starts, 1, "no task starts twice")
			require.Len(t, b.notices, 1)
			require.Equal(t, c.kind, b.notices[0].Kind)
		})
	}
}

// TestStartWithoutEffectIsRepeated refuses a start: nothing has run.
func TestStartWithoutEffectIsRepeated(t *testing.T) {
	for _, result := range []scheduler.OrderResult{
		scheduler.OrderUnhealthy, scheduler.OrderNoRoom, scheduler.OrderLate, scheduler.OrderOtherProcess,
	} {
		b := newOnceBench(t, "u1", "u2")
		b.offer(b.once("a", 0))
		starts := b.scheduler.Place(b.now)
		require.Len(t, starts, 1, result)
		b.act(b.scheduler.HandleStartResult(b.now, starts[0], result, 0))
		b.lookAll()
		require.Len(t, b.place(), 1, result)
		require.Empty(t, b.notices, result)
	}
}

// TestOldAttemptEndsAJobThatMustRunOnce meets an earlier start of the task.
func TestOldAttemptEndsAJobThatMustRunOnce(t *testing.T) {
	b := newOnceBench(t, "u1")
	b.offer(b.once("a", 0))
	b.act(b.scheduler.HandleStartResult(b.now, b.scheduler.Place(b.now)[0], scheduler.OrderOldAttempt, 0))
	require.Empty(t, b.place())
	require.Equal(t, scheduler.JobAbandoned, b.notices[0].Kind)
}

// TestEndStaysListedUntilItsOriginHasIt looks before and after the delivery.
func TestEndStaysListedUntilItsOriginHasIt(t *testing.T) {
	b := newOnceBench(t, "u1")
	b.offer(b.once("a", 0, 1))
	require.Len(t, b.place(), 2)
	b.pass(1100 * time.Millisecond)
	require.Len(t, b.notices, 2)
	look, ok := b.scheduler.ImmediatePoll(b.now, "u1")
	require.True(t, ok)
	require.Zero(t, look.LastSeen, "nothing is acknowledged")
	require.EqualValues(t, 2, look.Seen, "the upstream waits for a later end")
	b.scheduler.ConfirmDelivery([]scheduler.CompletionRef{b.notices[1].Completion})
	look, _ = b.scheduler.ImmediatePoll(b.now, "u1")
	require.Less(t, look.LastSeen, int64(2))
	b.scheduler.ConfirmDelivery([]scheduler.CompletionRef{b.notices[0].Completion})
	look, _ = b.scheduler.ImmediatePoll(b.now, "u1")
	require.EqualValues(t, 2, look.LastSeen)
}

// resume offers a job again after its dispatcher was lost before a task started.
func (b *bench) resume() {
	b.wait(time.Second)
	j := b.once("a", 0)
	b.wait(time.Second)
	j.Resumed = true
	b.offer(j)
}

// TestResumedJobThatMustRunOnceNeedsACompleteSweep starts only what is known not
// to have started.
func TestResumedJobThatMustRunOnceNeedsACompleteSweep(t *testing.T) {
	b := newOnceBench(t, "u1", "u2")
	b.resume()
	b.pass(200 * time.Millisecond)
	require.Len(t, b.place(), 1, "every upstream has answered")

	b = newOnceBench(t, "u1", "u2")
	b.resume()
	b.wait(2 * resumeTime)
	require.Empty(t, b.place())
	require.Len(t, b.notices, 1, "an upstream has not answered")
	require.Equal(t, scheduler.JobAbandoned, b.notices[0].Kind)
	require.Equal(t, verdict.CodeOwnerLost, b.notices[0].Code)
}

// TestResumedJobIsGivenUpWhereAProcessIsYounger replaces a process that may have
// run the job's task.
func TestResumedJobIsGivenUpWhereAProcessIsYounger(t *testing.T) {
	b := newOnceBench(t, "u1", "u2")
	j := b.once("a", 0)
	b.wait(time.Second)
	b.upstreams["u2"].Restart(b.now)
	b.scheduler.BeginTerm(b.now, 300, resumeTime)
	j.Resumed = true
	b.offer(j)
	b.pass(200 * time.Millisecond)
	require.Empty(t, b.place())
	require.Equal(t, scheduler.JobAbandoned, b.notices[0].Kind)
}

// TestDroppedJobThatMustRunOnceIsNotTakenAgain drops a job after a start.
func TestDroppedJobThatMustRunOnceIsNotTakenAgain(t *testing.T) {
	b := newOnceBench(t, "u1")
	b.offer(b.once("a", 0))
	require.Len(t, b.place(), 1)
	b.act(b.scheduler.AbandonJobsOf(b.now, "front", 2))
	j := b.once("a", 0)
	j.Resumed = true
	_, failure := b.scheduler.Offer(b.now, j)
	require.NotNil(t, failure)
	require.Equal(t, verdict.MayHaveRun, failure.Verdict)
}
