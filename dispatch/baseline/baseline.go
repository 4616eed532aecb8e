// Package baseline holds plain dispatch policies to measure others against:
// round robin, least outstanding and two random choices.
//
// Each binds a task to an upstream on arrival; the task then waits, first come,
// first served, until that upstream has a free slot. The package imports no
// network package and reads no clock.
package baseline

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Policy names a baseline.
type Policy string

// Policies.
const (
	RoundRobin       Policy = "roundrobin"
	LeastOutstanding Policy = "leastoutstanding"
	TwoChoices       Policy = "twochoices"
)

// Dispatcher places the tasks of every service by one policy. It is safe for
// concurrent use.
type Dispatcher struct {
	policy    Policy
	maxQueued int

	mu    sync.Mutex // guards pools; never held while a pool is locked
	pools map[string]*pool
}

// New returns a dispatcher without upstreams. At most maxQueued tasks wait per
// service.
func New(policy Policy, maxQueued int) *Dispatcher {
	return &Dispatcher{policy: policy, maxQueued: maxQueued, pools: map[string]*pool{}}
}

func (d *Dispatcher) pool(service string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools[service] == nil {
		d.pools[service] = &pool{policy: d.policy, rng: rand.New(rand.NewPCG(1, 1))}
	}
	return d.pools[service]
}

// Add binds the tasks of one job, all or none. A failure has the verdict
// NotRun.
func (d *Dispatcher) Add(now time.Time, tasks []*dispatch.Task) ([]dispatch.Assignment, *verdict.Error) {
	p := d.pool(tasks[0].Call.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usable() == 0 {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeNoUpstream,
			"service %s has no upstream here", tasks[0].Call.Service)
	}
	if p.queued+len(tasks) > d.maxQueued {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded,
			"%d tasks are waiting", p.queued).WithRetryAfter(time.Second)
	}
	var assignments []dispatch.Assignment
	for _, task := range tasks {
		assignments = append(assignments, p.bind(now, waiting{task, now})...)
	}
	return assignments, nil
}

// Finish returns the slot of an assignment and appends the assignments that it
// lets through to next. A refused task is bound again while its call's retries
// last; otherwise dropped is true.
func (d *Dispatcher) Finish(now time.Time, a dispatch.Assignment, r dispatch.Result, next []dispatch.Assignment) (_ []dispatch.Assignment, dropped bool) {
	p := d.pool(a.Upstream.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	next = append(next, p.release(now, a.Upstream.Name)...)
	if r.Ending != dispatch.Refused {
		return next, false
	}
	if a.Task.CountRefusal() > a.Task.Call.Retries || p.usable() == 0 {
		return next, true
	}
	return append(next, p.bind(now, waiting{a.Task, now})...), false
}

// Tick does nothing: a bound task waits for its upstream alone.
func (d *Dispatcher) Tick(time.Time) []dispatch.Assignment { return nil }

// Cancel removes the waiting tasks of a submission and returns their number.
func (d *Dispatcher) Cancel(service string, id submission.ID) int {
	p := d.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remove(id)
}

// SetUpstreams replaces the upstreams of a service. Running tasks keep theirs;
// tasks that wait for one that has gone are bound anew.
func (d *Dispatcher) SetUpstreams(now time.Time, service string, upstreams []dispatch.Upstream) []dispatch.Assignment {
	p := d.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replace(now, upstreams)
}
