package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// listedCompletion is a processed Completion.
type listedCompletion struct {
	run    Run
	kind   CompletionKind
	result []byte
	number int64
	// retained means that the completion stays listed until its origin has received it.
	retained bool
	// knownRun means that this dispatcher started or adopted the run. upstreamFault
	// means that the upstream was ejected as unhealthy.
	knownRun, upstreamFault bool
}

// handleReport processes the report of a poll. It returns the completions that were
// not processed before, and the runs that their jobs may adopt. The caller holds mu of
// the shard.
func (u *upstream) handleReport(now time.Time, poll Poll, report PollReport, s *Scheduler, a *Actions) (completions []listedCompletion, found []foundRun) {
	if report.ProcessStart != 0 && report.ProcessStart < u.processStart {
		return nil, nil // from a process that was replaced
	}
	if report.ProcessStart > u.processStart {
		if u.processStart != 0 {
			u.handleNewProcess(now, poll.Sent, &report, s, a)
		}
		u.processStart = report.ProcessStart
	}
	u.dropSuspicion(poll.Sent)
	u.setClock(now, report.Clock)
	firstClaim := !u.claimed
	if firstClaim && s.watchesIdle() && now.Sub(s.start)-time.Duration(s.termStart.Load()) > maxForeignLease {
		// The jobs of this term no longer wait. Another dispatcher that had this upstream, and thus
		// all of them, notices only now that it does not.
		u.usableFrom = later(u.usableFrom, now.Add(lateClaimDelay))
	}
	u.claimed, u.pollFailures, u.lastContact = true, 0, now
	s.noteReport(now, u)
	u.lastAcked = max(u.lastAcked, poll.Acked)
	for _, c := range report.Completions {
		if c.Number <= u.lastSeen {
			continue
		}
		u.lastSeen = c.Number
		u.noteListed(now, c.Run, c.Kind.String(), a)
		completions = append(completions, u.complete(now, c, s.config.RetainCompletions, a))
	}
	if poll.Sent.Before(u.lastPoll) {
		return completions, nil // a newer poll has already reported the active runs
	}
	u.lastPoll = poll.Sent
	listed := map[Run]int{}
	for _, r := range report.Running {
		listed[r.Run] = r.Percent
		u.noteListed(now, r.Run, activeState, a)
		known := u.runs[r.Task]
		if known != nil && known.Attempt == r.Attempt {
			u.noteProgress(now, known, r.Percent)
			if known.unneeded && known.state == runStarted {
				known.state, known.stopAnswered = runStopping, false
				a.Stops = append(a.Stops, u.stop(s.token.Load(), known.Run, "the run is no longer needed"))
			}
			continue
		}
		if known == nil || firstClaim || known.state == runRejected {
			if _, present := u.orphans[r.Task]; !present {
				since, again := u.orphanSince[r.Run]
				if !again {
					since = now
				}
				u.orphans[r.Task] = orphan{Run: r.Run, foundAt: now, since: since}
				u.leaseEnd = now.Add(fencedRunTimeout)
				u.notePlaced(r.Task, now.Add(foundRetention))
				a.Found = append(a.Found, FoundRun{r.Run, u.Name})
			}
			found = append(found, foundRun{r.Run, u.Name})
		}
	}
	u.orphanSince = nil
	if !report.CompletionsTruncated {
		u.releaseAbsent(now, poll, report, listed, a)
	}
	return completions, found
}

// handleNewProcess records that the upstream's process was replaced. Unanswered
// orders may still reach the new process, and its clock does not tell when they
// expire: the leases that they and earlier polls request end far ahead of it. The
// current report comes from the new process: it lists no run of the old one, and it is
// valid even if the old process answered a poll that was sent later.
func (u *upstream) handleNewProcess(now, polled time.Time, report *PollReport, s *Scheduler, a *Actions) {
	s.noteNewProcess(now, u)
	u.noteCrash(now, polled, "the upstream's process was replaced", report, &s.blame, a)
	u.leaseEnd = later(u.leaseEnd, s.leaseEnd(now, u, s.config.LeaseMax))
	u.model, u.lastSeen, u.lastAcked, u.clock = speedModel{}, 0, 0, 0
	u.lastPoll = time.Time{}
	clear(u.undelivered)
	for _, r := range u.runs {
		r.validUntil, r.processReplaced = math.MaxInt64, true
	}
}

func (u *upstream) setClock(now time.Time, clock int64) {
	if clock > 0 {
		u.clock, u.clockAt = clock, now
	}
}

// noteProgress records the progress of an active run.
func (u *upstream) noteProgress(now time.Time, r *run, percent int) {
	r.confirmed = true
	switch r.state {
	case runUnknown:
		return // a stop order is pending
	case runOrdered, runRejected:
		r.state, r.answeredAt = runStarted, now
	}
	if percent != r.percent {
		r.percent, r.progressAt = percent, now
	}
}

