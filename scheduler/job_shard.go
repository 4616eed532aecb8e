package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/verdict"
)

// noScore is the score of a shard without waiting tasks. It exceeds every score of a
// job and every cost of an upstream.
var noScore = math.Inf(1)

// jobShard holds the jobs whose ids hash to it. The jobs of one queue are spread over
// all shards.
type jobShard struct {
	topBits     atomic.Uint64 // math.Float64bits of the first job's score, or of noScore
	suspectJobs atomic.Int32  // length of suspects

	mu sync.Mutex // guards the fields below and every store of topBits
	// records holds what is known about jobs, by id.
	records map[string]*jobRecord
	heap    jobHeap
	// suspects holds the jobs with waiting suspects, by id. Suspects do not count for the
	// heap.
	suspects    map[string]*job
	historyJobs int       // number of records with histories
	lastToken   int64     // token of the last term that has ended
	epoch       time.Time // zero point of the scores: the first offer
}

func newJobShard() *jobShard {
	s := &jobShard{records: map[string]*jobRecord{}, suspects: map[string]*job{}}
	s.publish()
	return s
}

func (s *jobShard) topScore() float64 { return math.Float64frombits(s.topBits.Load()) }

// publish stores the score of the first job. The caller holds mu.
func (s *jobShard) publish() {
	top := noScore
	if len(s.heap) > 0 {
		top = s.heap[0].score
	}
	s.topBits.Store(math.Float64bits(top))
}

// updateHeap adds, moves or removes a job in the heap. The caller holds mu.
func (s *jobShard) updateHeap(j *job) {
	s.trackSuspects(j)
	wanted := j.resumedAt.IsZero() && j.firstOrdinary() >= 0
	switch {
	case wanted && j.index < 0:
		heap.Push(&s.heap, j)
	case wanted:
		heap.Fix(&s.heap, j.index)
	case j.index >= 0:
		heap.Remove(&s.heap, j.index)
	}
	s.publish()
}

// reset removes all jobs at the end of the term with the given token, or 0 if there
// was none, and returns the number of waiting tasks.
func (s *jobShard) reset(token int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token != 0 {
		s.lastToken = token
	}
	n := 0
	for id, r := range s.records {
		if r.job != nil {
			n += len(r.job.waiting)
		}
		r.endTerm(token)
		if r.empty() {
			delete(s.records, id)
		}
	}
	s.heap, s.suspects = nil, map[string]*job{}
	s.suspectJobs.Store(0)
	s.publish()
	return n
}

// resumeCriteria decide whether resumed jobs may start.
type resumeCriteria struct {
	// Every upstream has answered a poll sent at oldestPoll or later. The runs that
	// earlier dispatchers started for a job resumed before resumedBefore are over.
	oldestPoll, resumedBefore time.Time
	// latestProcessStart is the latest start time of an upstream's process.
	latestProcessStart time.Time
	// Before listCompleteSince, upstreams that are not listed may have run tasks.
	listCompleteSince time.Time
}

// releaseResumed lets resumed jobs start once the criteria are met. An at-most-once
// job requires answers of all upstreams on which its tasks can have started, from
// processes older than the job; otherwise it is abandoned. releaseResumed returns
// the number of tasks that no longer wait.
func (s *jobShard) releaseResumed(c resumeCriteria, a *Actions) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.records {
		j := r.job
		if j == nil || j.resumedAt.IsZero() {
			continue
		}
		polled := j.resumedAt.Before(c.oldestPoll)
		runsKnown := polled && j.Sent.After(c.listCompleteSince) && c.latestProcessStart.Before(j.Sent.Add(-processStartMargin))
		timedOut := j.resumedAt.Before(c.resumedBefore)
		switch {
		case j.AtMostOnce && runsKnown, !j.AtMostOnce && (timedOut || polled && c.listCompleteSince.IsZero()):
			j.resumedAt = time.Time{}
			s.updateHeap(j)
		case j.AtMostOnce && (polled || timedOut) && len(j.waiting) > 0:
			n += len(j.waiting)
			a.Notices = append(a.Notices, j.abandonNotice(verdict.CodeOwnerLost, "the dispatcher was lost and the tasks may have started", 0))
			s.remove(j)
		}
	}
	return n
}

