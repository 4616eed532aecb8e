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

// queueShard holds the jobs whose ids hash to it. It is unrelated to Job.Queue: the
// jobs of one such queue are spread over all shards.
type queueShard struct {
	topBits atomic.Uint64 // math.Float64bits of the first job's score, or of noScore

	mu   sync.Mutex // guards the fields below and every store of topBits
	jobs map[string]*job
	heap jobHeap
	// unmatched holds completions that no notice has reported to an origin.
	unmatched map[CompletionRef]unmatchedCompletion
	// terminating holds the attempt numbers of active runs whose jobs were removed.
	// Their tasks can start again only after these runs are over.
	terminating map[Task]int
	// firstSent holds the times at which jobs that did not succeed were first sent. A
	// job that is sent again counts its waiting time from then on.
	firstSent map[string]time.Time
	// rejectedUntil holds the deadlines of at-most-once jobs that were abandoned
	// after a task may have started. They are rejected if offered again.
	rejectedUntil map[string]time.Time
	// unstartedJobs holds the jobs that had no started task at the end of the term with
	// lastToken.
	unstartedJobs map[string]struct{}
	lastToken     int64
	epoch         time.Time // zero point of the scores: the first offer
}

func newQueueShard() *queueShard {
	q := &queueShard{firstSent: map[string]time.Time{}, rejectedUntil: map[string]time.Time{}, unstartedJobs: map[string]struct{}{}}
	q.reset(0)
	return q
}

func (q *queueShard) topScore() float64 { return math.Float64frombits(q.topBits.Load()) }

// publish stores the score of the first job. The caller holds mu.
func (q *queueShard) publish() {
	top := noScore
	if len(q.heap) > 0 {
		top = q.heap[0].score
	}
	q.topBits.Store(math.Float64bits(top))
}

// updateHeap adds, moves or removes a job in the heap. The caller holds mu.
func (q *queueShard) updateHeap(j *job) {
	wanted := j.resumedAt.IsZero() && len(j.waiting) > 0
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

// reset removes all jobs at the end of the term with the given token, or 0 if there
// was none, and returns the number of waiting tasks.
func (q *queueShard) reset(token int64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if token != 0 {
		q.unstartedJobs, q.lastToken = map[string]struct{}{}, token
	}
	n := 0
	for id, j := range q.jobs {
		n += len(j.waiting)
		if j.unstarted() {
			q.unstartedJobs[id] = struct{}{}
		}
	}
	q.jobs, q.heap, q.unmatched, q.terminating = map[string]*job{}, nil, map[CompletionRef]unmatchedCompletion{}, map[Task]int{}
	q.publish()
	return n
}

// resumeCriteria decide whether resumed jobs may start.
type resumeCriteria struct {
	// Every upstream has answered a poll sent at oldestPoll or later. No run is left
	// that was started for a job resumed before resumedBefore.
	oldestPoll, resumedBefore time.Time
	// youngestProcess is the latest start time of an upstream's process.
	youngestProcess time.Time
	// Before listCompleteSince, upstreams that are not listed may have run tasks.
	listCompleteSince time.Time
}

// releaseResumed lets resumed jobs start once the criteria are met. An at-most-once
// job requires answers of all upstreams on which its tasks can have started, from
// processes older than the job; otherwise it is abandoned. releaseResumed returns
// the number of tasks that no longer wait.
func (q *queueShard) releaseResumed(r resumeCriteria, a *Actions) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, j := range q.jobs {
		polled := j.resumedAt.Before(r.oldestPoll)
		notStarted := polled && j.Sent.After(r.listCompleteSince) && r.youngestProcess.Before(j.Sent.Add(-processStartMargin))
		timedOut := j.resumedAt.Before(r.resumedBefore)
		switch {
		case j.resumedAt.IsZero():
		case j.AtMostOnce && notStarted, !j.AtMostOnce && (timedOut || polled && r.listCompleteSince.IsZero()):
			j.resumedAt = time.Time{}
			q.updateHeap(j)
		case j.AtMostOnce && (polled || timedOut) && len(j.waiting) > 0:
			n += len(j.waiting)
			a.Notices = append(a.Notices, j.abandonNotice(verdict.CodeOwnerLost, "the dispatcher was lost and the tasks may have started", 0))
			q.remove(j)
		}
	}
	return n
}

// processStartMargin is the longest time by which a job may appear younger than it
// is: the maximum duration of an offer.
const processStartMargin = 500 * time.Millisecond

// expire abandons jobs without active runs whose callers no longer wait, and unstarted
// jobs whose answers can no longer have value. It returns the number of their waiting
// tasks. A job with active runs is removed when its origin withdraws it. expire also
// drops records whose retention time has passed.
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
		case j.starts == 0 && !j.Resumed && now.Sub(j.Sent) > lateFactor*j.targetTime():
			code = verdict.CodeOverloaded
			reason = "the job waited longer than the time in which its answer is useful"
		}
		if reason != "" {
			n += len(j.waiting)
			a.Notices = append(a.Notices, j.abandonNotice(code, reason, verdict.MinRetryAfter))
			q.remove(j)
		}
	}
	for ref, c := range q.unmatched {
		if now.Sub(c.listedAt) > CompletionRetention {
			delete(q.unmatched, ref)
			a.expired = append(a.expired, ref)
		}
	}
	for id, deadline := range q.rejectedUntil {
		if now.After(deadline) {
			delete(q.rejectedUntil, id)
		}
	}
	for id, sent := range q.firstSent {
		if now.Sub(sent) > firstSentRetention {
			delete(q.firstSent, id)
		}
	}
	return n
}

