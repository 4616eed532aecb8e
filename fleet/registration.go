package fleet

import (
	"slices"
	"sync"
	"time"
)

// The entry of a member on the roster is its registration: as long as it stands, the other members
// expect it to dispatch unheard. A member that has gone for good never ends it. Another one
// therefore removes it from the store (Removals), but only after a time in which the member would
// have stopped dispatching by itself (Registration). Both decide from the record that the member
// has written, so that they agree without hearing each other.

const (
	// registrationTimeout is the time since the store has confirmed a registration after which
	// another member may be about to remove it.
	registrationTimeout = 6 * time.Second
	// unheardTimeout is the time since a member has heard all those of its record after which one
	// of them may be about to remove its registration.
	unheardTimeout = 4500 * time.Millisecond
	// storeContactTimeout is the time since the store has answered a member after which it cannot be
	// about to remove another one.
	storeContactTimeout = 3 * time.Second
	// dataCentreTimeout replaces registrationTimeout for most of the members of a data centre that
	// is cut off from the store: a data centre goes on serving through a partition of minutes.
	dataCentreTimeout = 15 * time.Minute
	// hearsAllAge is the age of a check of the view that found all members of the records to be heard.
	hearsAllAge = 500 * time.Millisecond
	// removalMargin covers a pause that is too short to be noticed, the drift of the clocks and a
	// check of the view.
	removalMargin = 600 * time.Millisecond
	// recordRetention is how long a store may take to execute a call that got no answer.
	recordRetention = time.Minute
	// rejoinDelay is the time after a new registration until the members that may have removed the
	// former one have learnt of it.
	rejoinDelay = time.Second
)

// removalDelay returns the time for which a member must have been neither heard nor listed until
// this one may remove its registration. It exceeds the time after which the member stops
// dispatching by the heartbeat timeout, since which the member may have heard nobody, and by the longest
// lease of its runs, on an upstream whose clock is 2 % slow.
func (f *Fleet) removalDelay(leaseMax time.Duration) time.Duration {
	return registrationTimeout + f.Timeout() + leaseMax*106/100 + removalMargin
}

// dataCentreRemovalDelay replaces removalDelay while the member may be heard by most of its data
// centre.
func (f *Fleet) dataCentreRemovalDelay(leaseMax time.Duration) time.Duration {
	return dataCentreTimeout + f.removalDelay(leaseMax) - registrationTimeout
}

// Record names the members that a member knows, as its entry on the roster says. Only they may
// remove the entry, and the member goes on without the store while it hears all of them.
type Record struct {
	// Scope names the other members of the scope, Neighbours those of them in the member's data
	// centre. Both are in ascending order.
	Scope, Neighbours []string
}

func (r Record) equal(other Record) bool {
	return slices.Equal(r.Scope, other.Scope) && slices.Equal(r.Neighbours, other.Neighbours)
}

// Record returns the record of this member.
func (f *Fleet) Record() Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var r Record
	for vm, p := range f.peers {
		m := p.heartbeat.Member
		if !f.inScope(m) || f.gone(p) || !p.heard && !p.listed && !p.rostered {
			continue
		}
		r.Scope = append(r.Scope, vm)
		if m.DataCentre == f.self.DataCentre {
			r.Neighbours = append(r.Neighbours, vm)
		}
	}
	slices.Sort(r.Scope)
	slices.Sort(r.Neighbours)
	return r
}

// Contact tells which members of its records a member hears.
type Contact struct {
	// All means that it hears all of them, and StoreAt when the store may last have answered one
	// of these.
	All     bool
	StoreAt time.Time
	// DataCentre means that it hears most of its data centre, at least one other member, and none
	// that hears the store or another member which does.
	DataCentre bool
}

// Contact returns the contact of this member to those of its records.
func (f *Fleet) Contact(now time.Time, records []Record) Contact {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Contact{All: true, DataCentre: true}
	for _, r := range records {
		c.All = c.All && f.countHeard(now, r.Scope) == len(r.Scope)
		neighbours := f.countHeard(now, r.Neighbours)
		c.DataCentre = c.DataCentre && neighbours > 0 && 2*(neighbours+1) > len(r.Neighbours)+1
		for _, vm := range r.Scope {
			if p := f.peers[vm]; p != nil && p.storeAt.After(c.StoreAt) {
				c.StoreAt = p.storeAt
			}
		}
	}
	for _, p := range f.peers {
		if f.inScope(p.heartbeat.Member) && f.proven(now, p) && (p.heartbeat.HearsStore || p.hearsStore(now)) {
			c.DataCentre = false
		}
	}
	return c
}

