package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/overload"
	"github.com/mustardstep/mustardstep/verdict"
)

// workOf returns the work of a number of tasks as package overload counts it.
func workOf(tasks int, size Size, expected float64) int64 {
	return int64(float64(tasks) * float64(size.MilliCPU) * expected * 1000)
}

// loadRequest describes a job to package overload. Its useful time counts from the present
// submission: a job that was rejected before would otherwise be hopeless whenever it is sent again.
func (s *Scheduler) loadRequest(j *Job, expected float64) *overload.Job {
	target := time.Duration(j.Stretch*expected*float64(time.Second)) + j.Slack
	sent := j.Sent.Sub(s.start)
	end := sent + target
	account := j.Account
	if account == "" {
		account = j.Origin
	}
	return &overload.Job{
		Queue: j.Queue, Account: account, Priority: j.Priority, Work: workOf(len(j.Tasks), j.Size, expected),
		Due: end + time.Duration(priorityGap*float64(j.Priority)*float64(time.Second)), End: end, LateEnd: sent + lateFactor*target,
		Run: time.Duration(expected * float64(time.Second)), Target: target,
	}
}

// admit returns a failure if a job is rejected because capacity is short. At-most-once jobs are
// admitted: their target times order them by class and do not limit the use of an answer. A job of which
// anything may have run is always admitted, and so is a job for which an upstream is free. Before
// the term is settled, the estimate lacks the jobs that other origins still offer; jobs then wait
// for the next tick after it.
func (s *Scheduler) admit(now time.Time, offered *Job, expected float64, t termState) *verdict.Error {
	if offered.Resumed || offered.AtMostOnce {
		return nil
	}
	if !s.jobShardFor(offered.ID).isNew(offered.ID) {
		return nil
	}
	request := s.loadRequest(offered, expected)
	at := now.Sub(s.start)
	reason := s.load.Admit(at, request, t.settled)
	if reason == overload.Admitted {
		return nil
	}
	if s.hasRoom(now, offered) {
		s.load.Charge(at, request)
		return nil
	}
	s.load.Reject(offered.Queue, reason)
	return verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded, "capacity is short: the job is %s", reason).
		WithRetryAfter(s.load.RetryAfter(verdict.MinRetryAfter, offered.ID))
}

// hasRoom reports whether a task of a job could start now.
func (s *Scheduler) hasRoom(now time.Time, j *Job) bool {
	// The zero target time makes every upstream count on which the job could run.
	c := candidate{job: j, index: -1, returnAt: j.returnAt, model: s.models.get(j.Queue, j.Estimate)}
	if j.Constraints != nil { // choose may meet only upstreams that the constraints exclude
		c.constrainedTask = &constrainedTask{tasks: len(j.Tasks)}
		return s.chooseSuiting(now, &c).name != ""
	}
	_, ok := s.choose(now, c)
	return ok
}

// isNew reports whether nothing of a job is in progress or may have run.
func (s *jobShard) isNew(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	return r == nil || r.job == nil && r.rejectedUntil.IsZero() && r.completed == nil && r.unstarted == (offerRef{}) &&
		len(r.attempts)+len(r.others)+len(r.unmatched)+len(r.histories) == 0
}

// trackLoad updates the backlog after the waiting tasks, the state or the tier of a job have
// changed. The caller holds mu.
func (s *jobShard) trackLoad(j *job) {
	s.untrackLoad(j)
	j.counted = workOf(len(j.waiting), j.Size, j.expected)
	if j.counted != 0 {
		due := j.Sent.Add(j.targetTime()).Sub(s.start) + time.Duration(priorityGap*float64(j.Priority)*float64(time.Second))
		j.countedAt = s.load.Slot(due, j.tier != tierInTime)
		s.load.Add(j.countedAt, j.counted)
	}
}

// untrackLoad removes a job from the backlog. The caller holds mu.
func (s *jobShard) untrackLoad(j *job) {
	if j.counted != 0 {
		s.load.Add(j.countedAt, -j.counted)
		j.counted = 0
	}
}

