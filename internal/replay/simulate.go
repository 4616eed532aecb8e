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
	sim := newSimulator(&s.layout, services)
	outcomes := withoutWarmUp(sim.run(jobs), measureStart(jobs))
	report := &Report{Suite: suite, Seed: o.Seed, Policy: policyMustardstep}
	evaluate(report, outcomes, nil, nil, s.layout.slotSpeeds().Sum())
	evaluateDispatch(report, outcomes, s.layout.slotSpeeds().Sum())
	report.Counters = map[string]int64{"starts": sim.starts, "looks": sim.polls}
	s.compareWithBaselines(report, jobs, o.Baselines)
	return report, nil
}

const (
	// messageDelay is the virtual time of a message to an upstream or back.
	messageDelay = taskOverhead / 2
	// simulatedLease is the longest lease of a model upstream.
	simulatedLease = time.Second
	// pollStep is the virtual time between two checks for an end.
	pollStep = time.Millisecond / 2
	// maxWaitingTasks bounds the queue.
	maxWaitingTasks = 1_000_000
	// simulatedToken is the fencing token of the only term.
	simulatedToken = 1
)

// simulator runs one scheduler against model upstreams in virtual time.
type simulator struct {
	services  *catalog.Catalog
	scheduler *scheduler.Scheduler
	upstreams map[string]*schedulertest.Upstream
	polling   map[string]bool
	jobs      map[string]*simulatedJob
	now       time.Time
	events    eventqueue.Queue
	jobsLeft  int // jobs that have not ended
	starts    int64
	polls     int64
}

// simulatedJob is a job on its way.
type simulatedJob struct {
	trace     *TraceJob
	arrived   time.Time
	tasksLeft int
	outcome   *outcome
	finished  bool
}

func (d *simulator) schedule(wait time.Duration, run func()) {
	d.events.Schedule(d.now.Add(max(wait, 0)), run)
}

func newSimulator(layout *Layout, services *catalog.Catalog) *simulator {
	start := time.Unix(1_000_000_000, 0)
	d := &simulator{
		services: services, now: start, upstreams: map[string]*schedulertest.Upstream{}, polling: map[string]bool{},
		jobs:      map[string]*simulatedJob{},
		scheduler: scheduler.New(start, scheduler.Config{LeaseMax: simulatedLease, MaxWaiting: maxWaitingTasks, RetainCompletions: true}),
	}
	var list []scheduler.Upstream
	for service := range services.Services() {
		for _, dataCentre := range layout.DataCentres {
			for i := range layout.Upstreams {
				u := scheduler.Upstream{
					Name: fmt.Sprintf("%s-%s-%02d", dataCentre, service, i), Service: service, DataCentre: dataCentre,
					Size: scheduler.Size{MilliCPU: layout.Slots * simulatedTaskSize.MilliCPU},
				}
				model := schedulertest.New(start, u, simulatedLease)
				model.Speed = layout.Speeds[i%len(layout.Speeds)]
				d.upstreams[u.Name] = model
				list = append(list, u)
			}
		}
	}
	d.scheduler.BeginTerm(start, simulatedToken, 0)
	d.scheduler.SetUpstreams(start, list, false)
	for _, u := range list {
		d.poll(u.Name)
	}
	return d
}

// simulatedTaskSize is what a task takes: a slot.
var simulatedTaskSize = scheduler.Size{MilliCPU: 1000}

// run drives a whole trace and returns its outcomes.
func (d *simulator) run(jobs []TraceJob) []outcome {
	outcomes := make([]outcome, len(jobs))
	d.jobsLeft = len(jobs)
	for i := range jobs {
		d.schedule(time.Duration(jobs[i].ArrivalUS)*time.Microsecond, func() { d.offer(&jobs[i], &outcomes[i]) })
	}
	d.tick()
	for d.jobsLeft > 0 {
		at, run, ok := d.events.Pop()
		if !ok {
			break
		}
		d.now = at
		run()
	}
	return outcomes
}

func (d *simulator) tick() {
	d.apply(d.scheduler.Tick(d.now))
	d.place()
	d.schedule(scheduler.TickInterval, d.tick)
}

