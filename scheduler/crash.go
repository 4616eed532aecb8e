package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/history"
)

// loss is what is known about the loss of a run.
type loss struct {
	reason       string
	processStart int64         // of the process that had the run
	sharing      int           // runs of the upstream that were lost together
	contact      time.Duration // since the last response of the upstream
	// crash is the part of a crash in the loss; nil if the upstream did not crash.
	crash *crash
}

// crash is a run's part in the crash of its upstream.
type crash struct {
	loss
	suspicion float64 // probability that the run caused the crash
	// isolated means that the upstream had confirmed the run, and that only probable
	// suspects shared it.
	isolated bool
}

// suspicion returns the probability that the run caused the loss.
func (l *loss) suspicion() float64 {
	if l.crash == nil {
		return 0
	}
	return l.crash.suspicion
}

// newLoss describes the loss of some of the upstream's runs.
func (u *upstream) newLoss(now time.Time, r *run, reason string, sharing int) loss {
	return loss{reason: reason, processStart: r.processStart, sharing: sharing, contact: now.Sub(u.lastContact)}
}

// lose removes a run that is over without a completion.
func (u *upstream) lose(now time.Time, r *run, outcome runOutcome, l loss, a *Actions) {
	u.release(now, r)
	a.unapplied = append(a.unapplied, finishedRun{run: r.Run, upstream: u.Name, outcome: outcome, loss: l})
}

// loseAll removes all runs because their lease has expired, and drops all orphans.
func (u *upstream) loseAll(now time.Time, a *Actions) {
	runs := slices.Collect(maps.Values(u.runs))
	for _, r := range runs {
		l := u.newLoss(now, r, "the lease has expired", len(runs))
		l.crash = r.crash
		u.lose(now, r, lossOutcome(l), l, a)
	}
	clear(u.orphans)
}

// lossOutcome returns the outcome of a lost run. A crash that the run is not likely to have
// caused counts like any other loss.
func lossOutcome(l loss) runOutcome {
	if l.suspicion() >= history.MinSuspicion {
		return outcomeCrashed
	}
	return outcomeLost
}

// noteCrash records that the upstream's process has ended. The runs that it confirmed
// are over. A start order that is pending is decided by its result; a new process may
// still execute one that gets no response. successor is the first report of a new process,
// if one runs already: it may have received the pending orders, and the runs that it
// reports are its own. The tasks are suspected unless the process was expected to leave.
func (u *upstream) noteCrash(now time.Time, evidence string, successor *PollReport, b *blame, a *Actions) {
	u.claimed = false
	clear(u.orphans)
	var involved []*run
	for _, r := range u.runs {
		if r.crash == nil && (successor == nil || (r.confirmed || r.disconnected) && !successor.reports(r.Run)) {
			involved = append(involved, r)
		}
	}
	var suspicions []float64
	if len(involved) > 0 && !u.Draining && !u.Missing {
		crashed := make([]crashedRun, len(involved))
		for i, r := range involved {
			crashed[i] = crashedRun{queue: r.queue, age: now.Sub(r.orderedAt), isolated: r.isolation != isolatedNot, confirmed: r.confirmed}
		}
		suspicions = b.attribute(now, u.Service, crashed)
	}
	for i, r := range involved {
		r.crash = &crash{loss: u.newLoss(now, r, evidence, len(involved))}
		if suspicions != nil {
			r.crash.suspicion = suspicions[i]
			r.crash.isolated = r.confirmed && (r.isolation != isolatedNot || len(involved) == 1)
		}
	}
	u.loseCrashed(now, a)
}

// reports reports whether a run is active or has completed on the upstream.
func (r *PollReport) reports(run Run) bool {
	return slices.ContainsFunc(r.Running, func(running Running) bool { return running.Run == run }) ||
		slices.ContainsFunc(r.Completions, func(c Completion) bool { return c.Run == run })
}

// loseCrashed removes the runs that a process which has ended had confirmed, or whose
// start orders it may have executed.
func (u *upstream) loseCrashed(now time.Time, a *Actions) {
	for _, r := range slices.Collect(maps.Values(u.runs)) {
		if r.crash != nil && (r.confirmed || r.disconnected) {
			l := r.crash.loss
			l.crash = r.crash
			u.lose(now, r, lossOutcome(l), l, a)
		}
	}
}

// HandleProcessGone records that the process of an upstream has ended and that no other
// one listens at its address.
func (s *Scheduler) HandleProcessGone(now time.Time, name, address string) Actions {
	var a Actions
	if !s.Dispatching() {
		return a
	}
	shard := s.upstreamShardFor(name)
	shard.mu.Lock()
	if u := shard.byName[name]; u != nil && u.Address == address {
		u.noteCrash(now, "the upstream's process has ended", nil, &s.blame, &a)
		u.notePollFailure(now)
		shard.recomputeBounds()
	}
	shard.mu.Unlock()
	s.finishLost(now, &a)
	return a
}
