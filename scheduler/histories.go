package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/history"
)

// maxHistories limits the jobs with histories in a shard.
const maxHistories = 4096

// jobHistory holds the histories of a job's tasks by their index.
type jobHistory struct {
	tasks     map[int]history.Task
	changedAt time.Time
}

// withRun returns a history with a finished run added.
func withRun(t history.Task, f finishedRun) history.Task {
	switch {
	case f.outcome == outcomeFailed:
		t.Failures++
	case f.outcome == outcomeCrashed:
		return t.AddCrash(f.loss.suspicion(), f.loss.crash.isolated)
	case f.outcome == outcomeLost && f.loss.reason != "":
		t.Losses++
	}
	return t
}

// history returns the history of a task. The caller holds mu.
func (s *jobShard) history(task Task) history.Task {
	if known := s.histories[task.Job]; known != nil {
		return known.tasks[task.Index]
	}
	return history.Task{}
}

// setHistory replaces the history of a task. If too many jobs have one, that of the job
// that changed first is dropped. The caller holds mu.
func (s *jobShard) setHistory(now time.Time, task Task, h history.Task) {
	known := s.histories[task.Job]
	if known == nil {
		if len(s.histories) >= maxHistories {
			s.dropOldestHistory()
		}
		known = &jobHistory{tasks: map[int]history.Task{}}
		s.histories[task.Job] = known
	}
	known.tasks[task.Index], known.changedAt = h, now
}

func (s *jobShard) dropOldestHistory() {
	oldest := ""
	for id, h := range s.histories {
		if oldest == "" || h.changedAt.Before(s.histories[oldest].changedAt) {
			oldest = id
		}
	}
	delete(s.histories, oldest)
}

// expireHistories forgets histories after history.Retention, unless their job is present.
// The caller holds mu.
func (s *jobShard) expireHistories(now time.Time) {
	for id, h := range s.histories {
		if s.jobs[id] == nil && now.Sub(h.changedAt) > history.Retention {
			delete(s.histories, id)
		}
	}
}

// MergeHistory adds what another VM knows about a task. It takes effect when the job is
// next offered, or when a run of the task does not succeed.
func (s *Scheduler) MergeHistory(now time.Time, task Task, h history.Task) {
	s.jobShardFor(task.Job).mergeHistory(now, task, h)
}

func (s *jobShard) mergeHistory(now time.Time, task Task, h history.Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeHistories(now, task.Job, map[int]history.Task{task.Index: h})
}

// mergeHistories adds what another VM knows about the tasks of a job. The caller holds mu.
func (s *jobShard) mergeHistories(now time.Time, job string, histories map[int]history.Task) {
	for index, h := range histories {
		task := Task{job, index}
		known := s.history(task)
		if merged := known.Merge(h); merged != known {
			s.setHistory(now, task, merged)
		}
	}
}
