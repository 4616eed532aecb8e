package scheduler_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// unevenKinds are the kinds of jobs of the first deployment of docs/design/hard-load.md, with
// the rates for its 350 upstreams.
var unevenKinds = []struct {
	name     string
	rate     float64
	tasks    int
	work     time.Duration
	priority int
}{{"A", 206, 8, 60 * time.Millisecond, 0}, {"B", 37.5, 4, 900 * time.Millisecond, 2}, {"C", 600, 2, 200 * time.Millisecond, 1}}

type unevenJob struct {
	sent       time.Time
	target     time.Duration
	unfinished int
	work       []time.Duration // of each task
	dataCentre string
}

// unevenReplay plays jobs of three kinds against one dispatcher on a virtual clock. A third
// of the upstreams has each of the speeds 0.6, 1 and 1.6, a third is larger, 3 of 100 tasks
// take seven times as long, and declared run times are off by 40 %.
type unevenReplay struct {
	*testHarness
	random                               *rand.Rand
	load                                 float64 // relative to that of the deployment
	down                                 map[string]bool
	jobs                                 map[string]*unevenJob
	list                                 []scheduler.Upstream
	near                                 bool // jobs tell the data centre of their origin
	offered, inTime, ran, local, without int  // without: runs that did not succeed
	wasted                               time.Duration
	started                              map[scheduler.Run]time.Time
	onProbation                          []string
	returns                              map[string]time.Time
}

func newUnevenReplay(t *testing.T, upstreams int, load float64, seed uint64) *unevenReplay {
	r := &unevenReplay{
		testHarness: newTestHarness(t), random: rand.New(rand.NewPCG(seed, 1)), load: load, down: map[string]bool{},
		jobs: map[string]*unevenJob{}, started: map[scheduler.Run]time.Time{}, returns: map[string]time.Time{},
	}
	r.scheduler = scheduler.New(r.now, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100_000})
	for i := range upstreams {
		size := scheduler.Size{MilliCPU: []int{48000, 32000, 32000}[i/3%3], MemoryMB: 128000}
		u := schedulertest.New(r.now, scheduler.Upstream{Name: fmt.Sprintf("u%d", i), Service: "rota", Size: size, DataCentre: fmt.Sprintf("dc%d", i/9%3)}, time.Second)
		u.Speed = []float64{0.6, 1, 1.6}[i%3]
		u.OnStart = func(now time.Time, run scheduler.Run) { r.started[run] = now }
		u.OnCompletion = func(now time.Time, run scheduler.Run, kind scheduler.CompletionKind) {
			if kind != scheduler.CompletionDone {
				r.without++
				r.wasted += now.Sub(r.started[run])
			}
		}
		r.upstreams[u.Info.Name] = u
		r.list = append(r.list, u.Info)
	}
	r.scheduler.BeginTerm(r.now, 300, resumeTimeout)
	r.scheduler.SetUpstreams(r.now, r.list, false)
	return r
}

// offerAll offers the jobs that arrive within a time.
func (r *unevenReplay) offerAll(step time.Duration) {
	for _, k := range unevenKinds {
		for n := k.rate * r.load * float64(len(r.upstreams)) / 350 * step.Seconds(); n > 0; n-- {
			if r.random.Float64() >= n {
				continue
			}
			played := &unevenJob{sent: r.now, unfinished: k.tasks, dataCentre: fmt.Sprintf("dc%d", r.random.IntN(3))}
			j := r.job(fmt.Sprintf("%016x", r.random.Uint64()))
			j.Queue, j.Priority, j.Size.MilliCPU = k.name, k.priority, int(16000*(0.8+0.4*r.random.Float64()))
			j.Estimate = time.Duration(float64(k.work) * (0.6 + 0.8*r.random.Float64()))
			for i := range k.tasks {
				work := time.Duration(float64(k.work) * math.Exp(0.1*r.random.NormFloat64()))
				if r.random.IntN(100) < 3 {
					work *= 7
				}
				played.work, j.Tasks = append(played.work, work), append(j.Tasks, i)
			}
			played.target = time.Duration(1.6*float64(slices.Max(played.work))) + 60*time.Millisecond
			if r.near {
				j.DataCentre = played.dataCentre
			}
			r.jobs[j.ID] = played
			r.offered++
			a, failure := r.scheduler.Offer(r.now, j)
			if failure != nil { // counts as not in time
				require.Equal(r.testHarness.t, verdict.CodeOverloaded, failure.Code, failure.Error())
				continue
			}
			r.record(a)
		}
	}
}

