package configuration

import (
	"slices"
	"strings"
)

// Difference holds what one process sends another to bring it up to date.
type Difference struct {
	// After is the revision to which Entries apply.
	After int64
	// Revision and Fingerprint are those of the resulting state.
	Revision    int64
	Fingerprint uint64
	// Full is true if Entries are the whole state.
	Full    bool
	Entries []Entry
}

// Since returns the changes after a revision.
//
// It returns the whole state if the removals since that revision are no longer
// known. It also does so for revision 0, because each process has its own
// initial state.
func (s *State) Since(revision int64) Difference {
	d := Difference{After: revision, Revision: s.revision, Fingerprint: s.fingerprint}
	if revision >= s.revision {
		return d
	}
	if revision == 0 || revision < s.tombstoneFloor {
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

// MergeResult is the result of merging a Difference.
type MergeResult uint8

// Results of a merge.
const (
	// Unchanged means that the state already has this revision and fingerprint.
	Unchanged MergeResult = iota
	// Older means that the difference has a lower revision and was rejected.
	Older
	// Applied means that the state has advanced to the new revision.
	Applied
	// Diverged means that both states have the same revision but different
	// content. Every process keeps the one with the greater fingerprint.
	Diverged
	// FullNeeded means that the difference does not apply to this state and the
	// whole state must be requested.
	FullNeeded
	// Corrupt means that the entries do not match the fingerprint.
	Corrupt
)

// Merge returns the state after applying a difference, or the receiver if the
// difference was not applied. The revision never decreases.
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
