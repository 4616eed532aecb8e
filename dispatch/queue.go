package dispatch

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/submission"
)

// The score of a waiting job, in seconds; the least goes first. It holds the
// priority class, the waiting work and the arrival, so that a job that has
// waited passes ones that arrived later.
const (
	// classGap is the advance of a priority class over the next lower one: a
	// task that has waited that much longer passes a task of the higher class.
	classGap = 30.0
	// ageWeight is the work that one second of waiting outweighs.
	ageWeight = 0.3
)

// noScore is the score of an empty queue.
var noScore = math.Inf(1)

// classCount is the number of priority classes.
const classCount = int(catalog.Urgent) + 1

// waitingJob holds the tasks of a job that wait.
type waitingJob struct {
	id      submission.ID
	call    *catalog.Call
	model   *callModel
	tasks   []*Task
	arrived float64 // seconds since the epoch of the pool
	score   float64
	index   int // in the heap
	// declined is the number of offered slots that the job did not take.
	declined int
}

func (j *waitingJob) update() {
	class := float64(catalog.Urgent - j.call.Priority)
	j.score = class*classGap + float64(len(j.tasks))*j.model.base() + ageWeight*j.arrived
}

// jobHeap is ordered by score.
type jobHeap []*waitingJob

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].score < h[j].score }
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *jobHeap) Push(x any) {
	j := x.(*waitingJob)
	j.index = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

// queueShard holds the waiting jobs whose submissions hash to it.
type queueShard struct {
	top atomicFloat // score of the first job, or noScore
	_   cacheLine

	mu   sync.Mutex // guards the fields below and every store of top
	jobs map[submission.ID]*waitingJob
	heap jobHeap
}

func newQueueShard() *queueShard {
	q := &queueShard{jobs: map[submission.ID]*waitingJob{}}
	q.top.store(noScore)
	return q
}

// push queues tasks of one job.
func (q *queueShard) push(model *callModel, arrived float64, tasks ...*Task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	id := tasks[0].Submission
	j := q.jobs[id]
	if j == nil {
		j = &waitingJob{id: id, call: tasks[0].Call, model: model, arrived: arrived}
		j.tasks = append(j.tasks, tasks...)
		j.update()
		q.jobs[id] = j
		heap.Push(&q.heap, j)
	} else {
		j.tasks = append(j.tasks, tasks...)
		j.update()
		heap.Fix(&q.heap, j.index)
	}
	q.publish()
}

// publish stores the score of the first job. The caller holds mu.
func (q *queueShard) publish() {
	if len(q.heap) == 0 {
		q.top.store(noScore)
	} else {
		q.top.store(q.heap[0].score)
	}
}

// considered is the most jobs of a shard that are offered a slot.
const considered = 4

// pop takes a task for an offered slot, or returns nil: with declined set
// where tasks wait but would rather wait for a faster slot.
func (q *queueShard) pop(taken offer, outlook *outlook) (task *Task, refusals int, declined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ahead := 0
	for i := range min(len(q.heap), considered) {
		j := q.heap[i]
		ahead += len(j.tasks)
		if outlook.accepts(j.model, j.call.Priority, taken.bucket, taken.slots.offset(j.model), ahead) {
			return q.remove(j), j.declined, false
		}
		j.declined++
	}
	return nil, 0, len(q.heap) > 0
}

// remove takes the first task of a job. The caller holds mu.
func (q *queueShard) remove(j *waitingJob) *Task {
	task := j.tasks[0]
	j.tasks = j.tasks[1:]
	if len(j.tasks) == 0 {
		q.drop(j)
	} else {
		j.update()
		heap.Fix(&q.heap, j.index)
	}
	q.publish()
	return task
}

func (q *queueShard) drop(j *waitingJob) {
	heap.Remove(&q.heap, j.index)
	delete(q.jobs, j.id)
}

// cancel removes the tasks of a submission and returns their number and class.
func (q *queueShard) cancel(id submission.ID) (int, catalog.Priority) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.jobs[id]
	if j == nil {
		return 0, 0
	}
	q.drop(j)
	q.publish()
	return len(j.tasks), j.call.Priority
}

// seconds returns the time between two instants in seconds.
func seconds(from, to time.Time) float64 { return to.Sub(from).Seconds() }