func (d *simulator) offer(trace *TraceJob, o *outcome) {
	call := d.services.Lookup(trace.Service, trace.Call)
	job := &simulatedJob{trace: trace, arrived: d.now, tasksLeft: len(trace.Tasks), outcome: o}
	o.job = trace
	id := trace.Caller + "/" + trace.Key
	d.jobs[id] = job
	queue := daemon.QueueOf(call, len(trace.Tasks))
	offered := scheduler.Job{
		ID: id, Origin: "front", OriginIncarnation: 1, Queue: queue.Name, Service: queue.Service,
		Size: simulatedTaskSize, Priority: queue.Priority, Estimate: call.DeclaredDuration, Sent: d.now, Deadline: d.now.Add(call.Deadline),
		Stretch: queue.Stretch, Slack: queue.Slack, MaxAttempts: queue.MaxAttempts, AtMostOnce: true,
	}
	for i := range trace.Tasks {
		offered.Tasks = append(offered.Tasks, i)
	}
	if _, failure := d.scheduler.Offer(d.now, offered); failure != nil {
		d.finish(job, failure)
		return
	}
	if trace.CancelAfterUS > 0 {
		d.schedule(time.Duration(trace.CancelAfterUS)*time.Microsecond, func() { d.cancel(job, id) })
	}
	d.place()
}

func (d *simulator) cancel(job *simulatedJob, id string) {
	if !job.finished {
		d.apply(d.scheduler.Withdraw(d.now, "front", []string{id}))
		d.finish(job, verdict.Errorf(verdict.MayHaveRun, verdict.CodeCancelled, "cancelled"))
		d.place()
	}
}

func (d *simulator) finish(job *simulatedJob, failure *verdict.Error) {
	job.finished = true
	job.outcome.failure = failure
	job.outcome.response = d.now.Sub(job.arrived) + callOverhead
	d.jobsLeft--
}

// place sends the starts that are due.
func (d *simulator) place() {
	for _, start := range d.scheduler.Place(d.now) {
		d.starts++
		model := d.upstreams[start.Upstream.Name]
		work := time.Duration(d.jobs[start.Run.Job].trace.Tasks[start.Run.Index].RunUS) * time.Microsecond
		d.schedule(messageDelay, func() {
			result, clock := model.Start(d.now, start, simulatedTaskSize, work)
			d.schedule(messageDelay, func() {
				d.apply(d.scheduler.HandleStartResult(d.now, start, result, clock))
				d.poll(start.Upstream.Name)
				d.place()
			})
		})
	}
}

// poll looks at an upstream, one poll at a time, while one is due.
func (d *simulator) poll(name string) {
	if d.polling[name] {
		return
	}
	poll, due, wait, _ := d.scheduler.NextPoll(d.now, name)
	d.polling[name] = due || wait > 0
	switch {
	case due:
		d.polls++
		d.schedule(messageDelay, func() { d.answerPoll(poll, d.now.Add(poll.Wait)) })
	case wait > 0:
		d.schedule(wait, func() {
			d.polling[name] = false
			d.poll(name)
		})
	}
}

// answerPoll answers a look once an end is listed, or at the end of its wait.
func (d *simulator) answerPoll(poll scheduler.Poll, until time.Time) {
	name := poll.Upstream.Name
	model := d.upstreams[name]
	result, report := model.Poll(d.now, poll)
	if !model.HasCompletionAfter(d.now, poll.Seen) && d.now.Before(until) {
		poll.Until = 0 // the lease is renewed on arrival
		d.schedule(pollStep, func() { d.answerPoll(poll, until) })
		return
	}
	d.schedule(messageDelay, func() {
		d.polling[name] = false
		d.apply(d.scheduler.HandlePollResult(d.now, poll, result, report))
		d.poll(name)
		d.place()
	})
}

func (d *simulator) apply(a scheduler.Actions) {
	for _, stop := range a.Stops {
		model := d.upstreams[stop.Upstream.Name]
		d.schedule(messageDelay, func() {
			result, clock := model.Stop(d.now, stop)
			d.schedule(messageDelay, func() {
				actions, _, _ := d.scheduler.HandleStopResult(d.now, stop, result, clock)
				d.apply(actions)
			})
		})
	}
	var delivered []scheduler.CompletionRef
	for _, n := range a.Notices {
		delivered = append(delivered, n.Completion)
		job := d.jobs[n.Task.Job]
		switch {
		case job.finished:
		case n.Kind == scheduler.TaskDone:
			if job.tasksLeft--; job.tasksLeft == 0 {
				d.finish(job, nil)
			}
		default:
			d.finish(job, verdict.Errorf(verdict.MayHaveRun, n.Code, "%s", n.Reason))
		}
	}
	d.scheduler.ConfirmDelivery(delivered)
}
