package configuration

import (
	"maps"
	"slices"
	"strings"
)

// maxTombstones is the maximum number of removed entries that a state keeps.
const maxTombstones = 1000

// State is the configuration at one revision. It is immutable and safe for
// concurrent use.
type State struct {
	revision    int64
	fingerprint uint64
	bytes       int
	// tombstoneFloor is the revision after which all removals are kept as
	// tombstones. Differences can be computed only from this revision on.
	tombstoneFloor int64
	entries        map[string]Entry
	tombstones     map[string]Entry
}

// New returns the state with exactly these entries at a revision. Revision 0 is
// the initial state of a process, which is not shared with others.
func New(revision int64, entries []Entry) *State {
	s := &State{
		revision: revision, tombstoneFloor: revision,
		entries: make(map[string]Entry, len(entries)), tombstones: map[string]Entry{},
	}
	for _, e := range entries {
		if !e.Deleted {
			s.put(e)
		}
	}
	return s
}

// Revision returns the revision of the state.
func (s *State) Revision() int64 { return s.revision }

// Fingerprint returns a hash over the keys and values of all entries.
func (s *State) Fingerprint() uint64 { return s.fingerprint }

// Bytes returns the total length of all keys and values.
func (s *State) Bytes() int { return s.bytes }

// Len returns the number of entries.
func (s *State) Len() int { return len(s.entries) }

// Get returns the value of an entry.
func (s *State) Get(key string) (string, bool) {
	e, found := s.entries[key]
	return e.Value, found
}

// Entries returns the entries whose keys have a prefix, sorted by key.
func (s *State) Entries(prefix string) []Entry {
	var found []Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// With returns a copy at the given revision with the entries applied. Entries
// marked as deleted are removed.
func (s *State) With(revision int64, changed []Entry) *State {
	next := &State{
		revision: revision, fingerprint: s.fingerprint, bytes: s.bytes, tombstoneFloor: s.tombstoneFloor,
		entries: maps.Clone(s.entries), tombstones: maps.Clone(s.tombstones),
	}
	for _, e := range changed {
		next.remove(e.Key)
		if e.Deleted {
			next.tombstones[e.Key] = Entry{Key: e.Key, Revision: e.Revision, Deleted: true}
		} else {
			next.put(e)
		}
	}
	next.pruneTombstones()
	return next
}

// put and remove modify a state before it is published.
func (s *State) put(e Entry) {
	s.entries[e.Key] = e
	s.fingerprint += e.fingerprint()
	s.bytes += len(e.Key) + len(e.Value)
}

func (s *State) remove(key string) {
	delete(s.tombstones, key)
	if e, found := s.entries[key]; found {
		delete(s.entries, key)
		s.fingerprint -= e.fingerprint()
		s.bytes -= len(e.Key) + len(e.Value)
	}
}

// pruneTombstones drops the older half of the tombstones if there are more than
// maxTombstones.
func (s *State) pruneTombstones() {
	if len(s.tombstones) <= maxTombstones {
		return
	}
	revisions := make([]int64, 0, len(s.tombstones))
	for _, e := range s.tombstones {
		revisions = append(revisions, e.Revision)
	}
	slices.Sort(revisions)
	s.tombstoneFloor = max(s.tombstoneFloor, revisions[len(revisions)/2])
	maps.DeleteFunc(s.tombstones, func(_ string, e Entry) bool { return e.Revision <= s.tombstoneFloor })
}

// ChangedEntries returns the entries that turn from into to, sorted by key.
// Removed entries are marked as deleted at the revision of to. An entry that
// was changed and changed back is included, since its revision differs.
func ChangedEntries(from, to *State) []Entry {
	var changed []Entry
	for key, e := range to.entries {
		if old, found := from.entries[key]; !found || old != e {
			changed = append(changed, e)
		}
	}
	for key := range from.entries {
		if _, found := to.entries[key]; !found {
			changed = append(changed, Entry{Key: key, Revision: to.revision, Deleted: true})
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return changed
}
