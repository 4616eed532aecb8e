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
	// Before is the value that the operator saw, nil where there was none.
	Before *string
	// After is the new value; nil removes the entry.
	After *string
}

// Change is what an operator wants to change, all or nothing.
type Change struct {
	// ID identifies the change over all attempts to make it.
	ID string
	// Author and Note are shown in the history.
	Author, Note string
	At           time.Time
	// Base is the revision that the operator saw.
	Base  int64
	Edits []Edit
}

// Stored is what a read of the platform's service showed.
type Stored struct {
	State *State
	// Accepted maps the identities of earlier changes to their revisions. It
	// is nil where the history was not read.
	Accepted map[string]int64
}

// ConflictError is the error of a change that another change went ahead of.
type ConflictError struct {
	// Base is the revision that the operator saw, Current the one in force.
	Base, Current int64
	// Theirs leads from what the operator saw to what is in force.
	Theirs []Edit
}

// Error names both revisions and the entries.
func (c *ConflictError) Error() string {
	keys := make([]string, len(c.Theirs))
	for i, e := range c.Theirs {
		keys[i] = e.Key
	}
	return fmt.Sprintf("made for revision %d, but revision %d changed %s", c.Base, c.Current, strings.Join(keys, ", "))
}

// TooLargeError is the error of a change that goes over a limit.
type TooLargeError struct{ Reason string }

// Error implements error.
func (e *TooLargeError) Error() string { return e.Reason }

// Decision says what to do with a change.
type Decision struct {
	// AlreadyApplied tells that the change needs no write: it was made before, or
	// every entry has its new value. Revision is the one that holds it.
	AlreadyApplied bool
	Revision       int64
	// Next is the state to write, on the condition that the service still
	// holds what was read, and Puts are the entries that differ from that.
	Next *State
	Puts []Entry
	// Before holds the replaced values of the edited entries.
	Before []Edit
}

// ErrStale is returned where the read is older than what the operator saw, so
// that it must be repeated.
var ErrStale = fmt.Errorf("the platform's service answered from an old copy")

// Plan decides on a change, given the state that this process holds and what
// the service showed. The newer of both is the base of the change. Where the
// service shows the older one, the write brings it up to date; the condition
// on the write fails if the read was merely stale. Its error is a *Conflict,
// a *TooLargeError or ErrStale.
func Plan(held *State, stored Stored, c *Change) (Decision, error) {
	if revision, found := stored.Accepted[c.ID]; found {
		return Decision{AlreadyApplied: true, Revision: revision}, nil
	}
	base := stored.State
	if held.revision > base.revision || base.revision == 0 {
		base = held
	}
	if base.revision < c.Base {
		return Decision{}, ErrStale
	}
	theirs := conflicts(base, c.Edits)
	if len(theirs) > 0 {
		return Decision{}, &ConflictError{Base: c.Base, Current: base.revision, Theirs: theirs}
	}
	revision := base.revision + 1
	entries, before := apply(base, c.Edits, revision)
	if len(entries) == 0 {
		return Decision{AlreadyApplied: true, Revision: base.revision}, nil
	}
	next := base.With(revision, entries)
	if err := checkSize(next, entries); err != nil {
		return Decision{}, err
	}
	return Decision{Revision: revision, Next: next, Puts: ChangedEntries(stored.State, next), Before: before}, nil
}

// conflicts returns the edits whose entries are neither as the operator saw
// them nor as the operator wants them.
func conflicts(base *State, edits []Edit) []Edit {
	var theirs []Edit
	for _, e := range edits {
		current := base.value(e.Key)
		if !equal(current, e.Before) && !equal(current, e.After) {
			theirs = append(theirs, Edit{Key: e.Key, Before: e.Before, After: current})
		}
	}
	return theirs
}

func apply(base *State, edits []Edit, revision int64) (entries []Entry, before []Edit) {
	for _, e := range edits {
		current := base.value(e.Key)
		if equal(current, e.After) {
			continue
		}
		entry := Entry{Key: e.Key, Revision: revision, Deleted: e.After == nil}
		if e.After != nil {
			entry.Value = *e.After
		}
		entries = append(entries, entry)
		before = append(before, Edit{Key: e.Key, Before: current, After: e.After})
	}
	return entries, before
}

func checkSize(next *State, entries []Entry) error {
	for _, e := range entries {
		if len(e.Value) > MaxValueBytes {
			return &TooLargeError{fmt.Sprintf("entry %s has %d bytes; the limit is %d", e.Key, len(e.Value), MaxValueBytes)}
		}
	}
	if next.bytes > MaxStateBytes {
		return &TooLargeError{fmt.Sprintf("the configuration would have %d bytes; the limit is %d", next.bytes, MaxStateBytes)}
	}
	return nil
}

func (s *State) value(key string) *string {
	if v, found := s.Get(key); found {
		return &v
	}
	return nil
}

func equal(a, b *string) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Diff returns the edits that lead from one state to another, in order of
// key.
func Diff(from, to *State) []Edit {
	var edits []Edit
	for _, e := range ChangedEntries(from, to) {
		edit := Edit{Key: e.Key, Before: from.value(e.Key), After: to.value(e.Key)}
		if !equal(edit.Before, edit.After) {
			edits = append(edits, edit)
		}
	}
	return edits
}

// Undo returns the state before a list of changes, each given by its edits,
// newest first.
func Undo(s *State, revision int64, edits [][]Edit) *State {
	entries := map[string]Entry{}
	for _, change := range edits {
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
