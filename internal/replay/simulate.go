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

// Simulate runs the scheduler on a dispatch suite's trace in virtual time, without
// processes or network traffic. Its report depends only on the scheduling decisions.
func Simulate(suite string, o Options) (*Report, error) {
	s, known := dispatchScenarios[suite]
	if !known {
		return nil, errors.Newf("%q is not a dispatch suite", suite)
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
	// messageDelay is the one-way delay between the scheduler and an upstream.
	messageDelay = taskOverhead / 2
	// simulatedLease is the maximum lease of a simulated upstream.
	simulatedLease = time.Second
	// pollStep is the interval at which a pending poll checks for a completion.
	pollStep = time.Millisecond / 2
	// maxWaitingTasks bounds the scheduler's queue.
	maxWaitingTasks = 1_000_000
	// simulatedToken is the fencing token of the only term.
	simulatedToken = 1
)

// simulator runs one scheduler against simulated upstreams in virtual time.
type simulator struct {
	services  *catalog.Catalog
	scheduler *scheduler.Scheduler
	upstreams map[string]*schedulertest.Upstream
	polling   map[string]bool // upstreams with a pending poll, by name
	jobs      map[string]*simulatedJob
	now       time.Time
	events    eventqueue.Queue
	jobsLeft  int // unfinished jobs
	starts    int64
	polls     int64
}

// simulatedJob is the state of one job of the trace.
type simulatedJob struct {
	trace     *TraceJob
	arrived   time.Time
	tasksLeft int
	outcome   *outcome
	finished  bool
}

func (s *simulator) schedule(wait time.Duration, run func()) {
	s.events.Schedule(s.now.Add(max(wait, 0)), run)
}

func newSimulator(layout *Layout, services *catalog.Catalog) *simulator {
	start := time.Unix(1_000_000_000, 0)
	s := &simulator{
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
				s.upstreams[u.Name] = model
				list = append(list, u)
			}
		}
	}
	s.scheduler.BeginTerm(start, simulatedToken, 0)
	s.scheduler.SetUpstreams(start, list, false)
	for _, u := range list {
		s.poll(u.Name)
	}
	return s
}

// simulatedTaskSize is the size of every task: one slot.
var simulatedTaskSize = scheduler.Size{MilliCPU: 1000}

// run simulates a trace and returns its outcomes.
func (s *simulator) run(jobs []TraceJob) []outcome {
	outcomes := make([]outcome, len(jobs))
	s.jobsLeft = len(jobs)
	for i := range jobs {
		s.schedule(time.Duration(jobs[i].ArrivalUS)*time.Microsecond, func() { s.offer(&jobs[i], &outcomes[i]) })
	}
	s.tick()
	for s.jobsLeft > 0 {
		at, run, ok := s.events.Pop()
		if !ok {
			break
		}
		s.now = at
		run()
	}
	return outcomes
}

func (s *simulator) tick() {
	s.apply(s.scheduler.Tick(s.now))
	s.place()
	s.schedule(scheduler.TickInterval, s.tick)
}

func (s *simulator) offer(trace *TraceJob, o *outcome) {
	call := s.services.Lookup(trace.Service, trace.Call)
	job := &simulatedJob{trace: trace, arrived: s.now, tasksLeft: len(trace.Tasks), outcome: o}
	o.job = trace
	id := trace.Caller + "/" + trace.Key
	s.jobs[id] = job
	queue := daemon.QueueOf(call, len(trace.Tasks))
	offered := scheduler.Job{
		ID: id, Origin: "front", OriginIncarnation: 1, Queue: queue.Name, Service: queue.Service,
		Size: simulatedTaskSize, Priority: queue.Priority, Estimate: call.DeclaredDuration, Sent: s.now, Deadline: s.now.Add(call.Deadline),
		Stretch: queue.Stretch, Slack: queue.Slack, MaxAttempts: queue.MaxAttempts, AtMostOnce: true,
	}
	for i := range trace.Tasks {
		offered.Tasks = append(offered.Tasks, i)
	}
	if _, failure := s.scheduler.Offer(s.now, offered); failure != nil {
		s.finish(job, failure)
		return
	}
	if trace.CancelAfterUS > 0 {
		s.schedule(time.Duration(trace.CancelAfterUS)*time.Microsecond, func() { s.cancel(job, id) })
	}
	s.place()
}

