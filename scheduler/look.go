package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// Look asks an upstream what runs and what has ended there, and renews the
// lease of all that runs.
type Look struct {
	Upstream Upstream
	Token    int64
	// LastSeen is the number up to which ends need not be listed again.
	LastSeen int64
	// Until is the end of the lease on the upstream's clock, in ms; 0 renews
	// nothing.
	Until int64
	// Wait is the longest time that the upstream waits for an end.
	Wait time.Duration
	// Sent is the time at which the look was decided on.
	Sent time.Time
}

// Running is a run that an upstream lists.
type Running struct {
	Run
	// Percent is the share of the work that is done.
	Percent int
}

// End is an end that an upstream lists.
type End struct {
	// Number counts the ends of the upstream's process, from 1.
	Number int64
	Run
	Kind EndKind
}

// EndKind says how a run ended on an upstream.
type EndKind uint8

// Kinds of ends.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLapsed
	// EndOther is an end that lost the work for another reason.
	EndOther
)

// Report is the answer to a Look.
type Report struct {
	// Clock is the upstream's clock, in ms.
	Clock int64
	// Born is the start of the upstream's process, in ms since 1970; 0 where it
	// was not told.
	Born    int64
	Running []Running
	Ends    []End
}

// LookResult says how a look ended.
type LookResult uint8

// Results of looks and orders.
const (
	// LookAnswered comes with a Report.
	LookAnswered LookResult = iota
	// LookFenced means that another dispatcher has claimed the upstream.
	LookFenced
	// LookOtherProcess means that another process runs at the address.
	LookOtherProcess
	// LookUnanswered means that nothing is known.
	LookUnanswered
)

// String returns the form used in logs.
func (r LookResult) String() string {
	return [...]string{"answered", "fenced", "other process", "unanswered"}[r]
}

// String returns the form used in logs.
func (k EndKind) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "lost"}[k]
}

// NextLook returns the look that is due at an upstream. Without one, wait tells
// when to ask again; zero waits for a wake-up. gone tells that the upstream is
// no longer followed. Every look that was returned must be reported to Looked.
func (s *Scheduler) NextLook(now time.Time, name string) (look Look, due bool, wait time.Duration, gone bool) {
	token := s.token.Load()
	shard := s.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.known[name]
	if u == nil {
		return Look{}, false, 0, true
	}
	if token == 0 {
		return Look{}, false, 0, false
	}
	if u.fenced {
		return Look{}, false, 0, false
	}
	if pause := u.retry.Sub(now); pause > 0 {
		return Look{}, false, pause, false
	}
	wait = lookWait
	if now.Sub(s.start)-time.Duration(s.lost.Load()) < lossyTime {
		wait = lossyWait
	}
	switch { // without a wait where the answer is needed at once
	case !u.claimed, u.failures > 0:
		if !u.listed && len(u.runs) == 0 {
			return Look{}, false, 0, false
		}
		wait = 0
	case u.listed && u.newest.Sub(s.start) <= time.Duration(s.sweep.Load()):
		wait = 0
	case len(u.runs)+len(u.orphans) > 0:
	case u.seen > u.acked:
		if pause := u.idle.Add(idleLook).Sub(now); pause > 0 {
			return Look{}, false, pause, false
		}
		wait = 0
	default:
		return Look{}, false, 0, false
	}
	return u.look(now, token, wait, s), true, 0, false
}

// QuickLook returns a look that does not wait, for runs whose state is unknown.
func (s *Scheduler) QuickLook(now time.Time, name string) (Look, bool) {
	token := s.token.Load()
	shard := s.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.known[name]
	if u == nil || token == 0 || u.fenced {
		return Look{}, false
	}
	return u.look(now, token, 0, s), true
}

// look returns a look. The caller holds mu of the shard.
func (u *upstream) look(now time.Time, token int64, wait time.Duration, s *Scheduler) Look {
	u.looking = true
	l := Look{Upstream: u.Upstream, Token: token, LastSeen: u.seen, Wait: wait, Sent: now}
	// What does not answer is not renewed, so that its runs are over in time.
	if u.clock != 0 && u.failures == 0 && len(u.runs)+len(u.orphans) > 0 {
		l.Until = u.clockNow(now) + lease.Milliseconds()
		u.bound = now.Add(s.leaseBound())
	}
	return l
}

