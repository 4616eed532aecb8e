// Package submission stores the submissions that a VM knows: its own, with their
// answers, and start records of those that other VMs may have started. It decides
// whether a call starts its submission, waits for it or is rejected.
//
// The package imports no network package and reads no clock; callers pass the
// time. Entries are sharded by the hash of the submission. Each shard has its own
// lock and an equal share of the byte budget.
package submission

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/verdict"
)

// Action is the decision of Begin about a call.
type Action uint8

// Actions of Begin.
const (
	// Start means that the entry is new. The caller of Begin must complete it
	// with Finish or Abandon.
	Start Action = iota
	// Wait means that another call has begun the submission here. Entry.Done
	// signals its completion.
	Wait
	// StartedElsewhere means that another incarnation may have started it.
	StartedElsewhere
	// Conflict means that the key was used with a different request.
	Conflict
	// Full means that the byte budget is exhausted.
	Full
)

// Record is a start record. It states that an incarnation may have started a
// submission.
type Record struct {
	ID ID
	// Digest is the hash of the request.
	Digest uint64
	// Starter is the incarnation that may have started the submission.
	Starter membership.ID
	// Contested is true if records name several starters. Then a denial by one
	// of them does not prove that the submission never started.
	Contested bool
	// Expires is the time at which the retention period ends.
	Expires time.Time
	// Outcome is nil until the outcome is known.
	Outcome *Outcome
}

// Size returns an estimate of the record's encoded size, in bytes.
func (r *Record) Size() int {
	n := 64 + len(r.ID.Caller) + len(r.ID.Key)
	if r.Outcome != nil {
		n += r.Outcome.size()
	}
	return n
}

// Entry is a submission in a Table. ID and Digest are immutable. Starter and
// Expires are immutable if this process is the starter, and guarded by the shard's
// lock otherwise.
type Entry struct {
	Record

	hash     uint64           // immutable
	work     any              // guarded by the shard's lock
	replicas [2]membership.ID // incarnations that hold a copy; guarded by the shard's lock
	bytes    int              // guarded by the shard's lock
	done     chan struct{}
	outcome  atomic.Pointer[Outcome]
	finished bool // guarded by the shard's lock
}

// abandoned is the outcome of an entry whose call must be routed again.
var abandoned = &Outcome{Failure: verdict.Errorf(verdict.NotRun, verdict.CodeNotReady, "the owner of the submission changed")}

// Abandoned reports whether the submission was abandoned before its start, so that
// waiting calls must be routed again. It is valid once Done is closed.
func (e *Entry) Abandoned() bool { return e.outcome.Load() == abandoned }

// Done returns a channel that is closed when the submission completes here. It is
// nil if this process did not begin the submission.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Outcome returns the outcome of the submission. It is valid once Done is closed.
func (e *Entry) Outcome() Outcome { return *e.outcome.Load() }

// Hash returns the hash of the submission.
func (e *Entry) Hash() uint64 { return e.hash }

// entryBytes is the estimated size of an entry in bytes, without its ID and answer.
const entryBytes = 320

// Table is a sharded table of submissions. It is safe for concurrent use.
type Table struct {
	shards [shardCount]shard
	sweep  atomic.Uint32 // number of calls of Sweep
}

// NewTable returns an empty table with a budget in bytes.
func NewTable(budget int) *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].entries = map[ID]*Entry{}
		t.shards[i].budget = budget / shardCount
	}
	return t
}

func (t *Table) shard(id ID) *shard { return &t.shards[id.Hash()%shardCount] }

// Owned returns the entry of a submission that this process began, or nil.
func (t *Table) Owned(now time.Time, id ID) *Entry {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.lookup(now, id); e != nil && e.done != nil {
		return e
	}
	return nil
}

// Has reports whether the table has an unexpired entry for a submission.
func (t *Table) Has(now time.Time, id ID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookup(now, id) != nil
}