// complete processes a completion. If retain is set, the completion of an unknown run
// stays listed.
func (u *upstream) complete(now time.Time, c Completion, retain bool, a *Actions) listedCompletion {
	if o, present := u.orphans[c.Task]; present && o.Run == c.Run {
		u.removeOrphan(now, o, c.Kind.String(), a)
	}
	f := listedCompletion{run: c.Run, kind: c.Kind, result: c.Result, number: c.Number, upstreamFault: u.health.Ejected()}
	r := u.runs[c.Task]
	if r == nil || r.Attempt != c.Attempt {
		u.notePlaced(c.Task, now.Add(foundRetention))
		if retain {
			u.undelivered[c.Number] = struct{}{} // until its job is known or CompletionRetention has passed
			f.retained = true
		}
		return f
	}
	f.knownRun = true
	if r.atMostOnce || r.limited && c.Kind == CompletionDone {
		u.undelivered[c.Number] = struct{}{}
		f.retained = true
	}
	u.release(now, r)
	switch c.Kind {
	case CompletionDone:
		u.noteCompletionAfterReturn(r)
		u.health.RecordSuccess(now)
		u.noteCompletedRun(now, a)
		u.learn(now, r)
	case CompletionFailed:
		u.health.RecordFailure(now, rendezvous.Hash(c.Job), true)
		u.noteFailedRun(now)
	}
	return f
}

// learn updates the run time models from a run that was tracked from its start.
func (u *upstream) learn(now time.Time, r *run) {
	if r.adopted || r.state == runUnknown {
		return
	}
	took := now.Sub(r.orderedAt).Seconds()
	work := took * u.model.speed() / r.factor
	u.model.observe(r.expected, took)
	r.model.observe(r.estimate, work)
}

// absentReason is the reason of the loss of a run that a poll does not list.
const absentReason = "the upstream does not list the run"

// releaseAbsent removes runs that the upstream reports neither as active nor as
// completed. The report must list all completions.
func (u *upstream) releaseAbsent(now time.Time, poll Poll, report PollReport, listed map[Run]int, a *Actions) {
	var absent []*run
	for _, r := range u.runs {
		if _, present := listed[r.Run]; present {
			continue
		}
		over := false
		switch r.state {
		case runStarted, runRejected:
			over = r.answeredAt.Before(poll.Sent)
		case runStopping:
			over = r.stopAnswered && r.answeredAt.Before(poll.Sent)
		case runOrdered, runUnknown:
			expired := report.Clock > r.validUntil || r.processReplaced && now.Sub(r.orderedAt) > attemptRetention
			over = expired && r.orderedAt.Before(poll.Sent)
		}
		if over {
			absent = append(absent, r)
		}
	}
	for _, r := range absent {
		u.lose(now, r, r.absentOutcome(), u.newLoss(now, r, absentReason, len(absent)), a)
	}
	for _, o := range u.orphans {
		if _, present := listed[o.Run]; !present && o.foundAt.Before(poll.Sent) {
			u.loseOrphan(now, o, absentReason, a)
		}
	}
}

// handleCompletion applies a completion to its job.
func (s *Scheduler) handleCompletion(now time.Time, upstream string, c listedCompletion, a *Actions) {
	f := finishedRun{run: c.run, upstream: upstream, outcome: outcomeLost, result: c.result}
	switch {
	case c.kind == CompletionDone:
		f.outcome = outcomeDone
	case c.kind == CompletionFailed && c.upstreamFault:
		f.outcome = outcomeUpstreamFault
	case c.kind == CompletionFailed:
		f.outcome = outcomeFailed
	}
	if c.retained || !c.knownRun {
		f.completion = CompletionRef{upstream, c.number, s.token.Load()}
	}
	if c.knownRun {
		s.finishRun(now, f, a)
		return
	}
	notices, dequeued, stop := s.jobShardFor(c.run.Job).finishUnknown(now, f)
	s.waiting.Add(int64(-dequeued))
	a.Notices = append(a.Notices, notices...)
	if stop {
		s.stopRuns(now, "the job was abandoned", a, c.run.Job)
	}
}

// finishRun applies the end of a run to its job.
func (s *Scheduler) finishRun(now time.Time, f finishedRun, a *Actions) {
	notices, requeued, stop := s.jobShardFor(f.run.Job).finish(now, f)
	s.waiting.Add(int64(requeued))
	a.Notices = append(a.Notices, notices...)
	if stop {
		s.stopRuns(now, "the job has failed", a, f.run.Job)
	}
}

// finishLost applies the ends of lost runs and of orphans to their jobs.
func (s *Scheduler) finishLost(now time.Time, a *Actions) {
	for _, o := range a.orphansOver {
		s.waiting.Add(int64(s.jobShardFor(o.Job).forgetOrphan(o)))
	}
	a.orphansOver = nil
	lost := a.unapplied
	a.unapplied = nil
	slices.SortFunc(lost, func(a, b finishedRun) int {
		return cmp.Or(strings.Compare(a.run.Job, b.run.Job), cmp.Compare(b.run.Index, a.run.Index))
	})
	for _, f := range lost {
		a.Lost = append(a.Lost, LostRun{
			Run: f.run, Upstream: f.upstream, MayHaveRun: f.outcome == outcomeLost || f.outcome == outcomeCrashed, Reason: f.loss.reason,
			ProcessStart: f.loss.processStart, Sharing: f.loss.sharing, Contact: f.loss.contact, Suspicion: f.loss.suspicion(),
		})
		s.finishRun(now, f, a)
	}
}
