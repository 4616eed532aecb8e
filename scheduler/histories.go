package scheduler

import (
	"maps"
	"time"

	"github.com/mustardstep/mustardstep/history"
)

// maxHistories limits the jobs with histories in a shard.
const maxHistories = 4096

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

// setHistory replaces the history of a task. If too many jobs have one, that of the job
// that changed first is dropped. The caller holds mu.
func (s *jobShard) setHistory(now time.Time, task Task, h history.Task) {
	r := s.record(task.Job)
	if r.histories == nil {
		if s.historyJobs >= maxHistories {
			s.dropOldestHistories()
		}
		s.historyJobs++
		r.histories = map[int]history.Task{}
	}
	r.histories[task.Index], r.historiesChangedAt = h, now
}

func (s *jobShard) dropOldestHistories() {
	var oldest *jobRecord
	for _, r := range s.records {
		if r.histories != nil && (oldest == nil || r.historiesChangedAt.Before(oldest.historiesChangedAt)) {
			oldest = r
		}
	}
	s.dropHistories(oldest)
	if oldest.empty() {
		maps.DeleteFunc(s.records, func(_ string, r *jobRecord) bool { return r == oldest })
	}
}

// dropHistories forgets the histories of a job. The caller holds mu.
func (s *jobShard) dropHistories(r *jobRecord) {
	if r.histories != nil {
		r.histories = nil
		s.historyJobs--
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
		var known history.Task
		if r := s.records[job]; r != nil {
			known = r.histories[index]
		}
		if merged := known.Merge(h); merged != known {
			s.setHistory(now, Task{job, index}, merged)
		}
	}
}
