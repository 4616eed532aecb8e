package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// shardCount is the number of queue shards and of slot shards of a pool.
const shardCount = 8

// pool holds the waiting tasks and the slots of one service. It is safe for
// concurrent use.
type pool struct {
	config  Config
	calls   callModels
	epoch   atomic.Pointer[time.Time] // time of the first job
	waiting atomic.Int64
	outlook atomic.Pointer[outlook]
	// lastCall is the call of the last job that was added.
	lastCall  atomic.Pointer[callModel]
	ledger    ledger
	ejections atomic.Int64
	// arrived is the work of each class that arrived since the last survey, in
	// seconds; demand is its average per second.
	arrived [classCount]atomicFloat
	demand  [classCount]atomicFloat
	queues  [shardCount]*queueShard
	slots   [shardCount]*slotShard
}

func newPool(config Config) *pool {
	p := &pool{config: config}
	for i := range shardCount {
		p.queues[i], p.slots[i] = newQueueShard(), newSlotShard()
	}
	p.outlook.Store(&outlook{})
	p.ledger.given = map[uint64]*given{}
	return p
}

func (p *pool) queueOf(id submission.ID) *queueShard { return p.queues[id.Hash()%shardCount] }

func (p *pool) slotsOf(upstream string) *slotShard {
	return p.slots[rendezvous.Hash(upstream)%shardCount]
}

// add queues the tasks of one job.
func (p *pool) add(now time.Time, tasks []*Task) *verdict.Error {
	if p.outlook.Load().usable == 0 {
		return verdict.Errorf(verdict.NotRun, verdict.CodeNoUpstream,
			"service %s has no upstream here", tasks[0].Call.Service)
	}
	n := int64(len(tasks))
	if waiting := p.waiting.Add(n); waiting > int64(p.config.MaxQueued) {
		p.waiting.Add(-n)
		return verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded,
			"%d tasks are waiting", waiting-n).WithRetryAfter(time.Second)
	}
	for _, task := range tasks {
		task.queued = now
	}
	p.push(tasks...)
	call := p.calls.get(tasks[0].Call)
	p.lastCall.Store(call)
	p.arrived[tasks[0].Call.Priority].add(float64(n) * call.base())
	p.ledger.earn(float64(n) * p.config.BorrowBudget)
	return nil
}

func (p *pool) requeue(task *Task) {
	p.waiting.Add(1)
	p.push(task)
}

func (p *pool) push(tasks ...*Task) {
	first := tasks[0]
	p.epoch.CompareAndSwap(nil, &first.queued)
	arrived := seconds(*p.epoch.Load(), first.queued)
	p.queueOf(first.Submission).push(p.calls.get(first.Call), arrived, tasks...)
}

// release gives the slot of an assignment back.
func (p *pool) release(now time.Time, a *Assignment, r Result) {
	shard := a.slots.shard
	if r.Leaving {
		shard.leave(now, a.slots)
	}
	switch {
	case r.Ending == Done:
		shard.observe(now, a.slots, p.calls.get(a.Task.Call), r.Took.Seconds())
	case r.Ending == Skipped || r.Leaving:
		shard.put(a.slots)
	default:
		if shard.fail(now, a.slots, a.Task.Submission.Hash(), p.outlook.Load().spare()) {
			p.ejections.Add(1)
			p.survey(now)
		}
	}
}

func (p *pool) cancel(id submission.ID) int {
	n := p.queueOf(id).cancel(id)
	p.waiting.Add(int64(-n))
	return n
}

// replace takes a new list of upstreams.
func (p *pool) replace(now time.Time, upstreams []Upstream) {
	kept := map[string]bool{}
	for i := range upstreams {
		u := upstreams[i]
		kept[u.Name] = true
		p.slotsOf(u.Name).set(now, &u)
	}
	for _, s := range p.slots {
		s.retain(kept)
	}
	p.survey(now)
}

// demandWeight is the weight of one tick in the average of the demand.
const demandWeight = 0.025

// tick takes a new snapshot and averages the demand. One thread at a time may
// call it.
func (p *pool) tick(now time.Time) {
	for class := range classCount {
		work := p.arrived[class].load()
		p.arrived[class].add(-work)
		rate := work / TickInterval.Seconds()
		p.demand[class].add((rate - p.demand[class].load()) * demandWeight)
	}
	p.survey(now)
}

// survey takes a new snapshot of the capacity.
func (p *pool) survey(now time.Time) {
	o := &outlook{}
	demand := 0.0
	for class := classCount - 1; class >= 0; class-- {
		demand += p.demand[class].load()
		o.demand[class] = demand
	}
	var sum census
	for _, s := range p.slots {
		s.survey(now, &sum)
	}
	o.usable, o.upstreams, o.ejected = sum.usable, sum.upstreams, sum.ejected
	rate := 0.0
	for bucket, c := range sum.capacity {
		if c > 0 {
			rate += c
			o.levels = append(o.levels, level{bucket: bucket, speed: speedOfBucket[bucket], rate: rate})
		}
	}
	p.outlook.Store(o)
}

// assign binds waiting tasks to free slots and appends the assignments to out.
//
// A slot is taken first and a task then, each under the lock of its shard
// alone. Where the task has gone in between, the slot is put back and the
// queues are read again, so that a task queued meanwhile is not left behind.
func (p *pool) assign(now time.Time, out []Assignment) []Assignment {
	for {
		first := p.firstQueue()
		if first < 0 {
			return out
		}
		shard := p.fastestSlots()
		if shard < 0 {
			return out
		}
		taken, upstream, bucket := p.slots[shard].take()
		if taken == nil {
			continue
		}
		task, declined := p.match(first, taken, bucket)
		if task != nil {
			p.waiting.Add(-1)
			out = append(out, newAssignment(now, task, taken, upstream))
			continue
		}
		p.slots[shard].put(taken)
		if declined {
			return out
		}
	}
}

func newAssignment(now time.Time, task *Task, s *slots, u *Upstream) Assignment {
	a := Assignment{Task: task, Upstream: u, Waited: now.Sub(task.queued), slots: s}
	if s.loan != nil {
		a.Reason = Borrowed
	}
	return a
}

// match offers a slot to the queues, the one with the first job before the
// others. declined tells that tasks wait and none wants the slot.
func (p *pool) match(first int, taken *slots, bucket int) (task *Task, declined bool) {
	o := p.outlook.Load()
	for i := range shardCount {
		q := p.queues[(first+i)%shardCount]
		if q.top.load() == noScore {
			continue
		}
		task, waiting := q.pop(taken, bucket, o)
		if task != nil {
			return task, false
		}
		declined = declined || waiting
	}
	return nil, declined
}

// firstQueue returns the shard whose first job has the least score, or -1.
func (p *pool) firstQueue() int {
	best, score := -1, noScore
	for i, q := range p.queues {
		if top := q.top.load(); top < score {
			best, score = i, top
		}
	}
	return best
}

// fastestSlots returns the shard with the fastest free slot, or -1.
func (p *pool) fastestSlots() int {
	best, bucket := -1, int32(bucketCount)
	for i, s := range p.slots {
		if b := s.best.Load(); b < bucket {
			best, bucket = i, b
		}
	}
	return best
}
