package configuration

import (
	"slices"
	"strings"
)

// Difference is what one process sends another to bring it up to date.
type Difference struct {
	// After is the revision that the entries build on.
	After int64
	// Revision and Fingerprint are those of the state that results.
	Revision    int64
	Fingerprint uint64
	// Full tells that Entries are the whole state.
	Full    bool
	Entries []Entry
}

// Since returns what changed after a revision, or the whole state where that
// is not known, and for revision 0, which processes do not share.
func (s *State) Since(revision int64) Difference {
	d := Difference{After: revision, Revision: s.revision, Fingerprint: s.fingerprint}
	if revision >= s.revision {
		return d
	}
	if revision == 0 || revision < s.floor {
		return s.Full()
	}
	for _, e := range s.entries {
		if e.Revision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	for _, e := range s.tombstones {
		if e.Revision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return d
}

// Full returns the whole state.
func (s *State) Full() Difference {
	return Difference{Revision: s.revision, Fingerprint: s.fingerprint, Full: true, Entries: s.Entries("")}
}

// MergeResult says what Merge made of a difference.
type MergeResult uint8

// Results of Merge.
const (
	// Unchanged means that the state has this revision and fingerprint already.
	Unchanged MergeResult = iota
	// Older means that the difference leads to a lower revision and was
	// refused.
	Older
	// Applied means that the state moved forward.
	Applied
	// Diverged means that the other state has the same revision with another
	// content. The one with the greater fingerprint is kept by every process.
	Diverged
	// FullNeeded means that the difference does not build on this state; the
	// whole state must be asked for.
	FullNeeded
	// Corrupt means that the entries do not give the stated fingerprint.
	Corrupt
)

// Merge returns the state after taking a difference, or the receiver where it
// was not taken. The revision never falls.
func (s *State) Merge(d Difference) (*State, MergeResult) {
	switch {
	case d.Revision < s.revision:
		return s, Older
	case d.Revision == s.revision && (d.Revision == 0 || d.Fingerprint == s.fingerprint):
		return s, Unchanged
	case d.Revision == s.revision && d.Fingerprint < s.fingerprint:
		return s, Diverged
	case d.Full:
		next := New(d.Revision, d.Entries)
		if next.fingerprint != d.Fingerprint {
			return s, Corrupt
		}
		if d.Revision == s.revision {
			return next, Diverged
		}
		return next, Applied
	case d.Revision == s.revision || d.After > s.revision || s.revision == 0:
		return s, FullNeeded
	}
	next := s.With(d.Revision, d.Entries)
	if next.fingerprint != d.Fingerprint {
		return s, FullNeeded
	}
	return next, Applied
}
