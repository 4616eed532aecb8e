// Package membership holds what a VM knows about the daemons of every data
// centre: which incarnations exist, which have joined, and which are proved to
// have ended.
//
// A fact about an incarnation only ever grows, so facts can be exchanged in
// any order and merged. Silence proves nothing: an incarnation is ended only by
// one of the proofs listed at Proof. A Table collects facts and takes the time
// as an argument; a View is an immutable snapshot that the path of a call reads
// without a lock. The package imports no network package and reads no clock.
package membership

import (
	"strconv"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// ID identifies an incarnation. It is also its place in rendezvous hashing.
type ID uint64

// Member is one daemon process, also called an incarnation.
type Member struct {
	// VM is the name of the VM.
	VM string
	// Incarnation distinguishes processes at the same VM; newer ones are
	// greater.
	Incarnation uint64
	DataCentre  string
	// Address is the host:port at which the member accepts peers.
	Address string
}

// ID returns the identity of the incarnation.
func (m Member) ID() ID {
	return ID(rendezvous.HashPair(m.VM, strconv.FormatUint(m.Incarnation, 10)))
}

// Seed is an address at which a member may be found.
type Seed struct{ VM, DataCentre, Address string }

// Proof tells how an incarnation is known to have ended. An ended incarnation
// starts no task any more.
type Proof uint8

// Proofs of an end.
const (
	// NotTerminated means that no proof is known.
	NotTerminated Proof = iota
	// Left means that the incarnation announced its own end.
	Left
	// Replaced means that a newer incarnation answers at its address.
	Replaced
	// Refused means that its address refused a connection from a VM of the
	// same data centre.
	Refused
	// Listed means that the platform lists its VM as gone while every member
	// of its data centre has not heard it for the fence time.
	Listed
)

// String returns the form used in logs.
func (p Proof) String() string {
	return [...]string{"not_ended", "left", "replaced", "refused", "listed"}[p]
}

// Fact is what is known about one incarnation.
type Fact struct {
	Member Member
	// Admitted tells that the incarnation has completed its join.
	Admitted bool
	// Leaving tells that the incarnation takes no new submissions, but may
	// still run those that it has started.
	Leaving     bool
	Termination Proof
}

// merge adds what other knows and reports whether anything was new.
func (f *Fact) merge(other Fact) bool {
	before := *f
	f.Admitted = f.Admitted || other.Admitted
	f.Leaving = f.Leaving || other.Leaving
	if f.Termination == NotTerminated {
		f.Termination = other.Termination
	}
	return *f != before
}

// ranked tells whether the incarnation may own new submissions.
func (f *Fact) ranked() bool { return f.Termination == NotTerminated && !f.Leaving }
