package fleet

import (
	"slices"
	"time"
)

// RosterEntry is the entry of a member on the roster.
type RosterEntry struct {
	Member Member
	// Revision is that of the entry in the store.
	Revision int64
	// Removable means that the member stops dispatching by itself before its entry may be removed.
	Removable bool
	Record    Record
	// Listed means that the store lists the member as well, so that it has renewed its lease.
	Listed bool
}

// Removals finds the members whose registrations may be removed. It is not safe for concurrent
// use.
type Removals struct {
	// absences holds the lost members that the store does not list, by VM.
	absences   map[string]absence
	observedAt time.Time
}

const (
	// removalInterval is the longest interval between two readings while a member may soon be removed.
	removalInterval = time.Second
	// lapseInterval is the interval while the lease of a lost member has not ended.
	lapseInterval = removalInterval / 2
	// maxObservationGap is the longest interval between two readings after which the earlier ones
	// still count. It is below storeContactTimeout, so that members which hear this one have told
	// others that it has contact to the store.
	maxObservationGap = 2500 * time.Millisecond
)

// absence is the time for which a member could have stopped dispatching by itself.
type absence struct {
	revision int64     // of the entry; a later one means that the member has registered again
	since    time.Time // when it was first found to be neither heard nor listed
	// halfSince is since when, in addition, half of its data centre is heard here, so that it cannot
	// hear most of it.
	halfSince time.Time
}

// Observe takes a reading of the roster: the entries were read before the list of members. It
// returns the entries that may be removed now, on the condition that they have not changed and
// that the member is still not listed, and the time until the next reading; 0 if none is needed soon.
func (r *Removals) Observe(now time.Time, f *Fleet, v *View, entries []RosterEntry, leaseMax time.Duration) (due []RosterEntry, next time.Duration) {
	next = removalInterval
	pending := false
	seen := map[string]absence{}
	for _, e := range entries {
		i := slices.IndexFunc(v.Lost, func(m LostMember) bool { return m.VM == e.Member.VM })
		if i < 0 || !e.Removable || !slices.Contains(e.Record.Scope, f.Self().VM) {
			continue
		}
		if e.Listed {
			pending, next = true, min(next, lapseInterval)
			continue
		}
		a := r.absences[e.Member.VM]
		if a.revision != e.Revision {
			a = absence{revision: e.Revision, since: now}
		}
		switch {
		case !f.hearsHalf(now, e.Record.Neighbours):
			a.halfSince = time.Time{}
		case a.halfSince.IsZero() || now.Sub(r.observedAt) > maxObservationGap:
			a.halfSince = now
		}
		seen[e.Member.VM] = a
		unheard := later(a.since, v.Lost[i].HeardAt)
		left := unheard.Add(f.dataCentreRemovalDelay(leaseMax)).Sub(now)
		if !a.halfSince.IsZero() {
			left = min(left, later(unheard, a.halfSince).Add(f.removalDelay(leaseMax)).Sub(now))
			pending = true
		}
		if left <= 0 {
			due = append(due, e)
		} else {
			next = min(next, left)
		}
	}
	r.absences, r.observedAt = seen, now
	if !pending {
		next = 0
	}
	return due, next
}

// hearsHalf reports whether a member with these neighbours cannot hear most of its data centre, since
// this one hears half of it, or since there is no other member.
func (f *Fleet) hearsHalf(now time.Time, neighbours []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	heard := f.countHeard(now, neighbours)
	if slices.Contains(neighbours, f.self.VM) {
		heard++
	}
	return len(neighbours) == 0 || 2*heard >= len(neighbours)+1
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
