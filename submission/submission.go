// Package submission holds what a VM knows about submissions: those that it
// starts itself, with their answers, and records of those that others may have
// started. It decides what a call does to the submission that it names.
//
// It imports no network package and reads no clock; every method takes the
// time. Entries live in shards chosen by the hash of the submission, each
// under its own lock and with its share of the byte budget.
package submission

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/verdict"
)

// Action tells the owner what a call does.
type Action uint8

// Actions of Begin.
const (
	// Start means that the entry is new and the caller of Begin must end it
	// with Finish or Abandon.
	Start Action = iota
	// Wait means that another call runs it here; Entry.Done tells its end.
	Wait
	// StartedElsewhere means that another incarnation may have started it.
	StartedElsewhere
	// Conflict means that the key was used with another request.
	Conflict
	// Full means that the byte budget has no room for another entry.
	Full
)

// Record states that an incarnation may have started a submission.
type Record struct {
	ID ID
	// Digest is the hash of the request.
	Digest  uint64
	Starter membership.ID
	// Contested tells that records of several starters have met, so that the
	// word of one of them proves nothing.
	Contested bool
	// Expires is the end of the retention.
	Expires time.Time
	// Outcome is the end of the submission, or nil where it is not known.
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

// Entry is a submission. The names and the digest are immutable; the starter
// and the expiry are too where this process is the starter, and guarded by the
// shard's lock otherwise.
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

// abandoned ends an entry whose call has to be routed anew.
var abandoned = &Outcome{Failure: verdict.Errorf(verdict.NotRun, verdict.CodeNotReady, "the owner of the submission changed")}

// Abandoned tells whether the submission was given up before its start, so
// that those who wait for it must route their calls anew. It is valid once
// Done is closed.
func (e *Entry) Abandoned() bool { return e.outcome.Load() == abandoned }

// Done is closed when the submission has ended here.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Outcome returns the end of the submission. It is valid once Done is closed.
func (e *Entry) Outcome() Outcome { return *e.outcome.Load() }

// Hash returns the hash of the submission.
func (e *Entry) Hash() uint64 { return e.hash }

// entryBytes is what an entry takes beside its names and its answer.
const entryBytes = 320

// Table holds submissions. It is safe for concurrent use.
type Table struct {
	shards [shardCount]shard
	sweep  atomic.Uint32 // the shard that the next Sweep visits
}

// NewTable returns a table that holds at most budget bytes.
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

// Has tells whether anything is known about a submission.
func (t *Table) Has(now time.Time, id ID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookup(now, id) != nil
}

// Begin enters a call of a submission whose starter would be r.Starter. The
// record is that of the entry, which is nil where the action is Full.
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

// StoreRecord stores the record of another incarnation. It reports false where this
// process may have started the submission itself or the budget is used up.
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
		s.end(e, r.Outcome)
	}
	return true
}

// DropRecord drops the record of a submission of which its starter says that it
// did not start it, unless another may have. It reports whether nothing is known
// of the submission now.
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

// Attach keeps what the caller of Begin runs for the submission.
func (t *Table) Attach(e *Entry, work any) {
	s := t.shard(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.work = work
}

// Work returns what was attached to a submission that is running, or nil.
func (t *Table) Work(id ID) any {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil {
		return e.work
	}
	return nil
}

// Finish ends a submission that Begin told to start. It reports whether the
// entry stays: one of which nothing ran is dropped, so that its caller may
// submit it again, unless the caller cancelled it.
func (t *Table) Finish(e *Entry, outcome Outcome) (kept bool) {
	s := t.shard(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.finished {
		return true
	}
	e.work = nil
	s.end(e, &outcome)
	failure := outcome.Failure
	if failure != nil && failure.Verdict == verdict.NotRun && failure.Code != verdict.CodeCancelled {
		s.remove(e)
		return false
	}
	return true
}

// Abandon drops an entry that Begin told to start and of which nothing started.
func (t *Table) Abandon(e *Entry) {
	s := t.shard(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(e, abandoned)
	s.remove(e)
}

// Sweep drops the expired entries of one shard. Every shard is visited in turn.
func (t *Table) Sweep(now time.Time) {
	s := &t.shards[t.sweep.Add(1)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		s.expire(now, e)
	}
	s.answers = slices.DeleteFunc(s.answers, func(e *Entry) bool { return s.entries[e.ID] != e })
}

// Range calls visit for every entry that has not expired, shard by shard and in
// no order. visit is called under the shard's lock and must not use the table.
func (t *Table) Range(now time.Time, visit func(r Record, hash uint64, placed [2]membership.ID)) {
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

// AddReplica notes that an incarnation holds a copy of an entry.
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
