package replay

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/daemon"
	"github.com/mustardstep/mustardstep/internal/eventqueue"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/mustardstep/mustardstep/verdict"
)

// Simulate drives the scheduler by a suite's trace in virtual time, without
// processes or messages. Its figures are those of the decisions alone.
func Simulate(suite string, o Options) (*Report, error) {
	s, known := dispatchScenarios[suite]
	if !known {
		return nil, errors.Newf("%q is no dispatch suite", suite)
	}
	o.Seconds = cmp.Or(o.Seconds, DefaultSeconds)
	jobs, err := s.jobs(o)
	if err != nil {
		return nil, err
	}
	services, err := catalog.Parse(servicesFile(o.Deployment))
	if err != nil {
		return nil, err
	}
	d := newDriver(&s.layout, services)
	outcomes := withoutWarmUp(d.run(jobs), measureStart(jobs))
	report := &Report{Suite: suite, Seed: o.Seed, Policy: policyMustardstep}
	evaluate(report, outcomes, nil, nil, s.layout.slotSpeeds().Sum())
	evaluateDispatch(report, outcomes, s.layout.slotSpeeds().Sum())
	report.Counters = map[string]int64{"starts": d.starts, "looks": d.looks}
	s.compareWithBaselines(report, jobs, o.Baselines)
	return report, nil
}

const (
	// hop is the virtual time of a message to an upstream or back.
	hop = taskOverhead / 2
	// driverLease is the longest lease of a model upstream.
	driverLease = time.Second
	// lookStep is the virtual time between two checks for an end.
	lookStep = time.Millisecond / 2
	// driverWaiting bounds the queue.
	driverWaiting = 1_000_000
	// driverToken is the fencing token of the only term.
	driverToken = 1
)

// driver runs one scheduler against model upstreams in virtual time.
type driver struct {
	services  *catalog.Catalog
	scheduler *scheduler.Scheduler
	upstreams map[string]*schedulertest.Upstream
	looking   map[string]bool
	jobs      map[string]*drivenJob
	now       time.Time
	events    eventqueue.Queue
	left      int // jobs that have not ended
	starts    int64
	looks     int64
}

// drivenJob is a job on its way.
type drivenJob struct {
	trace   *TraceJob
	arrived time.Time
	left    int
	outcome *outcome
	ended   bool
}

func (d *driver) after(wait time.Duration, run func()) {
	d.events.Schedule(d.now.Add(max(wait, 0)), run)
}

func newDriver(layout *Layout, services *catalog.Catalog) *driver {
	start := time.Unix(1_000_000_000, 0)
	d := &driver{
		services: services, now: start, upstreams: map[string]*schedulertest.Upstream{}, looking: map[string]bool{},
		jobs:      map[string]*drivenJob{},
		scheduler: scheduler.New(start, scheduler.Config{LeaseMax: driverLease, MaxWaiting: driverWaiting, RetainCompletions: true}),
	}
	var list []scheduler.Upstream
	for service := range services.Services() {
		for _, dataCentre := range layout.DataCentres {
			for i := range layout.Upstreams {
				u := scheduler.Upstream{
					Name: fmt.Sprintf("%s-%s-%02d", dataCentre, service, i), Service: service, DataCentre: dataCentre,
					Size: scheduler.Size{MilliCPU: layout.Slots * drivenTask.MilliCPU},
				}
				model := schedulertest.New(start, u, driverLease)
				model.Speed = layout.Speeds[i%len(layout.Speeds)]
				d.upstreams[u.Name] = model
				list = append(list, u)
			}
		}
	}
	d.scheduler.BeginTerm(start, driverToken, 0)
	d.scheduler.SetUpstreams(start, list, false)
	for _, u := range list {
		d.look(u.Name)
	}
	return d
}

// drivenTask is what a task takes: a slot.
var drivenTask = scheduler.Size{MilliCPU: 1000}

// run drives a whole trace and returns its outcomes.
func (d *driver) run(jobs []TraceJob) []outcome {
	outcomes := make([]outcome, len(jobs))
	d.left = len(jobs)
	for i := range jobs {
		d.after(time.Duration(jobs[i].ArrivalUS)*time.Microsecond, func() { d.arrive(&jobs[i], &outcomes[i]) })
	}
	d.tick()
	for d.left > 0 {
		at, run, ok := d.events.Pop()
		if !ok {
			break
		}
		d.now = at
		run()
	}
	return outcomes
}

func (d *driver) tick() {
	d.act(d.scheduler.Tick(d.now))
	d.place()
	d.after(scheduler.TickInterval, d.tick)
}

