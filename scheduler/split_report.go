package scheduler

import "time"

// Lacking counts the listed upstreams that a dispatcher does not hold, each by the first reason
// that applies.
type Lacking struct {
	// Fenced upstreams are claimed by another dispatcher. Unclaimed ones have answered no poll of
	// this term, Failing ones not the last poll, and Silent ones none for heldTimeout.
	Fenced, Unclaimed, Failing, Silent int
	// Partial means that there are upstreams which this dispatcher is not to claim.
	Partial bool
}

// count adds an upstream. watched means that idle upstreams are polled. The caller holds mu of the
// upstream's shard.
func (l *Lacking) count(u *upstream, now time.Time, watched bool) {
	switch {
	case !u.listed || u.isHeld(now, watched):
	case u.fenced:
		l.Fenced++
	case !u.claimed:
		l.Unclaimed++
	case u.pollFailures > 0:
		l.Failing++
	default:
		l.Silent++
	}
}

// SplitReport describes the state of a split as of a tick, for logs and metrics.
type SplitReport struct {
	// Token is that of the term; 0 while not dispatching.
	Token int64
	// Suspected means that leases end before callers can return, Confirmed that jobs are abandoned
	// before as well.
	Suspected, Confirmed bool
	PeerLoss             PeerLoss
	Lacking              Lacking
	// Unlisted is the number of upstreams that are followed although their entries have gone.
	Unlisted int
}

// Level returns 0 without a split, 1 if one is suspected, and 2 if it is confirmed.
func (r *SplitReport) Level() int {
	switch {
	case r.Confirmed:
		return 2
	case r.Suspected:
		return 1
	}
	return 0
}

// noteSplit stores the state and the counts of a tick.
func (s *Scheduler) noteSplit(token int64, lacking Lacking) {
	lacking.Partial = s.partialList.Load()
	state := s.splitState()
	r := &SplitReport{Token: token, Suspected: state != splitNone, Confirmed: state == splitConfirmed, PeerLoss: s.PeerLoss(), Lacking: lacking}
	if c, ok := s.Coverage(); ok {
		r.Unlisted = c.Unlisted
	}
	s.splitReport.Store(r)
}

// SplitReport returns the state as of the last tick of the term. Before the first tick it has the
// token only.
func (s *Scheduler) SplitReport() SplitReport {
	token := s.token.Load()
	if r := s.splitReport.Load(); r != nil && r.Token == token {
		return *r
	}
	return SplitReport{Token: token}
}

// SplitEnd tells why a split is no longer confirmed.
type SplitEnd uint8

// Values of SplitEnd.
const (
	// SplitEndTermOver means that this VM no longer dispatches.
	SplitEndTermOver SplitEnd = iota
	// SplitEndNewTerm means that a new term has begun, some time after the last one, in which the
	// split is to be confirmed again.
	SplitEndNewTerm
	// SplitEndNoneLost means that no VM counts as lost any more.
	SplitEndNoneLost
	// SplitEndAllHeld means that this dispatcher holds every upstream.
	SplitEndAllHeld
)

// SplitEnds returns all values.
func SplitEnds() []SplitEnd {
	return []SplitEnd{SplitEndTermOver, SplitEndNewTerm, SplitEndNoneLost, SplitEndAllHeld}
}

// String returns the text used in logs and metrics.
func (e SplitEnd) String() string {
	return [...]string{"the term ended", "new term", "no VM is lost", "all upstreams are held"}[e]
}

// EndOfSplit returns why a split that was confirmed in a report no longer is in a later one.
func EndOfSplit(before, after SplitReport) SplitEnd {
	switch {
	case after.Token == 0:
		return SplitEndTermOver
	case after.Token != before.Token:
		return SplitEndNewTerm
	case after.PeerLoss != PeerLost:
		return SplitEndNoneLost
	}
	return SplitEndAllHeld
}
