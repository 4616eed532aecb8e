package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

var (
	start      = time.Unix(1000, 0)
	urgentCall = &catalog.Call{Service: "s", Name: "urgent", Priority: catalog.Urgent, Declared: 100 * time.Millisecond}
	normalCall = &catalog.Call{Service: "s", Name: "normal", Priority: catalog.Normal, Declared: 100 * time.Millisecond, Retries: 1}
)

func makeTasks(call *catalog.Call, key string, n int) []*Task {
	tasks := make([]*Task, n)
	for i := range tasks {
		tasks[i] = &Task{Submission: submission.ID{Caller: "a", Key: key}, Index: i, Call: call}
	}
	return tasks
}

// newTest returns a dispatcher with upstreams u0, u1, ... of the given slots.
func newTest(maxQueued int, slots ...int) *Dispatcher {
	d := New(Config{MaxQueued: maxQueued})
	d.SetUpstreams(start, "s", upstreamsOf(slots...))
	return d
}

func upstreamsOf(slots ...int) []Upstream {
	var upstreams []Upstream
	for i, n := range slots {
		upstreams = append(upstreams, Upstream{Name: fmt.Sprintf("u%d", i), Service: "s", Slots: n})
	}
	return upstreams
}

func add(t *testing.T, d *Dispatcher, now time.Time, call *catalog.Call, key string, n int) []Assignment {
	t.Helper()
	assignments, failure := d.Add(now, makeTasks(call, key, n))
	require.Nil(t, failure)
	return assignments
}

func TestRefusals(t *testing.T) {
	d := New(Config{MaxQueued: 3})
	_, failure := d.Add(start, makeTasks(normalCall, "k", 1))
	require.Equal(t, verdict.CodeNoUpstream, failure.Code)
	require.Equal(t, verdict.NotRun, failure.Verdict)
	d = newTest(3, 1)
	add(t, d, start, normalCall, "k", 3)
	_, failure = d.Add(start, makeTasks(normalCall, "l", 2))
	require.Equal(t, verdict.CodeOverloaded, failure.Code)
	require.Equal(t, 2, d.Waiting(), "the refused tasks left nothing behind")
}

func TestOrder(t *testing.T) {
	type job struct {
		call *catalog.Call
		n    int
		at   time.Duration
	}
	for _, c := range []struct {
		name string
		jobs []job
		want string // key of the first job that runs
	}{
		{"urgent first", []job{{normalCall, 1, 0}, {urgentCall, 5, time.Second}}, "1"},
		{"least work first", []job{{normalCall, 9, 0}, {normalCall, 2, 10 * time.Millisecond}}, "1"},
		{"ageing passes less work", []job{{normalCall, 9, 0}, {normalCall, 2, 3 * time.Second}}, "0"},
		{"ageing passes urgent", []job{{normalCall, 2, 0}, {urgentCall, 2, 2 * time.Minute}}, "0"},
	} {
		d := newTest(100, 1)
		running := add(t, d, start, normalCall, "running", 1)
		for i, j := range c.jobs {
			require.Empty(t, add(t, d, start.Add(j.at), j.call, fmt.Sprint(i), j.n))
		}
		next, _ := d.Finish(start.Add(2*time.Minute), running[0], Result{Took: 100 * time.Millisecond}, nil)
		require.Len(t, next, 1, c.name)
		require.Equal(t, c.want, next[0].Task.Submission.Key, c.name)
	}
}

// teach lets an upstream end tasks of a given time until its speed is known.
func teach(d *Dispatcher, took map[string]time.Duration) {
	for range 50 {
		assignments, _ := d.Add(start, makeTasks(normalCall, "teach", len(took)))
		for len(assignments) > 0 {
			a := assignments[0]
			assignments, _ = d.Finish(start, a, Result{Took: took[a.Upstream.Name]}, assignments[1:])
		}
		for name, t := range took {
			s := d.pool("s").slotsOf(name).known[name]
			s.model.observe(d.pool("s").calls.get(normalCall), t.Seconds())
		}
	}
	for range 1000 { // the demand of the lesson is forgotten
		d.Tick(start)
	}
}

