package configuration

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Edit replaces the value of one entry.
type Edit struct {
	Key string
	// Before is the value that the operator saw; nil if the entry did not
	// exist.
	Before *string
	// After is the new value; nil removes the entry.
	After *string
}

// Change is a set of edits that an operator requests. It is applied as a whole
// or not at all.
type Change struct {
	// ID identifies the change across all attempts to apply it.
	ID string
	// Author and Note are shown in the history.
	Author, Note string
	At           time.Time
	// Base is the revision that the operator saw.
	Base  int64
	Edits []Edit
}

// Stored is the content of the platform's store.
type Stored struct {
	State *State
	// Accepted maps the IDs of earlier changes to their revisions. It is nil if
	// the history was not read.
	Accepted map[string]int64
}

// ConflictError reports that an edited entry has changed since the operator
// read it.
type ConflictError struct {
	// Base is the revision that the operator saw, Current the one in force.
	Base, Current int64
	// Theirs are the edits that lead from what the operator saw to what is in
	// force.
	Theirs []Edit
}

// Error returns a message with both revisions and the changed keys.
func (c *ConflictError) Error() string {
	keys := make([]string, len(c.Theirs))
	for i, e := range c.Theirs {
		keys[i] = e.Key
	}
	return fmt.Sprintf("based on revision %d, but entries have changed by revision %d: %s", c.Base, c.Current, strings.Join(keys, ", "))
}

// TooLargeError reports a change that exceeds a size limit.
type TooLargeError struct{ Reason string }

// Error implements error.
func (e *TooLargeError) Error() string { return e.Reason }

// Decision is the next step for a change.
type Decision struct {
	// AlreadyApplied is true if the change needs no write: it was accepted
	// before, or every entry has its new value.
	AlreadyApplied bool
	// Revision is the revision that the change creates or, if AlreadyApplied is
	// true, one that contains it.
	Revision int64
	// Next is the state to write, on the condition that the store is unchanged
	// since the read. Puts are the entries that change in the store, including
	// removed ones.
	Next *State
	Puts []Entry
	// AppliedEdits are the edits that take effect, with the replaced values.
	AppliedEdits []Edit
}

// ErrStale means that the read was older than what is already known and must be
// repeated.
var ErrStale = fmt.Errorf("stale read from the platform's store")

// Plan decides how to apply a change, given the state of this process and the
// content of the store. The change builds on the newer of the two. If the store
// holds the older one, the write also brings the store up to date; if the read
// was merely stale, the condition of the write fails.
//
// The error is a *ConflictError, a *TooLargeError or ErrStale.
func Plan(local *State, stored Stored, c *Change) (Decision, error) {
	if revision, found := stored.Accepted[c.ID]; found {
		return Decision{AlreadyApplied: true, Revision: revision}, nil
	}
	newer := stored.State
	if local.revision > newer.revision || newer.revision == 0 {
		newer = local
	}
	if newer.revision < c.Base {
		return Decision{}, ErrStale
	}
	theirs := conflictingEdits(newer, c.Edits)
	if len(theirs) > 0 {
		return Decision{}, &ConflictError{Base: c.Base, Current: newer.revision, Theirs: theirs}
	}
	revision := newer.revision + 1
	entries, applied := applyEdits(newer, c.Edits, revision)
	if len(entries) == 0 {
		return Decision{AlreadyApplied: true, Revision: newer.revision}, nil
	}
	next := newer.With(revision, entries)
	if err := checkSize(next, entries); err != nil {
		return Decision{}, err
	}
	return Decision{Revision: revision, Next: next, Puts: ChangedEntries(stored.State, next), AppliedEdits: applied}, nil
}

// conflictingEdits returns an edit for every entry that has neither the value
// that the operator saw nor the value that the operator wants.
func conflictingEdits(s *State, edits []Edit) []Edit {
	var theirs []Edit
	for _, e := range edits {
		current := s.value(e.Key)
		if !equalValues(current, e.Before) && !equalValues(current, e.After) {
			theirs = append(theirs, Edit{Key: e.Key, Before: e.Before, After: current})
		}
	}
	return theirs
}

// applyEdits returns the entries that the edits change, at the new revision,
// and the edits with the replaced values. Edits without effect are skipped.
func applyEdits(s *State, edits []Edit, revision int64) (entries []Entry, applied []Edit) {
	for _, e := range edits {
		current := s.value(e.Key)
		if equalValues(current, e.After) {
			continue
		}
		entry := Entry{Key: e.Key, Revision: revision, Deleted: e.After == nil}
		if e.After != nil {
			entry.Value = *e.After
		}
		entries = append(entries, entry)
		applied = append(applied, Edit{Key: e.Key, Before: current, After: e.After})
	}
	return entries, applied
}

func checkSize(next *State, entries []Entry) error {
	for _, e := range entries {
		if len(e.Value) > MaxValueBytes {
			return &TooLargeError{fmt.Sprintf("entry %s has a value of %d bytes, limit is %d bytes", e.Key, len(e.Value), MaxValueBytes)}
		}
	}
	if next.bytes > MaxStateBytes {
		return &TooLargeError{fmt.Sprintf("configuration would have %d bytes, limit is %d bytes", next.bytes, MaxStateBytes)}
	}
	return nil
}

func (s *State) value(key string) *string {
	if v, found := s.Get(key); found {
		return &v
	}
	return nil
}

func equalValues(a, b *string) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Diff returns the edits that lead from one state to another, sorted by key.
func Diff(from, to *State) []Edit {
	var edits []Edit
	for _, e := range ChangedEntries(from, to) {
		edit := Edit{Key: e.Key, Before: from.value(e.Key), After: to.value(e.Key)}
		if !equalValues(edit.Before, edit.After) {
			edits = append(edits, edit)
		}
	}
	return edits
}

// Undo returns the state before a list of changes, at the given revision. Each
// change is given by its edits; the newest comes first.
func Undo(s *State, revision int64, changes [][]Edit) *State {
	entries := map[string]Entry{}
	for _, change := range changes {
		for _, e := range slices.Backward(change) {
			entry := Entry{Key: e.Key, Deleted: e.Before == nil}
			if e.Before != nil {
				entry.Value = *e.Before
			}
			entries[e.Key] = entry
		}
	}
	var changed []Entry
	for _, e := range entries {
		changed = append(changed, e)
	}
	return s.With(revision, changed)
}
