package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// noScore is the score of an empty shard.
var noScore = math.Inf(1)

// queueShard holds the jobs whose ids hash to it.
type queueShard struct {
	top atomic.Uint64 // bits of the score of the first job, or of noScore

	mu   sync.Mutex // guards the fields below and every store of top
	jobs map[string]*job
	heap jobHeap
	// past holds the ends that no job has taken.
	past map[CompletionRef]pastEnd
	// fading holds the attempts of runs whose jobs are gone: the tasks start
	// anew only once these are over.
	fading map[Task]int
	// unserved holds when the jobs that ended without success were sent first.
	unserved map[string]time.Time
	// spent holds the deadlines of jobs that must run once only and were dropped
	// after a task may have started: they are not taken again.
	spent map[string]time.Time
	// untouched holds the jobs of which nothing had started when the term under the
	// token ended.
	untouched map[string]struct{}
	token     int64
	epoch     time.Time
}

func newQueueShard() *queueShard {
	q := &queueShard{unserved: map[string]time.Time{}, spent: map[string]time.Time{}, untouched: map[string]struct{}{}}
	q.reset(0)
	return q
}

func (q *queueShard) first() float64 { return math.Float64frombits(q.top.Load()) }

// publish stores the score of the first job. The caller holds mu.
func (q *queueShard) publish() {
	top := noScore
	if len(q.heap) > 0 {
		top = q.heap[0].score
	}
	q.top.Store(math.Float64bits(top))
}

// relist puts a job into the heap or takes it out. The caller holds mu.
func (q *queueShard) relist(j *job) {
	wanted := j.held.IsZero() && len(j.waiting) > 0
	switch {
	case wanted && j.index < 0:
		heap.Push(&q.heap, j)
	case wanted:
		heap.Fix(&q.heap, j.index)
	case j.index >= 0:
		heap.Remove(&q.heap, j.index)
	}
	q.publish()
}

// reset forgets every job at the end of the term under a token, 0 where none was on,
// and returns the number of tasks that waited.
func (q *queueShard) reset(token int64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if token != 0 {
		q.untouched, q.token = map[string]struct{}{}, token
	}
	n := 0
	for id, j := range q.jobs {
		n += len(j.waiting)
		if j.untouched() {
			q.untouched[id] = struct{}{}
		}
	}
	q.jobs, q.heap, q.past, q.fading = map[string]*job{}, nil, map[CompletionRef]pastEnd{}, map[Task]int{}
	q.publish()
	return n
}

// resumption is what decides whether resumed jobs may start.
type resumption struct {
	// Every upstream has answered a look that was sent after swept. Nothing runs
	// any more that was started for jobs that were resumed before old.
	swept, old time.Time
	// youngest is the start of the youngest process of an upstream.
	youngest time.Time
	// Upstreams may be missing that ran tasks before complete.
	complete time.Time
}

// release lets the jobs start that were resumed long enough ago. A job that must
// run once only needs answers of every upstream on which its tasks can have
// started, by processes that are older than the job; it is given up otherwise. It
// returns the number of tasks that no longer wait.
func (q *queueShard) release(r resumption, a *Actions) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, j := range q.jobs {
		swept := j.held.Before(r.swept)
		certain := swept && j.Sent.After(r.complete) && r.youngest.Before(j.Sent.Add(-bornMargin))
		over := j.held.Before(r.old)
		switch {
		case j.held.IsZero():
		case j.AtMostOnce && certain, !j.AtMostOnce && (over || swept && r.complete.IsZero()):
			j.held = time.Time{}
			q.relist(j)
		case j.AtMostOnce && (swept || over) && len(j.waiting) > 0:
			n += len(j.waiting)
			a.Notices = append(a.Notices, j.dropped(verdict.CodeOwnerLost, "whether its tasks have started cannot be told since their dispatcher was lost", 0))
			q.drop(j)
		}
	}
	return n
}

// bornMargin is the longest time by which a job seems to be younger than it is:
// that of an offer.
const bornMargin = 500 * time.Millisecond