// preferBegun lets a job that has begun go before an equal one that has not, as if its priority
// were one class higher, while capacity is short: its first runs are worth nothing without the
// others. The caller holds mu.
func (s *jobShard) preferBegun(j *job) {
	if j.preferred || j.AtMostOnce || !s.load.WasShort() {
		return
	}
	j.preferred = true
	j.rescore(s.epoch)
	s.updateHeap(j)
}

// updateLoad updates the rates of the flows and rejects jobs that have become hopeless. Tick
// calls it once the jobs that may start are known.
func (s *Scheduler) updateLoad(now time.Time, capacity float64, t termState, a *Actions) {
	at := now.Sub(s.start)
	s.load.Update(at, capacity)
	if !t.settled || !s.load.Short(at) {
		return
	}
	for _, shard := range s.jobShards {
		for _, j := range shard.hopeless(now, s.load.IsScarce()) {
			if s.hasRoom(now, &j) {
				continue
			}
			notice, waiting := shard.rejectUnstarted(&j, s.load.RetryAfter(verdict.MinRetryAfter, j.ID))
			if notice == nil {
				continue
			}
			s.waiting.Add(int64(-waiting))
			s.load.Reject(j.Queue, overload.Hopeless)
			a.Notices = append(a.Notices, *notice)
		}
	}
}

// mayReject reports whether a job may be rejected for load: nothing of it has run or may run.
func (r *jobRecord) mayReject() bool {
	j := r.job
	return j != nil && !j.AtMostOnce && j.unstarted() && !j.ranBefore && j.running == 0 && len(j.blocked) == 0 && !j.hasWaitingSuspect()
}

// hopeless returns the jobs that may be rejected and would end after their useful time if they started
// now. While capacity is scarce, a late answer is not useful.
func (s *jobShard) hopeless(now time.Time, scarce bool) (jobs []Job) {
	useful := time.Duration(lateFactor)
	if scarce {
		useful = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if !r.mayReject() {
			continue
		}
		end := now.Add(time.Duration(r.job.expected * float64(time.Second)))
		if !end.After(r.job.receivedAt.Add(useful * r.job.targetTime())) {
			continue
		}
		jobs = append(jobs, r.job.Job)
	}
	return jobs
}

// rejectUnstarted removes a job unless it has changed since hopeless returned it.
func (s *jobShard) rejectUnstarted(offered *Job, retryAfter time.Duration) (notice *Notice, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[offered.ID]
	if r == nil || !r.mayReject() || r.job.Origin != offered.Origin || r.job.Submission != offered.Submission {
		return nil, 0
	}
	waiting = len(r.job.waiting)
	n := r.job.abandonNotice(verdict.CodeOverloaded, "capacity is short: the job is hopeless", retryAfter)
	s.remove(r.job)
	return &n, waiting
}

// LoadReport returns the state of the queues, and whether capacity is scarce.
func (s *Scheduler) LoadReport(now time.Time) (queues []overload.QueueReport, scarce bool) {
	return s.load.Report(now.Sub(s.start))
}

// maxTriedShards returns the number of shards of jobs to try. While capacity is short, the first
// jobs may leave an upstream to others, on which they would be late.
func (s *Scheduler) maxTriedShards(now time.Time) int {
	if s.load.Short(now.Sub(s.start)) {
		return jobShardCount
	}
	return maxTried
}

// isLateOnlyThere reports whether a task would be late on a slow upstream and can be in time on
// one of speed 1. While capacity is short, another task can use the upstream, and the late answer
// would cost the capacity of one in time.
func (c *candidate) isLateOnlyThere(now time.Time, u *upstream) bool {
	end := func(slowdown float64) time.Time {
		return now.Add(time.Duration(c.expected * slowdown * float64(time.Second)))
	}
	return !c.job.AtMostOnce && end(u.model.slowdown()).After(c.targetAt) && !end(1).After(c.targetAt)
}
