package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// memoryPageSize is the number of entries on a page of Memory.Range.
const memoryPageSize = 100

// maxHistory is the number of events that Memory keeps for watches.
const maxHistory = 10_000

// Memory is an in-memory Store for tests and trials. It is safe for concurrent
// use. An expired lease is removed at the next call.
type Memory struct {
	mu        sync.Mutex // guards the fields below
	revision  int64
	items     map[string]memoryItem
	leases    map[int64]memoryLease
	history   []Event
	compacted int64 // events up to this revision are dropped
	changed   chan struct{}
	failure   error
	// watchLimit is the number of changes after which an answer to a watch ends; 0 if it has all.
	watchLimit int
}

type memoryItem struct {
	Item
	lease int64
}

type memoryLease struct {
	ttl time.Duration
	end time.Time
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		revision: 1, items: map[string]memoryItem{}, leases: map[int64]memoryLease{}, changed: make(chan struct{}),
	}
}

// SetError makes every call fail with err; nil makes calls succeed again.
func (m *Memory) SetError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failure = err
}

// SetWatchLimit limits the changes in an answer to a watch, as the platform's store does; 0 means that
// there is no limit.
func (m *Memory) SetWatchLimit(changes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchLimit = changes
}

// Compact drops the event history.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.compacted = nil, m.revision
}

// Set writes an entry without a lease, as operators and upstreams do. It
// returns the revision.
func (m *Memory) Set(key string, value []byte) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set(key, value, 0)
}

// Delete deletes an entry.
func (m *Memory) Delete(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delete(key)
}

// set writes an entry at a new revision. The caller holds mu.
func (m *Memory) set(key string, value []byte, lease int64) int64 {
	m.revision++
	m.write(key, value, lease)
	return m.revision
}

// write writes an entry at the current revision. The caller holds mu.
func (m *Memory) write(key string, value []byte, lease int64) {
	item := Item{Key: key, Value: slices.Clone(value), Revision: m.revision}
	m.items[key] = memoryItem{item, lease}
	m.publish(Event{Item: item})
}

// delete deletes an entry at a new revision. The caller holds mu.
func (m *Memory) delete(key string) {
	if _, present := m.items[key]; present {
		m.revision++
		m.deleteAt(key)
	}
}

// deleteAt deletes an entry at the current revision. The caller holds mu.
func (m *Memory) deleteAt(key string) {
	if _, present := m.items[key]; present {
		delete(m.items, key)
		m.publish(Event{Item: Item{Key: key, Revision: m.revision}, Deleted: true})
	}
}

// publish appends an event to the history and wakes the watches. The caller
// holds mu.
func (m *Memory) publish(e Event) {
	m.history = append(m.history, e)
	if excess := len(m.history) - maxHistory; excess > 0 {
		m.compacted = m.history[excess-1].Revision
		m.history = slices.Delete(m.history, 0, excess)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// expire removes the expired leases. The caller holds mu.
func (m *Memory) expire() {
	for id, lease := range m.leases {
		if time.Now().After(lease.end) {
			m.revoke(id)
		}
	}
}

// revoke removes a lease and its entries. The caller holds mu.
func (m *Memory) revoke(id int64) {
	delete(m.leases, id)
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if m.items[key].lease == id {
			m.delete(key)
		}
	}
}

// Range implements Store.
func (m *Memory) Range(_ context.Context, prefix, after string, _ bool) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		return Page{}, m.failure
	}
	m.expire()
	page := Page{Revision: m.revision}
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page.Items) == memoryPageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, m.items[key].Item)
	}
	return page, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		m.expire()
		failure, changed, at := m.failure, m.changed, m.revision
		compacted := after < m.compacted
		events, part := m.changes(prefix, after)
		if part {
			at = events[len(events)-1].Revision
		}
		m.mu.Unlock()
		switch {
		case failure != nil:
			return nil, 0, failure
		case compacted:
			return nil, 0, ErrCompacted
		case len(events) > 0:
			return events, at, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// changes returns the changes of entries under a prefix after a revision, oldest first. part means that
// the limit has left out later ones. The changes of a transaction are not divided. The caller holds mu.
func (m *Memory) changes(prefix string, after int64) (events []Event, part bool) {
	for _, e := range m.history {
		if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		if n := len(events); m.watchLimit > 0 && n >= m.watchLimit && events[n-1].Revision < e.Revision {
			return events, true
		}
		events = append(events, e)
	}
	return events, false
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, txn Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		return 0, m.failure
	}
	if err := txn.Validate(); err != nil {
		return 0, err
	}
	m.expire()
	if err := m.conflict(txn.Conditions); err != nil {
		return 0, err
	}
	for _, w := range txn.Writes {
		if _, present := m.leases[w.Lease]; w.Lease != 0 && !present {
			return 0, ErrLeaseNotFound
		}
	}
	m.revision++
	for _, w := range txn.Writes {
		m.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range txn.Deletes {
		m.deleteAt(key)
	}
	return m.revision, nil
}

// conflict returns a *ConflictError if a condition does not hold. The caller
// holds mu.
func (m *Memory) conflict(conditions []Condition) error {
	var current ConflictError
	holds := true
	for _, c := range conditions {
		item, present := m.items[c.Key]
		if present {
			current.Items = append(current.Items, item.Item)
		}
		holds = holds && item.Revision == c.Revision
	}
	if holds {
		return nil
	}
	return &current
}

// Grant implements Store.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		return 0, m.failure
	}
	m.revision++
	m.leases[m.revision] = memoryLease{ttl, time.Now().Add(ttl)}
	return m.revision, nil
}

// KeepAlive implements Store.
func (m *Memory) KeepAlive(_ context.Context, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		return m.failure
	}
	m.expire()
	l, present := m.leases[lease]
	if !present {
		return ErrLeaseNotFound
	}
	m.leases[lease] = memoryLease{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

// Revoke implements Store.
func (m *Memory) Revoke(_ context.Context, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure != nil {
		return m.failure
	}
	if _, present := m.leases[lease]; !present {
		return ErrLeaseNotFound
	}
	m.revoke(lease)
	return nil
}