// Looked enters the end of a look.
func (s *Scheduler) Looked(now time.Time, look Look, result LookResult, report Report) Actions {
	var a Actions
	shard := s.shardOf(look.Upstream.Name)
	shard.mu.Lock()
	u := shard.known[look.Upstream.Name]
	if u == nil || look.Token != s.token.Load() {
		shard.mu.Unlock()
		return a
	}
	u.looking = false
	var found []foundRun
	var ends []finished
	switch result {
	case LookAnswered:
		ends, found = u.report(now, look, report, &a)
	case LookFenced:
		u.contact = now
		u.giveUp(now, &a)
	case LookOtherProcess:
		u.contact = now
		u.claimed = false
		u.fail(now)
	default:
		u.fail(now)
		s.noteLoss(now, u)
	}
	shard.measure()
	shard.mu.Unlock()
	for _, f := range found {
		s.adopt(now, shard, f.upstream, f.Run)
	}
	for _, e := range ends {
		s.finish(now, look.Upstream.Name, e, &a)
	}
	s.settle(now, &a)
	return a
}

// noteLoss notes that something went unanswered at an upstream that answered a
// while ago.
func (s *Scheduler) noteLoss(now time.Time, u *upstream) {
	if now.Sub(u.contact) < lossyTime {
		s.lost.Store(int64(now.Sub(s.start)))
	}
}

// fail counts a look without an answer.
func (u *upstream) fail(now time.Time) {
	if u.failures > 0 {
		u.retry = now.Add(min(retryLook<<min(u.failures-1, maxDoublings), maxRetryLook))
	}
	u.failures++
}

// giveUp leaves an upstream to the dispatcher that has claimed it. Its runs may
// go on there until that dispatcher has stopped or adopted them.
func (u *upstream) giveUp(now time.Time, a *Actions) {
	u.claimed, u.fenced = false, true
	u.bound = now.Add(fencedBound)
	clear(u.orphans)
}

// finished is an end that was listed.
type finished struct {
	run  Run
	kind EndKind
	// known tells that this dispatcher started or adopted the run.
	known, blamed bool
}

// report enters an answer. The caller holds mu of the shard.
func (u *upstream) report(now time.Time, look Look, report Report, a *Actions) (ends []finished, found []foundRun) {
	if report.Born != 0 && report.Born < u.born {
		return nil, nil // from a process that has ended
	}
	if report.Born > u.born {
		if u.born != 0 {
			u.reborn()
		}
		u.born = report.Born
	}
	u.setClock(now, report.Clock)
	first := !u.claimed
	u.claimed, u.failures, u.contact = true, 0, now
	u.acked = max(u.acked, look.LastSeen)
	for _, end := range report.Ends {
		if end.Number <= u.seen {
			continue
		}
		u.seen = end.Number
		ends = append(ends, u.end(now, end))
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
// ran in the old process is absent from the answer at hand.
func (u *upstream) reborn() {
	u.model, u.seen, u.acked, u.clock = speedModel{}, 0, 0, 0
	clear(u.orphans)
	for _, r := range u.runs {
		r.until = math.MaxInt64
	}
}

func (u *upstream) setClock(now time.Time, clock int64) {
	if clock > 0 {
		u.clock, u.clockAt = clock, now
	}
}

// progress notes that a run is there, and how far it is.
func (u *upstream) progress(now time.Time, r *run, percent int) {
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

// end enters a listed end.
func (u *upstream) end(now time.Time, end End) finished {
	delete(u.orphans, end.Task)
	f := finished{run: end.Run, kind: end.Kind, blamed: u.health.Ejected()}
	r := u.runs[end.Task]
	if r == nil || r.Attempt != end.Attempt {
		return f
	}
	f.known = true
	u.free(now, r)
	switch end.Kind {
	case EndDone:
		u.health.Succeed(now)
		u.learn(now, r)
	case EndFailed:
		u.health.Fail(now, rendezvous.Hash(end.Job), true)
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
func (u *upstream) removeAbsent(now time.Time, look Look, report Report, listed map[Run]int, a *Actions) {
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
			a.lost = append(a.lost, lostRun{r.Run, u.Name, endLost})
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
	q := s.queueOf(f.run.Job)
	if !f.known {
		if f.kind == EndDone && !q.has(f.run.Job) {
			q.remember(now, f.run.Task)
		}
		return
	}
	end := endLost
	switch {
	case f.kind == EndDone:
		end = endDone
	case f.kind == EndFailed && f.blamed:
		end = endBlamed
	case f.kind == EndFailed:
		end = endFailed
	}
	s.finishRun(now, lostRun{f.run, upstream, end}, a)
}

// finishRun enters the end of a run in its job.
func (s *Scheduler) finishRun(now time.Time, l lostRun, a *Actions) {
	notices, requeued, stop := s.queueOf(l.run.Job).finish(l.run, l.upstream, l.end)
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
		s.finishRun(now, l, a)
	}
}
