package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// job is an offered job. The lock of its shard guards it.
type job struct {
	Job
	model    *queueModel
	expected float64 // run time of a task at speed 1, in seconds
	waiting  []int   // indexes of tasks to start, the next one first
	left     int     // tasks that have not ended
	running  int
	started  bool // a task may have started
	attempts map[int]int
	failures map[int]int
	avoid    map[int][]string // upstreams on which a task failed
	held     time.Time        // when the job was resumed; zero once it may start
	score    float64
	index    int // in the heap; -1 outside
}

// classGap is the advance of a priority class over the next one, in seconds:
// far below the time that callers wait, so that no class starves.
const classGap = 0.05

// rescore places the job: the class, then the time by which it has to end,
// less the work that it still needs.
func (j *job) rescore(epoch time.Time) {
	objective := j.Sent.Add(time.Duration(j.Stretch*j.expected*float64(time.Second)) + j.Slack)
	j.score = objective.Sub(epoch).Seconds() + classGap*float64(j.Priority)
}

// jobHeap is ordered by score.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, k int) bool {
	if h[i].score != h[k].score {
		return h[i].score < h[k].score
	}
	return h[i].ID < h[k].ID
}
func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.index = -1
	return j
}

// noScore is the score of an empty shard.
var noScore = math.Inf(1)

// queueShard holds the jobs whose ids hash to it.
type queueShard struct {
	top atomic.Uint64 // bits of the score of the first job, or of noScore

	mu   sync.Mutex // guards the fields below and every store of top
	jobs map[string]*job
	heap jobHeap
	// past holds the tasks of unknown jobs that were found ended.
	past  map[Task]time.Time
	epoch time.Time
}

func newQueueShard() *queueShard {
	q := &queueShard{jobs: map[string]*job{}, past: map[Task]time.Time{}}
	q.publish()
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
	q.jobs, q.heap, q.past = map[string]*job{}, nil, map[Task]time.Time{}
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

// expire gives up the jobs whose callers wait no longer and returns the number
// of their tasks that waited. What runs is stopped by the origin's withdrawal.
func (q *queueShard) expire(now time.Time, a *Actions) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, j := range q.jobs {
		if now.Before(j.Deadline) || j.running > 0 {
			continue
		}
		n += len(j.waiting)
		q.drop(j)
		a.Notices = append(a.Notices, j.dropped("the caller's deadline has passed", time.Second))
	}
	for task, seen := range q.past {
		if now.Sub(seen) > pastEndTime {
			delete(q.past, task)
		}
	}
	return n
}

// dropped returns the notice of a job that is given up.
func (j *job) dropped(reason string, retryAfter time.Duration) Notice {
	kind := JobNotRun
	if j.started || j.Resumed {
		kind = JobGivenUp
	}
	return Notice{Origin: j.Origin, Task: Task{Job: j.ID}, Kind: kind, Reason: reason, RetryAfter: retryAfter}
}

// drop forgets a job. The caller holds mu.
func (q *queueShard) drop(j *job) {
	j.waiting = nil
	q.relist(j)
	delete(q.jobs, j.ID)
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
		j.waiting = append(j.waiting, index)
	}
	j.left = len(j.waiting)
	if j.left == 0 {
		return ended, 0
	}
	j.rescore(q.epoch)
	q.jobs[j.ID] = j
	q.relist(j)
	return ended, len(j.waiting)
}

// wants tells whether a task waits or runs. The caller holds mu of the shard.
func (j *job) wants(index int) bool {
	return slices.Contains(j.waiting, index) || j.attempts[index] > 0 && j.attempts[index] != endedAttempt
}

// endedAttempt stands in attempts for a task that has ended.
const endedAttempt = -1

// candidate is a task that is to be placed.
type candidate struct {
	job      *Job
	index    int
	attempt  int
	expected float64 // run time at speed 1, in seconds
	objective,
	deadline time.Time
	avoid []string
	model *queueModel
}

// pop takes the next task of the job at a place of the heap's order. It returns
// false where there is none.
func (q *queueShard) pop(place int) (c candidate, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if place >= len(q.heap) {
		return candidate{}, false
	}
	j := q.heap[place]
	index := j.waiting[0]
	j.waiting = j.waiting[1:]
	j.running++
	last := j.attempts[index]
	j.attempts[index] = last + 1
	c = candidate{
		job: &j.Job, index: index, attempt: last + 1, expected: j.expected,
		objective: j.Sent.Add(time.Duration(j.Stretch*j.expected*float64(time.Second)) + j.Slack),
		deadline:  j.Deadline, avoid: j.avoid[index], model: j.model,
	}
	q.relist(j)
	return c, true
}

// unpop puts a task back that found no upstream.
func (q *queueShard) unpop(c candidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.jobs[c.job.ID]
	if j == nil {
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
	if j == nil || j.attempts[run.Index] != run.Attempt {
		return nil, 0, false
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
