package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// job is an offered job. The lock of its shard guards it.
type job struct {
	Job
	model    *queueModel
	expected float64 // run time of a task at speed 1, in seconds
	waiting  []int   // indexes of tasks to start, the next one first
	blocked  []int   // indexes of tasks whose earlier runs are not over
	left     int     // tasks that have not ended
	running  int
	starts   int // orders to start a task that are not known to have had no effect
	attempts map[int]int
	failures map[int]int
	avoid    map[int][]string // upstreams on which a task failed
	results  map[int][]byte   // of ended tasks, where the job must run once only
	held     time.Time        // when the job was resumed; zero once it may start
	tier     tier             // as of the last look at the job
	score    float64
	index    int // in the heap; -1 outside
}

// The order of jobs: those that can still end in time, then those that can
// still end while a late answer is worth something, then the others; among them
// the one whose time comes first.
const (
	// classGap is the advance of a priority class over the next one, in seconds:
	// far below the time that callers wait, so that no class starves.
	classGap = 0.05
	// tierGap separates the tiers, in seconds: more than any job waits.
	tierGap = 1000.0
	// lateFactor is the multiple of the time for an answer in time after which
	// an answer is worth nothing (the platform's rules on credit).
	lateFactor = 3
)

// tier says what a job can still earn.
type tier int

const (
	tierInTime tier = iota
	tierLate
	tierWorthless
)

// untouched tells that no task of the job has started anywhere, and that no order is
// under way that would start one.
func (j *job) untouched() bool {
	return !j.Resumed && j.starts == 0 && len(j.waiting) == j.left
}

// aim returns the time within which an answer is in time.
func (j *job) aim() time.Duration {
	return time.Duration(j.Stretch*j.expected*float64(time.Second)) + j.Slack
}

// tierAt returns what a job can earn if its next task starts now.
func (j *job) tierAt(now time.Time) tier {
	end := now.Add(time.Duration(j.expected * float64(time.Second))).Sub(j.Sent)
	switch aim := j.aim(); {
	case end <= aim:
		return tierInTime
	case end <= lateFactor*aim:
		return tierLate
	default:
		return tierWorthless
	}
}

// rescore places the job in the order.
func (j *job) rescore(epoch time.Time) {
	j.score = j.Sent.Add(j.aim()).Sub(epoch).Seconds() + classGap*float64(j.Priority) + tierGap*float64(j.tier)
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

// dropped returns the notice of a job that is given up.
func (j *job) dropped(code verdict.Code, reason string, retryAfter time.Duration) Notice {
	kind := JobNotRun
	if j.starts > 0 || j.Resumed {
		kind = JobAbandoned
	}
	return Notice{Origin: j.Origin, Task: Task{Job: j.ID}, Kind: kind, Code: code, Reason: reason, RetryAfter: retryAfter}
}

// done returns the notice of a task that has ended well.
func (j *job) done(index int, result []byte, receipt CompletionRef) Notice {
	return Notice{Origin: j.Origin, Task: Task{j.ID, index}, Kind: TaskDone, Result: result, Completion: receipt}
}

// lost returns the notice of a job that is given up since a run was lost that
// must not be repeated.
func (j *job) lost(l lostRun) Notice {
	notice := j.dropped(verdict.CodeUpstreamFailed, "a task that must not start twice was lost on "+l.upstream, 0)
	notice.Completion = l.receipt
	return notice
}

// wants tells whether a task waits or runs. The caller holds mu of the shard.
func (j *job) wants(index int) bool {
	return slices.Contains(j.waiting, index) || slices.Contains(j.blocked, index) || j.attempts[index] > 0 && j.attempts[index] != endedAttempt
}

// endedAttempt stands in attempts for a task that has ended.
const endedAttempt = -1
