package scheduler

import "time"

// HoldEnd tells what a job has waited for before its tasks could start: whether runs of the
// job that this dispatcher does not know of were ruled out, and how.
type HoldEnd uint8

// Ends of a hold.
const (
	// HoldNone means that the job was not held: it was new in a settled term.
	HoldNone HoldEnd = iota
	// HoldAnswered means that every listed upstream has answered a poll of this term, and
	// for a resumed job, one that was sent after its offer.
	HoldAnswered
	// HoldTimedOut means that not all have answered, and that the leases which earlier
	// dispatchers may have renewed have expired.
	HoldTimedOut
)

// String returns the name used in logs.
func (h HoldEnd) String() string {
	return [...]string{"none", "all upstreams have answered", "timeout"}[h]
}

// Coverage counts the upstreams from which runs of unknown jobs may be missing, as of a tick.
type Coverage struct {
	// Listed is the number of upstreams that this dispatcher is to claim. Unanswered of them
	// have answered no poll of this term, without those that are Fenced, which another
	// dispatcher has claimed. Failing have answered one, but not the last suspectFailures.
	Listed, Unanswered, Fenced, Failing int
	// Unlisted is the number of upstreams that are followed although their entries are gone.
	Unlisted int
	// Partial means that there are upstreams that this dispatcher is not to claim,
	// IncompleteList that there may be upstreams of which it has never read an entry, and
	// UnreachablePeers that VMs which may dispatch cannot be reached.
	Partial, IncompleteList, UnreachablePeers bool
}

// Complete reports whether no upstream and no VM is missing.
func (c Coverage) Complete() bool { return c == Coverage{Listed: c.Listed} }

// count adds an upstream. The caller holds mu of the upstream's shard.
func (c *Coverage) count(u *upstream) {
	switch {
	case !u.listed:
		c.Unlisted++
		return
	case u.fenced:
		c.Fenced++
	case !u.claimed:
		c.Unanswered++
	case u.pollFailures >= suspectFailures:
		c.Failing++
	}
	c.Listed++
}

// Coverage returns the coverage as of the last tick of the term; ok is false if there was
// none.
func (s *Scheduler) Coverage() (c Coverage, ok bool) {
	last := s.coverage.Load()
	if last == nil || last.token == 0 || last.token != s.token.Load() {
		return Coverage{}, false
	}
	return last.Coverage, true
}

// termCoverage is the coverage in the term with a token.
type termCoverage struct {
	Coverage
	token int64
}

// noteCoverage stores the counts of a tick.
func (s *Scheduler) noteCoverage(token int64, counted Coverage) {
	c := &termCoverage{counted, token}
	c.Partial, c.IncompleteList, c.UnreachablePeers = s.partialList.Load(), s.listCompleteSince.Load() != 0, s.HasUnreachablePeers()
	s.coverage.Store(c)
}

// StartBasis tells why the tasks of a job could start at this dispatcher. It is used for
// logging only.
type StartBasis struct {
	// Hold tells what ended the hold of the job, Held how long it was held.
	Hold HoldEnd
	Held time.Duration
	// Resumed means that an earlier dispatcher may have started tasks. WasUnstarted means
	// that the job was offered as resumed, but counts as new, because none of its tasks had
	// started when this dispatcher's last term ended.
	Resumed, WasUnstarted bool
	// EarlierKnown means that this dispatcher knew of an earlier submission, or of runs of it.
	EarlierKnown bool
	// Coverage is that of the tick that ended the hold, or of the last one before the offer.
	Coverage Coverage
}

// Ordinary reports whether a new job started at once, with all upstreams and VMs known.
func (b *StartBasis) Ordinary() bool {
	return *b == StartBasis{Coverage: b.Coverage} && b.Coverage.Complete()
}

// noteHoldEnd records why a held job may start. The caller holds mu.
func (j *job) noteHoldEnd(c *releaseCriteria, end HoldEnd) {
	j.basis.Hold, j.basis.Held = end, c.now.Sub(j.heldSince)
	j.basis.Resumed, j.basis.Coverage = j.Resumed, c.term.coverage
}

// OfferedJob describes a job that the scheduler has accepted, for the log.
type OfferedJob struct {
	// Held means that its tasks wait until runs of earlier dispatchers are ruled out.
	Held  bool
	Basis StartBasis
}

// Offered returns what an offer of a job has led to; ok is false if it is over already.
func (s *Scheduler) Offered(id string) (o OfferedJob, ok bool) {
	shard := s.jobShardFor(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	j := shard.job(id)
	if j == nil {
		return OfferedJob{}, false
	}
	return OfferedJob{!j.heldSince.IsZero(), j.basis}, true
}
