package scheduler_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/eventqueue"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
)

// jobKind is a kind of jobs of the load in docs/design/hard-load.md.
type jobKind struct {
	name            string
	rate            float64 // jobs per second
	tasks, priority int
	run             time.Duration // mean run time at speed 1
}

// The load of one data centre of the first deployment: 319 of its 844 jobs per second.
var jobKinds = []jobKind{
	{"A", 206 * 319.0 / 844, 8, 0, 60 * time.Millisecond},
	{"B", 37.5 * 319.0 / 844, 4, 2, 900 * time.Millisecond},
	{"C", 600 * 319.0 / 844, 2, 1, 200 * time.Millisecond},
}

// loadPhase multiplies the rates of the kinds until a time after the start.
type loadPhase struct {
	until  time.Duration
	factor [3]float64
}

// loadJob is a job of a loadDriver.
type loadJob struct {
	scheduler.Job
	kind                  int
	work                  []time.Duration
	target                time.Duration // within which the caller counts the answer as in time
	first                 time.Time     // when the caller sent it first
	done                  int
	started, ended, leave bool
	offered               bool
}

// loadCounts counts the jobs of a kind by what their callers saw.
type loadCounts struct {
	jobs, inTime, late, noValue, rejected, held, whileFree, left int
}

func (c loadCounts) share() float64 { return float64(c.inTime) / float64(max(c.jobs-c.left, 1)) }

type loadUpstream struct {
	*schedulertest.Upstream
	poll    scheduler.Poll
	pending bool
	until   time.Time // end of the pending poll
	gone    bool
}

// loadDriver feeds a scheduler with jobs on a virtual clock. Messages take no time, except that
// the next poll of an upstream follows after 1 ms.
type loadDriver struct {
	t          *testing.T
	now, start time.Time
	s          *scheduler.Scheduler
	queue      eventqueue.Queue
	rng        *rand.Rand
	names      []string
	upstreams  map[string]*loadUpstream
	jobs       map[string]*loadJob
	counts     map[string]*loadCounts // by kind, and by kind and account
	phases     []loadPhase
	from, to   time.Duration // jobs sent first in this period are counted
	token      int64
	// leaving is the share of the callers that leave at a random time. returning makes callers
	// send rejected jobs again, after Retry-After.
	leaving   float64
	returning bool
	outage    bool // no VM dispatches; origins keep their jobs
	// change, if set, adapts a job before it is sent.
	change func(*loadJob)
	// minRetry and maxRetry are the shortest and the longest Retry-After.
	minRetry, maxRetry time.Duration
}

func newLoadDriver(t *testing.T, upstreams int, phases ...loadPhase) *loadDriver {
	start := time.Unix(1_700_000_000, 0)
	d := &loadDriver{
		t: t, now: start, start: start, rng: rand.New(rand.NewPCG(1, 2)), token: 100,
		s:         scheduler.New(start, scheduler.Config{LeaseMax: time.Second, MaxWaiting: 50_000}),
		upstreams: map[string]*loadUpstream{}, jobs: map[string]*loadJob{}, counts: map[string]*loadCounts{}, phases: phases,
	}
	for i := range upstreams {
		info := scheduler.Upstream{Name: fmt.Sprintf("u%03d", i), Service: "s", Size: scheduler.Size{MilliCPU: 32000, MemoryMB: 128000}}
		if i/3%3 == 0 {
			info.Size.MilliCPU = 48000
		}
		u := &loadUpstream{Upstream: schedulertest.New(start, info, time.Second)}
		u.Speed = []float64{0.6, 1, 1.6}[i%3]
		d.upstreams[info.Name], d.names = u, append(d.names, info.Name)
	}
	d.beginTerm()
	d.tick()
	for kind := range jobKinds {
		d.arrive(kind)
	}
	return d
}

// beginTerm starts a new term, to which the origins offer their unfinished jobs again.
func (d *loadDriver) beginTerm() {
	d.token++
	d.s.BeginTerm(d.now, d.token, 1700*time.Millisecond)
	var list []scheduler.Upstream
	for _, name := range d.names {
		if !d.upstreams[name].gone {
			list = append(list, d.upstreams[name].Info)
		}
	}
	d.s.SetUpstreams(d.now, list, false)
	for _, name := range d.names {
		d.upstreams[name].pending = false
		d.issuePoll(name)
	}
}

// removeUpstreams makes every nth upstream disappear with its runs.
func (d *loadDriver) removeUpstreams(n int) {
	var list []scheduler.Upstream
	for i, name := range d.names {
		if u := d.upstreams[name]; i%n == 0 {
			u.gone = true
		} else {
			list = append(list, u.Info)
		}
	}
	d.s.SetUpstreams(d.now, list, false)
}

