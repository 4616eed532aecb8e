// Package membership holds what a VM knows about the daemons of every data
// centre and decides which of them owns a submission.
//
// It imports no network package and reads no clock. A Table collects facts; a
// View is an immutable snapshot that the path of a call reads without a lock.
package membership

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// Member is one daemon process.
type Member struct {
	// VM is the name of the VM.
	VM string
	// Incarnation distinguishes processes at the same VM; newer ones are
	// greater. Zero stands for a member that has not been heard yet.
	Incarnation uint64
	DataCentre  string
	// Address is the host:port at which the member accepts peers.
	Address string
}

// View is a snapshot of the members. It is immutable.
type View struct {
	// Self is the member of this process.
	Self Member
	// DataCentres are the known data centres in order of name.
	DataCentres []string

	homes   []uint64 // hashes of DataCentres
	members map[string][]Member
	ranks   map[string][]uint64 // hashes of members, per data centre
}

// HomeOf returns the home data centre of a caller.
func (v *View) HomeOf(caller string) string {
	return v.DataCentres[rendezvous.Best(rendezvous.Hash(caller), v.homes)]
}

// Members returns the members of a data centre in order of VM name. The slice
// must not be changed.
func (v *View) Members(dataCentre string) []Member { return v.members[dataCentre] }

// Ranked returns the first and the second in rank for a submission's hash in a
// data centre. ok is false where the data centre has no member; second is the
// zero Member where it has only one.
func (v *View) Ranked(dataCentre string, hash uint64) (first, second Member, ok bool) {
	members, nodes := v.members[dataCentre], v.ranks[dataCentre]
	best := rendezvous.Best(hash, nodes)
	if best < 0 {
		return Member{}, Member{}, false
	}
	next := -1
	for i, node := range nodes {
		if i != best && (next < 0 || rendezvous.Before(hash, node, nodes[next])) {
			next = i
		}
	}
	if next >= 0 {
		second = members[next]
	}
	return members[best], second, true
}

// Table collects the members. It is safe for concurrent use.
type Table struct {
	view atomic.Pointer[View]

	mu      sync.Mutex // guards members and every store of view
	self    Member
	members map[string]Member // by VM
}

// NewTable returns a table that knows this process and the seeds.
func NewTable(self Member, seeds []Member) *Table {
	t := &Table{self: self, members: map[string]Member{self.VM: self}}
	for _, seed := range seeds {
		if seed.VM != self.VM {
			t.members[seed.VM] = seed
		}
	}
	t.publish()
	return t
}

// View returns the current snapshot.
func (t *Table) View() *View { return t.view.Load() }

// Heard records that a member presented itself.
func (t *Table) Heard(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.members[m.VM]
	if m.VM == t.self.VM || (found && known.Incarnation >= m.Incarnation) {
		return
	}
	t.members[m.VM] = m
	t.publish()
}

// publish stores a fresh snapshot. The caller holds mu, but for NewTable.
func (t *Table) publish() {
	v := &View{Self: t.self, members: map[string][]Member{}, ranks: map[string][]uint64{}}
	for _, m := range t.members {
		v.members[m.DataCentre] = append(v.members[m.DataCentre], m)
	}
	for dataCentre, members := range v.members {
		slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
		v.DataCentres = append(v.DataCentres, dataCentre)
		for _, m := range members {
			v.ranks[dataCentre] = append(v.ranks[dataCentre], rendezvous.Hash(m.VM))
		}
	}
	slices.Sort(v.DataCentres)
	for _, dataCentre := range v.DataCentres {
		v.homes = append(v.homes, rendezvous.Hash(dataCentre))
	}
	t.view.Store(v)
}
