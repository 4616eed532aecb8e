package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// completedJob remembers a job whose tasks have all succeeded. The report to its origin
// can get lost, and an offer can arrive after a later one of the same job was served. In
// both cases no task may start again.
type completedJob struct {
	finishedAt, deadline time.Time
	atMostOnce           bool
	// results holds the outputs by task index; nil once they are dropped.
	results map[int][]byte
}

// answer returns the notices for a repeated offer of the job, or an error if its
// results are no longer known.
func (c *completedJob) answer(offered Job) ([]Notice, *verdict.Error) {
	if c.results == nil {
		return nil, verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost, "the job has completed and its results are no longer kept")
	}
	repeated := job{Job: offered}
	var notices []Notice
	for _, index := range offered.Tasks {
		notices = append(notices, repeated.doneNotice(index, c.results[index], CompletionRef{}))
	}
	return notices, nil
}

// expire reports whether the job can be forgotten, which is so after
// CompletionRetention. At-most-once jobs lose their results then, and are remembered
// until their callers' deadlines.
func (c *completedJob) expire(now time.Time) bool {
	if now.Sub(c.finishedAt) <= CompletionRetention {
		return false
	}
	c.results = nil
	return !c.atMostOnce || !now.Before(c.deadline)
}

// CompleteElsewhere records that a task has completed under an earlier dispatcher, which
// has reported it to the origin. The task is not started here. CompleteElsewhere returns
// false if the job is unknown.
func (s *Scheduler) CompleteElsewhere(now time.Time, task Task, result []byte) bool {
	known, dequeued := s.jobShardFor(task.Job).completeElsewhere(now, task, result)
	s.waiting.Add(int64(-dequeued))
	return known
}

func (s *jobShard) completeElsewhere(now time.Time, task Task, result []byte) (known bool, dequeued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[task.Job]
	if r == nil || r.job == nil {
		return r != nil && r.completed != nil, 0
	}
	j := r.job
	dequeued, waits := j.dequeue(task.Index)
	if !waits {
		return true, 0 // it runs here or has completed
	}
	j.running++
	j.starts++
	s.updateHeap(j)
	s.completeTask(now, j, task.Index, result)
	return true, dequeued
}
