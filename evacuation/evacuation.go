// Package evacuation keeps the set of data centres on whose upstreams operators want no task to
// start. It imports no network package and reads no clock.
//
// A set belongs to a revision of the store: it has every change up to that revision and none of a
// later one. Of two sets, the one of the higher revision is therefore right, whoever sends it.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// State is the set at a revision of the store. It is immutable.
type State struct {
	// Revision is the revision of the store to which the set belongs; 0 if the set is unknown.
	Revision int64
	// DataCentres are the evacuated data centres, in ascending order.
	DataCentres []string
}

// Contains reports whether a data centre is evacuated.
func (s State) Contains(dataCentre string) bool { return slices.Contains(s.DataCentres, dataCentre) }

// Event is a change of the set.
type Event struct {
	DataCentre string
	// Revision is that of the store with the change.
	Revision int64
	// Ended means that the data centre returns to service.
	Ended bool
}

// Change tells how the set has changed.
type Change struct {
	Revision     int64
	Begun, Ended []string
}

// Any reports whether anything has changed.
func (c *Change) Any() bool { return len(c.Begun)+len(c.Ended) > 0 }

// freshness is the age up to which the previous set counts as that of the store, for BegunAt. It
// covers a watch that times out, and one hop of heartbeats.
const freshness = 2500 * time.Millisecond

// Table holds the newest known state. It is safe for concurrent use. One lock suffices, because
// only watches and newer revisions in heartbeats take it; readers take an immutable state.
type Table struct {
	state atomic.Pointer[State]

	mu          sync.Mutex // guards the fields below
	confirmedAt time.Time  // when the state was last known to be that of the store
	begunAt     map[string]time.Time
}

// State returns the newest known state.
func (t *Table) State() State {
	if s := t.state.Load(); s != nil {
		return *s
	}
	return State{}
}

// Replace takes a state from the store or from a peer if its revision is higher.
func (t *Table) Replace(now time.Time, s State) Change {
	if s.Revision <= t.State().Revision {
		return Change{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Revision <= t.State().Revision {
		return Change{}
	}
	names := slices.Clone(s.DataCentres)
	slices.Sort(names)
	return t.set(now, State{s.Revision, slices.Compact(names)})
}

// Apply applies the changes from a watch of the store, which has reported every change up to a
// revision. Changes that the state already has are skipped.
func (t *Table) Apply(now time.Time, events []Event, upTo int64) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.State()
	if old.Revision == 0 || upTo <= old.Revision {
		return Change{}
	}
	names := map[string]bool{}
	for _, name := range old.DataCentres {
		names[name] = true
	}
	for _, e := range events {
		switch {
		case e.Revision <= old.Revision:
		case e.Ended:
			delete(names, e.DataCentre)
		default:
			names[e.DataCentre] = true
		}
	}
	return t.set(now, State{upTo, slices.Sorted(maps.Keys(names))})
}

// set replaces the state. The caller holds mu.
func (t *Table) set(now time.Time, s State) Change {
	old := t.State()
	change := Change{Revision: s.Revision}
	observed := old.Revision != 0 && now.Sub(t.confirmedAt) <= freshness
	if t.begunAt == nil {
		t.begunAt = map[string]time.Time{}
	}
	for _, name := range s.DataCentres {
		if !old.Contains(name) {
			change.Begun = append(change.Begun, name)
			if observed {
				t.begunAt[name] = now
			}
		}
	}
	for _, name := range old.DataCentres {
		if !s.Contains(name) {
			change.Ended = append(change.Ended, name)
			delete(t.begunAt, name)
		}
	}
	t.confirmedAt = now
	t.state.Store(&s)
	return change
}

// BegunAt returns the time at which the evacuation of a data centre became known here, if the set
// without it was known to be that of the store shortly before. It is zero otherwise, since the
// evacuation may then have begun any time before.
func (t *Table) BegunAt(dataCentre string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.begunAt[dataCentre]
}
