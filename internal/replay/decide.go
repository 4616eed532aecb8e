package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/dispatch/baseline"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Decide drives the deciding packages by a suite's trace in virtual time,
// without processes or messages, under every policy. Its figures are those of
// the decisions alone.
func Decide(suite string, o Options) (*Report, error) {
	s, known := dispatchScenarios[suite]
	if !known {
		return nil, errors.Newf("%q is no dispatch suite", suite)
	}
	jobs, err := s.jobs(o)
	if err != nil {
		return nil, err
	}
	services, err := catalog.Parse(servicesFile(o.Deployment))
	if err != nil {
		return nil, err
	}
	clairvoyant := Clairvoyant(jobs, s.layout.slotSpeeds(), measuredFrom(jobs))
	var reports []*Report
	for _, policy := range o.Policies {
		d := newDriver(&s.layout, policy, services)
		outcomes := measured(d.run(jobs), measuredFrom(jobs))
		report := &Report{Suite: suite, Seed: o.Seed, Policy: policy}
		judge(report, outcomes, nil, nil, s.layout.slotSpeeds().Sum())
		judgeDispatch(report, outcomes, s.layout.slotSpeeds().Sum())
		report.VsClairvoyantMean = report.MeanResponseMS / milliseconds(clairvoyant)
		report.Counters = map[string]int64{"messages": d.messages, "tasks": d.tasks}
		reports = append(reports, report)
	}
	return side(reports), nil
}

// Delays of the virtual network.
const (
	// taskOverhead is added to every task.
	taskOverhead = time.Millisecond
	// callOverhead is added to every job.
	callOverhead = 2 * time.Millisecond
)

// driver runs the dispatchers of several VMs in virtual time.
type driver struct {
	services *catalog.Catalog
	rng      *rand.Rand
	now      time.Time
	events   eventHeap
	order    int // of the next event
	views    *membership.View
	vms      map[string]decider
	speeds   map[string]float64 // by upstream
	left     int                // jobs that have not ended
	messages int64
	tasks    int64
}

// decider is a dispatcher under any policy.
type decider interface {
	Add(now time.Time, tasks []*dispatch.Task) ([]dispatch.Assignment, *verdict.Error)
	Finish(now time.Time, a dispatch.Assignment, r dispatch.Result, next []dispatch.Assignment) ([]dispatch.Assignment, bool)
	Cancel(service string, id submission.ID) int
	Tick(now time.Time) []dispatch.Assignment
	SetUpstreams(now time.Time, service string, upstreams []dispatch.Upstream) []dispatch.Assignment
}

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (d *driver) after(wait time.Duration, run func()) {
	d.order++
	heap.Push(&d.events, event{d.now.Add(wait), d.order, run})
}

func newDriver(layout *Layout, policy string, services *catalog.Catalog) *driver {
	d := &driver{
		services: services, rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(0, 0),
		vms: map[string]decider{}, speeds: map[string]float64{},
	}
	var members []membership.Member
	for _, dataCentre := range layout.DataCentres {
		for i := range layout.VMs {
			name := fmt.Sprintf("%s-vm%d", dataCentre, i)
			members = append(members, membership.Member{VM: name, DataCentre: dataCentre})
			d.vms[name] = newDecider(policy)
		}
	}
	d.setPeers(members)
	d.views = viewOf(d.now, members)
	for service := range services.Services() {
		for _, dataCentre := range layout.DataCentres {
			d.placeUpstreams(layout, service, dataCentre)
		}
	}
	return d
}

// viewOf returns the view of the first member once all have joined.
func viewOf(now time.Time, members []membership.Member) *membership.View {
	config := membership.Config{Self: members[0]}
	var facts []membership.Fact
	for _, m := range members {
		config.DataCentres = append(config.DataCentres, m.DataCentre)
		facts = append(facts, membership.Fact{Member: m, Admitted: true})
	}
	table := membership.NewTable(now, config)
	table.Learn(now, facts)
	for _, m := range members {
		table.Count(now, m)
	}
	return table.View()
}

// maxQueued bounds the queues of the driver.
const maxQueued = 1_000_000

// Settings of the daemon, at their defaults.
const (
	drivenLoanTime     = 200 * time.Millisecond
	drivenBorrowWait   = 10 * time.Millisecond
	drivenBorrowBudget = 0.03
)

func newDecider(policy string) decider {
	if policy != policyMustardstep {
		return baseline.New(baseline.Policy(policy), maxQueued)
	}
	return dispatch.New(dispatch.Config{
		MaxQueued: maxQueued, LoanTime: drivenLoanTime, BorrowWait: drivenBorrowWait,
		BorrowBudget: drivenBorrowBudget,
	})
}

// placeUpstreams divides the upstreams of a data centre among its VMs.
func (d *driver) placeUpstreams(layout *Layout, service, dataCentre string) {
	members := d.views.Members(dataCentre)
	var hashes []uint64
	for _, m := range members {
		hashes = append(hashes, rendezvous.Hash(m.VM))
	}
	for i, m := range members {
		var upstreams []dispatch.Upstream
		for u := range layout.Upstreams {
			name := fmt.Sprintf("%s-%s-%02d", dataCentre, service, u)
			d.speeds[name] = layout.Speeds[u%len(layout.Speeds)]
			upstreams = append(upstreams, dispatch.Upstream{
				Name: name, Service: service, Slots: dispatch.Share(name, layout.Slots, hashes, hashes[i]),
			})
		}
		d.vms[m.VM].SetUpstreams(d.now, service, upstreams)
	}
}

