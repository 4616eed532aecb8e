package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/history"
)

// jobRecord is what a dispatcher knows about a job id: the submission that it serves, and
// what earlier submissions and terms have left behind. The lock of its shard guards it.
type jobRecord struct {
	// job is the submission in progress; nil if there is none.
	job *job
	// firstSent is the time at which a job that did not succeed was first sent, or zero. A
	// job that is sent again counts its waiting time from then on.
	firstSent time.Time
	// rejectedUntil is the deadline of an at-most-once job that was abandoned after a task
	// may have started, or zero. Until then the job is rejected if offered again.
	rejectedUntil time.Time
	// completed is set if all tasks have succeeded recently.
	completed *completedJob
	// unstarted is the offer of the job of which no task had started when the last term
	// ended, or zero.
	unstarted offerRef
	// attempts holds the highest attempt number of each task that this dispatcher has used
	// or seen. Numbers rise across submissions and terms, until attemptsUntil if there is
	// no job.
	attempts      map[int]int
	attemptsUntil time.Time
	// others holds the active runs, by task index, that do not belong to job: those of
	// removed submissions, and those that upstreams report and this dispatcher has not
	// started. Their tasks can start only after these runs are over, or adopt one.
	others map[int][]runRef
	// unmatched holds completions that no notice has reported to an origin.
	unmatched map[CompletionRef]unmatchedCompletion
	// histories holds what is known about unsuccessful runs by task index, as of
	// historiesChangedAt. They are kept across terms.
	histories          map[int]history.Task
	historiesChangedAt time.Time
}

// empty reports whether nothing is known about the job.
func (r *jobRecord) empty() bool {
	return r.job == nil && r.firstSent.IsZero() && r.rejectedUntil.IsZero() && r.completed == nil && r.unstarted == (offerRef{}) &&
		len(r.attempts) == 0 && len(r.others) == 0 && len(r.unmatched) == 0 && len(r.histories) == 0
}

// endTerm drops what is valid in one term only. token is that of the term that ends, or 0
// if there was none.
func (r *jobRecord) endTerm(token int64) {
	if token != 0 {
		r.unstarted = offerRef{}
	}
	if r.job != nil {
		if r.job.unstarted() {
			r.unstarted = offerRef{token, r.job.Origin, r.job.Submission}
		}
		r.attemptsUntil = r.job.Deadline.Add(attemptRetention)
	}
	r.job, r.others, r.unmatched = nil, nil, nil
}

// expire drops what is no longer needed, except histories. It returns the references of unmatched
// completions that have expired.
func (r *jobRecord) expire(now time.Time) (expired []CompletionRef) {
	for ref, c := range r.unmatched {
		if now.Sub(c.listedAt) > CompletionRetention {
			delete(r.unmatched, ref)
			expired = append(expired, ref)
		}
	}
	if r.completed != nil && r.completed.expire(now) {
		r.completed = nil
	}
	if now.After(r.rejectedUntil) {
		r.rejectedUntil = time.Time{}
	}
	if now.Sub(r.firstSent) > firstSentRetention {
		r.firstSent = time.Time{}
	}
	if r.job == nil && len(r.others) == 0 && now.After(r.attemptsUntil) {
		r.attempts = nil
	}
	return expired
}

// addOther records an active run that does not belong to the job.
func (r *jobRecord) addOther(index int, ref runRef) {
	if slices.Contains(r.others[index], ref) {
		return
	}
	if r.others == nil {
		r.others = map[int][]runRef{}
	}
	r.others[index] = append(r.others[index], ref)
}

// removeOther forgets such a run. It returns false if it was not recorded.
func (r *jobRecord) removeOther(index int, ref runRef) bool {
	at := slices.Index(r.others[index], ref)
	if at < 0 {
		return false
	}
	if r.others[index] = slices.Delete(r.others[index], at, at+1); len(r.others[index]) == 0 {
		delete(r.others, index)
	}
	return true
}

// enqueue lets a task of the job wait for an upstream, or for the end of the other runs of
// the task. It returns the number of tasks that wait for an upstream.
func (r *jobRecord) enqueue(index int) int {
	if len(r.others[index]) > 0 {
		r.job.blocked = append(r.job.blocked, index)
		return 0
	}
	r.job.waiting = append([]int{index}, r.job.waiting...)
	return 1
}

// nextAttempt returns the number of the next run of a task and counts it as used.
func (r *jobRecord) nextAttempt(index int) int {
	next := r.attempts[index] + 1
	r.noteAttempt(index, next)
	return next
}

// noteAttempt records that an attempt number of a task is in use.
func (r *jobRecord) noteAttempt(index, attempt int) {
	if r.attempts == nil {
		r.attempts = map[int]int{}
	}
	r.attempts[index] = max(r.attempts[index], attempt)
}

// returnAttempt makes a number available again that no upstream has seen.
func (r *jobRecord) returnAttempt(index, attempt int) {
	if r.attempts[index] == attempt {
		r.attempts[index]--
	}
}

// firstSentRetention is the time for which the first sending time of an unsuccessful
// job is kept. Callers send such a job again within seconds.
const firstSentRetention = 6 * time.Second

// attemptRetention is the time for which attempt numbers are kept after the caller's
// deadline. It exceeds the time after which an order may be executed late.
const attemptRetention = 10 * time.Second

// offerRef identifies an offer of a job. The same job may come from several origins, each of
// which knows only to which dispatchers it has offered the job itself.
type offerRef struct {
	token      int64
	origin     string
	submission uint64
}

// runRef identifies a run among all runs of its task, of any submission and of any
// dispatcher. An attempt number alone does not: a dispatcher that does not know of earlier
// runs counts from 1. An upstream, however, executes no attempt of a task a second time.
// The zero value refers to no run.
type runRef struct {
	// upstream is empty while the run is being placed.
	upstream string
	attempt  int
}

// record returns the record of a job, which is added if there is none. The caller holds
// mu.
func (s *jobShard) record(id string) *jobRecord {
	r := s.records[id]
	if r == nil {
		r = &jobRecord{}
		s.records[id] = r
	}
	return r
}

// job returns the submission of a job that is in progress, or nil. The caller holds mu.
func (s *jobShard) job(id string) *job {
	if r := s.records[id]; r != nil {
		return r.job
	}
	return nil
}
