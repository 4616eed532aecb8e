package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// finished is an end that was listed.
type finished struct {
	run    Run
	kind   CompletionKind
	result []byte
	number int64
	// kept tells that the end stays listed until its origin was told.
	kept bool
	// known tells that this dispatcher started or adopted the run.
	known, blamed bool
}

// report enters an answer. The caller holds mu of the shard.
func (u *upstream) report(now time.Time, look Poll, report PollReport, keeps bool, a *Actions) (ends []finished, found []foundRun) {
	if report.ProcessStart != 0 && report.ProcessStart < u.born {
		return nil, nil // from a process that has ended
	}
	if report.ProcessStart > u.born {
		if u.born != 0 {
			u.reborn()
		}
		u.born = report.ProcessStart
	}
	u.setClock(now, report.Clock)
	first := !u.claimed
	u.claimed, u.failures, u.contact = true, 0, now
	u.acked = max(u.acked, look.LastSeen)
	for _, end := range report.Completions {
		if end.Number <= u.seen {
			continue
		}
		u.seen = end.Number
		ends = append(ends, u.end(now, end, keeps))
	}
	if look.Sent.Before(u.newest) {
		return ends, nil // a newer answer has told what runs
	}
	u.newest = look.Sent
	listed := map[Run]int{}
	for _, r := range report.Running {
		listed[r.Run] = r.Percent
		known := u.runs[r.Task]
		if known != nil && known.Attempt == r.Attempt {
			u.progress(now, known, r.Percent)
			continue
		}
		if known == nil || first {
			if _, present := u.orphans[r.Task]; !present {
				u.orphans[r.Task] = orphan{Run: r.Run, since: now}
				u.bound = now.Add(fencedBound)
			}
			found = append(found, foundRun{r.Run, u.Name})
		}
	}
	u.removeAbsent(now, look, report, listed, a)
	return ends, found
}

// reborn notes that a new process runs at the upstream. Orders without an answer
// may still reach it, and its clock does not tell when they are too late; what
// ran in the old process is absent from the answer at hand, which tells what runs even
// where the old process has answered a look that was sent later.
func (u *upstream) reborn() {
	u.model, u.seen, u.acked, u.clock = speedModel{}, 0, 0, 0
	u.newest = time.Time{}
	clear(u.orphans)
	clear(u.undelivered)
	for _, r := range u.runs {
		r.until, r.replaced = math.MaxInt64, true
	}
}

func (u *upstream) setClock(now time.Time, clock int64) {
	if clock > 0 {
		u.clock, u.clockAt = clock, now
	}
}

// progress notes that a run is there, and how far it is.
func (u *upstream) progress(now time.Time, r *run, percent int) {
	r.confirmed = true
	if r.state == runOrdered || r.state == runUnknown {
		if r.state == runUnknown {
			return // a stop is under way
		}
		r.state, r.answered = runStarted, now
	}
	if percent != r.percent {
		r.percent, r.moved = percent, now
	}
}

// end enters a listed end; keeps tells that one of an unknown run stays listed.
func (u *upstream) end(now time.Time, end Completion, keeps bool) finished {
	delete(u.orphans, end.Task)
	f := finished{run: end.Run, kind: end.Kind, result: end.Result, number: end.Number, blamed: u.health.Ejected()}
	r := u.runs[end.Task]
	if r == nil || r.Attempt != end.Attempt {
		if keeps {
			u.undelivered[end.Number] = struct{}{} // until its job is known, or was not for CompletionRetention
			f.kept = true
		}
		return f
	}
	f.known = true
	if r.once {
		u.undelivered[end.Number] = struct{}{}
		f.kept = true
	}
	u.free(now, r)
	switch end.Kind {
	case CompletionDone:
		u.health.RecordSuccess(now)
		u.learn(now, r)
	case CompletionFailed:
		u.health.RecordFailure(now, rendezvous.Hash(end.Job), true)
	}
	return f
}

// learn updates the models by a run that was watched from its start.
func (u *upstream) learn(now time.Time, r *run) {
	if r.adopted || r.state == runUnknown {
		return
	}
	took := now.Sub(r.ordered).Seconds()
	work := took * u.model.speed()
	u.model.observe(r.expected, took)
	r.model.observe(r.estimate, work)
}

// removeAbsent frees the runs that the upstream no longer has although no end
// was listed.
func (u *upstream) removeAbsent(now time.Time, look Poll, report PollReport, listed map[Run]int, a *Actions) {
	for _, r := range u.runs {
		if _, present := listed[r.Run]; present {
			continue
		}
		over := false
		switch r.state {
		case runStarted:
			over = r.answered.Before(look.Sent)
		case runStopping:
			over = r.stopped && r.answered.Before(look.Sent)
		case runOrdered, runUnknown:
			over = report.Clock > r.until && r.ordered.Before(look.Sent)
		}
		if over {
			u.free(now, r)
			a.lost = append(a.lost, lostRun{run: r.Run, upstream: u.Name, end: r.overAs(), why: "the upstream does not list it"})
		}
	}
	for task, o := range u.orphans {
		if _, present := listed[o.Run]; !present && o.since.Before(look.Sent) {
			delete(u.orphans, task)
		}
	}
}

// finish enters a listed end in its job.
func (s *Scheduler) finish(now time.Time, upstream string, f finished, a *Actions) {
	l := lostRun{run: f.run, upstream: upstream, end: endLost, result: f.result}
	switch {
	case f.kind == CompletionDone:
		l.end = endDone
	case f.kind == CompletionFailed && f.blamed:
		l.end = endBlamed
	case f.kind == CompletionFailed:
		l.end = endFailed
	}
	if f.kept || !f.known {
		l.receipt = CompletionRef{upstream, f.number, s.token.Load()}
	}
	if f.known {
		s.finishRun(now, l, a)
		return
	}
	notices, started, stop := s.queueOf(f.run.Job).found(now, l)
	s.waiting.Add(int64(-started))
	a.Notices = append(a.Notices, notices...)
	if stop {
		s.stopRuns(now, "the job was given up", a, f.run.Job)
	}
}

// finishRun enters the end of a run in its job.
func (s *Scheduler) finishRun(now time.Time, l lostRun, a *Actions) {
	notices, requeued, stop := s.queueOf(l.run.Job).finish(now, l)
	s.waiting.Add(int64(requeued))
	a.Notices = append(a.Notices, notices...)
	if stop {
		s.stopRuns(now, "the job has failed", a, l.run.Job)
	}
}

// settle enters the runs that were lost.
func (s *Scheduler) settle(now time.Time, a *Actions) {
	lost := a.lost
	a.lost = nil
	slices.SortFunc(lost, func(a, b lostRun) int {
		return cmp.Or(strings.Compare(a.run.Job, b.run.Job), cmp.Compare(b.run.Index, a.run.Index))
	})
	for _, l := range lost {
		a.Lost = append(a.Lost, LostRun{l.run, l.upstream, l.end == endLost, l.why})
		s.finishRun(now, l, a)
	}
}
