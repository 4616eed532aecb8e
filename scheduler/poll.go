package scheduler

import (
	"time"
)

// Poll asks an upstream for its active runs and completions, and renews the lease
// of all its runs if this dispatcher has the job of each.
type Poll struct {
	Upstream Upstream
	// ProcessStart is the start time of the process whose lease is renewed, in ms since 1970; 0 if
	// the poll renews none or the process is unknown. Upstreams that can tell refuse the poll in
	// another process, whose clock differs.
	ProcessStart int64
	Token        int64
	// Acked acknowledges the completions up to this number; they are no longer
	// listed. Seen is the highest number that the dispatcher has processed: the
	// upstream waits for a completion above it.
	Acked, Seen int64
	// Until is the end of the lease by the upstream's clock, in ms; 0 renews no
	// lease.
	Until int64
	// Wait is the longest time that the upstream waits for a completion.
	Wait time.Duration
	// Sent is the time at which the scheduler issued the poll.
	Sent time.Time
}

// Running is an active run as an upstream reports it.
type Running struct {
	Run
	// Percent is the progress of the run.
	Percent int
}

// Completion is a finished run as an upstream reports it.
type Completion struct {
	// Number is the sequence number of the completion in the upstream's process, from 1.
	Number int64
	Run
	Kind CompletionKind
	// Result is the output of a successful run, if upstreams report it.
	Result []byte
}

// CompletionKind tells how a run finished on an upstream.
type CompletionKind uint8

// Completion kinds.
const (
	CompletionDone CompletionKind = iota
	CompletionFailed
	CompletionStopped
	// CompletionLapsed means that the lease of the run has expired.
	CompletionLapsed
	// CompletionLost means that the work was lost for a reason other than a stop or
	// an expired lease.
	CompletionLost
)

// PollReport is the content of an answered Poll.
type PollReport struct {
	// Clock is the upstream's clock, in ms.
	Clock int64
	// ProcessStart is the start time of the upstream's process, in ms since 1970;
	// 0 if unknown.
	ProcessStart int64
	Running      []Running
	Completions  []Completion
	// CompletionsTruncated means that the upstream may have more completions than it lists.
	CompletionsTruncated bool
}

// PollResult is the result of a Poll.
type PollResult uint8

// Poll results.
const (
	// PollAnswered means that the upstream returned a PollReport.
	PollAnswered PollResult = iota
	// PollFenced means that another dispatcher has claimed the upstream.
	PollFenced
	// PollOtherProcess means that another process listens at the address.
	PollOtherProcess
	// PollUnanswered means that no response arrived.
	PollUnanswered
	// PollNoProcess means that no process listens at the upstream's address.
	PollNoProcess
)

// String returns the name used in logs.
func (r PollResult) String() string {
	return [...]string{"answered", "fenced", "other process", "unanswered", "no process"}[r]
}

// String returns the name used in logs.
func (k CompletionKind) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "lost"}[k]
}

// NextPoll returns the poll that is due at an upstream. If none is due, wait is the
// time until the next call, or zero if the caller should wait for a wake-up; gone
// means that the upstream is no longer tracked. The result of every returned poll
// must be passed to HandlePollResult.
func (s *Scheduler) NextPoll(now time.Time, name string) (poll Poll, due bool, wait time.Duration, gone bool) {
	token := s.token.Load()
	shard := s.upstreamShardFor(name)
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
	if len(u.undelivered) > 0 && !s.config.RetainCompletions {
		if pause := u.lastPoll.Add(undeliveredPollInterval).Sub(now); pause > 0 {
			return Poll{}, false, pause, false
		}
	}
	wait = maxPollWait
	if now.Sub(s.start)-time.Duration(s.lastLoss.Load()) < lossWindow {
		wait = lossyPollWait
	}
	switch { // polls without waiting if the response is needed immediately
	case !u.claimed, u.pollFailures > 0:
		if !u.listed && len(u.runs) == 0 {
			return Poll{}, false, 0, false
		}
		wait = 0
	case u.listed && u.lastPoll.Sub(s.start) <= time.Duration(s.lastResume.Load()):
		wait = 0
	case len(u.runs)+len(u.orphans) > 0:
	case u.listed && s.watchesIdle():
		// A new process knows no token, so another dispatcher may start runs there.
		// The waiting poll fails when the old process ends, and the new one is then
		// claimed without delay.
	case u.listed && u.clock != 0 && now.Sub(u.lastPoll) >= clockRefresh:
		wait = 0
	case u.ackable() > u.lastAcked:
		if pause := u.idleSince.Add(idleAckDelay).Sub(now); pause > 0 {
			return Poll{}, false, pause, false
		}
		wait = 0
	case u.listed && u.clock != 0:
		return Poll{}, false, u.lastPoll.Add(clockRefresh).Sub(now), false
	default:
		return Poll{}, false, 0, false
	}
	return u.poll(now, token, wait, s), true, 0, false
}

// undeliveredPollInterval is the shortest time between two polls while the upstream lists a
// completion that its origin does not have yet. Such polls do not wait at upstreams that know
// only Poll.Acked; a report to an origin takes a few milliseconds.
const undeliveredPollInterval = 5 * time.Millisecond

