package membership

import (
	"slices"
	"strings"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// View is an immutable snapshot of the members.
type View struct {
	// Self is the incarnation of this process.
	Self Member
	// DataCentres are the configured data centres, sorted by name. The list
	// does not depend on which of them are reachable.
	DataCentres []string
	// Epoch increases whenever a member terminates or starts to leave.
	Epoch uint64
	// Departed are the incarnations of the local data centre that are leaving
	// or terminated and whose task starts must still be taken into account.
	Departed []ID
	// DepartedOwners are those of Departed that may have owned submissions.
	DepartedOwners []ID

	dataCentreHashes []uint64          // hashes of DataCentres, in the same order
	homeOverrides    map[string]string // caller to home data centre, for callers not assigned by hash
	ranks            map[string]ranking
	facts            map[ID]Fact
}

// ranking holds the members of a data centre that may own submissions and their
// hashes.
type ranking struct {
	members []Member
	hashes  []uint64
}

// HomeOf returns the home data centre of a caller.
func (v *View) HomeOf(caller string) string {
	if home, set := v.homeOverrides[caller]; set {
		return home
	}
	return v.DataCentres[rendezvous.Best(rendezvous.Hash(caller), v.dataCentreHashes)]
}

// Members returns the members of a data centre that may own submissions, sorted
// by VM name. The caller must not modify the slice.
func (v *View) Members(dataCentre string) []Member { return v.ranks[dataCentre].members }

// Fact returns what is known about an incarnation.
func (v *View) Fact(id ID) (Fact, bool) {
	f, known := v.facts[id]
	return f, known
}

// Admitted reports whether an incarnation has joined and not terminated.
func (v *View) Admitted(id ID) bool {
	f := v.facts[id]
	return f.Admitted && f.Termination == NotTerminated
}

// NotTerminated returns the incarnations of all data centres that are not
// proved to have terminated, sorted by VM name.
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

// Terminated reports whether an incarnation is proved to have terminated. It is
// false for an unknown incarnation.
func (v *View) Terminated(id ID) bool { return v.facts[id].Termination != NotTerminated }

// Ranked returns the two highest-ranked members of a data centre for the hash
// of a submission. ok is false if the data centre has no member. second is the
// zero Member if it has only one.
func (v *View) Ranked(dataCentre string, hash uint64) (first, second Member, ok bool) {
	r := v.ranks[dataCentre]
	best, next := r.topTwo(hash)
	if best < 0 {
		return Member{}, Member{}, false
	}
	if next >= 0 {
		second = r.members[next]
	}
	return r.members[best], second, true
}

// topTwo returns the indexes of the two highest-ranked members for a hash, or
// -1 for a missing one.
func (r ranking) topTwo(hash uint64) (best, next int) {
	best, next = -1, -1
	for i, candidate := range r.hashes {
		switch {
		case best < 0 || rendezvous.Before(hash, candidate, r.hashes[best]):
			best, next = i, best
		case next < 0 || rendezvous.Before(hash, candidate, r.hashes[next]):
			next = i
		}
	}
	return best, next
}

// newRanking returns the ranking of members. It sorts the slice by VM name.
func newRanking(members []Member) ranking {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	r := ranking{members: members}
	for _, m := range members {
		r.hashes = append(r.hashes, uint64(m.ID()))
	}
	return r
}