func TestLearntSpeedChoosesAndTailWaits(t *testing.T) {
	d := newTest(100, 4, 4)
	teach(d, map[string]time.Duration{"u0": 400 * time.Millisecond, "u1": 100 * time.Millisecond})
	assignments := add(t, d, start, normalCall, "k", 5)
	require.Len(t, assignments, 4, "the last task waits for a fast slot")
	for _, a := range assignments {
		require.Equal(t, "u1", a.Upstream.Name)
	}
	require.NotEmpty(t, add(t, d, start, normalCall, "large", 40), "a large job uses the slow upstream")
}

func TestCancelFreesTheQueue(t *testing.T) {
	d := newTest(100, 1)
	add(t, d, start, normalCall, "k", 1)
	add(t, d, start, normalCall, "l", 7)
	require.Equal(t, 7, d.Cancel("s", submission.ID{Caller: "a", Key: "l"}))
	require.Zero(t, d.Waiting())
	require.Zero(t, d.Cancel("s", submission.ID{Caller: "a", Key: "unknown"}))
}

func TestRefusedTaskIsOfferedAgain(t *testing.T) {
	d := newTest(100, 1)
	a := add(t, d, start, normalCall, "k", 1)[0]
	next, dropped := d.Finish(start, a, Result{Ending: Refused}, nil)
	require.False(t, dropped)
	next = append(next, d.Tick(start)...)
	require.Len(t, next, 1)
	_, dropped = d.Finish(start, next[0], Result{Ending: Refused}, nil)
	require.True(t, dropped)
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	d := newTest(100, 2, 2)
	running := add(t, d, start, normalCall, "k", 4)
	upstreams := upstreamsOf(2, 2)
	upstreams[0].Leaving = true
	d.SetUpstreams(start, "s", upstreams)
	add(t, d, start, normalCall, "l", 4)
	for len(running) > 0 {
		next, _ := d.Finish(start, running[0], Result{Took: time.Millisecond}, nil)
		for _, a := range next {
			require.Equal(t, "u1", a.Upstream.Name)
		}
		running = append(running[1:], next...)
	}
	require.Zero(t, d.Waiting())
	d.SetUpstreams(start, "s", nil)
	_, failure := d.Add(start, makeTasks(normalCall, "m", 1))
	require.Equal(t, verdict.CodeNoUpstream, failure.Code)
}

func TestConcurrentUseRunsEveryTaskOnce(t *testing.T) {
	const threads, jobs, size = 8, 200, 5
	d := newTest(threads*jobs*size, 3, 1, 2, 5)
	var mu sync.Mutex // guards ran
	ran := map[string]int{}
	run := func(work []Assignment) {
		for len(work) > 0 {
			a := work[0]
			mu.Lock()
			ran[fmt.Sprint(a.Task.Submission.Key, "/", a.Task.Index)]++
			mu.Unlock()
			work, _ = d.Finish(start, a, Result{Took: time.Millisecond}, work[1:])
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for range jobs {
			run(d.SetUpstreams(start, "s", upstreamsOf(3, 1, 2, 5)))
		}
	})
	for thread := range threads {
		wg.Go(func() {
			for i := range jobs {
				work, _ := d.Add(start, makeTasks(normalCall, fmt.Sprintf("%d-%d", thread, i), size))
				run(work)
			}
		})
	}
	wg.Wait()
	run(d.Tick(start))
	require.Len(t, ran, threads*jobs*size)
	for task, n := range ran {
		require.Equal(t, 1, n, task)
	}
	require.Zero(t, d.Waiting())
}

func TestListChangesWhileTasksAreBound(t *testing.T) {
	const rounds = 300
	d := newTest(rounds, 2, 2)
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range rounds {
			upstreams := upstreamsOf(2, 2)
			upstreams[i%2].Leaving = true
			d.SetUpstreams(start, "s", upstreams)
		}
	})
	for i := range rounds {
		work, failure := d.Add(start, makeTasks(normalCall, fmt.Sprint(i), 1))
		require.Nil(t, failure)
		for len(work) > 0 {
			a := work[0]
			work, _ = d.Finish(start, a, Result{Took: time.Millisecond}, work[1:])
		}
	}
	wg.Wait()
}