// ImmediatePoll returns a poll without a wait. It is used if the state of a run is
// unknown.
func (s *Scheduler) ImmediatePoll(now time.Time, name string) (Poll, bool) {
	token := s.token.Load()
	shard := s.upstreamShardFor(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.byName[name]
	if u == nil || token == 0 || u.fenced {
		return Poll{}, false
	}
	return u.poll(now, token, 0, s), true
}

// poll builds a poll. The caller holds mu of the shard.
func (u *upstream) poll(now time.Time, token int64, wait time.Duration, s *Scheduler) Poll {
	u.polling = true
	rule := s.leaseRule()
	p := Poll{Upstream: u.Upstream, Token: token, Acked: u.ackable(), Seen: u.lastSeen, Wait: u.pollWait(now, wait, rule), Sent: now}
	// The lease of an unresponsive upstream is not renewed, so that its runs end.
	if length := u.leaseLength(now, lease, rule); length > 0 && u.clock != 0 && u.pollFailures == 0 && len(u.runs) > 0 && !u.hasUnwantedRun() {
		p.Until, p.ProcessStart = u.clockNow(now)+length.Milliseconds(), u.processStart
		u.leaseEnd = later(u.leaseEnd, s.leaseEnd(now, u, length))
	}
	return p
}

// ackable returns the number up to which completions can be acknowledged.
func (u *upstream) ackable() int64 {
	ackable := u.lastSeen
	for number := range u.undelivered {
		ackable = min(ackable, number-1)
	}
	return ackable
}

// ConfirmDelivery records that origins have received the given completions.
func (s *Scheduler) ConfirmDelivery(refs []CompletionRef) {
	for _, ref := range refs {
		if ref.Upstream == "" || ref.Token != s.token.Load() {
			continue
		}
		shard := s.upstreamShardFor(ref.Upstream)
		shard.mu.Lock()
		if u := shard.byName[ref.Upstream]; u != nil {
			delete(u.undelivered, ref.Number)
		}
		shard.mu.Unlock()
	}
}

// HandlePollResult processes the result of a poll.
func (s *Scheduler) HandlePollResult(now time.Time, poll Poll, result PollResult, report PollReport) Actions {
	var a Actions
	if news, ok := s.receive(now, poll, result, report, &a); ok {
		s.applyNews(now, news, &a)
	}
	return a
}

// upstreamNews is what a poll has revealed and jobs do not know yet.
type upstreamNews struct {
	name        string
	upstream    *upstream
	found       []foundRun
	completions []listedCompletion
}

// receive applies the result of a poll to its upstream. ok is false if the result is
// outdated; otherwise applyNews must be called.
func (s *Scheduler) receive(now time.Time, poll Poll, result PollResult, report PollReport, a *Actions) (news upstreamNews, ok bool) {
	shard := s.upstreamShardFor(poll.Upstream.Name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.byName[poll.Upstream.Name]
	if u == nil || poll.Token != s.token.Load() {
		return news, false
	}
	u.polling = false
	news.name, news.upstream = u.Name, u
	switch result {
	case PollAnswered:
		news.completions, news.found = u.handleReport(now, poll, report, s, a)
	case PollFenced:
		u.lastContact = now
		u.fence(now)
	case PollOtherProcess:
		if poll.Upstream.Address == u.Address {
			s.noteNewProcess(now, u)
			u.noteCrash(now, poll.Sent, "another process listens at the address", nil, &s.blame, a)
		}
		u.lastContact = now
		u.notePollFailure(now)
	default:
		u.notePollFailure(now)
		s.noteLostResponse(now, u)
	}
	u.applying++
	shard.recomputeBounds()
	return news, true
}

// applyNews applies what a poll has revealed to the jobs.
func (s *Scheduler) applyNews(now time.Time, news upstreamNews, a *Actions) {
	for _, f := range news.found {
		s.adopt(now, f, a)
	}
	for _, c := range news.completions {
		s.handleCompletion(now, news.name, c, a)
	}
	s.finishLost(now, a)
	shard := s.upstreamShardFor(news.name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	news.upstream.applying--
}

// noteLostResponse records a lost response of an upstream that has responded
// recently.
func (s *Scheduler) noteLostResponse(now time.Time, u *upstream) {
	if now.Sub(u.lastContact) < lossWindow {
		s.lastLoss.Store(int64(now.Sub(s.start)))
	}
}

// notePollFailure counts a failed poll and sets the time of the next one.
func (u *upstream) notePollFailure(now time.Time) {
	if u.pollFailures > 0 {
		longest := maxPollBackoff
		if u.Missing {
			longest = maxMissingPollBackoff
		}
		u.retryAt = now.Add(min(minPollBackoff<<min(u.pollFailures-1, maxBackoffDoublings), longest))
	}
	u.pollFailures++
}

// fence marks an upstream as claimed by another dispatcher. Runs that this dispatcher
// knows are over after fencedRunTimeout.
func (u *upstream) fence(now time.Time) {
	u.claimed, u.fenced = false, true
	u.leaseEnd = now.Add(fencedRunTimeout)
}
