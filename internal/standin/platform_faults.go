package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/store"
)

// FaultyStore adds injected faults to a store.Memory. It implements store.Store and
// is safe for concurrent use.
type FaultyStore struct {
	*store.Memory
	calls atomic.Int64

	mu            sync.Mutex // guards the fields below
	faults        api.PlatformFaults
	staleSnapshot *snapshot     // read instead of the store while all reads are stale; else nil
	history       []*snapshot   // oldest first, for reads that may be stale
	changed       chan struct{} // closed and replaced by SetFaults
}

// NewFaultyStore returns a FaultyStore over memory with no faults set.
func NewFaultyStore(memory *store.Memory) *FaultyStore {
	return &FaultyStore{Memory: memory, changed: make(chan struct{})}
}

// Calls returns the number of calls so far. A watch counts once.
func (f *FaultyStore) Calls() int64 { return f.calls.Load() }

// SetFaults replaces all faults.
func (f *FaultyStore) SetFaults(faults api.PlatformFaults) error {
	current, err := f.takeSnapshot(context.Background())
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !faults.Stale:
		f.staleSnapshot = nil
	case f.staleSnapshot == nil:
		f.staleSnapshot = current
	}
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// beginCall counts and delays a call, and fails it if the store is down.
func (f *FaultyStore) beginCall(ctx context.Context) error {
	f.calls.Add(1)
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	if faults.SlowMS > 0 {
		select {
		case <-time.After(time.Duration(faults.SlowMS) * time.Millisecond):
		case <-ctx.Done():
			// The call did not reach the store.
			return errors.Mark(ctx.Err(), store.ErrRefused)
		}
	}
	if faults.Down {
		return errors.Wrap(store.ErrRefused, "injected fault: store down")
	}
	return nil
}

// Range implements store.Store.
func (f *FaultyStore) Range(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
	if err := f.beginCall(ctx); err != nil {
		return store.Page{}, err
	}
	if old := f.readable(stale); old != nil {
		return old.page(prefix, after), nil
	}
	return f.Memory.Range(ctx, prefix, after, stale)
}

// Commit implements store.Store. A lost response is an error after the commit was
// applied.
func (f *FaultyStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if err := f.beginCall(ctx); err != nil {
		return 0, err
	}
	revision, err := f.Memory.Commit(ctx, txn)
	if err == nil && f.loseAnswer() {
		return 0, errors.New("injected fault: response lost")
	}
	return revision, err
}

func (f *FaultyStore) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAnswers == 0 {
		return false
	}
	f.faults.LoseAnswers--
	return true
}

// Watch implements store.Store.
func (f *FaultyStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if err := f.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.cutWatch(ctx, cancel)
	events, at, err := f.Memory.Watch(ctx, prefix, after, wait)
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return events, at, err
}

// cutWatch cancels a watch once a fault cuts watches or takes the store down.
func (f *FaultyStore) cutWatch(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		f.mu.Lock()
		faults, changed := f.faults, f.changed
		f.mu.Unlock()
		if faults.CutWatches || faults.Down {
			cancel(errors.Wrap(store.ErrRefused, "injected fault: watch cut"))
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Grant implements store.Store.
func (f *FaultyStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := f.beginCall(ctx); err != nil {
		return 0, err
	}
	return f.Memory.Grant(ctx, ttl)
}

// KeepAlive implements store.Store.
func (f *FaultyStore) KeepAlive(ctx context.Context, lease int64) error {
	if err := f.beginCall(ctx); err != nil {
		return err
	}
	return f.Memory.KeepAlive(ctx, lease)
}

// Revoke implements store.Store.
func (f *FaultyStore) Revoke(ctx context.Context, lease int64) error {
	if err := f.beginCall(ctx); err != nil {
		return err
	}
	return f.Memory.Revoke(ctx, lease)
}
