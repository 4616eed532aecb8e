// Package submission decides what a call does to the submission that it
// names: start it, join it while it runs, or repeat its answer.
//
// It imports no network package and reads no clock; every method takes the
// time. Entries live in shards chosen by the hash of the submission, each
// under its own lock.
package submission

import (
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
)

// ID names a submission: the caller and its idempotency key.
type ID struct{ Caller, Key string }

// Hash places the submission in a shard and ranks its owners.
func (id ID) Hash() uint64 { return rendezvous.HashPair(id.Caller, id.Key) }

// String returns caller/key.
func (id ID) String() string { return id.Caller + "/" + id.Key }

// Outcome is the end of a submission: every result, or a failure.
type Outcome struct {
	// Results holds one JSON value per task, in task order.
	Results [][]byte
	// Failure is nil where the submission completed.
	Failure *verdict.Error
}

// Action tells the owner what a call does.
type Action uint8

// Actions of Begin.
const (
	// Start means that the caller of Begin runs the submission and ends it
	// with Finish.
	Start Action = iota
	// Wait means that another call runs it; Entry.Done tells its end.
	Wait
	// Conflict means that the key was used with another request.
	Conflict
)

// Entry is a submission that this VM owns.
type Entry struct {
	ID     ID
	Digest uint64

	work    any // guarded by the shard's lock
	done    chan struct{}
	outcome Outcome // written once, before done is closed
	ended   time.Time
}

// Done is closed when the submission has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Outcome returns the end of the submission. It is valid once Done is closed.
func (e *Entry) Outcome() Outcome { return e.outcome }

// shardCount is a power of two well above the number of threads, so that two
// threads seldom meet at one lock.
const shardCount = 64

// Table holds the submissions that this VM owns. It is safe for concurrent use.
type Table struct {
	retention time.Duration
	shards    [shardCount]shard
}

type shard struct {
	mu      sync.Mutex // guards the fields below
	entries map[ID]*Entry
	ended   []*Entry // in order of their end
}

// NewTable returns a table that keeps ended submissions for the retention.
func NewTable(retention time.Duration) *Table {
	t := &Table{retention: retention}
	for i := range t.shards {
		t.shards[i].entries = map[ID]*Entry{}
	}
	return t
}

func (t *Table) shard(id ID) *shard { return &t.shards[id.Hash()%shardCount] }

// Begin enters a call of the submission whose request has the digest.
func (t *Table) Begin(now time.Time, id ID, digest uint64) (Action, *Entry) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(now.Add(-t.retention))
	if e := s.entries[id]; e != nil {
		if e.Digest != digest {
			return Conflict, e
		}
		return Wait, e
	}
	e := &Entry{ID: id, Digest: digest, done: make(chan struct{})}
	s.entries[id] = e
	return Start, e
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

// Finish ends a submission that Begin told to start. A submission of which
// nothing ran is forgotten, so that its caller may submit it again.
func (t *Table) Finish(now time.Time, e *Entry, outcome Outcome) {
	s := t.shard(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.outcome = outcome
	e.ended = now
	e.work = nil
	close(e.done)
	if outcome.Failure != nil && outcome.Failure.Verdict == verdict.NotRun {
		delete(s.entries, e.ID)
		return
	}
	s.ended = append(s.ended, e)
}

// evict drops the submissions that ended before the limit.
func (s *shard) evict(limit time.Time) {
	n := 0
	for n < len(s.ended) && s.ended[n].ended.Before(limit) {
		delete(s.entries, s.ended[n].ID)
		n++
	}
	s.ended = s.ended[n:]
}
