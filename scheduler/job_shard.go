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

// noScore is the score of a shard without waiting tasks. It exceeds every score of a
// job and every cost of an upstream.
var noScore = math.Inf(1)

// jobShard holds the jobs whose ids hash to it. The jobs of one queue are spread over
// all shards.
type jobShard struct {
	topBits     atomic.Uint64 // math.Float64bits of the first job's score, or of noScore
	suspectJobs atomic.Int32  // length of suspects

	mu   sync.Mutex // guards the fields below and every store of topBits
	jobs map[string]*job
	heap jobHeap
	// suspects holds the jobs with waiting suspects, by id. Suspects do not count for the
	// heap.
	suspects map[string]*job
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
	// histories holds what is known about unsuccessful runs, by job id. It is kept across
	// terms.
	histories map[string]*jobHistory
	// completed holds the jobs that have completed recently, by id.
	completed map[string]*completedJob
	// unstartedJobs holds the jobs that had no started task at the end of the term with
	// lastToken.
	unstartedJobs map[string]struct{}
	lastToken     int64
	epoch         time.Time // zero point of the scores: the first offer
}

func newJobShard() *jobShard {
	s := &jobShard{
		firstSent: map[string]time.Time{}, rejectedUntil: map[string]time.Time{}, completed: map[string]*completedJob{},
		unstartedJobs: map[string]struct{}{}, histories: map[string]*jobHistory{},
	}
	s.reset(0)
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
		s.unstartedJobs, s.lastToken = map[string]struct{}{}, token
	}
	n := 0
	for id, j := range s.jobs {
		n += len(j.waiting)
		if j.unstarted() {
			s.unstartedJobs[id] = struct{}{}
		}
	}
	s.jobs, s.heap, s.unmatched, s.terminating = map[string]*job{}, nil, map[CompletionRef]unmatchedCompletion{}, map[Task]int{}
	s.suspects = map[string]*job{}
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
func (s *jobShard) releaseResumed(r resumeCriteria, a *Actions) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, j := range s.jobs {
		polled := j.resumedAt.Before(r.oldestPoll)
		runsKnown := polled && j.Sent.After(r.listCompleteSince) && r.latestProcessStart.Before(j.Sent.Add(-processStartMargin))
		timedOut := j.resumedAt.Before(r.resumedBefore)
		switch {
		case j.resumedAt.IsZero():
		case j.AtMostOnce && runsKnown, !j.AtMostOnce && (timedOut || polled && r.listCompleteSince.IsZero()):
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
	for _, j := range s.jobs {
		reason, code := "", verdict.CodeDeadline
		switch {
		case j.running > 0:
		case !now.Before(j.Deadline):
			reason = "the caller's deadline has passed"
			if j.hasWaitingSuspect() {
				reason = "an upstream crashed under a task, and the deadline passed before it could be tried again"
			}
		case j.starts == 0 && !j.Resumed && now.Sub(j.Sent) > lateFactor*j.targetTime():
			code = verdict.CodeOverloaded
			reason = "the job waited longer than the time in which its answer is useful"
		}
		if reason != "" {
			n += len(j.waiting)
			a.Notices = append(a.Notices, j.abandonNotice(code, reason, verdict.MinRetryAfter))
			s.remove(j)
		}
	}
	s.expireCompleted(now)
	s.expireHistories(now)
	for ref, c := range s.unmatched {
		if now.Sub(c.listedAt) > CompletionRetention {
			delete(s.unmatched, ref)
			a.expired = append(a.expired, ref)
		}
	}
	for id, deadline := range s.rejectedUntil {
		if now.After(deadline) {
			delete(s.rejectedUntil, id)
		}
	}
	for id, sent := range s.firstSent {
		if now.Sub(sent) > firstSentRetention {
			delete(s.firstSent, id)
		}
	}
	return n
}

// firstSentRetention is the time for which the first sending time of an unsuccessful
// job is kept. Callers send such a job again within seconds.
const firstSentRetention = 6 * time.Second

// remove removes a job. Its active runs become terminating. The caller holds mu.
func (s *jobShard) remove(j *job) {
	waiting := j.waiting
	j.waiting = nil
	s.updateHeap(j)
	delete(s.jobs, j.ID)
	if j.unfinished == 0 {
		delete(s.firstSent, j.ID)
		delete(s.histories, j.ID)
		return
	}
	s.firstSent[j.ID] = j.Sent
	if j.AtMostOnce && (j.starts > 0 || j.Resumed) {
		s.rejectedUntil[j.ID] = j.Deadline
	}
	for _, index := range j.Tasks {
		if attempt := j.attempts[index]; attempt > 0 && !slices.Contains(waiting, index) {
			s.terminating[Task{j.ID, index}] = attempt
		}
	}
}

// unblock records the end of a run whose job was removed, so that its task can start
// again for a job with the same id. It returns the number of tasks that wait again.
// The caller holds mu.
func (s *jobShard) unblock(run Run) (waiting int) {
	if s.terminating[run.Task] != run.Attempt {
		return 0
	}
	delete(s.terminating, run.Task)
	j := s.jobs[run.Job]
	if j == nil {
		return 0
	}
	at := slices.Index(j.blocked, run.Index)
	if at < 0 {
		return 0
	}
	j.blocked = slices.Delete(j.blocked, at, at+1)
	j.waiting = append(j.waiting, run.Index)
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
	if existing := s.jobs[offered.ID]; existing != nil {
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
	if done := s.completed[offered.ID]; done != nil {
		notices, failure = done.answer(offered)
		return notices, 0, failure
	}
	if _, rejected := s.rejectedUntil[offered.ID]; rejected {
		return nil, 0, verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost, "the tasks were stopped while the origin was unreachable")
	}
	if s.epoch.IsZero() {
		s.epoch = now
	}
	if _, unstarted := s.unstartedJobs[offered.ID]; unstarted && offered.PreviousToken == s.lastToken {
		offered.Resumed = false
	}
	j := &job{
		Job: offered, model: model, expected: model.expected(offered.Estimate),
		attempts: map[int]int{}, results: map[int][]byte{}, index: -1,
	}
	if offered.Resumed {
		j.resumedAt = now
	}
	for _, index := range offered.Tasks {
		known := s.history(Task{j.ID, index})
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
		if attempt := s.terminating[Task{offered.ID, index}]; attempt > 0 {
			j.blocked = append(j.blocked, index)
			j.attempts[index] = attempt
			continue
		}
		j.waiting = append(j.waiting, index)
	}
	if sent, seen := s.firstSent[j.ID]; seen && sent.Before(j.Sent) {
		j.Sent = sent
	}
	j.tier = j.tierAt(now)
	j.rescore(s.epoch)
	s.jobs[j.ID] = j
	if offered.Resumed {
		notices = s.applyUnmatched(now, j)
	}
	if s.jobs[j.ID] == j { // no completion has ended the job
		s.updateHeap(j)
	}
	return notices, len(j.waiting), nil
}

// adopt records that a waiting task is already running as the given attempt. It
// returns the job, the expected run time at speed 1 in seconds, and the queue's model;
// false means that the task does not wait.
func (s *jobShard) adopt(run Run) (Job, float64, *queueModel, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[run.Job]
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
	s.updateHeap(j)
	return j.Job, j.expected, j.model, true
}

// undoAdopt reverts adopt if the run has disappeared. It changes nothing if the
// completion of the run was processed meanwhile.
func (s *jobShard) undoAdopt(run Run) (waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[run.Job]
	if j == nil || j.attempts[run.Index] != run.Attempt || slices.Contains(j.waiting, run.Index) {
		return 0
	}
	j.running--
	j.waiting = append(j.waiting, run.Index)
	s.updateHeap(j)
	return 1
}

// withdraw removes the matching jobs. It returns the number of their waiting tasks
// and their ids.
func (s *jobShard) withdraw(match func(*Job) bool) (waiting int, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if match(&j.Job) {
			waiting += len(j.waiting)
			ids = append(ids, j.ID)
			s.remove(j)
		}
	}
	return waiting, ids
}
