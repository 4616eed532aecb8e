package scheduler_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/eventqueue"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"pgregory.net/rapid"
)

// The model drives several schedulers against model upstreams through a network
// that delays, loses and cuts, with dispatchers that are replaced while they
// still act, and checks after each start that no task runs twice at the same
// time, that no task of a job that must run once only starts twice, and that no
// upstream holds more than it has.

const (
	modelLeaseMax = time.Second
	// modelDropTime is the time after which a dispatcher drops the jobs of an
	// origin that follows another one.
	modelDropTime   = 600 * time.Millisecond
	modelResumeTime = modelDropTime + 1060*time.Millisecond
	modelLength     = 12 * time.Second
)

// modelJob is a job that its origin waits for.
type modelJob struct {
	job     scheduler.Job
	open    []int
	ended   bool
	at      *modelDispatcher // that has it
	offered bool
	before  int64 // token of the last offer
}

// modelDispatcher is a scheduler with its looks.
type modelDispatcher struct {
	name      string
	scheduler *scheduler.Scheduler
	token     int64
	frozen    time.Time // until then it does nothing
	looking   map[string]bool
	cut       map[string]bool // upstreams that it does not reach
}

type model struct {
	t           *rapid.T
	rand        *rand.Rand
	trace       []string
	now         time.Time
	events      eventqueue.Queue
	upstreams   map[string]*schedulertest.Upstream
	names       []string
	dispatchers []*modelDispatcher
	current     *modelDispatcher
	jobs        map[string]*modelJob
	active      map[scheduler.Task][]string // where a task runs
	begun       map[scheduler.Task]string   // where a task that must run once only started
	restarts    map[string]int
	token       int64
	done        int
}

// lateOrders is the share of orders, in hundredths, that get no answer and are
// carried out seconds later.
const lateOrders = 4

// lostAnswers is the share of orders, in hundredths, that are carried out at once
// and get no answer.
const lostAnswers = 2

func (m *model) after(d time.Duration, do func()) {
	m.events.Schedule(m.now.Add(d), do)
}

// between draws a number of milliseconds.
func (m *model) between(least, most int) time.Duration {
	return time.Duration(least+m.rand.IntN(most-least+1)) * time.Millisecond
}

// delay draws the time that a message takes.
func (m *model) delay() time.Duration { return m.between(1, 12) }

func (m *model) logf(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%6d ", m.now.Sub(modelStart).Milliseconds())+fmt.Sprintf(format, args...))
}

// fail reports a broken promise with what led to it.
func (m *model) fail(about, format string, args ...any) {
	for _, line := range m.trace {
		if strings.Contains(line, about) || strings.Contains(line, "trouble") || strings.Contains(line, "begin") {
			m.t.Log(line)
		}
	}
	m.t.Fatalf(format, args...)
}

var modelStart = time.Unix(1_700_000_000, 0)

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: modelStart, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), upstreams: map[string]*schedulertest.Upstream{},
		jobs: map[string]*modelJob{}, active: map[scheduler.Task][]string{}, begun: map[scheduler.Task]string{}, restarts: map[string]int{},
	}
	for i := range 4 {
		name := fmt.Sprintf("u%d", i)
		info := scheduler.Upstream{Name: name, Service: "s", Size: scheduler.Size{MilliCPU: 16000, MemoryMB: 32000}}
		u := schedulertest.New(m.now, info, modelLeaseMax)
		u.ClockRate = []float64{1, 0.98, 1, 0.99}[i]
		u.Speed = []float64{0.6, 1, 1.6, 1}[i]
		u.OnStart = func(_ time.Time, run scheduler.Run) {
			m.logf("%s attempt %d of task %d runs on %s", run.Job, run.Attempt, run.Index, name)
			if at := m.active[run.Task]; len(at) > 0 {
				m.fail(run.Job, "%v starts on %s while it runs on %v", run, name, at)
			}
			m.active[run.Task] = append(m.active[run.Task], name)
			if m.jobs[run.Job].job.AtMostOnce {
				if at := m.begun[run.Task]; at != "" {
					m.fail(run.Job, "%v starts on %s although it had started on %s", run, name, at)
				}
				m.begun[run.Task] = name
			}
			if !u.Used.FitsIn(info.Size) {
				m.fail(name, "%s holds %+v, more than it has", name, u.Used)
			}
		}
		u.OnCompletion = func(_ time.Time, run scheduler.Run, how scheduler.CompletionKind) {
			m.logf("%s attempt %d of task %d ends on %s: %v", run.Job, run.Attempt, run.Index, name, how)
			m.active[run.Task] = slices.DeleteFunc(m.active[run.Task], func(at string) bool { return at == name })
		}
		m.upstreams[name] = u
		m.names = append(m.names, name)
	}
	for i := range 2 {
		m.dispatchers = append(m.dispatchers, &modelDispatcher{
			name:      fmt.Sprintf("d%d", i),
			scheduler: scheduler.New(m.now, scheduler.Config{LeaseMax: modelLeaseMax, MaxWaiting: 1000, RetainCompletions: true}),
			looking:   map[string]bool{}, cut: map[string]bool{},
		})
	}
	return m
}

