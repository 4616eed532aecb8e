package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/admission"
	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// shardCount is the number of queue shards and of slot shards of a pool.
const shardCount = 8

// pool holds the waiting tasks and the slots of one service. It is safe for
// concurrent use.
type pool struct {
	config    Config
	queues    [shardCount]*queueShard
	slots     [shardCount]*slotShard
	histories [shardCount]*history // of the queue shards
	calls     callModels
	epoch     atomic.Pointer[time.Time] // time of the first job
	outlook   atomic.Pointer[outlook]
	// lastCall is the call of the last job that was added.
	lastCall  atomic.Pointer[callModel]
	ejections atomic.Int64
	demand    [classCount]atomicFloat // average work that arrives per second
	ledger    ledger
	retries   admission.RetryBudget

	_       cacheLine // what follows changes with every task
	waiting atomic.Int64
	byClass [classCount]atomic.Int64 // waiting tasks of each class
	// arrived is the work of each class that arrived since the last survey, in
	// seconds.
	arrived [classCount]atomicFloat
	_       cacheLine
}

// cacheLine keeps fields that change often away from those that others read.
type cacheLine [64]byte

func newPool(config Config) *pool {
	p := &pool{config: config}
	for i := range shardCount {
		p.queues[i], p.slots[i], p.histories[i] = newQueueShard(), newSlotShard(), &history{}
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
	if failure := p.admit(now, tasks[0]); failure != nil {
		return failure
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
	p.retries.Earn(len(tasks))
	p.push(tasks...)
	call := p.calls.get(tasks[0].Call)
	p.lastCall.Store(call)
	p.arrived[tasks[0].Call.Priority].add(float64(n) * call.base())
	p.ledger.earn(float64(n) * p.config.BorrowBudget)
	return nil
}

// admit refuses a job that can never run, or not before its deadline.
func (p *pool) admit(now time.Time, task *Task) *verdict.Error {
	o := p.outlook.Load()
	if o.usable == 0 {
		return verdict.Errorf(verdict.NotRun, verdict.CodeNoUpstream,
			"service %s has no upstream here", task.Call.Service)
	}
	if !o.fits(task.Call.Size) {
		return verdict.Errorf(verdict.NotRun, verdict.CodeNeverFits,
			"call %s needs %d thousandths of a core, %d MB and %d accelerators; no upstream has as much",
			task.Call.Name, task.Call.Size.MilliCPU, task.Call.Size.MemoryMB, task.Call.Size.Accelerators)
	}
	if task.Deadline.IsZero() {
		return nil
	}
	wait := p.expectedWait(task.Call.Priority, p.calls.get(task.Call).base())
	if left := seconds(now, task.Deadline); deadlineShare*wait > left {
		return verdict.Errorf(verdict.NotRun, verdict.CodeDeadline,
			"the queue takes about %.1f s and the deadline is in %.1f s", wait, left).WithRetryAfter(time.Second)
	}
	return nil
}

// deadlineShare is the part of the expected wait that must exceed the time left
// before a job is refused, since the expectation can be off.
const deadlineShare = 0.7

// expectedWait returns the time, in seconds, for the waiting tasks of a class
// and those above it to start.
func (p *pool) expectedWait(class catalog.Priority, base float64) float64 {
	o := p.outlook.Load()
	if len(o.levels) == 0 {
		return 0
	}
	waiting := int64(0)
	for c := int(class); c < classCount; c++ {
		waiting += p.byClass[c].Load()
	}
	return float64(waiting) * base / o.levels[len(o.levels)-1].rate
}

func (p *pool) requeue(task *Task) {
	p.waiting.Add(1)
	p.push(task)
}

func (p *pool) push(tasks ...*Task) {
	first := tasks[0]
	p.byClass[first.Call.Priority].Add(int64(len(tasks)))
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
	case r.Ending == Skipped || r.Ending == Withheld || r.Leaving:
		shard.put(a.slots)
	default:
		if shard.fail(now, a.slots, a.Task.Submission.Hash(), p.outlook.Load().spare()) {
			p.ejections.Add(1)
			p.survey(now)
		}
	}
}

func (p *pool) cancel(id submission.ID) int {
	n, class := p.queueOf(id).cancel(id)
	p.waiting.Add(int64(-n))
	p.byClass[class].Add(int64(-n))
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
	o.sizes = sum.sizes
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
// Threads with different values of near prefer different shards of slots.
func (p *pool) assign(now time.Time, near uint64, out []Assignment) []Assignment {
	for {
		first := p.firstQueue()
		if first < 0 {
			return out
		}
		shard := p.fastestSlots(near)
		if shard < 0 {
			return out
		}
		taken, ok := p.slots[shard].take()
		if !ok {
			continue
		}
		task, refusals, declined := p.match(first, taken)
		if task != nil {
			p.waiting.Add(-1)
			p.byClass[task.Call.Priority].Add(-1)
			a := newAssignment(now, task, taken)
			p.histories[task.Submission.Hash()%shardCount].add(now, &a, refusals, p.outlook.Load())
			out = append(out, a)
			continue
		}
		p.slots[shard].put(taken.slots)
		if declined {
			return out
		}
	}
}

func newAssignment(now time.Time, task *Task, o offer) Assignment {
	a := Assignment{Task: task, Upstream: o.upstream, Waited: now.Sub(task.queued), slots: o.slots}
	if o.slots.loan != nil {
		a.Reason = Borrowed
	}
	return a
}

// match offers a slot to the queues, the one with the first job before the
// others. refusals are the offers that the job of the task declined before;
// declined tells that tasks wait and none wants the slot.
func (p *pool) match(first int, taken offer) (task *Task, refusals int, declined bool) {
	o := p.outlook.Load()
	for i := range shardCount {
		q := p.queues[(first+i)%shardCount]
		if q.top.load() == noScore {
			continue
		}
		task, refusals, waiting := q.pop(taken, o)
		if task != nil {
			return task, refusals, false
		}
		declined = declined || waiting
	}
	return nil, 0, declined
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

// fastestSlots returns the shard with the fastest free slot, or -1; of several
// the first after the near one, so that threads spread over the shards.
func (p *pool) fastestSlots(near uint64) int {
	best, bucket := -1, int32(bucketCount)
	for at := range uint64(shardCount) {
		i := int((near + at) % shardCount)
		if b := p.slots[i].best.Load(); b < bucket {
			best, bucket = i, b
		}
	}
	return best
}