// processStartMargin is the time by which a process must have started before Job.Sent
// to count as older than the job. A job may appear younger than it is, by at most the
// maximum duration of an offer.
const processStartMargin = 500 * time.Millisecond

// expire abandons jobs without active runs whose callers no longer wait, and unstarted
// jobs whose answers can no longer have value. It returns the number of their waiting
// tasks. A job with active runs is removed when its origin withdraws it. expire also
// drops records whose retention time has passed.
func (s *jobShard) expire(now time.Time, a *Actions) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, r := range s.records {
		if notice := r.expiredJob(now); notice != nil {
			n += len(r.job.waiting)
			a.Notices = append(a.Notices, *notice)
			s.remove(r.job)
		}
		a.expired = append(a.expired, r.expire(now)...)
		if r.job == nil && now.Sub(r.historiesChangedAt) > history.Retention {
			s.dropHistories(r)
		}
		if r.empty() {
			delete(s.records, id)
		}
	}
	return n
}

// expiredJob returns the notice that abandons the job if it has no active runs and its
// caller no longer waits, or if it has not started and its answer can no longer have
// value; otherwise nil.
func (r *jobRecord) expiredJob(now time.Time) *Notice {
	j := r.job
	if j == nil || j.running > 0 {
		return nil
	}
	reason, code := "", verdict.CodeDeadline
	switch {
	case !now.Before(j.Deadline):
		reason = "the caller's deadline has passed"
		if j.hasWaitingSuspect() {
			reason = "an upstream crashed under a task, and the deadline passed before it could be tried again"
		}
	case j.starts == 0 && !j.Resumed && now.Sub(j.Sent) > lateFactor*j.targetTime():
		code = verdict.CodeOverloaded
		reason = "the job waited longer than the time in which its answer is useful"
	default:
		return nil
	}
	notice := j.abandonNotice(code, reason, verdict.MinRetryAfter)
	return &notice
}

// remove removes a job. Its active runs become terminating. The caller holds mu.
func (s *jobShard) remove(j *job) {
	j.waiting = nil
	s.updateHeap(j)
	r := s.record(j.ID)
	r.job = nil
	if j.unfinished == 0 {
		r.firstSent, r.attempts = time.Time{}, nil
		s.dropHistories(r)
		return
	}
	r.firstSent = j.Sent
	if j.AtMostOnce && (j.starts > 0 || j.Resumed) {
		r.rejectedUntil = j.Deadline
	}
	r.attemptsUntil = j.Deadline.Add(attemptRetention)
	for index, ref := range j.current {
		if r.terminating == nil {
			r.terminating = map[int]runRef{}
		}
		r.terminating[index] = ref
	}
}

// unblock records the end of a run whose job was removed, so that its task can start
// again for a job with the same id. It returns the number of tasks that wait again.
// The caller holds mu.
func (s *jobShard) unblock(task Task, over runRef) (waiting int) {
	r := s.records[task.Job]
	if r == nil || r.terminating[task.Index] != over {
		return 0
	}
	delete(r.terminating, task.Index)
	j := r.job
	if j == nil {
		return 0
	}
	at := slices.Index(j.blocked, task.Index)
	if at < 0 {
		return 0
	}
	j.blocked = slices.Delete(j.blocked, at, at+1)
	j.waiting = append(j.waiting, task.Index)
	s.updateHeap(j)
	return 1
}

