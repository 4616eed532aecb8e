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
func (s *Scheduler) NextPoll(now time.Time, name string) (poll Poll, due bool, wait time.Duration, gone bool) {
	token := s.token.Load()
	shard := s.shardFor(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.byName[name]
	if u == nil {
		return Poll{}, false, 0, true
	}
	if token == 0 {
		return Poll{}, false, 0, false
	}
	if u.fenced {
		return Poll{}, false, 0, false
	}
	if pause := u.retryAt.Sub(now); pause > 0 {
		return Poll{}, false, pause, false
	}
	wait = maxPollWait
	if now.Sub(s.start)-time.Duration(s.lastLoss.Load()) < lossWindow {
		wait = lossyPollWait
	}
	switch { // without a wait where the answer is needed at once
	case !u.claimed, u.pollFailures > 0:
		if !u.listed && len(u.runs) == 0 {
			return Poll{}, false, 0, false
		}
		wait = 0
	case u.listed && u.lastPoll.Sub(s.start) <= time.Duration(s.lastResume.Load()):
		wait = 0
	case len(u.runs)+len(u.orphans) > 0:
	case u.listed && s.HasUnreachablePeers():
		// A new process knows no token: another dispatcher may start what it likes
		// there. A look that waits breaks off with the old process.
	case u.ackable() > u.lastAcked:
		if pause := u.idleSince.Add(idleAckDelay).Sub(now); pause > 0 {
			return Poll{}, false, pause, false
		}
		wait = 0
	default:
		return Poll{}, false, 0, false
	}
	return u.poll(now, token, wait, s), true, 0, false
}

// ImmediatePoll returns a look that does not wait, for runs whose state is unknown.
func (s *Scheduler) ImmediatePoll(now time.Time, name string) (Poll, bool) {
	token := s.token.Load()
	shard := s.shardFor(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.byName[name]
	if u == nil || token == 0 || u.fenced {
		return Poll{}, false
	}
	return u.poll(now, token, 0, s), true
}

// poll returns a poll. The caller holds mu of the shard.
func (u *upstream) poll(now time.Time, token int64, wait time.Duration, s *Scheduler) Poll {
	u.polling = true
	p := Poll{Upstream: u.Upstream, Token: token, LastSeen: u.ackable(), Seen: u.lastSeen, Wait: wait, Sent: now}
	// What does not answer is not renewed, so that its runs are over in time.
	if u.clock != 0 && u.pollFailures == 0 && (len(u.runs) > 0 || u.hasClaimableOrphan()) {
		p.Until = u.clockNow(now) + lease.Milliseconds()
		u.leaseEnd = later(u.leaseEnd, s.leaseEnd(now, u, lease))
	}
	return p
}

// ackable returns the number up to which ends need not be listed again.
func (u *upstream) ackable() int64 {
	ackable := u.lastSeen
	for number := range u.undelivered {
		ackable = min(ackable, number-1)
	}
	return ackable
}

// ConfirmDelivery notes that the origins of jobs have been told of some ends.
func (s *Scheduler) ConfirmDelivery(receipts []CompletionRef) {
	for _, r := range receipts {
		if r.Upstream == "" || r.Token != s.token.Load() {
			continue
		}
		shard := s.shardFor(r.Upstream)
		shard.mu.Lock()
		if u := shard.byName[r.Upstream]; u != nil {
			delete(u.undelivered, r.Number)
		}
		shard.mu.Unlock()
	}
}

// hasClaimableOrphan tells whether a job may still claim one of the orphans.
func (u *upstream) hasClaimableOrphan() bool {
	for _, o := range u.orphans {
		if !o.stopping {
			return true
		}
	}
	return false
}

// HandlePollResult enters the end of a look.
func (s *Scheduler) HandlePollResult(now time.Time, poll Poll, result PollResult, report PollReport) Actions {
	var a Actions
	shard := s.shardFor(poll.Upstream.Name)
	shard.mu.Lock()
	u := shard.byName[poll.Upstream.Name]
	if u == nil || poll.Token != s.token.Load() {
		shard.mu.Unlock()
		return a
	}
	u.polling = false
	var found []foundRun
	var completions []listedCompletion
	switch result {
	case PollAnswered:
		completions, found = u.handleReport(now, poll, report, s.config.RetainCompletions, &a)
	case PollFenced:
		u.lastContact = now
		u.fence(now, &a)
	case PollOtherProcess:
		u.lastContact = now
		u.claimed = false
		u.notePollFailure(now)
	default:
		u.notePollFailure(now)
		s.noteLostAnswer(now, u)
	}
	shard.recomputeBounds()
	shard.mu.Unlock()
	for _, f := range found {
		s.adopt(now, shard, f.upstream, f.Run)
	}
	for _, c := range completions {
		s.handleCompletion(now, poll.Upstream.Name, c, &a)
	}
	s.finishLost(now, &a)
	return a
}

// noteLostAnswer notes that something went unanswered at an upstream that answered a
// while ago.
func (s *Scheduler) noteLostAnswer(now time.Time, u *upstream) {
	if now.Sub(u.lastContact) < lossWindow {
		s.lastLoss.Store(int64(now.Sub(s.start)))
	}
}

// notePollFailure counts a look without an answer.
func (u *upstream) notePollFailure(now time.Time) {
	if u.pollFailures > 0 {
		u.retryAt = now.Add(min(minPollBackoff<<min(u.pollFailures-1, maxBackoffDoublings), maxPollBackoff))
	}
	u.pollFailures++
}

// fence leaves an upstream to the dispatcher that has claimed it. Its runs may
// go on there until that dispatcher has stopped or adopted them.
func (u *upstream) fence(now time.Time, a *Actions) {
	u.claimed, u.fenced = false, true
	u.leaseEnd = now.Add(fencedRunTimeout)
	clear(u.orphans)
}