// step moves time forward and executes polls and start orders.
func (r *unevenReplay) step() {
	const step = 10 * time.Millisecond
	r.now = r.now.Add(step)
	r.offerAll(step)
	for _, name := range slices.Sorted(maps.Keys(r.upstreams)) {
		r.upstreams[name].Advance(r.now)
		if poll, due, _, _ := r.scheduler.NextPoll(r.now, name); due {
			result, report := scheduler.PollNoProcess, scheduler.PollReport{}
			if !r.down[name] {
				result, report = r.upstreams[name].Poll(r.now, poll)
			}
			r.apply(r.scheduler.HandlePollResult(r.now, poll, result, report))
		}
	}
	r.apply(r.scheduler.Tick(r.now))
	for _, s := range r.scheduler.Place(r.now) {
		u, j := r.upstreams[s.Upstream.Name], r.jobs[s.Run.Job]
		r.ran++
		if u.Info.DataCentre == j.dataCentre {
			r.local++
		}
		result, clock := scheduler.OrderNoProcess, int64(0)
		if !r.down[s.Upstream.Name] {
			result, clock = u.Start(r.now, s, scheduler.Size{MilliCPU: 16000, MemoryMB: 64}, j.work[s.Run.Index])
		}
		r.apply(r.scheduler.HandleStartResult(r.now, s, result, clock))
	}
}

func (r *unevenReplay) apply(a scheduler.Actions) {
	for _, s := range a.Stops {
		result, clock := scheduler.OrderNoProcess, int64(0)
		if !r.down[s.Upstream.Name] {
			result, clock = r.upstreams[s.Upstream.Name].Stop(r.now, s)
		}
		more, _, _ := r.scheduler.HandleStopResult(r.now, s, result, clock)
		r.apply(more)
	}
	for _, n := range a.Notices {
		if j := r.jobs[n.Task.Job]; j != nil && n.Kind == scheduler.TaskDone {
			if j.unfinished--; j.unfinished == 0 && r.now.Sub(j.sent) <= j.target {
				r.inTime++
			}
		}
	}
	for _, c := range a.Probations {
		if c.Began {
			r.onProbation = append(r.onProbation, c.Upstream)
		}
	}
}

// crash ends the process of an upstream, which the dispatcher notices at once.
func (r *unevenReplay) crash(name string) {
	r.down[name] = true
	r.upstreams[name].Restart(r.now)
	r.apply(r.scheduler.HandleSuspectedCrash(r.now, name, ""))
}

func (r *unevenReplay) restart(name string) {
	r.down[name] = false
	r.upstreams[name].Restart(r.now)
}

// run plays for a time and calls event before each step.
func (r *unevenReplay) run(d time.Duration, event func(elapsed time.Duration)) {
	for begin := r.now; r.now.Sub(begin) < d; r.step() {
		event(r.now.Sub(begin))
	}
}

// share returns the share of the jobs that were in time.
func (r *unevenReplay) share() float64 { return float64(r.inTime) / float64(r.offered) }

func (r *unevenReplay) report() {
	r.t.Helper()
	r.t.Logf("%d of %d runs without success (%.1f s), in time %.3f", r.without, r.ran, r.wasted.Seconds(), r.share())
}