// expire gives up the jobs whose callers wait no longer, and those that are
// worth nothing any more and have not started; it returns the number of their
// tasks that waited. What runs is stopped by the origin's withdrawal.
func (q *queueShard) expire(now time.Time, a *Actions) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, j := range q.jobs {
		reason, code := "", verdict.CodeDeadline
		switch {
		case j.running > 0:
		case !now.Before(j.Deadline):
			reason = "the caller's deadline has passed"
		case j.starts == 0 && !j.Resumed && now.Sub(j.Sent) > lateFactor*j.aim():
			code = verdict.CodeOverloaded
			reason = "the queue was longer than the time in which an answer is of use"
		}
		if reason != "" {
			n += len(j.waiting)
			a.Notices = append(a.Notices, j.dropped(code, reason, verdict.MinRetryAfter))
			q.drop(j)
		}
	}
	for receipt, past := range q.past {
		if now.Sub(past.seen) > CompletionRetention {
			delete(q.past, receipt)
			a.forgotten = append(a.forgotten, receipt)
		}
	}
	for id, deadline := range q.spent {
		if now.After(deadline) {
			delete(q.spent, id)
		}
	}
	for id, sent := range q.unserved {
		if now.Sub(sent) > unservedTime {
			delete(q.unserved, id)
		}
	}
	return n
}

// unservedTime is the time for which the first sending of a job is remembered
// that ended without success: callers send it again within seconds.
const unservedTime = 6 * time.Second

// drop forgets a job. What runs of it fades. The caller holds mu.
func (q *queueShard) drop(j *job) {
	idle := j.waiting
	j.waiting = nil
	q.relist(j)
	delete(q.jobs, j.ID)
	if j.left == 0 {
		delete(q.unserved, j.ID)
		return
	}
	q.unserved[j.ID] = j.Sent
	if j.AtMostOnce && (j.starts > 0 || j.Resumed) {
		q.spent[j.ID] = j.Deadline
	}
	for _, index := range j.Tasks {
		if attempt := j.attempts[index]; attempt > 0 && !slices.Contains(idle, index) {
			q.fading[Task{j.ID, index}] = attempt
		}
	}
}

// over notes that a run is over whose job is gone, so that the task may start
// anew for a job with the same id.
func (q *queueShard) over(run Run) (waiting int) {
	if q.fading[run.Task] != run.Attempt {
		return 0
	}
	delete(q.fading, run.Task)
	j := q.jobs[run.Job]
	if j == nil {
		return 0
	}
	at := slices.Index(j.blocked, run.Index)
	if at < 0 {
		return 0
	}
	j.blocked = slices.Delete(j.blocked, at, at+1)
	j.waiting = append(j.waiting, run.Index)
	q.relist(j)
	return 1
}

// offer enters a job. It returns notices of the tasks that are known to have ended
// and the number that wait. A job that is known already moves to its new origin.
func (q *queueShard) offer(now time.Time, offered Job, model *queueModel) (notices []Notice, waiting int, failure *verdict.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known := q.jobs[offered.ID]; known != nil {
		for _, index := range offered.Tasks {
			if !known.wants(index) {
				notices = append(notices, known.done(index, known.results[index], CompletionRef{}))
			}
		}
		known.Origin, known.OriginIncarnation = offered.Origin, offered.OriginIncarnation
		known.Deadline = offered.Deadline
		for i := range notices {
			notices[i].Origin = offered.Origin
		}
		return notices, 0, nil
	}
	if _, spent := q.spent[offered.ID]; spent {
		return nil, 0, verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost, "its tasks were stopped while its VM was not heard")
	}
	if q.epoch.IsZero() {
		q.epoch = now
	}
	if _, untouched := q.untouched[offered.ID]; untouched && offered.PreviousToken == q.token {
		offered.Resumed = false
	}
	j := &job{
		Job: offered, model: model, expected: model.expected(offered.Estimate),
		attempts: map[int]int{}, failures: map[int]int{}, results: map[int][]byte{}, index: -1,
	}
	if offered.Resumed {
		j.held = now
	}
	for _, index := range offered.Tasks {
		j.left++
		if attempt := q.fading[Task{offered.ID, index}]; attempt > 0 {
			j.blocked = append(j.blocked, index)
			j.attempts[index] = attempt
			continue
		}
		j.waiting = append(j.waiting, index)
	}
	if sent, known := q.unserved[j.ID]; known && sent.Before(j.Sent) {
		j.Sent = sent
	}
	j.tier = j.tierAt(now)
	j.rescore(q.epoch)
	q.jobs[j.ID] = j
	if offered.Resumed {
		notices = q.claimPast(j)
	}
	if q.jobs[j.ID] == j {
		q.relist(j)
	}
	return notices, len(j.waiting), nil
}

