package scheduler

import (
	"time"
)

// Poll asks an upstream what runs and what has ended there, and renews the
// lease of all that runs.
type Poll struct {
	Upstream Upstream
	Token    int64
	// LastSeen is the number up to which ends need not be listed again, Seen that
	// up to which they are known: an upstream waits for one above it.
	LastSeen, Seen int64
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

// Completion is an end that an upstream lists.
type Completion struct {
	// Number counts the ends of the upstream's process, from 1.
	Number int64
	Run
	Kind CompletionKind
	// Result is what a run that ended well has produced, where upstreams tell it.
	Result []byte
}

// CompletionKind says how a run ended on an upstream.
type CompletionKind uint8

// Kinds of ends.
const (
	CompletionDone CompletionKind = iota
	CompletionFailed
	CompletionStopped
	CompletionLapsed
	// CompletionLost is an end that lost the work for another reason.
	CompletionLost
)

// PollReport is the answer to a Poll.
type PollReport struct {
	// Clock is the upstream's clock, in ms.
	Clock int64
	// ProcessStart is the start of the upstream's process, in ms since 1970; 0 where it
	// was not told.
	ProcessStart int64
	Running      []Running
	Completions  []Completion
}

// PollResult says how a look ended.
type PollResult uint8

// Results of looks and orders.
const (
	// PollAnswered comes with a Report.
	PollAnswered PollResult = iota
	// PollFenced means that another dispatcher has claimed the upstream.
	PollFenced
	// PollOtherProcess means that another process runs at the address.
	PollOtherProcess
	// PollUnanswered means that nothing is known.
	PollUnanswered
)

// String returns the form used in logs.
func (r PollResult) String() string {
	return [...]string{"answered", "fenced", "other process", "unanswered"}[r]
}

// String returns the form used in logs.
func (k CompletionKind) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "lost"}[k]
}

// NextPoll returns the look that is due at an upstream. Without one, wait tells
// when to ask again; zero waits for a wake-up. gone tells that the upstream is
// no longer followed. Every look that was returned must be reported to HandlePollResult.
func (s *Scheduler) NextPoll(now time.Time, name string) (look Poll, due bool, wait time.Duration, gone bool) {
	token := s.token.Load()
	shard := s.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.known[name]
	if u == nil {
		return Poll{}, false, 0, true
	}
	if token == 0 {
		return Poll{}, false, 0, false
	}
	if u.fenced {
		return Poll{}, false, 0, false
	}
	if pause := u.retry.Sub(now); pause > 0 {
		return Poll{}, false, pause, false
	}
	wait = lookWait
	if now.Sub(s.start)-time.Duration(s.lost.Load()) < lossyTime {
		wait = lossyWait
	}
	switch { // without a wait where the answer is needed at once
	case !u.claimed, u.failures > 0:
		if !u.listed && len(u.runs) == 0 {
			return Poll{}, false, 0, false
		}
		wait = 0
	case u.listed && u.newest.Sub(s.start) <= time.Duration(s.sweep.Load()):
		wait = 0
	case len(u.runs)+len(u.orphans) > 0:
	case u.listed && s.HasUnreachablePeers():
		// A new process knows no token: another dispatcher may start what it likes
		// there. A look that waits breaks off with the old process.
	case u.settled() > u.acked:
		if pause := u.idle.Add(idleLook).Sub(now); pause > 0 {
			return Poll{}, false, pause, false
		}
		wait = 0
	default:
		return Poll{}, false, 0, false
	}
	return u.look(now, token, wait, s), true, 0, false
}

// ImmediatePoll returns a look that does not wait, for runs whose state is unknown.
func (s *Scheduler) ImmediatePoll(now time.Time, name string) (Poll, bool) {
	token := s.token.Load()
	shard := s.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.known[name]
	if u == nil || token == 0 || u.fenced {
		return Poll{}, false
	}
	return u.look(now, token, 0, s), true
}

// look returns a look. The caller holds mu of the shard.
func (u *upstream) look(now time.Time, token int64, wait time.Duration, s *Scheduler) Poll {
	u.looking = true
	l := Poll{Upstream: u.Upstream, Token: token, LastSeen: u.settled(), Seen: u.seen, Wait: wait, Sent: now}
	// What does not answer is not renewed, so that its runs are over in time.
	if u.clock != 0 && u.failures == 0 && (len(u.runs) > 0 || u.wanted()) {
		l.Until = u.clockNow(now) + lease.Milliseconds()
		u.bound = later(u.bound, s.leaseBound(now, u, lease))
	}
	return l
}

// settled returns the number up to which ends need not be listed again.
func (u *upstream) settled() int64 {
	settled := u.seen
	for number := range u.undelivered {
		settled = min(settled, number-1)
	}
	return settled
}

// ConfirmDelivery notes that the origins of jobs have been told of some ends.
func (s *Scheduler) ConfirmDelivery(receipts []CompletionRef) {
	for _, r := range receipts {
		if r.Upstream == "" || r.Token != s.token.Load() {
			continue
		}
		shard := s.shardOf(r.Upstream)
		shard.mu.Lock()
		if u := shard.known[r.Upstream]; u != nil {
			delete(u.undelivered, r.Number)
		}
		shard.mu.Unlock()
	}
}

// wanted tells whether a job may still claim one of the orphans.
func (u *upstream) wanted() bool {
	for _, o := range u.orphans {
		if !o.stopping {
			return true
		}
	}
	return false
}

// HandlePollResult enters the end of a look.
func (s *Scheduler) HandlePollResult(now time.Time, look Poll, result PollResult, report PollReport) Actions {
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
	case PollAnswered:
		ends, found = u.report(now, look, report, s.config.RetainCompletions, &a)
	case PollFenced:
		u.contact = now
		u.giveUp(now, &a)
	case PollOtherProcess:
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