func (d *driver) arrive(trace *TraceJob, o *outcome) {
	call := d.services.Lookup(trace.Service, trace.Call)
	job := &drivenJob{trace: trace, arrived: d.now, left: len(trace.Tasks), outcome: o}
	o.job = trace
	id := trace.Caller + "/" + trace.Key
	d.jobs[id] = job
	queue := daemon.QueueOf(call, len(trace.Tasks))
	offered := scheduler.Job{
		ID: id, Origin: "front", OriginIncarnation: 1, Queue: queue.Name, Service: queue.Service,
		Size: drivenTask, Priority: queue.Priority, Estimate: call.DeclaredDuration, Sent: d.now, Deadline: d.now.Add(call.Deadline),
		Stretch: queue.Stretch, Slack: queue.Slack, MaxAttempts: queue.MaxAttempts, AtMostOnce: true,
	}
	for i := range trace.Tasks {
		offered.Tasks = append(offered.Tasks, i)
	}
	if _, failure := d.scheduler.Offer(d.now, offered); failure != nil {
		d.end(job, failure)
		return
	}
	if trace.CancelAfterUS > 0 {
		d.after(time.Duration(trace.CancelAfterUS)*time.Microsecond, func() { d.cancel(job, id) })
	}
	d.place()
}

func (d *driver) cancel(job *drivenJob, id string) {
	if !job.ended {
		d.act(d.scheduler.Withdraw(d.now, "front", []string{id}))
		d.end(job, verdict.Errorf(verdict.MayHaveRun, verdict.CodeCancelled, "cancelled"))
		d.place()
	}
}

func (d *driver) end(job *drivenJob, failure *verdict.Error) {
	job.ended = true
	job.outcome.failure = failure
	job.outcome.response = d.now.Sub(job.arrived) + callOverhead
	d.left--
}

// place sends the starts that are due.
func (d *driver) place() {
	for _, start := range d.scheduler.Place(d.now) {
		d.starts++
		model := d.upstreams[start.Upstream.Name]
		work := time.Duration(d.jobs[start.Run.Job].trace.Tasks[start.Run.Index].RunUS) * time.Microsecond
		d.after(hop, func() {
			result, clock := model.Start(d.now, start, drivenTask, work)
			d.after(hop, func() {
				d.act(d.scheduler.HandleStartResult(d.now, start, result, clock))
				d.look(start.Upstream.Name)
				d.place()
			})
		})
	}
}

// look looks at an upstream, one look at a time, while one is due.
func (d *driver) look(name string) {
	if d.looking[name] {
		return
	}
	look, due, wait, _ := d.scheduler.NextPoll(d.now, name)
	d.looking[name] = due || wait > 0
	switch {
	case due:
		d.looks++
		d.after(hop, func() { d.await(look, d.now.Add(look.Wait)) })
	case wait > 0:
		d.after(wait, func() {
			d.looking[name] = false
			d.look(name)
		})
	}
}

// await answers a look once an end is listed, or at the end of its wait.
func (d *driver) await(look scheduler.Poll, until time.Time) {
	name := look.Upstream.Name
	model := d.upstreams[name]
	result, report := model.Poll(d.now, look)
	if !model.HasCompletionAfter(d.now, look.Seen) && d.now.Before(until) {
		look.Until = 0 // the lease is renewed on arrival
		d.after(lookStep, func() { d.await(look, until) })
		return
	}
	d.after(hop, func() {
		d.looking[name] = false
		d.act(d.scheduler.HandlePollResult(d.now, look, result, report))
		d.look(name)
		d.place()
	})
}

func (d *driver) act(a scheduler.Actions) {
	for _, stop := range a.Stops {
		model := d.upstreams[stop.Upstream.Name]
		d.after(hop, func() {
			result, clock := model.Stop(d.now, stop)
			d.after(hop, func() {
				actions, _, _ := d.scheduler.HandleStopResult(d.now, stop, result, clock)
				d.act(actions)
			})
		})
	}
	var receipts []scheduler.CompletionRef
	for _, n := range a.Notices {
		receipts = append(receipts, n.Completion)
		job := d.jobs[n.Task.Job]
		switch {
		case job.ended:
		case n.Kind == scheduler.TaskDone:
			if job.left--; job.left == 0 {
				d.end(job, nil)
			}
		default:
			d.end(job, verdict.Errorf(verdict.MayHaveRun, n.Code, "%s", n.Reason))
		}
	}
	d.scheduler.ConfirmDelivery(receipts)
}
