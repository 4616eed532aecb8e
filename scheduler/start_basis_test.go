package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// placedAfter advances time until a task starts while the given upstreams are silent, and
// returns its start.
func (b *testHarness) placedAfter(limit time.Duration, silent ...string) scheduler.Start {
	for end := b.now.Add(limit); b.now.Before(end); {
		if starts := b.place(); len(starts) > 0 {
			return starts[0]
		}
		b.advance(10 * time.Millisecond)
		b.pollWithout(silent...)
	}
	require.Fail(b.t, "no task has started", "within %v", limit)
	return scheduler.Start{}
}

func TestBasisOfNewJobInSettledTerm(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	j := b.job("a", 0)
	j.Submission = 7
	b.offer(j)
	start := b.placedAfter(time.Second)
	require.True(t, start.Basis.Ordinary(), "%+v", start.Basis)
	require.Equal(t, scheduler.HoldNone, start.Basis.Hold)
	require.Equal(t, scheduler.Coverage{Listed: 2}, start.Basis.Coverage)
	require.Equal(t, "front", start.Origin)
	require.EqualValues(t, 7, start.Submission)
}

// A new job that does not wait any longer for a silent upstream names it as not answered.
func TestBasisOfNewJobAfterTimeout(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.beginTerm(200)
	b.scheduler.SetUnreachablePeers(true)
	b.offer(b.job("a", 0))
	offered, ok := b.scheduler.Offered("a")
	require.True(t, ok)
	require.True(t, offered.Held)
	start := b.placedAfter(time.Second, "u2")
	require.Equal(t, scheduler.HoldTimedOut, start.Basis.Hold)
	require.Greater(t, start.Basis.Held, 500*time.Millisecond)
	require.False(t, start.Basis.Resumed)
	require.Equal(t, scheduler.Coverage{Listed: 2, Unanswered: 1, UnreachablePeers: true}, start.Basis.Coverage)

	// The term is settled from then on: further jobs are not held.
	b.offer(b.job("b", 0))
	start = b.placedAfter(time.Second, "u2")
	require.Equal(t, scheduler.HoldNone, start.Basis.Hold)
	require.Equal(t, 1, start.Basis.Coverage.Unanswered)
	require.False(t, start.Basis.Ordinary())
}

func TestBasisOfResumedJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent []string
		hold   scheduler.HoldEnd
		held   time.Duration // at least
	}{
		{"all upstreams answer", nil, scheduler.HoldAnswered, 0},
		{"one is silent", []string{"u2"}, scheduler.HoldTimedOut, resumeTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2")
			b.beginTerm(200)
			j := b.job("a", 0)
			j.Resumed = true
			b.offer(j)
			start := b.placedAfter(5*time.Second, c.silent...)
			require.True(t, start.Basis.Resumed)
			require.Equal(t, c.hold, start.Basis.Hold)
			require.GreaterOrEqual(t, start.Basis.Held, c.held)
			require.Equal(t, len(c.silent), start.Basis.Coverage.Unanswered)
		})
	}
}

// A job that is offered again without a start in the term before counts as new.
func TestBasisOfUnstartedJob(t *testing.T) {
	b := newTestHarness(t, "u1")
	j := b.job("a", 0, 1, 2)
	b.offer(j)
	require.Len(t, b.place(), 2)
	waiting := b.job("b", 0)
	b.offer(waiting)
	require.Empty(t, b.place())
	b.beginTerm(200)
	waiting.Resumed, waiting.PreviousToken = true, 100
	b.offer(waiting)
	start := b.placedAfter(5 * time.Second)
	require.Equal(t, "b", start.Run.Job)
	require.True(t, start.Basis.WasUnstarted)
	require.False(t, start.Basis.Resumed)
}

// A job that is sent again names that an earlier submission is known.
func TestBasisOfResubmission(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	b.record(b.scheduler.Withdraw(b.now, "front", "a", 0))
	b.executeStops()
	b.offer(b.job("a", 0))
	start := b.placedAfter(2 * time.Second)
	require.True(t, start.Basis.EarlierKnown)
	require.False(t, start.Basis.Resumed)
}

func TestCoverageCountsUpstreams(t *testing.T) {
	b := newTestHarness(t, "u1", "u2", "u3")
	b.scheduler.SetListCompleteSince(b.now.Add(time.Second))
	b.offer(b.job("a", 0))
	require.Len(t, b.place(), 1)
	busy := b.starts[0].Upstream
	rest := []scheduler.Upstream{}
	for _, u := range b.upstreams {
		if u.Info.Name != busy.Name {
			rest = append(rest, u.Info)
		}
	}
	b.scheduler.SetUpstreams(b.now, rest, true)
	b.advance(100 * time.Millisecond)
	c, ok := b.scheduler.Coverage()
	require.True(t, ok)
	require.Equal(t, scheduler.Coverage{Listed: 2, Unlisted: 1, Partial: true, IncompleteList: true}, c)
	require.False(t, c.Complete())

	rival := b.newDispatcher(rest[0].Name)
	rival.BeginTerm(b.now, 300, resumeTimeout)
	b.work(rival, rest[0].Name)
	poll, due := b.scheduler.ImmediatePoll(b.now, rest[0].Name)
	require.True(t, due)
	result, report := b.upstreams[rest[0].Name].Poll(b.now, poll)
	require.Equal(t, scheduler.PollFenced, result)
	b.record(b.scheduler.HandlePollResult(b.now, poll, result, report))
	b.advance(20 * time.Millisecond)
	c, _ = b.scheduler.Coverage()
	require.Equal(t, 1, c.Fenced)

	b.scheduler.EndTerm()
	_, ok = b.scheduler.Coverage()
	require.False(t, ok)
}

// A run that a job adopts names the submission and its age.
func TestAdoptionNamesSubmission(t *testing.T) {
	b := newTestHarness(t, "u1")
	j := b.job("a", 0)
	b.offer(j)
	require.Len(t, b.place(), 1)
	b.beginTerm(200)
	b.pollAll()
	b.advance(50 * time.Millisecond)
	j.Origin, j.Submission, j.Resumed = "vm2", 9, true
	b.offer(j)
	require.Len(t, b.foundEnds, 1)
	end := b.foundEnds[0]
	require.Equal(t, "adopted", end.How)
	require.Equal(t, "vm2", end.Origin)
	require.EqualValues(t, 9, end.Submission)
	require.Equal(t, b.now.Sub(j.Sent), end.Age)
}

// A job that comes back from another dispatcher is held again.
func TestBasisOfJobThatMoves(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	j := b.job("a", 0)
	b.offer(j)
	j.Resumed, j.PreviousToken = true, 300
	b.offer(j)
	offered, ok := b.scheduler.Offered("a")
	require.True(t, ok)
	require.True(t, offered.Held)
	require.True(t, offered.Basis.Resumed)
	start := b.placedAfter(time.Second)
	require.True(t, start.Basis.Resumed)
	require.Equal(t, scheduler.HoldAnswered, start.Basis.Hold)
}
