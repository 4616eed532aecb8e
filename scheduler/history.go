package scheduler

import (
	"fmt"
	"time"
)

// History counts the runs of a task that did not succeed. It outlives the offer of the
// job: the dispatcher keeps it if the caller sends the job again, and the origin passes
// it to the next dispatcher.
type History struct {
	// Failures is the number of runs that have failed.
	Failures int
	// Crashes is the number of runs whose upstream crashed, and CrashesIsolated the number
	// of these that shared the upstream with no other task, apart from probable suspects.
	Crashes, CrashesIsolated int
	// Suspicion is the probability that the task has crashed an upstream.
	Suspicion float64
	// Losses is the number of runs that were lost for another reason, such as an
	// expired lease.
	Losses int
}

// Limits of the unsuccessful runs of a task.
const (
	// maxCrashes is the number of crashes after which a task is given up, if one of
	// them happened while the task was isolated.
	maxCrashes = 2
	// maxSharedCrashes replaces maxCrashes if other tasks may have caused every crash.
	maxSharedCrashes = 3
	// maxLosses is the number of lost runs, including crashes, after which a task is
	// given up. An upstream that falls silent may have crashed.
	maxLosses = 5
)

// Merge returns a history that contains the runs of both. Both count runs of the same
// task, so the larger count of each kind includes the smaller one.
func (h History) Merge(other History) History {
	return History{
		Failures: max(h.Failures, other.Failures), Losses: max(h.Losses, other.Losses),
		Crashes: max(h.Crashes, other.Crashes), CrashesIsolated: max(h.CrashesIsolated, other.CrashesIsolated),
		Suspicion: max(h.Suspicion, other.Suspicion),
	}
}

// suspect reports whether the task is likely to have crashed an upstream. It must then
// run isolated.
func (h History) suspect() bool { return h.Suspicion >= minSuspicion }

// hopeless returns the reason why the task is not started again, or an empty string.
func (h History) hopeless(maxAttempts int) string {
	switch {
	case h.Failures > 0 && h.Failures >= maxAttempts:
		return fmt.Sprintf("%d runs of a task have failed", h.Failures)
	case h.Crashes >= maxCrashes && h.CrashesIsolated > 0, h.Crashes >= maxSharedCrashes:
		return fmt.Sprintf("%d upstreams crashed while they ran a task", h.Crashes)
	case h.Crashes+h.Losses >= maxLosses:
		return fmt.Sprintf("%d runs of a task were lost with their upstreams", h.Crashes+h.Losses)
	}
	return ""
}

// after returns the history with a finished run added.
func (h History) after(f finishedRun) History {
	switch {
	case f.outcome == outcomeFailed:
		h.Failures++
	case f.outcome == outcomeCrashed:
		h.Crashes++
		h.Suspicion = 1 - (1-h.Suspicion)*(1-f.loss.suspicion())
		if f.loss.crash.isolated {
			h.CrashesIsolated++
		}
	case f.outcome == outcomeLost && f.loss.reason != "":
		h.Losses++
	}
	return h
}

const (
	// historyRetention is the time for which the histories of a job's tasks are kept
	// after their last change. Callers send a job again within seconds.
	historyRetention = 2 * time.Minute
	// maxHistories limits the jobs with histories in a shard.
	maxHistories = 4096
)

// jobHistory holds the histories of a job's tasks by their index.
type jobHistory struct {
	tasks     map[int]History
	changedAt time.Time
}

// history returns the history of a task. The caller holds mu.
func (s *jobShard) history(task Task) History {
	if known := s.histories[task.Job]; known != nil {
		return known.tasks[task.Index]
	}
	return History{}
}

// setHistory replaces the history of a task. If too many jobs have one, that of the job
// that changed first is dropped. The caller holds mu.
func (s *jobShard) setHistory(now time.Time, task Task, h History) {
	known := s.histories[task.Job]
	if known == nil {
		if len(s.histories) >= maxHistories {
			s.dropOldestHistory()
		}
		known = &jobHistory{tasks: map[int]History{}}
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

// expireHistories forgets histories after historyRetention, unless their job is present.
// The caller holds mu.
func (s *jobShard) expireHistories(now time.Time) {
	for id, h := range s.histories {
		if s.jobs[id] == nil && now.Sub(h.changedAt) > historyRetention {
			delete(s.histories, id)
		}
	}
}
