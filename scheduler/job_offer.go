package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// termState is the state of a term as an offer or a tick has read it. The term may have
// ended since.
type termState struct {
	token int64
	// settled means that all runs of earlier dispatchers are known or over.
	settled bool
	// coverage is that of the last tick.
	coverage Coverage
}

// offer adds a job. It returns notices for tasks that are known to have finished and
// the number of waiting tasks. A job that is already present moves to its new
// origin.
func (s *jobShard) offer(now time.Time, offered Job, model *queueModel, t termState) (notices []Notice, waiting int, failure *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeHistories(now, offered.ID, offered.Histories)
	r := s.record(offered.ID)
	if r.job != nil {
		if offered.Origin == r.job.Origin && offered.Submission < r.job.Submission {
			return nil, 0, nil // late; its origin has ended this submission
		}
		return s.move(now, r.job, offered, t), 0, nil
	}
	if r.completed != nil {
		notices, failure = r.completed.answer(offered)
		return notices, 0, failure
	}
	if !r.rejectedUntil.IsZero() {
		return nil, 0, verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost, "the tasks were stopped while the origin was unreachable")
	}
	if !now.Before(offered.Deadline) {
		// A run that the job adopted would be renewed although nobody waits for it.
		late := &job{Job: offered, ranBefore: len(r.attempts) > 0}
		return []Notice{late.abandonNotice(verdict.CodeDeadline, "the caller's deadline passed before the job was offered", verdict.MinRetryAfter)}, 0, nil
	}
	if s.epoch.IsZero() {
		s.epoch = now
	}
	basis := StartBasis{Resumed: offered.Resumed, EarlierKnown: !r.firstSent.IsZero() || len(r.attempts)+len(r.others)+len(r.unmatched) > 0, Coverage: t.coverage}
	if s.lastToken != 0 && offered.PreviousToken == s.lastToken && r.unstarted == (offerRef{s.lastToken, offered.Origin, offered.Submission}) {
		basis.Resumed, basis.WasUnstarted = false, offered.Resumed
		offered.Resumed = false
	}
	j := &job{
		Job: offered, model: model, expected: model.expected(offered.Estimate),
		current: map[int]runRef{}, results: map[int][]byte{}, index: -1, basis: basis, receivedAt: offered.Sent,
	}
	if offered.Resumed || !t.settled || t.token <= s.lastToken {
		j.heldSince = now
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
		j.ranBefore = j.ranBefore || r.attempts[index] > 0
		if len(r.others[index]) > 0 {
			j.blocked = append(j.blocked, index)
		} else {
			j.waiting = append(j.waiting, index)
		}
	}
	if !r.firstSent.IsZero() && r.firstSent.Before(j.Sent) {
		j.Sent = r.firstSent
	}
	j.tier = j.tierAt(now)
	j.rescore(s.epoch)
	r.job = j
	if len(r.unmatched) > 0 {
		notices, _, _ = s.applyUnmatched(now, r)
	}
	if r.job == j { // no completion has ended the job
		s.updateHeap(j)
	}
	return notices, len(j.waiting), nil
}

// receivedError bounds the error of the difference between the times at which two origins have
// received a job: the delay of an offer whose origin does not know the clock of this VM.
const receivedError = 500 * time.Millisecond

// move updates a job that is present and is offered again. It returns notices for the tasks
// that have finished. The caller holds mu.
func (s *jobShard) move(now time.Time, j *job, offered Job, t termState) (notices []Notice) {
	if offered.Resumed && offered.PreviousToken != t.token && !j.Resumed {
		// Another dispatcher has had the job since and may have started tasks.
		j.Resumed, j.heldSince, j.basis.Resumed = true, now, true
	}
	if offered.Origin != j.Origin && offered.Sent.Before(j.receivedAt.Add(-receivedError)) {
		s.updateHeap(j)
		return nil // its caller has gone to the present origin since
	}
	if offered.Origin == j.Origin && offered.Submission == j.Submission {
		// An offer contains the time that was left when it was sent.
		offered.Deadline = earlier(offered.Deadline, j.Deadline)
		offered.returnAt = earlier(offered.returnAt, j.returnAt)
	} else {
		offered.returnAt = later(offered.returnAt, j.returnAt) // the caller was there for both
	}
	j.Origin, j.OriginIncarnation, j.Term = offered.Origin, offered.OriginIncarnation, offered.Term
	j.Submission, j.Deadline, j.returnAt, j.receivedAt = offered.Submission, offered.Deadline, offered.returnAt, offered.Sent
	s.updateHeap(j) // the deadline may be a later one
	for _, index := range offered.Tasks {
		if !j.isOpen(index) {
			notices = append(notices, j.doneNotice(index, j.results[index], CompletionRef{}))
		}
	}
	return notices
}

// otherRuns returns the active runs of a job's waiting tasks that do not belong to it.
func (s *jobShard) otherRuns(id string) (found []foundRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r == nil || r.job == nil {
		return nil
	}
	for _, index := range r.job.blocked {
		for _, ref := range r.others[index] {
			found = append(found, foundRun{Run{Task{id, index}, ref.attempt}, ref.upstream})
		}
	}
	return found
}

// adopt records that a waiting task is already running. It returns the job, the expected
// run time at speed 1 in seconds, and the queue's model; false means that the task does
// not wait. Its job, if there is one, then cannot start the task before the run is over.
func (s *jobShard) adopt(found foundRun) (offered Job, expected float64, model *queueModel, dequeued int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(found.Job)
	r.noteAttempt(found.Index, found.Attempt)
	j := r.job
	if j == nil {
		r.addOther(found.Index, found.ref())
		return Job{}, 0, nil, 0, false
	}
	if dequeued, ok = j.dequeue(found.Index); !ok {
		if j.current[found.Index] != found.ref() {
			r.addOther(found.Index, found.ref())
		}
		return Job{}, 0, nil, 0, false
	}
	r.removeOther(found.Index, found.ref())
	j.running++
	j.starts++
	j.current[found.Index] = found.ref()
	s.updateHeap(j)
	return j.Job, j.expected, j.model, dequeued, true
}

// hasRun reports whether a run is the active run of a task of its job.
func (s *jobShard) hasRun(f foundRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.job(f.Job)
	return j != nil && j.current[f.Index] == f.ref()
}

// undoAdopt reverts adopt if the run has disappeared. It changes nothing if the
// completion of the run was processed meanwhile.
func (s *jobShard) undoAdopt(found foundRun) (waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[found.Job]
	if r == nil || r.job == nil || r.job.current[found.Index] != found.ref() {
		return s.forget(found.Task, found.ref())
	}
	delete(r.job.current, found.Index)
	r.job.running--
	waiting = r.enqueue(found.Index)
	s.updateHeap(r.job)
	return waiting
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

// withdrawSubmission removes a submission of a job. It returns the number of its waiting
// tasks, and whether it was present.
func (s *jobShard) withdrawSubmission(origin, id string, submission uint64) (waiting int, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.job(id)
	if j == nil || j.Origin != origin || j.Submission != submission {
		return 0, false
	}
	waiting = len(j.waiting)
	s.remove(j)
	return waiting, true
}