func (m *model) list() []scheduler.Upstream {
	var list []scheduler.Upstream
	for _, name := range m.names {
		list = append(list, m.upstreams[name].Info)
	}
	return list
}

// begin makes a dispatcher the one that origins follow.
func (m *model) begin(d *modelDispatcher) {
	m.token += 10
	m.logf("begin %s %d", d.name, m.token)
	d.token = m.token
	old := m.current
	m.current = d
	d.scheduler.BeginTerm(m.now, d.token, modelResumeTime)
	d.scheduler.SetUpstreams(m.now, m.list(), false)
	for _, name := range m.names {
		m.lookLoop(d, name)
	}
	if old != nil && old != d {
		m.after(modelDropTime, func() {
			if m.current != old {
				m.act(old, old.scheduler.AbandonJobsOf(m.now, "front", 2))
			}
		})
	}
	for _, id := range m.ids() {
		m.offer(m.jobs[id])
	}
}

func (m *model) ids() []string {
	ids := make([]string, 0, len(m.jobs))
	for id, j := range m.jobs {
		if !j.ended {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// offer hands a job to the current dispatcher.
func (m *model) offer(j *modelJob) {
	d := m.current
	if d == nil || j.ended {
		return
	}
	token := d.token
	offered := j.job
	offered.Resumed, offered.PreviousToken = j.offered, j.before
	offered.Tasks = slices.Clone(j.open)
	j.at, j.offered, j.before = d, true, token
	m.after(m.delay(), func() {
		if j.ended || d.token != token || m.current != d {
			return
		}
		notices, failure := d.scheduler.Offer(m.now, offered)
		if failure != nil {
			j.ended = !offered.Resumed
			return
		}
		m.act(d, scheduler.Actions{Notices: notices})
		if offered.Resumed {
			for _, name := range m.names {
				m.lookLoop(d, name)
			}
		}
		m.place(d)
	})
}

func (m *model) place(d *modelDispatcher) {
	if m.now.Before(d.frozen) {
		return
	}
	for _, start := range d.scheduler.Place(m.now) {
		m.start(d, start)
	}
}

// reach calls do when a message arrives at an upstream, if it does: answered
// tells whether the answer comes back.
func (m *model) reach(d *modelDispatcher, name string, late bool, do func(answered bool), lost func()) {
	switch {
	case d.cut[name]:
		m.after(100*time.Millisecond, lost)
	case late && m.rand.IntN(100) < lateOrders:
		m.logf("%s sends an order to %s that will be late", d.name, name)
		m.after(100*time.Millisecond, lost)
		process := m.restarts[name]
		m.after(m.between(1500, 5000), func() {
			// An order to an earlier process is refused: it names the process.
			if m.restarts[name] == process {
				do(false)
			}
		})
	case late && m.rand.IntN(100) < lostAnswers:
		m.after(100*time.Millisecond, lost)
		m.after(m.delay(), func() { do(false) })
	default:
		m.after(m.delay(), func() { do(true) })
	}
}

func (m *model) start(d *modelDispatcher, start scheduler.Start) {
	j := m.jobs[start.Run.Job]
	result, clock := scheduler.OrderUnanswered, int64(0)
	m.reach(d, start.Upstream.Name, true, func(answered bool) {
		work := time.Duration(300+600*start.Run.Index) * time.Millisecond
		r, c := m.upstreams[start.Upstream.Name].Start(m.now, start, j.job.Size, work)
		if answered {
			result, clock = r, c
			m.after(m.delay(), func() { m.started(d, start, result, clock) })
		}
	}, func() { m.started(d, start, scheduler.OrderUnanswered, 0) })
}

func (m *model) started(d *modelDispatcher, start scheduler.Start, result scheduler.OrderResult, clock int64) {
	if m.now.Before(d.frozen) {
		m.after(d.frozen.Sub(m.now), func() { m.started(d, start, result, clock) })
		return
	}
	m.act(d, d.scheduler.HandleStartResult(m.now, start, result, clock))
	m.lookLoop(d, start.Upstream.Name)
	m.place(d)
}

func (m *model) stop(d *modelDispatcher, stop scheduler.Stop) {
	ended := func(result scheduler.OrderResult, clock int64) {
		actions, again, after := d.scheduler.HandleStopResult(m.now, stop, result, clock)
		m.act(d, actions)
		if again {
			m.after(after, func() { m.stop(d, stop) })
		}
	}
	m.reach(d, stop.Upstream.Name, true, func(answered bool) {
		result, clock := m.upstreams[stop.Upstream.Name].Stop(m.now, stop)
		if answered {
			m.after(m.delay(), func() { ended(result, clock) })
		}
	}, func() { ended(scheduler.OrderUnanswered, 0) })
}

// lookLoop looks at an upstream while a look is due.
func (m *model) lookLoop(d *modelDispatcher, name string) {
	if d.looking[name] {
		return
	}
	if m.now.Before(d.frozen) {
		d.looking[name] = true
		m.after(d.frozen.Sub(m.now), func() {
			d.looking[name] = false
			m.lookLoop(d, name)
		})
		return
	}
	look, due, wait, _ := d.scheduler.NextPoll(m.now, name)
	if !due {
		if wait > 0 {
			d.looking[name] = true
			m.after(wait, func() {
				d.looking[name] = false
				m.lookLoop(d, name)
			})
		}
		return
	}
	d.looking[name] = true
	m.look(d, look, func() {
		d.looking[name] = false
		m.lookLoop(d, name)
	})
}

func (m *model) look(d *modelDispatcher, look scheduler.Poll, then func()) {
	name := look.Upstream.Name
	u := m.upstreams[name]
	answer := func(result scheduler.PollResult, report scheduler.PollReport) {
		deliver := func() {
			m.act(d, d.scheduler.HandlePollResult(m.now, look, result, report))
			m.place(d)
			then()
		}
		if m.now.Before(d.frozen) {
			m.after(d.frozen.Sub(m.now), deliver)
			return
		}
		deliver()
	}
	m.reach(d, name, false, func(bool) {
		until := m.now.Add(look.Wait)
		u.Poll(m.now, look) // renews on arrival
		var poll func()
		poll = func() {
			if m.now.Before(until) && !u.HasCompletionAfter(m.now, look.Seen) {
				m.after(5*time.Millisecond, poll)
				return
			}
			renewed := look
			renewed.Until = 0
			result, report := u.Poll(m.now, renewed)
			m.after(m.delay(), func() { answer(result, report) })
		}
		poll()
	}, func() { answer(scheduler.PollUnanswered, scheduler.PollReport{}) })
}

func (m *model) act(d *modelDispatcher, a scheduler.Actions) {
	slices.SortFunc(a.Stops, func(a, b scheduler.Stop) int {
		return cmp.Or(strings.Compare(a.Run.Job, b.Run.Job), cmp.Compare(a.Run.Index, b.Run.Index), strings.Compare(a.Upstream.Name, b.Upstream.Name))
	})
	for _, stop := range a.Stops {
		m.stop(d, stop)
	}
	for _, name := range a.Polls {
		if look, ok := d.scheduler.ImmediatePoll(m.now, name); ok {
			m.look(d, look, func() {})
		}
	}
	for _, n := range a.Notices {
		m.after(m.delay(), func() { m.notice(d, n) })
	}
}

func (m *model) notice(d *modelDispatcher, n scheduler.Notice) {
	j := m.jobs[n.Task.Job]
	switch {
	case j == nil || j.ended:
	case n.Kind == scheduler.TaskDone:
		j.open = slices.DeleteFunc(j.open, func(i int) bool { return i == n.Task.Index })
		if len(j.open) == 0 {
			j.ended = true
			m.done++
		}
	case j.at == d:
		j.ended = true
	case j.job.AtMostOnce && n.Kind != scheduler.JobNotRun:
		j.ended = true
		m.act(j.at, j.at.scheduler.Withdraw(m.now, "front", []string{n.Task.Job}))
	}
	d.scheduler.ConfirmDelivery([]scheduler.CompletionRef{n.Completion})
}

// run plays the model.
func (m *model) run() {
	end := m.now.Add(modelLength)
	m.begin(m.dispatchers[0])
	m.tick()
	m.arrive(0)
	m.trouble()
	for {
		at, do, ok := m.events.Pop()
		if !ok || at.After(end) {
			return
		}
		m.now = at
		do()
	}
}

func (m *model) tick() {
	for _, name := range m.names {
		m.upstreams[name].Advance(m.now)
	}
	for _, d := range m.dispatchers {
		if !m.now.Before(d.frozen) {
			m.act(d, d.scheduler.Tick(m.now))
			m.place(d)
			for _, name := range m.names {
				m.lookLoop(d, name)
			}
		}
	}
	m.after(scheduler.TickInterval, m.tick)
}

func (m *model) arrive(n int) {
	id := fmt.Sprintf("%016x", n)
	tasks := 1 + m.rand.IntN(5)
	j := &modelJob{job: scheduler.Job{
		ID: id, Origin: "front", OriginIncarnation: 1, Queue: "q", Service: "s",
		Size: scheduler.Size{MilliCPU: 6800, MemoryMB: 64}, Estimate: 200 * time.Millisecond,
		Sent: m.now, Deadline: m.now.Add(5 * time.Second), Stretch: 1.6, Slack: 60 * time.Millisecond, MaxAttempts: 3,
		AtMostOnce: m.rand.IntN(2) == 0,
	}}
	for i := range tasks {
		j.open = append(j.open, i)
	}
	m.jobs[id] = j
	m.offer(j)
	m.after(5*time.Second, func() {
		if !j.ended {
			j.ended = true
			if j.at == m.current {
				m.act(j.at, j.at.scheduler.Withdraw(m.now, "front", []string{id}))
			}
		}
	})
	m.after(m.between(20, 200), func() { m.arrive(n + 1) })
}

// trouble makes something go wrong now and then.
func (m *model) trouble() {
	m.after(m.between(300, 2500), func() {
		d := m.dispatchers[m.rand.IntN(2)]
		name := m.names[m.rand.IntN(len(m.names))]
		kind := m.rand.IntN(7)
		m.logf("trouble %d: %s, %s", kind, d.name, name)
		switch kind {
		case 0:
			m.begin(d)
		case 1: // frozen, while the other one takes over
			d.frozen = m.now.Add(m.between(200, 3000))
			if m.current == d {
				for _, other := range m.dispatchers {
					if other != d {
						m.begin(other)
						break
					}
				}
			}
		case 2:
			d.cut[name] = true
			m.after(m.between(200, 3000), func() { d.cut[name] = false })
		case 3:
			m.restarts[name]++
			m.upstreams[name].Restart(m.now)
		case 6:
			m.rival(name)
		case 5: // the dispatcher lost the origin, which offers its jobs again
			m.act(m.current, m.current.scheduler.AbandonJobsOf(m.now, "front", 2))
			for _, id := range m.ids() {
				m.offer(m.jobs[id])
			}
		case 4:
			m.upstreams[name].Fail = !m.upstreams[name].Fail
		}
		m.trouble()
	})
}

// rival cuts an upstream off from the dispatcher that origins follow, and lets
// the other one claim it, until the cut heals.
func (m *model) rival(name string) {
	ours := m.current
	other := m.dispatchers[0]
	if other == ours {
		other = m.dispatchers[1]
	}
	if m.now.Before(other.frozen) || ours.scheduler.HasUnreachablePeers() {
		return
	}
	ours.cut[name] = true
	token := ours.token
	m.after(m.between(400, 700), func() { ours.scheduler.SetUnreachablePeers(true) })
	m.after(m.between(500, 900), func() {
		if m.current != ours || ours.token != token {
			return
		}
		m.token += 10
		other.token = m.token
		m.logf("begin %s %d as a rival on %s", other.name, other.token, name)
		other.scheduler.BeginTerm(m.now, other.token, modelResumeTime)
		other.scheduler.SetUpstreams(m.now, []scheduler.Upstream{m.upstreams[name].Info}, true)
		m.lookLoop(other, name)
	})
	m.after(m.between(1500, 4000), func() {
		ours.cut[name] = false
		if m.current == ours {
			other.scheduler.EndTerm()
			m.begin(ours)
		}
		m.after(3*time.Second, func() { ours.scheduler.SetUnreachablePeers(false) })
	})
}

func TestNoTaskRunsTwiceAndNoUpstreamIsOverfull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.run()
	})
}