// Begin decides how to handle a call whose submission would be started by
// r.Starter. It returns the entry, which is nil if the action is Full, and its
// record.
func (t *Table) Begin(now time.Time, r Record) (Action, *Entry, Record) {
	s := t.shard(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.lookup(now, r.ID); e != nil {
		switch {
		case e.Digest != r.Digest:
			return Conflict, e, e.record()
		case e.done != nil:
			return Wait, e, e.record()
		default:
			return StartedElsewhere, e, e.record()
		}
	}
	e := newEntry(r)
	e.done = make(chan struct{})
	if !s.insert(now, e) {
		return Full, nil, r
	}
	return Start, e, r
}

func newEntry(r Record) *Entry {
	e := &Entry{Record: r, hash: r.ID.Hash(), bytes: entryBytes + len(r.ID.Caller) + len(r.ID.Key)}
	e.Record.Outcome = nil
	return e
}

// StoreRecord stores the record of another incarnation. It reports false if this
// process has begun the submission itself or the budget is exhausted.
func (t *Table) StoreRecord(now time.Time, r Record) bool {
	s := t.shard(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.lookup(now, r.ID)
	if e != nil && e.done != nil {
		return false
	}
	if e == nil {
		e = newEntry(r)
		if !s.insert(now, e) {
			return false
		}
	}
	if e.Starter != r.Starter || r.Contested && !e.Contested {
		e.Contested = r.Contested || e.Starter != r.Starter
		e.Starter = r.Starter
		e.replicas = [2]membership.ID{}
	}
	if e.Expires.Before(r.Expires) {
		e.Expires = r.Expires
	}
	if r.Outcome != nil {
		s.complete(e, r.Outcome)
	}
	return true
}

// DropRecord drops the record of a submission after its starter has denied
// starting it, unless the record is contested. It reports whether the table then has
// no entry for the submission.
func (t *Table) DropRecord(id ID, starter membership.ID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e != nil && e.done == nil && e.Starter == starter && !e.Contested {
		s.remove(e)
	}
	return s.entries[id] == nil
}

// Attach associates a running submission with the work that executes it.
func (t *Table) Attach(e *Entry, work any) {
	s := t.shard(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.work = work
}

// Work returns the work attached to a running submission, or nil.
func (t *Table) Work(id ID) any {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil {
		return e.work
	}
	return nil
}

// Finish completes an entry for which Begin returned Start. It reports whether the
// entry is kept. If nothing ran, the entry is removed so that the caller may
// submit it again, unless the caller cancelled it.
func (t *Table) Finish(e *Entry, outcome Outcome) (kept bool) {
	s := t.shard(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.finished {
		return true
	}
	e.work = nil
	s.complete(e, &outcome)
	failure := outcome.Failure
	if failure != nil && failure.Verdict == verdict.NotRun && failure.Code != verdict.CodeCancelled {
		s.remove(e)
		return false
	}
	return true
}

// Abandon removes an entry for which Begin returned Start and nothing has started.
func (t *Table) Abandon(e *Entry) {
	s := t.shard(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete(e, abandoned)
	s.remove(e)
}

// Sweep removes the expired entries of one shard. Successive calls visit all shards
// in turn.
func (t *Table) Sweep(now time.Time) {
	s := &t.shards[t.sweep.Add(1)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		s.expire(now, e)
	}
	s.answers = slices.DeleteFunc(s.answers, func(e *Entry) bool { return s.entries[e.ID] != e })
}

// Range calls visit for every unexpired entry, in no particular order. visit runs
// under the shard's lock and must not use the table.
func (t *Table) Range(now time.Time, visit func(r Record, hash uint64, replicas [2]membership.ID)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if !s.expire(now, e) {
				visit(e.record(), e.hash, e.replicas)
			}
		}
		s.mu.Unlock()
	}
}

// record returns the entry's record with its outcome. The caller holds the
// shard's lock.
func (e *Entry) record() Record {
	r := e.Record
	r.Outcome = e.outcome.Load()
	return r
}

// AddReplica records that an incarnation holds a copy of an entry. It remembers the
// two latest incarnations.
func (t *Table) AddReplica(id ID, at membership.ID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil && e.replicas[0] != at {
		e.replicas[1], e.replicas[0] = e.replicas[0], at
	}
}

// Bytes returns the bytes in use.
func (t *Table) Bytes() int {
	total := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		total += s.bytes
		s.mu.Unlock()
	}
	return total
}