func (s *simulator) cancel(job *simulatedJob, id string) {
	if !job.finished {
		s.apply(s.scheduler.Withdraw(s.now, "front", id, 0))
		s.finish(job, verdict.Errorf(verdict.MayHaveRun, verdict.CodeCancelled, "cancelled"))
		s.place()
	}
}

func (s *simulator) finish(job *simulatedJob, failure *verdict.Error) {
	job.finished = true
	job.outcome.failure = failure
	job.outcome.response = s.now.Sub(job.arrived) + callOverhead
	s.jobsLeft--
}

// place sends the starts that the scheduler has decided on.
func (s *simulator) place() {
	for _, start := range s.scheduler.Place(s.now) {
		s.starts++
		model := s.upstreams[start.Upstream.Name]
		work := time.Duration(s.jobs[start.Run.Job].trace.Tasks[start.Run.Index].RunUS) * time.Microsecond
		s.schedule(messageDelay, func() {
			result, clock := model.Start(s.now, start, simulatedTaskSize, work)
			s.schedule(messageDelay, func() {
				s.apply(s.scheduler.HandleStartResult(s.now, start, result, clock))
				s.poll(start.Upstream.Name)
				s.place()
			})
		})
	}
}

// poll sends the next poll to an upstream, now or when it is due. At most one poll per
// upstream is pending.
func (s *simulator) poll(name string) {
	if s.polling[name] {
		return
	}
	poll, due, wait, _ := s.scheduler.NextPoll(s.now, name)
	s.polling[name] = due || wait > 0
	switch {
	case due:
		s.polls++
		s.schedule(messageDelay, func() { s.answerPoll(poll, s.now.Add(poll.Wait)) })
	case wait > 0:
		s.schedule(wait, func() {
			s.polling[name] = false
			s.poll(name)
		})
	}
}

// answerPoll answers a poll once there is a new completion or its wait has passed.
func (s *simulator) answerPoll(poll scheduler.Poll, until time.Time) {
	name := poll.Upstream.Name
	model := s.upstreams[name]
	result, report := model.Poll(s.now, poll)
	if !model.HasCompletionAfter(s.now, poll.Seen) && s.now.Before(until) {
		poll.Until = 0 // the first check has renewed the lease
		s.schedule(pollStep, func() { s.answerPoll(poll, until) })
		return
	}
	s.schedule(messageDelay, func() {
		s.polling[name] = false
		s.apply(s.scheduler.HandlePollResult(s.now, poll, result, report))
		s.poll(name)
		s.place()
	})
}

// apply sends the stops that the scheduler has decided on and records its notices in
// the outcomes of the jobs.
func (s *simulator) apply(a scheduler.Actions) {
	for _, stop := range a.Stops {
		model := s.upstreams[stop.Upstream.Name]
		s.schedule(messageDelay, func() {
			result, clock := model.Stop(s.now, stop)
			s.schedule(messageDelay, func() {
				actions, _, _ := s.scheduler.HandleStopResult(s.now, stop, result, clock)
				s.apply(actions)
			})
		})
	}
	var delivered []scheduler.CompletionRef
	for _, n := range a.Notices {
		delivered = append(delivered, n.Completion)
		job := s.jobs[n.Task.Job]
		switch {
		case job.finished:
		case n.Kind == scheduler.TaskDone:
			if job.tasksLeft--; job.tasksLeft == 0 {
				s.finish(job, nil)
			}
		default:
			s.finish(job, verdict.Errorf(verdict.MayHaveRun, n.Code, "%s", n.Reason))
		}
	}
	s.scheduler.ConfirmDelivery(delivered)
}
