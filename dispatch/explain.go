package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/submission"
)

// Decision is a record of one placement.
type Decision struct {
	At time.Time
	// Task is the index of the task in its job.
	Task     int
	Upstream string
	Reason   Reason
	// Waited is the time that the task spent in the queue.
	Waited time.Duration
	// Declined is the number of offers of slots that the job declined until
	// then, since waiting for a faster one was expected to end sooner.
	Declined int
	// Upstreams, Ejected and Slots are what was considered: the upstreams that
	// are not leaving, those of them that were filtered out by their health,
	// and the slots of all.
	Upstreams, Ejected, Slots int
}

// historySize is the number of decisions that each shard keeps.
const historySize = 512

// history keeps the last decisions on the submissions of a queue shard.
type history struct {
	mu   sync.Mutex // guards the fields below
	ring [historySize]record
	next int
}

// record is a decision and the submission that it belongs to.
type record struct {
	id       submission.ID
	decision Decision
}

func (h *history) add(now time.Time, a *Assignment, declined int, o *outlook) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ring[h.next%historySize] = record{a.Task.Submission, Decision{
		At: now, Task: a.Task.Index, Upstream: a.Upstream.Name, Reason: a.Reason, Waited: a.Waited,
		Declined: declined, Upstreams: o.upstreams, Ejected: o.ejected, Slots: o.usable,
	}}
	h.next++
}

// find returns the decisions on a submission that are still kept, the oldest
// first.
func (h *history) find(id submission.ID) []Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []Decision
	for i := range historySize {
		if r := &h.ring[(h.next+i)%historySize]; r.id == id && id.Key != "" {
			found = append(found, r.decision)
		}
	}
	return found
}

// Explanation tells where the tasks of a submission went and what still waits.
type Explanation struct {
	Placed []Decision
	// Waiting is the number of tasks that wait, and Ahead that of the tasks of
	// all jobs in the service's queue.
	Waiting, Ahead int
	// ExpectedWait is that of a task that joins the queue now.
	ExpectedWait time.Duration
}

// Explain returns what is known of a submission to a service. Decisions are
// kept for a bounded number of placements.
func (d *Dispatcher) Explain(service string, id submission.ID) Explanation {
	p := d.pool(service)
	e := Explanation{Placed: p.histories[id.Hash()%shardCount].find(id), Ahead: int(p.waiting.Load())}
	q := p.queueOf(id)
	q.mu.Lock()
	defer q.mu.Unlock()
	if j := q.jobs[id]; j != nil {
		e.Waiting = len(j.tasks)
		e.ExpectedWait = time.Duration(p.expectedWait(j.call.Priority, j.model.base()) * float64(time.Second))
	}
	slices.SortStableFunc(e.Placed, func(a, b Decision) int { return a.At.Compare(b.At) })
	return e
}