func (d *loadDriver) at(after time.Duration, fn func()) { d.queue.Schedule(d.now.Add(after), fn) }

func (d *loadDriver) run(length time.Duration) {
	for end := d.start.Add(length); d.now.Before(end); {
		at, fn, _ := d.queue.Pop()
		d.now = at
		fn()
	}
}

func (d *loadDriver) tick() {
	d.apply(d.s.Tick(d.now))
	d.place()
	d.at(scheduler.TickInterval, d.tick)
}

func (d *loadDriver) place() {
	for _, start := range d.s.Place(d.now) {
		u, j := d.upstreams[start.Upstream.Name], d.jobs[start.Run.Job]
		if u.gone {
			d.apply(d.s.HandleStartResult(d.now, start, scheduler.OrderNoProcess, 0))
			continue
		}
		result, clock := u.Start(d.now, start, j.Size, j.work[start.Run.Index])
		j.started = j.started || result == scheduler.OrderDone
		d.apply(d.s.HandleStartResult(d.now, start, result, clock))
		if u.pending {
			d.awaitCompletion(start.Upstream.Name)
		} else {
			d.issuePoll(start.Upstream.Name)
		}
	}
}

func (d *loadDriver) issuePoll(name string) {
	u := d.upstreams[name]
	poll, due, wait, _ := d.s.NextPoll(d.now, name)
	switch {
	case u.pending:
	case due:
		u.poll, u.pending, u.until = poll, true, d.now.Add(poll.Wait)
		d.at(poll.Wait, func() { d.answerPoll(name) })
		d.awaitCompletion(name)
	case wait > 0:
		d.at(wait, func() { d.issuePoll(name) })
	}
}

// awaitCompletion answers the pending poll when a run ends.
func (d *loadDriver) awaitCompletion(name string) {
	u := d.upstreams[name]
	if !u.gone && u.HasCompletionAfter(d.now, u.poll.Seen) {
		d.at(0, func() { d.answerPoll(name) })
	} else if at, ok := u.NextCompletion(d.now); ok {
		// The time of the completion is rounded down to whole nanoseconds.
		d.at(at.Sub(d.now)+time.Microsecond, func() { d.answerPoll(name) })
	}
}

func (d *loadDriver) answerPoll(name string) {
	u := d.upstreams[name]
	if !u.pending || d.now.Before(u.until) && (u.gone || !u.HasCompletionAfter(d.now, u.poll.Seen)) {
		return
	}
	u.pending = false
	if u.gone {
		d.apply(d.s.HandlePollResult(d.now, u.poll, scheduler.PollNoProcess, scheduler.PollReport{}))
	} else {
		result, report := u.Poll(d.now, u.poll)
		d.apply(d.s.HandlePollResult(d.now, u.poll, result, report))
	}
	d.at(time.Millisecond, func() { d.issuePoll(name) })
	d.place()
}

func (d *loadDriver) normal(spread float64) float64 { return math.Exp(spread * d.rng.NormFloat64()) }

// arrive sends a job of a kind and schedules the next one.
func (d *loadDriver) arrive(kind int) {
	factor := 1.0
	for _, p := range d.phases {
		if d.now.Sub(d.start) < p.until {
			factor = p.factor[kind]
			break
		}
	}
	k := jobKinds[kind]
	d.at(time.Duration(d.rng.ExpFloat64()/max(k.rate*factor, 1e-3)*float64(time.Second)), func() { d.arrive(kind) })
	j := &loadJob{kind: kind, first: d.now, Job: scheduler.Job{
		ID: fmt.Sprintf("%016x", len(d.jobs)+1), Origin: fmt.Sprintf("vm%d", d.rng.IntN(12)), Submission: 1, Term: uint64(d.token), Queue: k.name, Service: "s",
		Size: scheduler.Size{MilliCPU: int(16000 * d.normal(0.2)), MemoryMB: 64}, Priority: k.priority,
		Estimate: time.Duration(float64(k.run) * d.normal(0.4)), Sent: d.now, Stretch: 1.6, Slack: 60 * time.Millisecond, MaxAttempts: 3,
		Deadline: d.now.Add(time.Duration(1500+d.rng.IntN(4500)) * time.Millisecond),
	}}
	j.Size.MilliCPU = min(j.Size.MilliCPU, 32000)
	longest := time.Duration(0)
	for i := range k.tasks {
		work := time.Duration(float64(k.run) * d.normal(0.4) / math.Exp(0.08) / 1.18) // the mean includes the long ones
		if d.rng.Float64() < 0.03 {
			work *= 7
		}
		j.Tasks, j.work, longest = append(j.Tasks, i), append(j.work, work), max(longest, work)
	}
	j.target = time.Duration(1.6*float64(longest)) + j.Slack
	if d.change != nil {
		d.change(j)
	}
	d.jobs[j.ID] = j
	if j.leave = d.rng.Float64() < d.leaving; j.leave {
		d.at(time.Duration(d.rng.Float64()*float64(j.target)), func() {
			if !j.ended {
				d.apply(d.s.Withdraw(d.now, j.Origin, j.ID, j.Submission))
				d.end(j, func(c *loadCounts) { c.left++ })
			}
		})
	}
	d.offer(j)
	d.place()
}

