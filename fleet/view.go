package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// compareRank orders members by rank, highest first: barred members after all others, draining
// ones after the rest, then by descending weight, then oldest process first.
func compareRank(a, b Member) int {
	if a.Barred != b.Barred {
		return compareFlags(a.Barred, b.Barred)
	}
	if a.Draining != b.Draining {
		return compareFlags(a.Draining, b.Draining)
	}
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.VM, b.VM))
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// View is a member's view of its scope at one time.
type View struct {
	// Scope is the set of members to which all other fields refer.
	Scope Scope
	// TopRanked is the highest-ranked of the reachable members and this one. It
	// is the member that dispatches.
	TopRanked Member
	// Dispatcher is the highest-ranked reachable member that reports that it
	// dispatches, and Term its term. Its VM is empty if there is none.
	Dispatcher Member
	Term       uint64
	// UpstreamsUnread reports that Dispatcher does not read the upstreams' changes from the store.
	UpstreamsUnread bool
	// Reachable holds the last heartbeat of each reachable member, highest rank
	// first. This member is not included.
	Reachable []Heartbeat
	// Remote holds the last heartbeat of each reachable member of another scope, highest rank first.
	Remote []Heartbeat
	// Unreachable are the members that are present but not reachable.
	Unreachable []Member
	// Silence tells whether a member that may dispatch has not been heard.
	Silence Silence
	// Lost are the members that may dispatch and are not heard, by VM.
	Lost []LostMember
	// Minority reports that fewer than half of the present members form this
	// group. Only candidates know it, since only they receive heartbeats from
	// all members.
	Minority bool
	// HigherRankPending reports that an unreachable member ranks above
	// TopRanked and has not yet been tried long enough to count as
	// unresponsive.
	HigherRankPending bool
	// AllReachable reports that the list in the store has been read and that
	// every other member present is reachable, of which there is at least one.
	AllReachable bool
	// Candidate reports that every member sends heartbeats to this one, because
	// of its rank.
	Candidate bool
	// TopInDataCentre reports that no reachable member of the own data centre
	// ranks above this one.
	TopInDataCentre bool
}

// View returns the view at a time. term is the term in which this member
// dispatches, or 0.
func (f *Fleet) View(now time.Time, term uint64) View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := View{Scope: f.scope, TopRanked: f.self, TopInDataCentre: true}
	if term != 0 {
		v.Dispatcher, v.Term = f.self, term
	}
	for _, p := range f.peers {
		m := p.heartbeat.Member
		if !f.inScope(m) {
			v.addRemote(f, now, p)
			continue
		}
		silence := f.silence(now, p)
		v.Silence = max(v.Silence, silence)
		v.addLost(f, now, p, silence, term)
		if !f.reachable(now, p) {
			if p.listed || !f.listRead {
				v.Unreachable = append(v.Unreachable, m)
			}
			continue
		}
		v.Reachable = append(v.Reachable, p.heartbeat)
		if m.DataCentre == f.self.DataCentre && compareRank(m, f.self) < 0 {
			v.TopInDataCentre = false
		}
		if compareRank(m, v.TopRanked) < 0 {
			v.TopRanked = m
		}
		if p.heartbeat.Term != 0 && (v.Term == 0 || compareRank(m, v.Dispatcher) < 0) {
			v.Dispatcher, v.Term, v.UpstreamsUnread = m, p.heartbeat.Term, p.heartbeat.UpstreamsUnread
		}
	}
	ahead := 0
	for _, r := range v.Reachable {
		if compareRank(r.Member, f.self) < 0 {
			ahead++
		}
	}
	v.Candidate = ahead < candidateCount
	group := len(v.Reachable) + 1
	v.Minority = group < len(v.Unreachable)
	v.AllReachable = f.listRead && len(v.Unreachable) == 0 && len(v.Reachable) > 0
	for _, m := range v.Unreachable {
		if compareRank(m, v.TopRanked) < 0 && !f.unresponsive(now, f.peers[m.VM]) {
			v.HigherRankPending = true
		}
	}
	slices.SortFunc(v.Remote, func(a, b Heartbeat) int { return compareRank(a.Member, b.Member) })
	slices.SortFunc(v.Reachable, func(a, b Heartbeat) int { return compareRank(a.Member, b.Member) })
	v.finishLost(f)
	return v
}

// InScope reports whether the upstreams of a data centre belong to the scope of a
// member.
func (v *View) InScope(self Member, dataCentre string) bool {
	return v.Scope == ScopeFleet || dataCentre == self.DataCentre
}

// ShouldClaim reports whether the dispatcher of this group claims an upstream
// in a data centre of its scope. A minority claims the upstreams for which one of its
// members ranks first by rendezvous hashing, among all present members of that
// data centre.
func (v *View) ShouldClaim(self Member, upstream, dataCentre string) bool {
	if !v.InScope(self, dataCentre) {
		return false
	}
	if !v.Minority {
		return true
	}
	var nodes []uint64
	var inGroups []bool
	add := func(m Member, inGroup bool) {
		if m.DataCentre == dataCentre {
			nodes, inGroups = append(nodes, rendezvous.Hash(m.VM)), append(inGroups, inGroup)
		}
	}
	add(self, true)
	for _, r := range v.Reachable {
		add(r.Member, true)
	}
	for _, m := range v.Unreachable {
		add(m, false)
	}
	best := rendezvous.Best(rendezvous.Hash(upstream), nodes)
	return best >= 0 && inGroups[best]
}