// offer adds a job. It returns notices for tasks that are known to have finished and
// the number of waiting tasks. A job that is already present moves to its new
// origin.
func (s *jobShard) offer(now time.Time, offered Job, model *queueModel) (notices []Notice, waiting int, failure *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeHistories(now, offered.ID, offered.Histories)
	r := s.record(offered.ID)
	if existing := r.job; existing != nil {
		for _, index := range offered.Tasks {
			if !existing.isOpen(index) {
				notices = append(notices, existing.doneNotice(index, existing.results[index], CompletionRef{}))
			}
		}
		existing.Origin, existing.OriginIncarnation, existing.Term = offered.Origin, offered.OriginIncarnation, offered.Term
		existing.Deadline = offered.Deadline
		for i := range notices {
			notices[i].Origin, notices[i].Term = offered.Origin, offered.Term
		}
		return notices, 0, nil
	}
	if r.completed != nil {
		notices, failure = r.completed.answer(offered)
		return notices, 0, failure
	}
	if !r.rejectedUntil.IsZero() {
		return nil, 0, verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost, "the tasks were stopped while the origin was unreachable")
	}
	if s.epoch.IsZero() {
		s.epoch = now
	}
	if r.unstartedIn != 0 && r.unstartedIn == s.lastToken && offered.PreviousToken == s.lastToken {
		offered.Resumed = false
	}
	j := &job{
		Job: offered, model: model, expected: model.expected(offered.Estimate),
		current: map[int]runRef{}, results: map[int][]byte{}, index: -1,
	}
	if offered.Resumed {
		j.resumedAt = now
	}
	for _, index := range offered.Tasks {
		known := r.histories[index]
		if reason := known.Hopeless(j.MaxAttempts); reason != "" {
			return []Notice{j.failedNotice(index, reason, known, CompletionRef{})}, 0, nil
		}
		if reason := known.Exhausted(); reason != "" {
			notice := j.abandonNotice(verdict.CodeUpstreamFailed, reason, 0)
			notice.Kind = JobAbandoned // the task has run in an earlier attempt of the caller
			return []Notice{notice}, 0, nil
		}
		if known.Suspect() {
			j.markSuspect(index, known.Suspicion)
		}
	}
	for _, index := range offered.Tasks {
		j.unfinished++
		if _, active := r.terminating[index]; active {
			j.blocked = append(j.blocked, index)
			continue
		}
		j.waiting = append(j.waiting, index)
	}
	if !r.firstSent.IsZero() && r.firstSent.Before(j.Sent) {
		j.Sent = r.firstSent
	}
	j.tier = j.tierAt(now)
	j.rescore(s.epoch)
	r.job = j
	if offered.Resumed {
		notices = s.applyUnmatched(now, r)
	}
	if r.job == j { // no completion has ended the job
		s.updateHeap(j)
	}
	return notices, len(j.waiting), nil
}

// adopt records that a waiting task is already running. It returns the job, the expected
// run time at speed 1 in seconds, and the queue's model; false means that the task does
// not wait.
func (s *jobShard) adopt(found foundRun) (Job, float64, *queueModel, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.job(found.Job)
	if j == nil {
		return Job{}, 0, nil, false
	}
	at := slices.Index(j.waiting, found.Index)
	if at < 0 {
		return Job{}, 0, nil, false
	}
	j.waiting = slices.Delete(j.waiting, at, at+1)
	j.running++
	j.starts++
	j.current[found.Index] = found.ref()
	s.records[found.Job].noteAttempt(found.Index, found.Attempt)
	s.updateHeap(j)
	return j.Job, j.expected, j.model, true
}

// undoAdopt reverts adopt if the run has disappeared. It changes nothing if the
// completion of the run was processed meanwhile.
func (s *jobShard) undoAdopt(found foundRun) (waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.job(found.Job)
	if j == nil || j.current[found.Index] != found.ref() {
		return 0
	}
	delete(j.current, found.Index)
	j.running--
	j.waiting = append(j.waiting, found.Index)
	s.updateHeap(j)
	return 1
}

// withdraw removes the matching jobs. It returns the number of their waiting tasks
// and their ids.
func (s *jobShard) withdraw(match func(*Job) bool) (waiting int, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if j := r.job; j != nil && match(&j.Job) {
			waiting += len(j.waiting)
			ids = append(ids, j.ID)
			s.remove(j)
		}
	}
	return waiting, ids
}
