package membership

import (
	"slices"
	"strings"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// View is a snapshot of the members. It is immutable.
type View struct {
	// Self is the incarnation of this process.
	Self Member
	// DataCentres are the configured data centres in order of name. The list
	// does not depend on which of them can be reached.
	DataCentres []string
	// Epoch grows whenever a member ends or leaves.
	Epoch uint64
	// Departed are the incarnations of the own data centre that have ended or
	// are leaving and whose starts are within the retention.
	Departed []ID
	// DepartedOwners are those of Departed that may have owned submissions.
	DepartedOwners []ID

	homes []uint64 // hashes of DataCentres
	moved map[string]string
	ranks map[string]ranking
	facts map[ID]Fact
}

// ranking holds the members of a data centre that may own submissions.
type ranking struct {
	members []Member
	nodes   []uint64
}

// HomeOf returns the home data centre of a caller.
func (v *View) HomeOf(caller string) string {
	if home, set := v.moved[caller]; set {
		return home
	}
	return v.DataCentres[rendezvous.Best(rendezvous.Hash(caller), v.homes)]
}

// Members returns the ranked members of a data centre in order of VM name. The
// slice must not be changed.
func (v *View) Members(dataCentre string) []Member { return v.ranks[dataCentre].members }

// Fact returns what is known about an incarnation.
func (v *View) Fact(id ID) (Fact, bool) {
	f, known := v.facts[id]
	return f, known
}

// Admitted tells whether an incarnation has joined and has not ended.
func (v *View) Admitted(id ID) bool {
	f := v.facts[id]
	return f.Admitted && f.Termination == NotTerminated
}

// NotTerminated returns every known incarnation, of any data centre, that has not
// ended, in order of VM name.
func (v *View) NotTerminated() []Member {
	var members []Member
	for _, f := range v.facts {
		if f.Termination == NotTerminated {
			members = append(members, f.Member)
		}
	}
	sortMembers(members)
	return members
}

// Terminated tells whether an incarnation is proved to have ended. One that is not
// known is not.
func (v *View) Terminated(id ID) bool { return v.facts[id].Termination != NotTerminated }

// Ranked returns the first and the second in rank for a submission's hash in a
// data centre. ok is false where the data centre has no member; second is the
// zero Member where it has only one.
func (v *View) Ranked(dataCentre string, hash uint64) (first, second Member, ok bool) {
	r := v.ranks[dataCentre]
	best, next := r.best(hash)
	if best < 0 {
		return Member{}, Member{}, false
	}
	if next >= 0 {
		second = r.members[next]
	}
	return r.members[best], second, true
}

// best returns the indexes of the first and second in rank, or -1.
func (r ranking) best(hash uint64) (best, next int) {
	best, next = -1, -1
	for i, node := range r.nodes {
		switch {
		case best < 0 || rendezvous.Before(hash, node, r.nodes[best]):
			best, next = i, best
		case next < 0 || rendezvous.Before(hash, node, r.nodes[next]):
			next = i
		}
	}
	return best, next
}

func newRanking(members []Member) ranking {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	r := ranking{members: members}
	for _, m := range members {
		r.nodes = append(r.nodes, uint64(m.ID()))
	}
	return r
}