// drivenJob is a job on its way; the tasks carry it as Work.
type drivenJob struct {
	trace   *TraceJob
	vm      decider
	arrived time.Time
	left    int
	ended   bool
	outcome *outcome
}

// run drives a whole trace and returns its outcomes.
func (d *driver) run(jobs []TraceJob) []outcome {
	outcomes := make([]outcome, len(jobs))
	d.left = len(jobs)
	for i := range jobs {
		d.after(time.Duration(jobs[i].ArrivalUS)*time.Microsecond, func() { d.arrive(&jobs[i], &outcomes[i]) })
	}
	for _, vm := range d.vms {
		d.tick(vm)
	}
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.run()
	}
	return outcomes
}

func (d *driver) tick(vm decider) {
	d.place(vm, vm.Tick(d.now))
	d.lend(vm)
	if d.left > 0 {
		d.after(dispatch.TickInterval, func() { d.tick(vm) })
	}
}

func (d *driver) arrive(trace *TraceJob, o *outcome) {
	id := submission.ID{Caller: trace.Caller, Key: trace.Key}
	owner, _, _ := d.views.Ranked(d.views.HomeOf(id.Caller), id.Hash())
	job := &drivenJob{trace: trace, vm: d.vms[owner.VM], arrived: d.now, left: len(trace.Tasks), outcome: o}
	o.job = trace
	call := d.services.Lookup(trace.Service, trace.Call)
	tasks := make([]*dispatch.Task, len(trace.Tasks))
	for i := range tasks {
		tasks[i] = &dispatch.Task{Submission: id, Index: i, Call: call, Work: job, Deadline: d.now.Add(call.Deadline)}
	}
	d.tasks += int64(len(tasks))
	assignments, failure := job.vm.Add(d.now, tasks)
	if failure != nil {
		d.end(job, failure)
		return
	}
	d.place(job.vm, assignments)
	d.borrow(job.vm)
	if trace.CancelAfterUS > 0 {
		d.after(time.Duration(trace.CancelAfterUS)*time.Microsecond, func() { d.cancel(job, id) })
	}
}

func (d *driver) cancel(job *drivenJob, id submission.ID) {
	if !job.ended {
		job.vm.Cancel(job.trace.Service, id)
		d.end(job, verdict.Errorf(verdict.MayHaveRun, verdict.CodeCancelled, "cancelled"))
	}
}

func (d *driver) end(job *drivenJob, failure *verdict.Error) {
	job.ended = true
	job.outcome.failure = failure
	job.outcome.response = d.now.Sub(job.arrived) + callOverhead
	d.left--
}

// place runs assignments: each ends after the true time of its task.
func (d *driver) place(vm decider, assignments []dispatch.Assignment) {
	for _, a := range assignments {
		job := a.Task.Work.(*drivenJob)
		run := time.Duration(float64(job.trace.Tasks[a.Task.Index].RunUS) / d.speeds[a.Upstream.Name] * float64(time.Microsecond))
		took := run + taskOverhead
		d.after(took, func() { d.finish(vm, job, a, took) })
	}
}

func (d *driver) finish(vm decider, job *drivenJob, a dispatch.Assignment, took time.Duration) {
	next, _ := vm.Finish(d.now, a, dispatch.Result{Ending: dispatch.Done, Took: took}, nil)
	job.left--
	if job.left == 0 && !job.ended {
		d.end(job, nil)
	}
	d.place(vm, next)
}

// hop is the time of a message from one VM to another.
const hop = 500 * time.Microsecond

// exchange is a request and its response.
const exchange = 2

func (d *driver) setPeers(members []membership.Member) {
	for _, self := range members {
		dispatcher, ok := d.vms[self.VM].(*dispatch.Dispatcher)
		if !ok {
			continue
		}
		var peers []dispatch.Peer
		for _, m := range members {
			if m.VM != self.VM {
				peers = append(peers, dispatch.Peer{VM: m.VM, Near: m.DataCentre == self.DataCentre})
			}
		}
		dispatcher.SetPeers(peers)
	}
}

// lend returns ended loans and asks for new ones.
func (d *driver) lend(vm decider) {
	dispatcher, ok := vm.(*dispatch.Dispatcher)
	if !ok {
		return
	}
	for _, r := range dispatcher.Returns(d.now) {
		d.messages += exchange
		lender := d.vms[r.Lender].(*dispatch.Dispatcher)
		d.after(hop, func() { d.place(lender, lender.TakeBack(d.now, r)) })
	}
	d.borrow(vm)
}

func (d *driver) borrow(vm decider) {
	dispatcher, ok := vm.(*dispatch.Dispatcher)
	if !ok {
		return
	}
	for name, ask := range dispatcher.Borrow(d.now) {
		d.messages += exchange
		lender := d.vms[name].(*dispatch.Dispatcher)
		d.after(hop, func() {
			loan := lender.Lend(d.now, ask)
			d.after(hop, func() {
				d.place(vm, dispatcher.Borrowed(d.now, name, ask, loan))
				d.borrow(vm)
			})
		})
	}
}
