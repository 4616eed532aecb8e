package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/verdict"
)

// job is the scheduling state of an offered job. The lock of its shard guards it.
type job struct {
	Job
	model      *queueModel
	expected   float64 // run time of a task at speed 1, in seconds
	waiting    []int   // indexes of tasks to start, in order
	blocked    []int   // indexes of tasks with other active runs
	unfinished int     // number of tasks that have not finished
	running    int
	preferred  bool             // has begun while capacity was short
	starts     int              // start orders that may have had an effect
	ranBefore  bool             // an earlier submission may have started tasks
	current    map[int]runRef   // active run by task index
	avoid      map[int][]string // upstreams on which a task failed
	suspects   map[int]float64  // suspicion of tasks that must run isolated; nil if there is none
	results    map[int][]byte   // of finished tasks, for at-most-once jobs
	receivedAt time.Time        // when the origin received the submission
	heldSince  time.Time        // when the job was offered; zero once it may start
	basis      StartBasis       // why it may start
	tier       tier             // as of the last update of the score
	score      float64
	counted    int64 // work in the slot countedAt of the backlog
	countedAt  int
	index      int // position in the heap; -1 if not in it
	// parked is the wait for certain upstreams, nil if there is none; parkedIndex is the position
	// among the jobs with the same one. parkedSince is the time since which no task has started
	// and the job has been parked, or zero.
	parked      *parking
	parkedIndex int
	parkedSince time.Time
	group       groupState
	doneOn      map[int]string // upstreams of finished tasks, if their number per upstream is limited
}

// Jobs are ordered by tier and, within a tier, by the time at which their answer
// becomes late. Each priority class has an advance of priorityGap over the next
// lower one.
const (
	// priorityGap is the advance of a priority class over the next lower one, in
	// seconds. It is far below the time that callers wait, so that no class starves.
	priorityGap = 0.05
	// tierGap separates the tiers, in seconds. It exceeds the time that any job waits.
	tierGap = 1000.0
	// An answer later than lateFactor times the target time has no value: the
	// platform gives no credit for it.
	lateFactor = 3
)

// tier classifies jobs by the value that their answer can still have.
type tier int

const (
	tierInTime tier = iota
	tierLate
	tierNoValue
)

// unstarted reports whether no task of the job has started, in any submission, and no start
// order is pending.
func (j *job) unstarted() bool {
	return !j.Resumed && j.heldSince.IsZero() && j.starts == 0 && len(j.waiting) == j.unfinished
}

// targetTime returns the time, from Sent, within which an answer is in time.
func (j *job) targetTime() time.Duration {
	return time.Duration(j.Stretch*j.expected*float64(time.Second)) + j.Slack
}

// tierAt returns the tier of the job if its next task starts now.
func (j *job) tierAt(now time.Time) tier {
	end := now.Add(time.Duration(j.expected * float64(time.Second))).Sub(j.Sent)
	switch target := j.targetTime(); {
	case end <= target:
		return tierInTime
	case end <= lateFactor*target:
		return tierLate
	default:
		return tierNoValue
	}
}

// rescore updates the score, by which jobs are ordered. Scores count seconds from
// epoch.
func (j *job) rescore(epoch time.Time) {
	j.score = j.Sent.Add(j.targetTime()).Sub(epoch).Seconds() + priorityGap*float64(j.Priority) + tierGap*float64(j.tier)
	if j.preferred {
		j.score -= priorityGap
	}
}

// jobHeap implements heap.Interface, with the lowest score first.
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

// abandonNotice returns the notice that the job is abandoned.
func (j *job) abandonNotice(code verdict.Code, reason string, retryAfter time.Duration) Notice {
	kind := JobNotRun
	if j.starts > 0 || j.Resumed || j.ranBefore {
		kind = JobAbandoned
	}
	return Notice{Origin: j.Origin, Term: j.Term, Submission: j.Submission, Task: Task{Job: j.ID}, Kind: kind, Code: code, Reason: reason, RetryAfter: retryAfter}
}

// doneNotice returns the notice that a task has succeeded.
func (j *job) doneNotice(index int, result []byte, ref CompletionRef) Notice {
	return Notice{Origin: j.Origin, Term: j.Term, Submission: j.Submission, Task: Task{j.ID, index}, Kind: TaskDone, Result: result, Completion: ref, Upstream: j.doneOn[index]}
}

// failedNotice returns the notice that a task has failed and is not started again.
func (j *job) failedNotice(index int, reason string, h history.Task, ref CompletionRef) Notice {
	return Notice{Origin: j.Origin, Term: j.Term, Submission: j.Submission, Task: Task{j.ID, index}, Kind: TaskFailed, Code: verdict.CodeUpstreamFailed, Reason: reason, History: h, Completion: ref}
}

// retriedNotice returns the notice that a run of a task did not succeed and that the task
// is started again.
func (j *job) retriedNotice(index int, h history.Task) Notice {
	return Notice{Origin: j.Origin, Term: j.Term, Submission: j.Submission, Task: Task{j.ID, index}, Kind: TaskRetried, History: h}
}

// lostNotice returns the notice that an at-most-once job is abandoned because a
// run of it was lost.
func (j *job) lostNotice(f finishedRun) Notice {
	notice := j.abandonNotice(verdict.CodeUpstreamFailed, "an at-most-once task was lost on upstream "+f.upstream, 0)
	notice.Completion = f.completion
	return notice
}

// dequeue removes a task that waits. dequeued is 1 if it waited for an upstream, and 0 if it
// was blocked.
func (j *job) dequeue(index int) (dequeued int, ok bool) {
	if at := slices.Index(j.waiting, index); at >= 0 {
		j.waiting = slices.Delete(slices.Clone(j.waiting), at, at+1)
		return 1, true
	}
	if at := slices.Index(j.blocked, index); at >= 0 {
		j.blocked = slices.Delete(j.blocked, at, at+1)
		return 0, true
	}
	return 0, false
}

// isOpen reports whether a task waits or runs. The caller holds mu of the shard.
func (j *job) isOpen(index int) bool {
	_, active := j.current[index]
	return active || slices.Contains(j.waiting, index) || slices.Contains(j.blocked, index)
}
