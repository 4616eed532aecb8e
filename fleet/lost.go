package fleet

import (
	"cmp"
	"slices"
	"time"
)

// LossReason tells why a member counts as lost: it may dispatch, and this one does not hear it.
type LossReason uint8

// Values of LossReason.
const (
	// LossNotHeard means that no message has passed in both directions for the timeout.
	LossNotHeard LossReason = iota
	// LossNeverHeard means that none ever has.
	LossNeverHeard
	// LossDeaf means that the member last reported that it does not hear this one.
	LossDeaf
	// LossOwnTerm means that the member is heard, but dispatches beside this one.
	LossOwnTerm
)

// String returns the text used in logs.
func (r LossReason) String() string {
	return [...]string{"not heard", "never heard", "does not hear this VM", "dispatches too"}[r]
}

// LossEnd tells why a member no longer counts as lost. Greater values are weaker evidence that it
// does not dispatch unheard.
type LossEnd uint8

// Values of LossEnd.
const (
	// LossEndHeard means that messages pass in both directions again.
	LossEndHeard LossEnd = iota
	// LossEndTermOver means that the member was heard all the time, and that its term or that of
	// this member is over.
	LossEndTermOver
	// LossEndReplaced means that a later process of the VM was heard or listed, or that another VM
	// has its address.
	LossEndReplaced
	// LossEndRemoved means that the member is no longer on the roster.
	LossEndRemoved
	// LossEndStopped means that the member had announced its stop and has left the store.
	LossEndStopped
	// LossEndScope means that the member is no longer known, or belongs to another scope.
	LossEndScope
	// LossEndNotWatched means that this member is no candidate any more, and that the other one, which
	// is still not heard, sends it no regular heartbeats.
	LossEndNotWatched
	// LossEndForgotten means that the member is neither heard nor listed, without proof that it
	// has ended.
	LossEndForgotten
)

// String returns the text used in logs.
func (e LossEnd) String() string {
	return [...]string{"heard again", "term over", "later process", "removed from the roster", "stopped gracefully", "not in scope", "not watched", "forgotten"}[e]
}

// LostMember is a member that may dispatch and is not heard.
type LostMember struct {
	VM          string
	Incarnation uint64
	// HeardAt is when messages last certainly passed in both directions; zero if they never did.
	HeardAt time.Time
	// Listed reports whether the platform's store lists the member.
	Listed bool
	Reason LossReason
	// Watched means that this member usually exchanges heartbeats with it. A candidate does so with
	// all members; any other one with those that rank as high as the candidates that it reaches.
	Watched bool
}

// addLost adds a member if it is silent for long. term is the term of this member, or 0: while it
// does not dispatch, a dispatcher that it hears is not lost. The caller holds mu.
func (v *View) addLost(f *Fleet, now time.Time, p *peer, silence Silence, term uint64) {
	if silence != SilenceLong {
		return
	}
	m := p.heartbeat.Member
	lost := LostMember{VM: m.VM, Incarnation: m.Incarnation, HeardAt: p.provenAt, Listed: p.listed}
	switch {
	case p.deaf:
		lost.Reason = LossDeaf
	case p.provenAt.IsZero():
		lost.Reason = LossNeverHeard
	case f.proven(now, p) && term == 0:
		return
	case f.proven(now, p):
		lost.Reason = LossOwnTerm
	}
	v.Lost = append(v.Lost, lost)
}

// LostBefore reports whether a lost member was not heard at a time or later.
func (v *View) LostBefore(t time.Time) bool {
	return slices.ContainsFunc(v.Lost, func(m LostMember) bool { return m.HeardAt.IsZero() || m.HeardAt.Before(t) })
}

// WatchedLost returns the lost members with which this one usually exchanges heartbeats, for logs.
func (v *View) WatchedLost() []LostMember {
	return slices.DeleteFunc(slices.Clone(v.Lost), func(m LostMember) bool { return !m.Watched })
}

// finishLost orders the lost members by VM and marks those that are watched. Reachable must be in
// order of rank. The caller holds mu.
func (v *View) finishLost(f *Fleet) {
	for i := range v.Lost {
		m := &v.Lost[i]
		m.Watched = v.Candidate || compareRank(f.peers[m.VM].heartbeat.Member, v.Reachable[candidateCount-1].Member) < 0
	}
	slices.SortFunc(v.Lost, func(a, b LostMember) int { return cmp.Compare(a.VM, b.VM) })
}

// WhyNotLost returns why a member that was lost in an earlier view no longer is.
func (f *Fleet) WhyNotLost(now time.Time, lost LostMember) LossEnd {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[lost.VM]
	switch {
	case p == nil || !f.inScope(p.heartbeat.Member):
		return LossEndScope
	case p.heartbeat.Member.Incarnation > lost.Incarnation || p.replaced:
		return LossEndReplaced
	case f.proven(now, p) && lost.Reason == LossOwnTerm:
		return LossEndTermOver
	case f.proven(now, p):
		return LossEndHeard
	case p.removed:
		return LossEndRemoved
	case f.gone(p):
		return LossEndStopped
	case f.silence(now, p) == SilenceLong:
		return LossEndNotWatched
	}
	return LossEndForgotten
}

// proven reports whether messages have certainly passed in both directions within the timeout. The
// caller holds mu.
func (f *Fleet) proven(now time.Time, p *peer) bool {
	return !p.deaf && now.Sub(p.provenAt) < f.timeout()
}