// candidate is a task that is to be placed.
type candidate struct {
	job       *Job
	index     int
	attempt   int
	expected  float64 // run time at speed 1, in seconds
	objective time.Time
	avoid     []string
	model     *queueModel
}

// demote moves the jobs at the front of the order that can no longer earn what
// their place says. The caller holds mu.
func (q *queueShard) demote(now time.Time) {
	for len(q.heap) > 0 {
		j := q.heap[0]
		t := j.tierAt(now)
		if t <= j.tier {
			break
		}
		j.tier = t
		j.rescore(q.epoch)
		heap.Fix(&q.heap, 0)
	}
	q.publish()
}

// refresh brings the order up to date.
func (q *queueShard) refresh(now time.Time) {
	if q.first() == noScore {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demote(now)
}

// pop takes the next task of the first job. It returns false where there is none.
func (q *queueShard) pop() (c candidate, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) == 0 {
		return candidate{}, false
	}
	j := q.heap[0]
	index := j.waiting[0]
	j.waiting = j.waiting[1:]
	j.running++
	last := j.attempts[index]
	j.attempts[index] = last + 1
	c = candidate{
		job: &j.Job, index: index, attempt: last + 1, expected: j.expected,
		objective: j.Sent.Add(j.aim()),
		avoid:     j.avoid[index], model: j.model,
	}
	q.relist(j)
	return c, true
}

// unpop puts a task back that found no upstream.
func (q *queueShard) unpop(c candidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.jobs[c.job.ID]
	if j == nil || &j.Job != c.job {
		q.over(Run{Task{c.job.ID, c.index}, c.attempt})
		return
	}
	j.running--
	j.attempts[c.index]--
	j.waiting = slices.Insert(j.waiting, 0, c.index)
	q.relist(j)
}

// markStarted notes that an order to start a task of the job may take effect.
func (q *queueShard) markStarted(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if j := q.jobs[id]; j != nil {
		j.starts++
	}
}

// adopt notes that a task that waits runs already, under an attempt.
func (q *queueShard) adopt(run Run) (Job, float64, *queueModel, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.jobs[run.Job]
	if j == nil {
		return Job{}, 0, nil, false
	}
	at := slices.Index(j.waiting, run.Index)
	if at < 0 {
		return Job{}, 0, nil, false
	}
	j.waiting = slices.Delete(j.waiting, at, at+1)
	j.running++
	j.starts++
	j.attempts[run.Index] = run.Attempt
	q.relist(j)
	return j.Job, j.expected, j.model, true
}

// disown undoes adopt: the run is no longer there. Where its end was entered
// meanwhile, nothing changes.
func (q *queueShard) disown(run Run) (waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.jobs[run.Job]
	if j == nil || j.attempts[run.Index] != run.Attempt || slices.Contains(j.waiting, run.Index) {
		return 0
	}
	j.running--
	j.waiting = append(j.waiting, run.Index)
	q.relist(j)
	return 1
}

// withdraw forgets the jobs that match and returns the number of tasks that
// waited and the ids.
func (q *queueShard) withdraw(match func(*Job) bool) (waiting int, ids []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, j := range q.jobs {
		if match(&j.Job) {
			waiting += len(j.waiting)
			ids = append(ids, j.ID)
			q.drop(j)
		}
	}
	return waiting, ids
}
