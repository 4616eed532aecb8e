package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// unmatchedCompletion is a completion that no notice has reported to an origin, since
// its job is unknown or does not accept it.
type unmatchedCompletion struct {
	finishedRun
	listedAt time.Time
}

// applyUnmatched applies unmatched completions to the job of a record. dequeued is the
// number of tasks that no longer wait; stop means that the other runs of the job must be
// stopped. The caller holds mu.
func (s *jobShard) applyUnmatched(now time.Time, r *jobRecord) (notices []Notice, dequeued int, stop bool) {
	for ref, c := range r.unmatched {
		if r.job == nil {
			break
		}
		more, n, ended := s.finishWaiting(now, r.job, c.finishedRun)
		if len(more) > 0 {
			delete(r.unmatched, ref)
		}
		notices, dequeued, stop = append(notices, more...), dequeued+n, stop || ended
	}
	return notices, dequeued, stop
}

// finishUnknown processes the completion of a run that this dispatcher neither
// started nor adopted. dequeued is the number of tasks that no longer wait; stop
// means that the other runs of the job must be stopped.
func (s *jobShard) finishUnknown(now time.Time, f finishedRun) (notices []Notice, dequeued int, stop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := f.run.Index
	if j := s.job(f.run.Job); j != nil {
		s.records[f.run.Job].noteAttempt(index, f.run.Attempt)
		if j.current[index] == f.ref() {
			notices, dequeued, stop = s.finishCurrentRun(now, j, f)
			dequeued = -dequeued // finishCurrentRun counts tasks that wait again
		} else {
			notices, dequeued, stop = s.finishWaiting(now, j, f)
		}
	}
	dequeued -= s.forget(f.run.Task, f.ref())
	s.retain(now, f, notices)
	return notices, dequeued, stop
}

// retain keeps a completion that must be acknowledged and that none of the notices
// delivers to an origin. The caller holds mu.
func (s *jobShard) retain(now time.Time, f finishedRun, notices []Notice) {
	delivered := slices.ContainsFunc(notices, func(n Notice) bool { return n.Completion == f.completion })
	if f.completion.Upstream != "" && !delivered {
		r := s.record(f.run.Job)
		if r.unmatched == nil {
			r.unmatched = map[CompletionRef]unmatchedCompletion{}
		}
		r.unmatched[f.completion] = unmatchedCompletion{f, now}
	}
}

// finishWaiting processes the completion of a run that this dispatcher neither started nor
// adopted, for a task that waits here. It does not count for an at-most-once job that is
// offered for the first time. The caller holds mu.
func (s *jobShard) finishWaiting(now time.Time, j *job, f finishedRun) (notices []Notice, dequeued int, stop bool) {
	if !j.Resumed && j.AtMostOnce || !slices.Contains(j.waiting, f.run.Index) && !slices.Contains(j.blocked, f.run.Index) {
		return nil, 0, false
	}
	switch {
	case f.outcome == outcomeDone:
		dequeued, _ = j.dequeue(f.run.Index)
		j.starts++
		j.running++
		j.current[f.run.Index] = f.ref()
		s.updateHeap(j)
		notices, _, _ := s.finishCurrentRun(now, j, f)
		return notices, dequeued, false
	case j.AtMostOnce:
		n := len(j.waiting)
		j.starts++
		notice := j.lostNotice(f)
		s.remove(j)
		return []Notice{notice}, n, true
	}
	return nil, 0, false
}

// runOutcome is the effect of a finished run on its task.
type runOutcome uint8

const (
	outcomeDone          runOutcome = iota
	outcomeFailed                   // failed or rejected: counted as an attempt
	outcomeLost                     // stopped, lease expired, or lost: the task is started again
	outcomeUpstreamFault            // failed on an ejected upstream: not counted as an attempt
	outcomeNoEffect                 // the start order had no effect
	outcomeUnhealthy                // the start order had no effect: the upstream takes no tasks
	outcomeCrashed                  // the upstream crashed: like outcomeLost, but the task is suspected
)

