// Package dispatch decides which upstream runs which task, and when.
//
// It imports no network package and reads no clock; every method takes the
// time and returns the assignments that the caller carries out. Tasks wait in
// one pool per service, each under its own lock, and are bound to an upstream
// only when it has a free slot.
package dispatch

import (
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Task is one task of a job. It is immutable once added.
type Task struct {
	Submission submission.ID
	// Index is the place of the task in its job, from 0.
	Index    int
	Call     *catalog.Call
	Deadline time.Time
	// Work is opaque to the dispatcher and belongs to its caller.
	Work any

	queued  time.Time
	refused int
}

// CountRefusal counts a refusal of the task by an upstream and returns their
// number. Only the dispatcher that placed the task may call it.
func (t *Task) CountRefusal() int {
	t.refused++
	return t.refused
}

// Upstream is a VM that runs tasks of one service.
type Upstream struct {
	Name, Service, Address, Rack string
	// Slots is the number of tasks that it runs at once.
	Slots   int
	Size    catalog.Size
	Leaving bool
}

// Assignment binds a task to a free slot of an upstream.
type Assignment struct {
	Task     *Task
	Upstream Upstream
	// Waited is the time that the task spent in the queue.
	Waited time.Duration
	Reason Reason
}

// Reason says why an upstream was chosen.
type Reason uint8

// Reasons of an assignment.
const (
	FirstFree Reason = iota
	Baseline
)

// String returns the form used in logs.
func (r Reason) String() string { return [...]string{FirstFree: "first_free", Baseline: "baseline"}[r] }

// Ending says how an assignment ended.
type Ending uint8

// Endings of an assignment.
const (
	// Done means that the task started, whatever became of it.
	Done Ending = iota
	// Refused means that the upstream did not start the task.
	Refused
	// Skipped means that the task was not sent, since its job had ended.
	Skipped
)

// Result tells how an assignment ended.
type Result struct {
	Ending Ending
	// Took is the time from the start to the answer.
	Took time.Duration
}

// Config holds the limits of a Dispatcher.
type Config struct {
	// MaxQueued is the most tasks that wait per service.
	MaxQueued int
}

// Dispatcher places the tasks of every service. It is safe for concurrent use.
type Dispatcher struct {
	config Config

	mu    sync.RWMutex // guards pools; never held while a pool is locked
	pools map[string]*pool
}

// New returns a dispatcher without upstreams.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, pools: map[string]*pool{}}
}

func (d *Dispatcher) pool(service string) *pool {
	d.mu.RLock()
	p := d.pools[service]
	d.mu.RUnlock()
	if p != nil {
		return p
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools[service] == nil {
		d.pools[service] = &pool{}
	}
	return d.pools[service]
}

// Add queues the tasks of one job, all or none. A failure has the verdict
// NotRun.
func (d *Dispatcher) Add(now time.Time, tasks []*Task) ([]Assignment, *verdict.Error) {
	p := d.pool(tasks[0].Call.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.slots) == 0 {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeNoUpstream,
			"service %s has no upstream here", tasks[0].Call.Service)
	}
	if p.queued+len(tasks) > d.config.MaxQueued {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded,
			"%d tasks are waiting", p.queued).WithRetryAfter(time.Second)
	}
	for _, task := range tasks {
		task.queued = now
		p.push(task)
	}
	return p.assign(now), nil
}

// Finish returns the slot of an assignment. A refused task is queued again
// while its call's retries last; otherwise dropped is true.
func (d *Dispatcher) Finish(now time.Time, a Assignment, r Result) (next []Assignment, dropped bool) {
	p := d.pool(a.Upstream.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(a.Upstream.Name)
	if r.Ending == Refused {
		a.Task.refused++
		if a.Task.refused > a.Task.Call.Retries {
			dropped = true
		} else {
			p.push(a.Task)
		}
	}
	return p.assign(now), dropped
}

// Cancel removes the waiting tasks of a submission and returns their number.
func (d *Dispatcher) Cancel(service string, id submission.ID) int {
	p := d.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remove(id)
}

// SetUpstreams replaces the upstreams of a service. Running tasks keep theirs.
func (d *Dispatcher) SetUpstreams(now time.Time, service string, upstreams []Upstream) []Assignment {
	p := d.pool(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(upstreams)
	return p.assign(now)
}
