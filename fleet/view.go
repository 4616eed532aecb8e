package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// before tells whether a member ranks ahead of another: those that stay before
// those that leave, then the one that can carry more, then the longer running.
func before(a, b Member) int {
	if a.Draining != b.Draining {
		if b.Draining {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.VM, b.VM))
}

// View is what a member decides from what it hears.
type View struct {
	// TopRanked ranks before the other members that are heard; it dispatches.
	TopRanked Member
	// Dispatcher is the member that is heard and says that it dispatches, in the
	// term Term; its VM is empty where there is none.
	Dispatcher Member
	Term       uint64
	// Reachable are the members that are heard, without this one.
	Reachable []Heartbeat
	// Unreachable are the members that are present and not heard.
	Unreachable []Member
	// Minority tells that most present members are not heard. It is known only
	// to the members that all others beat to.
	Minority bool
	// HigherRankPending tells that a present member that ranks before First was not tried
	// long enough to count as lost.
	HigherRankPending bool
	// AllReachable tells that the store's list is known and every member that it
	// names is heard.
	AllReachable bool
	// Candidate tells that this member is among those that all others beat to.
	Candidate bool
	// TopInDataCentre tells that no member of the own data centre that is heard ranks
	// before this one.
	TopInDataCentre bool
}

// View returns what can be told at a time. term is the own term of dispatching.
func (f *Fleet) View(now time.Time, term uint64) View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := View{TopRanked: f.self, TopInDataCentre: true}
	if term != 0 {
		v.Dispatcher, v.Term = f.self, term
	}
	for _, p := range f.peers {
		m := p.report.Member
		if !f.alive(now, p) {
			if p.listed || !f.listed {
				v.Unreachable = append(v.Unreachable, m)
			}
			continue
		}
		v.Reachable = append(v.Reachable, p.report)
		if m.DataCentre == f.self.DataCentre && before(m, f.self) < 0 {
			v.TopInDataCentre = false
		}
		if before(m, v.TopRanked) < 0 {
			v.TopRanked = m
		}
		if p.report.Term != 0 && (v.Term == 0 || before(m, v.Dispatcher) < 0) {
			v.Dispatcher, v.Term = m, p.report.Term
		}
	}
	ahead := 0
	for _, r := range v.Reachable {
		if before(r.Member, f.self) < 0 {
			ahead++
		}
	}
	v.Candidate = ahead < leaders
	group := len(v.Reachable) + 1
	v.Minority = group < len(v.Unreachable)
	v.AllReachable = f.listed && len(v.Unreachable) == 0 && len(v.Reachable) > 0
	for _, m := range v.Unreachable {
		if before(m, v.TopRanked) < 0 && !f.lost(now, f.peers[m.VM]) {
			v.HigherRankPending = true
		}
	}
	slices.SortFunc(v.Reachable, func(a, b Heartbeat) int { return before(a.Member, b.Member) })
	return v
}

// ShouldClaim tells whether the dispatcher of a view's group claims an upstream of a
// data centre.
func (v *View) ShouldClaim(self Member, upstream, dataCentre string) bool {
	if !v.Minority {
		return true
	}
	var nodes []uint64
	var ours []bool
	add := func(m Member, our bool) {
		if m.DataCentre == dataCentre {
			nodes, ours = append(nodes, rendezvous.Hash(m.VM)), append(ours, our)
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
	return best >= 0 && ours[best]
}
