package configuration

import (
	"sync"
	"sync/atomic"
)

// Table holds the configuration in force in this process. It is safe for
// concurrent use; Current takes no lock.
type Table struct {
	current atomic.Pointer[State]

	mu sync.Mutex // guards every store to current
}

// NewTable returns a table that contains the initial state.
func NewTable(initial *State) *Table {
	t := &Table{}
	t.current.Store(initial)
	return t
}

// Current returns the state in force.
func (t *Table) Current() *State { return t.current.Load() }

// Merge applies a difference from a peer and returns the result.
func (t *Table) Merge(d Difference) MergeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	next, merged := t.Current().Merge(d)
	t.current.Store(next)
	return merged
}

// MergeState merges a state that was read from or written to the platform's
// store, by the rules of State.Merge. It keeps the known tombstones.
func (t *Table) MergeState(s *State) MergeResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.Current()
	d := s.Full()
	if current.revision == 0 {
		next, merged := current.Merge(d)
		t.current.Store(next)
		return merged
	}
	d = Difference{
		After: current.revision, Revision: s.revision, Fingerprint: s.fingerprint, Entries: ChangedEntries(current, s),
	}
	next, merged := current.Merge(d)
	if merged == FullNeeded {
		next, merged = current.Merge(s.Full())
	}
	t.current.Store(next)
	return merged
}
