// Package health ejects upstreams whose tasks fail. It imports no network
// package and reads no clock.
//
// An upstream is ejected after failures of several submissions in a row, or if
// most of its tasks fail. Slowness does not count. An ejected upstream gets one
// task at a time as a probe, after a backoff that doubles with each failed
// probe.
package health

import "time"

// Ejection thresholds and times.
const (
	// maxConsecutiveFailures is the number of failed submissions in a row that
	// ejects an upstream.
	maxConsecutiveFailures = 3
	// maxFailureShare is the share of failed tasks above which an upstream is
	// ejected, once it has run minTasks tasks.
	maxFailureShare = 0.5
	minTasks        = 20
	// failureShareWeight is the weight of the latest task in the moving average
	// of the failure share.
	failureShareWeight = 0.1
	// An ejection lasts minEjection at first and doubles up to maxEjection.
	minEjection = time.Second
	maxEjection = time.Minute
)

// Tracker tracks the health of one upstream. Its zero value is healthy. It is
// not safe for concurrent use; its user must hold a lock.
type Tracker struct {
	consecutiveFailures int
	lastSubmission      uint64  // of the last failure
	failureShare        float64 // exponentially weighted moving average
	tasks               int
	ejected             bool
	ejection            time.Duration
	ejectedUntil        time.Time
}

// RecordSuccess records a task that succeeded. It readmits an ejected upstream
// once the ejection time has passed. A success before that belongs to a task
// that started before the ejection and does not readmit the upstream.
func (t *Tracker) RecordSuccess(now time.Time) {
	t.consecutiveFailures = 0
	t.tasks++
	t.failureShare -= t.failureShare * failureShareWeight
	if t.ejected && !now.Before(t.ejectedUntil) {
		*t = Tracker{}
	}
}

// RecordFailure records a task that failed. Consecutive failures of one
// submission count once, since the fault may lie with the submission. An
// upstream above a threshold is ejected if mayEject is true.
func (t *Tracker) RecordFailure(now time.Time, submission uint64, mayEject bool) {
	if t.consecutiveFailures == 0 || submission != t.lastSubmission {
		t.consecutiveFailures++
	}
	t.lastSubmission = submission
	t.tasks++
	t.failureShare += (1 - t.failureShare) * failureShareWeight
	aboveThreshold := t.consecutiveFailures >= maxConsecutiveFailures || (t.tasks >= minTasks && t.failureShare > maxFailureShare)
	if t.ejected || (aboveThreshold && mayEject) {
		t.eject(now)
	}
}

func (t *Tracker) eject(now time.Time) {
	t.ejected = true
	t.ejection = min(max(2*t.ejection, minEjection), maxEjection)
	t.ejectedUntil = now.Add(t.ejection)
}

// Eject ejects the upstream although its failures are below the thresholds.
func (t *Tracker) Eject(now time.Time) {
	if !t.ejected {
		t.eject(now)
	}
}

// Ejected reports whether the upstream is ejected.
func (t *Tracker) Ejected() bool { return t.ejected }

// UsableSlots returns how many of its slots the upstream may use. An ejected
// upstream may use none until its ejection time has passed, then one for a
// probe.
func (t *Tracker) UsableSlots(now time.Time, slots int) int {
	switch {
	case !t.ejected:
		return slots
	case now.Before(t.ejectedUntil):
		return 0
	default:
		return min(1, slots)
	}
}

// ConsecutiveFailures returns the number of failed submissions in a row.
// Placement prefers upstreams with fewer.
func (t *Tracker) ConsecutiveFailures() int { return t.consecutiveFailures }
