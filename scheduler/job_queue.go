package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// candidate is a task to be placed.
type candidate struct {
	job              *Job
	index            int
	attempt          int
	expected         float64   // run time at speed 1, in seconds
	targetAt         time.Time // when the answer becomes late
	deadline         time.Time // until which the caller waits
	returnAt         time.Time // as in Job
	avoid            []string
	model            *queueModel
	isolation        isolation
	suspicion        float64
	basis            StartBasis
	*constrainedTask // nil for jobs without constraints that have not waited for an upstream
}

// expired reports whether the caller no longer waits. It may have sent the job again to
// another VM; the next tick removes the job.
func (c *candidate) expired(now time.Time) bool { return !now.Before(c.deadline) }

// demote lowers the jobs at the top of the heap that can no longer reach their tier, and
// removes those whose callers no longer wait or, in a split, may return soon. The caller holds
// mu.
func (s *jobShard) demote(now time.Time) {
	for len(s.heap) > 0 {
		j := s.heap[0]
		if !now.Before(j.Deadline) || s.split != splitNone && returnsBefore(j.returnAt, now.Add(minLease)) {
			heap.Remove(&s.heap, 0)
			continue
		}
		t := j.tierAt(now)
		if t <= j.tier {
			break
		}
		j.tier = t
		j.rescore(s.epoch)
		s.trackLoad(j)
		heap.Fix(&s.heap, 0)
	}
	s.publish()
}

// refresh demotes jobs as demote does, but takes the lock only if a task waits.
func (s *jobShard) refresh(now time.Time) {
	if s.topScore() == noScore {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demote(now)
}

// pop removes the next task of the first job. ok is false if no task waits.
func (s *jobShard) pop() (c candidate, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.heap) == 0 {
		return candidate{}, false
	}
	j := s.heap[0]
	return s.take(j, j.firstOrdinary()), true
}

// take removes the waiting task at a position. The caller holds mu.
func (s *jobShard) take(j *job, at int) candidate {
	index := j.waiting[at]
	if at == 0 {
		j.waiting = j.waiting[1:]
	} else {
		j.waiting = slices.Delete(slices.Clone(j.waiting), at, at+1)
	}
	j.running++
	attempt := s.records[j.ID].nextAttempt(index)
	j.current[index] = runRef{attempt: attempt}
	c := candidate{
		job: &j.Job, index: index, attempt: attempt, expected: j.expected,
		targetAt: j.Sent.Add(j.targetTime()), deadline: j.Deadline, returnAt: j.returnAt,
		avoid: j.avoid[index], model: j.model, basis: j.basis,
	}
	if j.Constraints != nil || !j.parkedSince.IsZero() {
		c.constrainedTask = &constrainedTask{len(j.waiting) + 1, j.group, j.parkedSince}
	}
	s.updateHeap(j)
	return c
}

// putBack returns a task that could not be placed. present is false if the job was
// removed meanwhile. requeued is the number of tasks that wait again.
func (s *jobShard) putBack(c candidate) (present bool, requeued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, requeued := s.current(c)
	if j == nil {
		return false, requeued
	}
	j.running--
	delete(j.current, c.index)
	r := s.records[j.ID]
	r.returnAttempt(c.index, c.attempt)
	requeued = r.enqueue(c.index) // a run of the task may have been found meanwhile
	s.updateHeap(j)
	return true, requeued
}

// noteStart counts a start order to an upstream that may take effect. The results are
// those of putBack: the order for a job that was removed must not be sent.
func (s *jobShard) noteStart(c candidate, upstream string) (present bool, requeued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, requeued := s.current(c)
	if j == nil {
		return false, requeued
	}
	j.starts++
	j.parkedSince = time.Time{}
	j.current[c.index] = runRef{upstream, c.attempt}
	s.preferBegun(j)
	return true, 0
}

// current returns the job of a candidate, or nil if the job was removed since pop; its
// task can then start again for a job with the same id. The caller holds mu.
func (s *jobShard) current(c candidate) (j *job, requeued int) {
	if j := s.job(c.job.ID); j != nil && &j.Job == c.job {
		return j, 0
	}
	return nil, s.forget(Task{c.job.ID, c.index}, runRef{attempt: c.attempt})
}
