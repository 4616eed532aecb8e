package scheduler

import (
	"container/heap"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/locality"
	"github.com/mustardstep/mustardstep/overload"
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
	parkedCount atomic.Int32  // number of jobs in parked
	parkedTasks atomic.Int32  // number of their waiting tasks when they were parked

	mu sync.Mutex // guards the fields below and every store of topBits
	// records holds what is known about jobs, by id.
	records map[string]*jobRecord
	heap    jobHeap
	// suspects holds the jobs with waiting suspects, by id. Suspects do not count for the
	// heap.
	suspects map[string]*job
	// parked holds the jobs that wait for a group of upstreams. They are not in heap. No wait
	// ends before parkedUntil.
	parkedUntil time.Time
	parked      map[*locality.Group]*parkedJobs
	historyJobs int        // number of records with histories
	lastToken   int64      // token of the last term that has ended
	split       splitState // as of the last tick
	epoch       time.Time  // zero point of the scores: the first offer
	load        *overload.Controller
	start       time.Time // zero point of the times passed to load; immutable, as load is
}

func newJobShard() *jobShard {
	s := &jobShard{records: map[string]*jobRecord{}, suspects: map[string]*job{}, load: overload.New()}
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
	s.trackLoad(j)
	if j.parked != nil && (!j.heldSince.IsZero() || j.firstOrdinary() < 0) {
		s.unpark(j)
	}
	wanted := j.parked == nil && j.heldSince.IsZero() && j.firstOrdinary() >= 0
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
			s.untrackLoad(r.job)
		}
		r.endTerm(token)
		if r.empty() {
			delete(s.records, id)
		}
	}
	s.unparkAll()
	s.heap, s.suspects = nil, map[string]*job{}
	s.suspectJobs.Store(0)
	s.publish()
	return n
}

// releaseCriteria decide whether jobs that are held may start.
type releaseCriteria struct {
	now time.Time
	// Every upstream has answered a poll sent at oldestPoll or later. The runs that
	// earlier dispatchers started for a job resumed before resumedBefore are over.
	oldestPoll, resumedBefore time.Time
	// latestProcessStart is the latest start time of an upstream's process.
	latestProcessStart time.Time
	// term is the term in which the tick has begun.
	term termState
	// allAnswered means that every listed upstream has answered in the term.
	allAnswered bool
	// Before listCompleteSince, upstreams that are not listed may have run tasks.
	listCompleteSince time.Time
}

// releaseHeld lets jobs start once the criteria are met. A resumed at-most-once job
// requires answers of all upstreams on which its tasks can have started, from
// processes older than the job; otherwise it is abandoned. releaseHeld returns
// the number of tasks that no longer wait, and the ids of the jobs whose adopted runs must be
// stopped.
func (s *jobShard) releaseHeld(c releaseCriteria, a *Actions) (n int, stop []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.term.token <= s.lastToken {
		return 0, nil
	}
	for id, r := range s.records {
		j := r.job
		if j == nil || j.heldSince.IsZero() {
			continue
		}
		polled := j.heldSince.Before(c.oldestPoll)
		runsKnown := polled && j.Sent.After(c.listCompleteSince) && c.latestProcessStart.Before(j.Sent.Add(-processStartMargin))
		timedOut := j.heldSince.Before(c.resumedBefore)
		switch {
		case !j.Resumed && !c.term.settled:
		case !j.Resumed, j.AtMostOnce && runsKnown, !j.AtMostOnce && (timedOut || polled && c.listCompleteSince.IsZero()):
			end := HoldTimedOut
			if j.Resumed && polled || !j.Resumed && c.allAnswered {
				end = HoldAnswered
			}
			j.noteHoldEnd(&c, end)
			j.heldSince = time.Time{}
			s.updateHeap(j)
		case j.AtMostOnce && (polled || timedOut) && len(j.waiting) > 0:
			n += len(j.waiting)
			a.Notices = append(a.Notices, j.abandonNotice(verdict.CodeOwnerLost, "the dispatcher was lost and the tasks may have started", 0))
			if j.running > 0 {
				stop = append(stop, id)
			}
			s.remove(j)
		}
	}
	return n, stop
}

// processStartMargin is the time by which a process must have started before Job.Sent
// to count as older than the job. A job may appear younger than it is, by at most the
// maximum duration of an offer.
const processStartMargin = 500 * time.Millisecond

// expire abandons jobs whose callers no longer wait or, in a split, may return soon, and
// unstarted jobs whose answers can no longer have value. It returns the number of their waiting
// tasks, and the reasons by the ids of those whose runs must be stopped. expire also drops records
// whose retention time has passed.
func (s *jobShard) expire(now time.Time, split splitState, a *Actions) (waiting int, stop map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setSplit(split)
	stop = map[string]string{}
	for id, r := range s.records {
		if notice := r.expiredJob(now, split); notice != nil {
			waiting += len(r.job.waiting)
			a.Notices = append(a.Notices, *notice)
			if r.job.running > 0 {
				stop[id] = notice.Reason
			}
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
	return waiting, stop
}

// splitReason is the reason for which a job is given up in a split.
const splitReason = "other VMs may dispatch, and the caller may send the job to one of them"

// expiredJob returns the notice that abandons the job if its caller no longer waits or, in a
// split, may return soon, or if it has not started and its answer can no longer have value;
// otherwise nil.
func (r *jobRecord) expiredJob(now time.Time, split splitState) *Notice {
	j := r.job
	if j == nil {
		return nil
	}
	reason, code := "", verdict.CodeDeadline
	switch {
	case split == splitConfirmed && returnsBefore(j.returnAt, now.Add(abandonLead)):
		reason, code = splitReason, verdict.CodeUnreachable
	case j.running > 0:
		if now.Before(j.Deadline.Add(withdrawTimeout)) {
			return nil
		}
		reason = "the caller's deadline has passed while tasks were running"
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

// withdrawTimeout is the time after the caller's deadline within which the origin withdraws
// a job that runs. It is not waited for any longer: the origin may be paused, and the caller
// may send the job again to a VM that has another dispatcher.
const withdrawTimeout = 200 * time.Millisecond

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
		r.addOther(index, ref)
	}
}

// forget records that a run which does not belong to the present submission is over, so
// that its task can start. It returns the number of tasks that wait again. The caller holds
// mu.
func (s *jobShard) forget(task Task, over runRef) (waiting int) {
	r := s.records[task.Job]
	if r == nil || !r.removeOther(task.Index, over) || r.job == nil || len(r.others[task.Index]) > 0 {
		return 0
	}
	at := slices.Index(r.job.blocked, task.Index)
	if at < 0 {
		return 0
	}
	r.job.blocked = slices.Delete(r.job.blocked, at, at+1)
	waiting = r.enqueue(task.Index)
	s.updateHeap(r.job)
	return waiting
}

// forgetOrphan records that a run which this dispatcher has not started is over.
func (s *jobShard) forgetOrphan(orphan foundRun) (waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forget(orphan.Task, orphan.ref())
}
