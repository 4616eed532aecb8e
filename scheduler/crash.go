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

// crash is a run's part in a crash of its upstream. The crash is only suspected until
// another process answers; the run may be active until its lease has expired.
type crash struct {
	loss
	at        time.Time
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
	if outcome == outcomeNoEffect {
		u.forgetPlaced(r)
	}
	u.noteOver(now, r.Run, l.reason)
	a.unapplied = append(a.unapplied, finishedRun{run: r.Run, upstream: u.Name, outcome: outcome, loss: l})
}

// mayBePending reports whether the start order of a run got no response and a later process,
// whose clock is behind, may have executed it.
func (r *run) mayBePending(now time.Time, margin time.Duration) bool {
	return !r.confirmed && now.Before(r.pendingUntil.Add(margin))
}

// loseAll removes all runs because their lease has expired, and drops all orphans. margin is the
// time for which others may have prolonged the lease.
func (u *upstream) loseAll(now time.Time, margin time.Duration, a *Actions) {
	runs := slices.DeleteFunc(slices.Collect(maps.Values(u.runs)), func(r *run) bool { return r.mayBePending(now, margin) })
	for _, r := range runs {
		l := u.newLoss(now, r, "the lease has expired", len(runs))
		l.crash = r.crash
		u.lose(now, r, lossOutcome(l), l, a)
	}
	u.loseOrphans(now, "the lease has expired", a)
}

// lossOutcome returns the outcome of a lost run. A crash that the run is not likely to have
// caused counts like any other loss.
func lossOutcome(l loss) runOutcome {
	if l.suspicion() >= history.MinSuspicion {
		return outcomeCrashed
	}
	return outcomeLost
}

// noteCrash records that the upstream's process has ended, since another one has answered a
// poll that was sent at the given time. The runs that were confirmed before are over; those
// confirmed later may belong to the new process, whose answer can be older than they are. A start order that is pending may reach
// the new process. successor is the first report of the new process, if it is the
// upstream's own: the runs that it reports are its own. The tasks are suspected unless the
// process was expected to leave.
func (u *upstream) noteCrash(now, polled time.Time, evidence string, successor *PollReport, b *blame, a *Actions) {
	u.claimed = false
	u.loseOrphans(now, evidence, a)
	var ended []*run
	for _, r := range u.runs {
		if successor != nil && successor.reports(r.Run) {
			r.crash = nil
		} else if r.confirmed && r.answeredAt.Before(polled) {
			ended = append(ended, r)
		}
	}
	u.accuse(now, evidence, ended, b)
	for _, r := range ended {
		l := r.crash.loss
		l.crash = r.crash
		u.lose(now, r, lossOutcome(l), l, a)
	}
}

// suspectCrash records signs that the upstream's process has ended. A fault of the network
// can cause them while the runs go on: they end with their lease, which is not renewed.
func (u *upstream) suspectCrash(now time.Time, evidence string, b *blame) {
	u.claimed = false
	u.noteGroupChange()
	u.notePollFailure(now)
	u.accuse(now, evidence, slices.Collect(maps.Values(u.runs)), b)
}

// accuse attributes a crash to the runs that no suspected crash was attributed to before.
func (u *upstream) accuse(now time.Time, evidence string, runs []*run, b *blame) {
	involved := slices.DeleteFunc(slices.Clone(runs), func(r *run) bool { return r.crash != nil })
	var suspicions []float64
	if len(involved) > 0 && !u.Draining && !u.Missing && !u.onProbation() {
		crashed := make([]crashedRun, len(involved))
		for i, r := range involved {
			crashed[i] = crashedRun{queue: r.queue, age: now.Sub(r.orderedAt), isolated: r.isolation != isolatedNot, confirmed: r.confirmed}
		}
		suspicions = b.attribute(now, u.Service, crashed)
	}
	for i, r := range involved {
		r.crash = &crash{loss: u.newLoss(now, r, evidence, len(involved)), at: now}
		if suspicions != nil {
			r.crash.suspicion = suspicions[i]
			r.crash.isolated = r.confirmed && (r.isolation != isolatedNot || len(involved) == 1)
		}
	}
}

// dropSuspicion withdraws a suspected crash once the process has answered a poll that was
// sent after it.
func (u *upstream) dropSuspicion(sent time.Time) {
	for _, r := range u.runs {
		if r.crash != nil && r.crash.at.Before(sent) {
			r.crash = nil
		}
	}
}

// reports reports whether a run is active or has completed on the upstream.
func (r *PollReport) reports(run Run) bool {
	return slices.ContainsFunc(r.Running, func(running Running) bool { return running.Run == run }) ||
		slices.ContainsFunc(r.Completions, func(c Completion) bool { return c.Run == run })
}

// HandleSuspectedCrash records that an upstream has closed a connection without a request
// and refuses new ones. It gets no tasks until it answers a poll.
func (s *Scheduler) HandleSuspectedCrash(now time.Time, name, address string) Actions {
	var a Actions
	if !s.Dispatching() {
		return a
	}
	shard := s.upstreamShardFor(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if u := shard.byName[name]; u != nil && u.Address == address {
		s.noteFall(now, u, false)
		u.suspectCrash(now, "the upstream has closed an idle connection and refuses new ones", &s.blame)
		a.Polls = append(a.Polls, name)
		shard.recomputeBounds()
	}
	return a
}
