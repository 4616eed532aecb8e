package scheduler

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// evacuationTest is a dispatcher with upstreams in two data centres that have room for two tasks.
type evacuationTest struct {
	t       *testing.T
	s       *Scheduler
	now     time.Time
	entries []Upstream
}

func newEvacuationTest(t *testing.T) *evacuationTest {
	e := &evacuationTest{t: t, now: time.Unix(1_700_000_000, 0)}
	e.s = New(e.now, Config{LeaseMax: time.Second, MaxWaiting: 100})
	e.s.BeginTerm(e.now, 1, time.Second)
	for _, name := range []string{"a", "b"} {
		e.entries = append(e.entries, Upstream{Name: name, Service: "rota", DataCentre: name, Size: Size{MilliCPU: 2000}})
	}
	e.evacuate("")
	for _, u := range e.entries {
		poll, due, _, _ := e.s.NextPoll(e.now, u.Name)
		require.True(t, due)
		e.s.HandlePollResult(e.now, poll, PollAnswered, PollReport{Clock: 1, ProcessStart: 1})
	}
	e.s.Tick(e.now)
	return e
}

// evacuate makes a data centre, or none, the evacuated one.
func (e *evacuationTest) evacuate(dataCentre string) {
	for i := range e.entries {
		e.entries[i].Evacuated = e.entries[i].DataCentre == dataCentre
	}
	e.s.SetUpstreams(e.now, e.entries, false)
	e.s.Tick(e.now)
}

// offer offers a job with tasks and returns the number of starts by upstream.
func (e *evacuationTest) offer(id string, tasks int) map[string]int {
	job := Job{ID: id, Origin: "front", Queue: "q", Service: "rota", Size: Size{MilliCPU: 1000}, Estimate: 100 * time.Millisecond, Sent: e.now, Deadline: e.now.Add(time.Minute)}
	for i := range tasks {
		job.Tasks = append(job.Tasks, i)
	}
	_, failure := e.s.Offer(e.now, job)
	require.Nil(e.t, failure)
	starts := map[string]int{}
	for _, start := range e.s.Place(e.now) {
		starts[start.Upstream.Name]++
		e.s.HandleStartResult(e.now, start, OrderDone, 1)
	}
	return starts
}

// completeOne completes a run of an upstream.
func (e *evacuationTest) completeOne(upstream string) {
	shard := e.s.upstreamShardFor(upstream)
	u := shard.byName[upstream]
	for _, r := range u.runs {
		u.complete(e.now, Completion{Run: r.Run, Number: 1, Kind: CompletionDone}, false, &Actions{})
		shard.noteReleased(u)
		return
	}
}

// An upstream of an evacuated data centre must get no task, while the others do, and its runs
// go on and keep counting.
func TestEvacuatedUpstreamGetsNoTask(t *testing.T) {
	e := newEvacuationTest(t)
	require.Equal(t, map[string]int{"a": 2, "b": 2}, e.offer("before", 4))
	e.evacuate("a")
	e.completeOne("a")
	require.Empty(t, e.offer("x", 1), "b is full")
	require.Len(t, e.s.upstreamShardFor("a").byName["a"].runs, 1)
	require.Empty(t, e.s.Tick(e.now).Stops)
}

// While a job fits nowhere but in an evacuated data centre, it must be refused as not run.
func TestJobThatFitsOnlyEvacuatedUpstreamIsRefused(t *testing.T) {
	e := newEvacuationTest(t)
	e.entries[0].Size.MilliCPU = 4000
	e.evacuate("a")
	_, failure := e.s.Offer(e.now, Job{ID: "x", Service: "rota", Size: Size{MilliCPU: 3000}, Sent: e.now, Deadline: e.now.Add(time.Minute), Tasks: []int{0}})
	require.NotNil(t, failure)
	require.NotZero(t, failure.RetryAfter)
	require.Contains(t, failure.Reason, "evacuated")
}

// A job of which an earlier dispatcher may have active runs, or of which tasks have run here before,
// must not be refused as not run, although only an evacuated upstream is large enough for it.
func TestJobThatMayHaveRunIsNotRefusedByEvacuation(t *testing.T) {
	job := Job{ID: "x", Origin: "front", Queue: "q", Service: "rota", Size: Size{MilliCPU: 3000}, Estimate: 100 * time.Millisecond, Tasks: []int{0}}
	for name, prepare := range map[string]func(e *evacuationTest){
		"the term is not settled": func(e *evacuationTest) { e.s.BeginTerm(e.now, 2, time.Second) },
		"a task has run": func(e *evacuationTest) {
			job.Sent, job.Deadline = e.now, e.now.Add(time.Minute)
			_, failure := e.s.Offer(e.now, job)
			require.Nil(e.t, failure)
			starts := e.s.Place(e.now)
			require.Len(e.t, starts, 1)
			e.s.HandleStartResult(e.now, starts[0], OrderDone, 1)
			e.s.AbandonJobsOf(e.now, "front", 1)
			e.now = e.now.Add(time.Second)
			poll, _, _, _ := e.s.NextPoll(e.now, "a")
			e.s.HandlePollResult(e.now, poll, PollAnswered, PollReport{Clock: 1001, ProcessStart: 1, Completions: []Completion{{Run: starts[0].Run, Number: 1, Kind: CompletionStopped}}})
			known, _ := e.s.Known("x")
			require.False(e.t, known, "the run has ended")
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEvacuationTest(t)
			e.entries[0].Size.MilliCPU = 4000
			e.evacuate("")
			prepare(e)
			e.evacuate("a")
			job.Sent, job.Deadline = e.now, e.now.Add(time.Minute)
			_, failure := e.s.Offer(e.now, job)
			require.True(t, failure == nil || failure.Verdict != verdict.NotRun, failure)
		})
	}
}

// An upstream that returns is perhaps cold: until a run has completed, or its entry's time has
// passed, a second run would be as late as the first.
func TestReturnedUpstreamGetsOneRun(t *testing.T) {
	for name, proof := range map[string]func(e *evacuationTest){
		"time": func(e *evacuationTest) { e.now = e.now.Add(3 * time.Second) },
		"completion": func(e *evacuationTest) {
			e.now = e.now.Add(10 * time.Millisecond)
			e.completeOne("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEvacuationTest(t)
			e.entries[0].ColdUntil = e.now.Add(3 * time.Second)
			e.evacuate("a")
			e.now = e.now.Add(time.Millisecond)
			e.evacuate("")
			e.now = e.now.Add(time.Millisecond)
			require.Equal(t, map[string]int{"a": 1, "b": 2}, e.offer("x", 4))
			u := e.s.upstreamShardFor("a").byName["a"]
			require.False(t, u.acceptsAfterReturn(e.now))
			proof(e)
			require.True(t, u.acceptsAfterReturn(e.now))
		})
	}
}
