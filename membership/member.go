// Package membership tracks the daemons of every data centre: which
// incarnations exist, which have joined, and which are proved to have
// terminated.
//
// A Fact about an incarnation only gains information, so facts can be exchanged
// in any order and merged. Silence alone is no proof: an incarnation counts as
// terminated only by one of the proofs listed at Proof. A Table collects facts
// and takes the current time as an argument. A View is an immutable snapshot
// that request handling reads without a lock. The package imports no network
// package and reads no clock.
package membership

import (
	"strconv"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// ID identifies an incarnation. It is also the hash of the incarnation in
// rendezvous hashing.
type ID uint64

// Member identifies one daemon process, also called an incarnation.
type Member struct {
	// VM is the name of the VM.
	VM string
	// Incarnation distinguishes processes on the same VM; a newer process has a
	// greater number.
	Incarnation uint64
	DataCentre  string
	// Address is the host:port on which the member accepts peer connections.
	Address string
}

// ID returns the identity of the incarnation.
func (m Member) ID() ID {
	return ID(rendezvous.HashPair(m.VM, strconv.FormatUint(m.Incarnation, 10)))
}

// Seed is an address at which a member may be found.
type Seed struct{ VM, DataCentre, Address string }

// Proof is the evidence that an incarnation has terminated. A terminated
// incarnation starts no further tasks.
type Proof uint8

// Proofs of termination.
const (
	// NotTerminated means that there is no proof of termination.
	NotTerminated Proof = iota
	// Left means that the incarnation announced its own termination.
	Left
	// Replaced means that a newer incarnation answers at its address.
	Replaced
	// Refused means that its address refused a connection from a VM of the same
	// data centre.
	Refused
	// Listed means that the platform lists its VM as gone and that no member of
	// its data centre has received a message from it for the fence time.
	Listed
)

// String returns the name of the proof in logs.
func (p Proof) String() string {
	return [...]string{"not_ended", "left", "replaced", "refused", "listed"}[p]
}

// Fact is what is known about one incarnation.
type Fact struct {
	Member Member
	// Admitted is true once the incarnation has completed its join.
	Admitted bool
	// Leaving is true once the incarnation takes no new submissions. It may
	// still run those that it has started.
	Leaving     bool
	Termination Proof
}

// merge adds the information of other and reports whether f changed.
func (f *Fact) merge(other Fact) bool {
	before := *f
	f.Admitted = f.Admitted || other.Admitted
	f.Leaving = f.Leaving || other.Leaving
	if f.Termination == NotTerminated {
		f.Termination = other.Termination
	}
	return *f != before
}

// mayOwn reports whether the incarnation may own new submissions.
func (f *Fact) mayOwn() bool { return f.Termination == NotTerminated && !f.Leaving }