// finish processes the end of a run. requeued is the number of tasks that wait
// again, negative if tasks no longer wait; stop means that the job has ended and its
// other runs must be stopped.
func (s *jobShard) finish(now time.Time, f finishedRun) (notices []Notice, requeued int, stop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.job(f.run.Job); j != nil && j.runs(f) {
		notices, requeued, stop = s.finishCurrentRun(now, j, f)
		// Another dispatcher's run of the task may have succeeded meanwhile.
		more, dequeued, ended := s.applyUnmatched(now, s.records[j.ID])
		notices, requeued, stop = append(notices, more...), requeued-dequeued, stop || ended
	} else {
		s.finishTerminating(now, f)
		requeued = s.forget(f.run.Task, f.ref())
	}
	s.retain(now, f, notices)
	return notices, requeued, stop
}

// finishTerminating records the end of a run whose job was removed in the history of its
// task: the caller may send the job again. The caller holds mu.
func (s *jobShard) finishTerminating(now time.Time, f finishedRun) {
	r := s.records[f.run.Job]
	if r == nil || !slices.Contains(r.others[f.run.Index], f.ref()) {
		return
	}
	before := r.histories[f.run.Index]
	if after := withRun(before, f); after != before {
		s.setHistory(now, f.run.Task, after)
	}
}

// runs reports whether a run that this dispatcher has ordered or adopted is the active
// run of its task.
func (j *job) runs(f finishedRun) bool {
	ref := j.current[f.run.Index]
	return ref == f.ref() || ref == runRef{attempt: f.run.Attempt} // ended while it was being placed
}

// completeTask records the result of a running task. The job is removed with its last
// one. The caller holds mu.
func (s *jobShard) completeTask(now time.Time, j *job, index int, result []byte) {
	if ref := j.current[index]; j.maxPerUpstream() > 0 && ref.upstream != "" {
		if j.doneOn == nil {
			j.doneOn = map[int]string{}
		}
		j.doneOn[index] = ref.upstream
	}
	j.running--
	delete(j.current, index)
	j.unfinished--
	if len(result) > 0 {
		j.results[index] = result
	}
	if j.unfinished == 0 {
		s.remove(j)
		s.record(j.ID).completed = &completedJob{finishedAt: now, deadline: j.Deadline, atMostOnce: j.AtMostOnce, results: j.results}
	}
}

// end removes a job that is over. It returns the results of finishCurrentRun: the notice
// about the end, minus the number of tasks that no longer wait, and that the other runs of
// the job must be stopped. The caller holds mu.
func (s *jobShard) end(j *job, notice Notice) (notices []Notice, requeued int, stop bool) {
	waiting := len(j.waiting)
	s.remove(j)
	return []Notice{notice}, -waiting, true
}

// finishCurrentRun processes the end of a task's current run. The caller holds mu.
func (s *jobShard) finishCurrentRun(now time.Time, j *job, f finishedRun) (notices []Notice, requeued int, stop bool) {
	index := f.run.Index
	if f.outcome == outcomeDone {
		j.current[index] = f.ref()
		s.completeTask(now, j, index, f.result)
		return []Notice{j.doneNotice(index, f.result, f.completion)}, 0, false
	}
	j.running--
	delete(j.current, index)
	before := s.record(j.ID).histories[index]
	after := withRun(before, f)
	if after != before {
		s.setHistory(now, f.run.Task, after)
	}
	if reason := after.Hopeless(j.MaxAttempts); reason != "" {
		return s.end(j, j.failedNotice(index, reason, after, f.completion))
	}
	if reason := after.Exhausted(); reason != "" {
		notice := j.abandonNotice(verdict.CodeUpstreamFailed, reason, 0)
		notice.Completion, notice.History = f.completion, after
		return s.end(j, notice)
	}
	if f.outcome == outcomeNoEffect || f.outcome == outcomeUnhealthy {
		j.starts--
	} else if j.AtMostOnce {
		return s.end(j, j.lostNotice(f))
	}
	if f.outcome == outcomeFailed || f.outcome == outcomeUpstreamFault || f.outcome == outcomeUnhealthy {
		if j.avoid == nil {
			j.avoid = map[int][]string{}
		}
		j.avoid[index] = append(j.avoid[index], f.upstream)
	}
	if after.Suspect() {
		j.markSuspect(index, after.Suspicion)
	}
	requeued = s.records[j.ID].enqueue(index)
	s.updateHeap(j)
	if after != before {
		notices = []Notice{j.retriedNotice(index, after)}
	}
	return notices, requeued, false
}