// HearsStore reports whether this member hears one that the store has answered recently.
func (f *Fleet) HearsStore(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if f.inScope(p.heartbeat.Member) && f.proven(now, p) && p.hearsStore(now) {
			return true
		}
	}
	return false
}

// hearsStore reports whether the store has answered the member recently. The caller holds the lock
// of its fleet.
func (p *peer) hearsStore(now time.Time) bool { return now.Sub(p.storeAt) < storeContactTimeout }

// countHeard returns how many of the members are heard. The caller holds mu.
func (f *Fleet) countHeard(now time.Time, vms []string) int {
	heard := 0
	for _, vm := range vms {
		if p := f.peers[vm]; p != nil && f.proven(now, p) {
			heard++
		}
	}
	return heard
}

// Registration is what a member knows of its own entry on the roster. It is safe for concurrent
// use.
type Registration struct {
	mu          sync.Mutex // guards the fields below
	confirmedAt time.Time  // when the last call was sent by which the store has confirmed it
	heardAt     time.Time  // when all members of the records were last heard
	standsAt    time.Time  // when it was last certain to stand
	ended       bool       // it may have been removed since
	rejoinedAt  time.Time  // when it was written after it may have been removed
	records     []sentRecord
	// unansweredAt is when a call that wrote a record last got no answer.
	unansweredAt time.Time
}

// sentRecord is a record that the store may have.
type sentRecord struct {
	record Record
	// replacedAt is when a later record was written; zero for the last one.
	replacedAt time.Time
}

// Send notes that a record is about to be written.
func (r *Registration) Send(now time.Time, record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = slices.DeleteFunc(r.records, func(s sentRecord) bool {
		return !s.replacedAt.IsZero() && now.Sub(s.replacedAt) > recordRetention
	})
	if last := len(r.records) - 1; last < 0 || !r.records[last].record.equal(record) {
		r.records = append(r.records, sentRecord{record: record})
	}
}

// Written notes that the record sent last was written by a call that was sent at a time.
func (r *Registration) Written(sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.records) - 1
	if !r.unansweredAt.IsZero() && sentAt.Sub(r.unansweredAt) < recordRetention {
		for i := range r.records[:last] {
			if r.records[i].replacedAt.IsZero() {
				r.records[i].replacedAt = sentAt
			}
		}
	} else {
		r.records = r.records[last:]
	}
	if r.ended {
		r.rejoinedAt = sentAt
	}
	r.confirm(sentAt)
}

// Unanswered notes that a call which wrote a record got no answer.
func (r *Registration) Unanswered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unansweredAt = now
}

// HearsAll reports whether all members of the records are heard, so that none can be about to remove the
// registration.
func (r *Registration) HearsAll(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.heardAt) < hearsAllAge
}

// Confirm notes that the store has confirmed the registration by a call that was sent at a time: it
// listed the member, or it has renewed the member's lease while all members of the records were heard. The
// renewal alone is no proof, because the platform may remove an entry and keep its lease.
func (r *Registration) Confirm(sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(sentAt)
}

// confirm is Confirm for a caller that holds mu.
func (r *Registration) confirm(sentAt time.Time) {
	if sentAt.After(r.confirmedAt) {
		r.confirmedAt, r.ended = sentAt, false
	}
}

// NoteSuspended notes that the machine was suspended, so that the clock stood still.
func (r *Registration) NoteSuspended(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt, r.heardAt = r.confirmedAt.Add(-d), r.heardAt.Add(-d)
}

// Records returns the records that the store may have.
func (r *Registration) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := make([]Record, 0, len(r.records))
	for _, s := range r.records {
		records = append(records, s.record)
	}
	return records
}

// Current reports whether the record sent last is the given one.
func (r *Registration) Current(record Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records) > 0 && r.records[len(r.records)-1].record.equal(record)
}

// MayHaveEnded reports whether another member may have removed the registration, so that this one
// must not dispatch. Once it may have, it does until the store confirms it again, or until all
// members of the records are heard and the store has answered none of them since.
func (r *Registration) MayHaveEnded(now time.Time, c Contact) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.All {
		r.heardAt = now
	}
	age := now.Sub(r.confirmedAt)
	switch {
	case !r.ended && age <= registrationTimeout:
	case c.All && (!r.ended || c.StoreAt.Before(r.standsAt)):
		r.ended = false
	case r.ended:
	case now.Sub(r.heardAt) <= unheardTimeout:
	case c.DataCentre && age <= dataCentreTimeout:
	default:
		r.ended = true
	}
	if !r.ended {
		r.standsAt = now
	}
	return r.ended || now.Sub(r.rejoinedAt) < rejoinDelay
}
