// Package history counts the unsuccessful runs of tasks and decides when a task is given
// up. It imports no network package and reads no clock.
//
// A history outlives a dispatcher and an offer of the job: the origin of a job passes it
// to each dispatcher, and both keep it for a while if the caller sends the job again.
package history

import (
	"fmt"
	"time"
)

// Task counts the runs of a task that did not succeed. The zero value has none.
type Task struct {
	// Failures is the number of runs that have failed.
	Failures int
	// Crashes is the number of runs that are likely to have crashed their upstreams, and
	// CrashesIsolated the number of these that shared the upstream with no other task,
	// apart from probable suspects.
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
	// maxLosses is the number of lost runs, including crashes, after which a task is not
	// started again. An upstream that falls silent may have crashed.
	maxLosses = 5
)

// MinSuspicion is the probability of having crashed an upstream from which on a task is a
// suspect.
const MinSuspicion = 0.1

// Retention is the time for which a history is kept after its last change. Callers send a
// job again within seconds.
const Retention = 2 * time.Minute

// Merge returns a history that contains the runs of both. Both count runs of the same
// task, so the larger count of each kind includes the smaller one.
func (t Task) Merge(other Task) Task {
	return Task{
		Failures: max(t.Failures, other.Failures), Losses: max(t.Losses, other.Losses),
		Crashes: max(t.Crashes, other.Crashes), CrashesIsolated: max(t.CrashesIsolated, other.CrashesIsolated),
		Suspicion: max(t.Suspicion, other.Suspicion),
	}
}

// AddCrash returns the history with a run added that has crashed its upstream with the
// given probability.
func (t Task) AddCrash(suspicion float64, isolated bool) Task {
	t.Crashes++
	t.Suspicion = 1 - (1-t.Suspicion)*(1-suspicion)
	if isolated {
		t.CrashesIsolated++
	}
	return t
}

// Suspect reports whether the task is likely to have crashed an upstream. It must then
// run isolated.
func (t Task) Suspect() bool { return t.Suspicion >= MinSuspicion }

// Hopeless returns the reason why the task has failed for good, or an empty string.
// maxFailures is the number of failed runs after which a task fails.
func (t Task) Hopeless(maxFailures int) string {
	switch {
	case t.Failures > 0 && t.Failures >= maxFailures:
		return fmt.Sprintf("%d runs of a task have failed", t.Failures)
	case t.Crashes >= maxCrashes && t.CrashesIsolated > 0, t.Crashes >= maxSharedCrashes:
		return fmt.Sprintf("%d upstreams crashed while they ran a task", t.Crashes)
	}
	return ""
}

// Exhausted returns the reason why the task is not started again although it may be
// sound, or an empty string.
func (t Task) Exhausted() string {
	if lost := t.Crashes + t.Losses; lost >= maxLosses {
		return fmt.Sprintf("%d runs of a task were lost with their upstreams", lost)
	}
	return ""
}
