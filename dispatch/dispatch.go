// Package dispatch decides which upstream runs which task, and when.
//
// It imports no network package and reads no clock; every method takes the
// time and returns the assignments that the caller carries out. Tasks wait in
// one pool per service and are bound to an upstream only when it has a free
// slot. Within a pool, waiting jobs and slots lie in shards, each under its own
// lock; no shard's lock is held while another's is taken.
//
// Order: priority class first, then the least waiting work of the job, with
// ageing. Choice: the free slot with the shortest expected run time, learnt per
// upstream and call; where waiting for a faster one is expected to end sooner,
// the task waits.
package dispatch

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Config holds the limits of a Dispatcher.
type Config struct {
	// MaxQueued is the most tasks that wait per service.
	MaxQueued int
	// LoanTime is the time for which a borrowed slot may start tasks. Zero
	// neither borrows nor lends.
	LoanTime time.Duration
	// BorrowWait is the expected wait above which slots are borrowed.
	BorrowWait time.Duration
	// BorrowBudget is the number of messages per task that may be spent on
	// borrowing. A greater one shortens the wait.
	BorrowBudget float64
}

// Dispatcher places the tasks of every service. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	pools  atomic.Pointer[map[string]*pool] // replaced as a whole
	peers  atomic.Pointer[[]Peer]

	borrowed atomic.Int64

	mu sync.Mutex // guards stores of pools
}

// New returns a dispatcher without upstreams.
func New(config Config) *Dispatcher {
	d := &Dispatcher{config: config}
	d.pools.Store(&map[string]*pool{})
	d.peers.Store(&[]Peer{})
	return d
}

func (d *Dispatcher) pool(service string) *pool {
	if p := (*d.pools.Load())[service]; p != nil {
		return p
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := maps.Clone(*d.pools.Load())
	if pools[service] == nil {
		pools[service] = newPool(d.config)
		pools[service].setPeers(*d.peers.Load())
		d.pools.Store(&pools)
	}
	return pools[service]
}

// Add queues the tasks of one job, all or none. A failure has the verdict
// NotRun.
func (d *Dispatcher) Add(now time.Time, tasks []*Task) ([]Assignment, *verdict.Error) {
	p := d.pool(tasks[0].Call.Service)
	if failure := p.add(now, tasks); failure != nil {
		return nil, failure
	}
	return p.assign(now, tasks[0].Submission.Hash(), nil), nil
}

// Finish returns the slot of an assignment and appends the assignments that it
// lets through to next. A withheld task is queued again, and a refused one while
// its call's retries last; otherwise dropped is true.
func (d *Dispatcher) Finish(now time.Time, a Assignment, r Result, next []Assignment) (_ []Assignment, dropped bool) {
	p := d.pool(a.Upstream.Service)
	p.release(now, &a, r)
	switch {
	case r.Ending == Withheld:
		p.requeue(a.Task)
	case r.Ending != Refused:
	case a.Task.CountRefusal() > a.Task.Call.Retries || !p.retries.Spend():
		dropped = true
	default:
		p.requeue(a.Task)
	}
	return p.assign(now, a.Task.Submission.Hash(), next), dropped
}

// Cancel removes the waiting tasks of a submission and returns their number.
func (d *Dispatcher) Cancel(service string, id submission.ID) int {
	return d.pool(service).cancel(id)
}

// SetUpstreams replaces the upstreams of a service. Running tasks keep theirs.
func (d *Dispatcher) SetUpstreams(now time.Time, service string, upstreams []Upstream) []Assignment {
	p := d.pool(service)
	p.replace(now, upstreams)
	return p.assign(now, 0, nil)
}

// Tick reconsiders the tasks that wait although a slow slot is free. It is
// called every TickInterval.
func (d *Dispatcher) Tick(now time.Time) []Assignment {
	var assignments []Assignment
	for _, p := range *d.pools.Load() {
		p.tick(now)
		assignments = p.assign(now, 0, assignments)
	}
	return assignments
}

// TickInterval is the time between two calls of Tick.
const TickInterval = 25 * time.Millisecond

// Waiting returns the number of tasks that wait for a slot, over all services.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, p := range *d.pools.Load() {
		n += int(p.waiting.Load())
	}
	return n
}

// BorrowedSlots returns the number of slots borrowed since the start.
func (d *Dispatcher) BorrowedSlots() int64 { return d.borrowed.Load() }

// Ejections returns the number of ejections of upstreams since the start.
func (d *Dispatcher) Ejections() int64 {
	n := int64(0)
	for _, p := range *d.pools.Load() {
		n += p.ejections.Load()
	}
	return n
}