// handOver lets another dispatcher begin a term. Origins offer it their unfinished jobs.
func (d *loadDriver) handOver() {
	d.s = scheduler.New(d.now.Add(-time.Second), scheduler.Config{LeaseMax: time.Second, MaxWaiting: 50_000})
	d.beginTerm()
	ids := slices.Sorted(maps.Keys(d.jobs))
	for _, id := range ids {
		if j := d.jobs[id]; !j.ended {
			j.Resumed, j.Term = j.offered, uint64(d.token)
			d.offer(j)
		}
	}
}

func (d *loadDriver) offer(j *loadJob) {
	if d.outage {
		if !j.Deadline.After(d.now) {
			d.reject(j, time.Second)
		}
		return
	}
	j.offered = true
	actions, failure := d.s.Offer(d.now, j.Job)
	if failure != nil {
		d.reject(j, failure.RetryAfter)
	}
	d.apply(actions)
}

// end counts a job whose caller has an answer or has left.
func (d *loadDriver) end(j *loadJob, count func(*loadCounts)) {
	j.ended = true
	if sent := j.first.Sub(d.start); sent < d.from || sent >= d.to {
		return
	}
	name := jobKinds[j.kind].name
	keys := []string{name, name + " " + j.Account, fmt.Sprintf("%s %d", name, len(j.Tasks))}
	if j.Size.MilliCPU > 20000 { // a ninth of the tasks
		keys = append(keys, name+" large")
	}
	for _, key := range keys {
		if d.counts[key] == nil {
			d.counts[key] = &loadCounts{}
		}
		d.counts[key].jobs++
		count(d.counts[key])
	}
}

func (d *loadDriver) reject(j *loadJob, retryAfter time.Duration) {
	d.maxRetry = max(d.maxRetry, retryAfter)
	if d.minRetry == 0 || retryAfter < d.minRetry {
		d.minRetry = retryAfter
	}
	if again := d.now.Add(retryAfter); d.returning && again.Before(j.Deadline) {
		j.Submission++
		d.queue.Schedule(again, func() {
			j.Sent = d.now
			d.offer(j)
			d.place()
		})
		return
	}
	d.end(j, func(c *loadCounts) {
		c.rejected++
		if !j.started && d.now.Sub(j.Sent) > j.target/4 {
			c.held++
		}
		for _, u := range d.upstreams {
			if !j.started && !u.gone && u.Info.Size.MilliCPU-u.Used.MilliCPU >= j.Size.MilliCPU {
				c.whileFree++
				break
			}
		}
	})
}

func (d *loadDriver) apply(a scheduler.Actions) {
	for _, stop := range a.Stops {
		result, clock := d.upstreams[stop.Upstream.Name].Stop(d.now, stop)
		more, _, _ := d.s.HandleStopResult(d.now, stop, result, clock)
		d.apply(more)
	}
	for _, n := range a.Notices {
		j := d.jobs[n.Task.Job]
		switch {
		case j.ended || n.Kind == scheduler.TaskRetried:
		case n.Kind == scheduler.TaskDone:
			if j.done++; j.done == len(j.work) {
				d.end(j, func(c *loadCounts) {
					switch took := d.now.Sub(j.first); {
					case took <= j.target:
						c.inTime++
					case took <= 3*j.target:
						c.late++
					default:
						c.noValue++
					}
				})
			}
		default:
			d.reject(j, n.RetryAfter)
		}
	}
}

// report returns the counts by kind.
func (d *loadDriver) report() string {
	var b strings.Builder
	for _, k := range jobKinds {
		c := d.counts[k.name]
		if c == nil {
			continue
		}
		n := float64(max(c.jobs-c.left, 1))
		fmt.Fprintf(&b, "%s: %d jobs, in time %.3f, late %.3f, no value %.3f, rejected %.3f, held too long %.3f, rejected while free %.4f\n", k.name, c.jobs-c.left,
			c.share(), float64(c.late)/n, float64(c.noValue)/n, float64(c.rejected)/n, float64(c.held)/n, float64(c.whileFree)/n)
	}
	return b.String()
}