// firstSentRetention is the time for which the first sending time of an unsuccessful
// job is kept. Callers send such a job again within seconds.
const firstSentRetention = 6 * time.Second

// remove removes a job. Its active runs become terminating. The caller holds mu.
func (q *queueShard) remove(j *job) {
	waiting := j.waiting
	j.waiting = nil
	q.updateHeap(j)
	delete(q.jobs, j.ID)
	if j.unfinished == 0 {
		delete(q.firstSent, j.ID)
		return
	}
	q.firstSent[j.ID] = j.Sent
	if j.AtMostOnce && (j.starts > 0 || j.Resumed) {
		q.rejectedUntil[j.ID] = j.Deadline
	}
	for _, index := range j.Tasks {
		if attempt := j.attempts[index]; attempt > 0 && !slices.Contains(waiting, index) {
			q.terminating[Task{j.ID, index}] = attempt
		}
	}
}

// unblock records the end of a run whose job was removed, so that its task can start
// again for a job with the same id. The caller holds mu.
func (q *queueShard) unblock(run Run) (waiting int) {
	if q.terminating[run.Task] != run.Attempt {
		return 0
	}
	delete(q.terminating, run.Task)
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
	q.updateHeap(j)
	return 1
}

// offer adds a job. It returns notices for tasks that are known to have finished and
// the number of waiting tasks. A job that is already present moves to its new
// origin.
func (q *queueShard) offer(now time.Time, offered Job, model *queueModel) (notices []Notice, waiting int, failure *verdict.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if existing := q.jobs[offered.ID]; existing != nil {
		for _, index := range offered.Tasks {
			if !existing.isOpen(index) {
				notices = append(notices, existing.doneNotice(index, existing.results[index], CompletionRef{}))
			}
		}
		existing.Origin, existing.OriginIncarnation = offered.Origin, offered.OriginIncarnation
		existing.Deadline = offered.Deadline
		for i := range notices {
			notices[i].Origin = offered.Origin
		}
		return notices, 0, nil
	}
	if _, rejected := q.rejectedUntil[offered.ID]; rejected {
		return nil, 0, verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost, "the tasks were stopped while the origin was unreachable")
	}
	if q.epoch.IsZero() {
		q.epoch = now
	}
	if _, unstarted := q.unstartedJobs[offered.ID]; unstarted && offered.PreviousToken == q.lastToken {
		offered.Resumed = false
	}
	j := &job{
		Job: offered, model: model, expected: model.expected(offered.Estimate),
		attempts: map[int]int{}, failures: map[int]int{}, results: map[int][]byte{}, index: -1,
	}
	if offered.Resumed {
		j.resumedAt = now
	}
	for _, index := range offered.Tasks {
		j.unfinished++
		if attempt := q.terminating[Task{offered.ID, index}]; attempt > 0 {
			j.blocked = append(j.blocked, index)
			j.attempts[index] = attempt
			continue
		}
		j.waiting = append(j.waiting, index)
	}
	if sent, seen := q.firstSent[j.ID]; seen && sent.Before(j.Sent) {
		j.Sent = sent
	}
	j.tier = j.tierAt(now)
	j.rescore(q.epoch)
	q.jobs[j.ID] = j
	if offered.Resumed {
		notices = q.applyUnmatched(j)
	}
	if q.jobs[j.ID] == j { // no completion has ended the job
		q.updateHeap(j)
	}
	return notices, len(j.waiting), nil
}

// candidate is a task to be placed.
type candidate struct {
	job      *Job
	index    int
	attempt  int
	expected float64   // run time at speed 1, in seconds
	targetAt time.Time // when the answer becomes late
	avoid    []string
	model    *queueModel
}

// demote lowers the jobs at the top of the heap that can no longer reach their tier.
// The caller holds mu.
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

// refresh updates the order of the jobs.
func (q *queueShard) refresh(now time.Time) {
	if q.topScore() == noScore {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demote(now)
}

// pop removes the next task of the first job. ok is false if no task waits.
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
		targetAt: j.Sent.Add(j.targetTime()),
		avoid:    j.avoid[index], model: j.model,
	}
	q.updateHeap(j)
	return c, true
}

// putBack returns a task that could not be placed.
func (q *queueShard) putBack(c candidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.jobs[c.job.ID]
	if j == nil || &j.Job != c.job {
		q.unblock(Run{Task{c.job.ID, c.index}, c.attempt})
		return
	}
	j.running--
	j.attempts[c.index]--
	j.waiting = slices.Insert(j.waiting, 0, c.index)
	q.updateHeap(j)
}

// noteStart counts a start order that may take effect.
func (q *queueShard) noteStart(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if j := q.jobs[id]; j != nil {
		j.starts++
	}
}

// adopt records that a waiting task is already running as the given attempt.
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
	q.updateHeap(j)
	return j.Job, j.expected, j.model, true
}

// undoAdopt reverts adopt if the run has disappeared. It changes nothing if the
// completion of the run was processed meanwhile.
func (q *queueShard) undoAdopt(run Run) (waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.jobs[run.Job]
	if j == nil || j.attempts[run.Index] != run.Attempt || slices.Contains(j.waiting, run.Index) {
		return 0
	}
	j.running--
	j.waiting = append(j.waiting, run.Index)
	q.updateHeap(j)
	return 1
}

// withdraw removes the matching jobs. It returns the number of their waiting tasks
// and their ids.
func (q *queueShard) withdraw(match func(*Job) bool) (waiting int, ids []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, j := range q.jobs {
		if match(&j.Job) {
			waiting += len(j.waiting)
			ids = append(ids, j.ID)
			q.remove(j)
		}
	}
	return waiting, ids
}
