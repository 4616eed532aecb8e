// Package health decides from the ends of tasks whether an upstream may get
// more of them. It imports no network package and reads no clock.
//
// An upstream is ejected on evidence: failures of several submissions in a row,
// or of most tasks. Slowness is no evidence. An ejected upstream gets one task
// at a time as a probe, after a wait that doubles with each failed probe.
package health

import "time"

// Evidence and waits.
const (
	// streakLimit is the number of submissions in a row whose failure ejects.
	streakLimit = 3
	// shareLimit is the share of failed tasks that ejects, and shareTasks the
	// least number of tasks that it is taken from.
	shareLimit = 0.5
	shareTasks = 20
	// shareWeight is the weight of the last task in the share.
	shareWeight = 0.1
	minWait     = time.Second
	maxWait     = time.Minute
)

// Tracker follows one upstream. Its zero value is healthy. It is not safe for
// concurrent use; its owner's lock guards it.
type Tracker struct {
	streak  int
	last    uint64 // submission of the last failure
	share   float64
	tasks   int
	ejected bool
	wait    time.Duration
	until   time.Time
}

// RecordSuccess enters a task that ended well. Once the wait is over it readmits an
// ejected upstream; a task that started before the ejection does not.
func (t *Tracker) RecordSuccess(now time.Time) {
	t.streak = 0
	t.tasks++
	t.share -= t.share * shareWeight
	if t.ejected && !now.Before(t.until) {
		*t = Tracker{}
	}
}

// RecordFailure enters a task that failed. Failures of one submission count once, since
// the fault can lie with it. Where the evidence suffices, the upstream is
// ejected, unless spare is false.
func (t *Tracker) RecordFailure(now time.Time, submission uint64, spare bool) {
	if t.streak == 0 || submission != t.last {
		t.streak++
	}
	t.last = submission
	t.tasks++
	t.share += (1 - t.share) * shareWeight
	enough := t.streak >= streakLimit || (t.tasks >= shareTasks && t.share > shareLimit)
	if t.ejected || (enough && spare) {
		t.eject(now)
	}
}

func (t *Tracker) eject(now time.Time) {
	t.ejected = true
	t.wait = min(max(2*t.wait, minWait), maxWait)
	t.until = now.Add(t.wait)
}

// Ejected tells whether the upstream is ejected.
func (t *Tracker) Ejected() bool { return t.ejected }

// UsableSlots returns how many of its slots the upstream may use.
func (t *Tracker) UsableSlots(now time.Time, slots int) int {
	switch {
	case !t.ejected:
		return slots
	case now.Before(t.until):
		return 0
	default:
		return min(1, slots)
	}
}

// ConsecutiveFailures returns the number of failures in a row, by which an upstream that is
// not ejected stands behind the others.
func (t *Tracker) ConsecutiveFailures() int { return t.streak }
