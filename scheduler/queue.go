package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// noScore is the score of an empty shard.
var noScore = math.Inf(1)

// queueShard holds the jobs whose ids hash to it.
type queueShard struct {
	top atomic.Uint64 // bits of the score of the first job, or of noScore

	mu   sync.Mutex // guards the fields below and every store of top
	jobs map[string]*job
	heap jobHeap
	// past holds the tasks of unknown jobs that were found ended.
	past map[Task]time.Time
	// fading holds the attempts of runs whose jobs are gone: the tasks start
	// anew only once these are over.
	fading map[Task]int
	// unserved holds when the jobs that ended without success were sent first.
	unserved map[string]time.Time
	epoch    time.Time
}

func newQueueShard() *queueShard {
	q := &queueShard{unserved: map[string]time.Time{}}
	q.reset()
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

// reset forgets every job and returns the number of tasks that waited.
func (q *queueShard) reset() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, j := range q.jobs {
		n += len(j.waiting)
	}
	q.jobs, q.heap, q.past, q.fading = map[string]*job{}, nil, map[Task]time.Time{}, map[Task]int{}
	q.publish()
	return n
}

// release lets the jobs start that were resumed before one of two times.
func (q *queueShard) release(swept, old time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, j := range q.jobs {
		if !j.held.IsZero() && (j.held.Before(swept) || j.held.Before(old)) {
			j.held = time.Time{}
			q.relist(j)
		}
	}
}

// expire gives up the jobs whose callers wait no longer, and those that are
// worth nothing any more and have not started; it returns the number of their
// tasks that waited. What runs is stopped by the origin's withdrawal.
func (q *queueShard) expire(now time.Time, a *Actions) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, j := range q.jobs {
		reason := ""
		switch {
		case j.running > 0:
		case !now.Before(j.Deadline):
			reason = "the caller's deadline has passed"
		case !j.started && !j.Resumed && now.Sub(j.Sent) > lateFactor*j.aim():
			reason = "the queue was longer than the time in which an answer is of use"
		}
		if reason != "" {
			n += len(j.waiting)
			a.Notices = append(a.Notices, j.dropped(reason, time.Second))
			q.drop(j)
		}
	}
	for task, seen := range q.past {
		if now.Sub(seen) > pastEndTime {
			delete(q.past, task)
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

// offer enters a job. It returns the tasks that are known to have ended and the
// number that wait. A job that is known already moves to its new origin.
func (q *queueShard) offer(now time.Time, offered Job, model *queueModel) (ended []int, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known := q.jobs[offered.ID]; known != nil {
		for _, index := range offered.Tasks {
			if !known.wants(index) {
				ended = append(ended, index)
			}
		}
		known.Origin, known.OriginIncarnation = offered.Origin, offered.OriginIncarnation
		known.Deadline = offered.Deadline
		return ended, 0
	}
	if q.epoch.IsZero() {
		q.epoch = now
	}
	j := &job{
		Job: offered, model: model, expected: model.expected(offered.Estimate),
		attempts: map[int]int{}, failures: map[int]int{}, index: -1,
	}
	if offered.Resumed {
		j.held = now
	}
	for _, index := range offered.Tasks {
		if _, past := q.past[Task{offered.ID, index}]; past && offered.Resumed {
			ended = append(ended, index)
			continue
		}
		j.left++
		if attempt := q.fading[Task{offered.ID, index}]; attempt > 0 {
			j.blocked = append(j.blocked, index)
			j.attempts[index] = attempt
			continue
		}
		j.waiting = append(j.waiting, index)
	}
	if j.left == 0 {
		return ended, 0
	}
	if sent, known := q.unserved[j.ID]; known && sent.Before(j.Sent) {
		j.Sent = sent
	}
	j.tier = j.tierAt(now)
	j.rescore(q.epoch)
	q.jobs[j.ID] = j
	q.relist(j)
	return ended, len(j.waiting)
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
		j.started = true
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
	j.started = true
	j.attempts[run.Index] = run.Attempt
	q.relist(j)
	return j.Job, j.expected, j.model, true
}

// remember notes that a task of an unknown job has ended well.
func (q *queueShard) remember(now time.Time, task Task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.past[task] = now
}

// runEnd says how a run ended.
type runEnd uint8

const (
	endDone    runEnd = iota
	endFailed         // by its own fault or the upstream's
	endLost           // stopped, lapsed or lost: the task starts anew
	endBlamed         // failed on an upstream that fails most tasks: no attempt is counted
	endRefused        // the order had no effect
)

// finish enters the end of a run. requeued is the number of tasks that wait
// again; where the job has failed, stop asks to end its other runs.
func (q *queueShard) finish(run Run, upstream string, end runEnd) (notices []Notice, requeued int, stop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.jobs[run.Job]
	if j == nil || j.attempts[run.Index] != run.Attempt || q.fading[run.Task] == run.Attempt {
		return nil, q.over(run), false
	}
	j.running--
	switch end {
	case endDone:
		j.attempts[run.Index] = endedAttempt
		j.left--
		if j.left == 0 {
			q.drop(j)
		}
		return []Notice{{Origin: j.Origin, Task: run.Task, Kind: TaskDone}}, 0, false
	case endFailed:
		j.failures[run.Index]++
		if j.failures[run.Index] >= j.MaxAttempts {
			n := len(j.waiting)
			q.drop(j)
			return []Notice{{Origin: j.Origin, Task: run.Task, Kind: TaskFailed}}, -n, true
		}
	}
	if end == endFailed || end == endBlamed {
		if j.avoid == nil {
			j.avoid = map[int][]string{}
		}
		j.avoid[run.Index] = append(j.avoid[run.Index], upstream)
	}
	j.waiting = append([]int{run.Index}, j.waiting...)
	q.relist(j)
	return nil, 1, false
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

// get returns whether the job is known.
func (q *queueShard) has(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.jobs[id] != nil
}
