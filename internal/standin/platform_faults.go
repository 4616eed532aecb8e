package standin

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/platform"
	"github.com/mustardstep/mustardstep/verdict"
)

// FaultyStore is a platform.Store with fault switches over a Memory. It is
// safe for concurrent use.
type FaultyStore struct {
	*platform.Memory
	calls atomic.Int64

	mu      sync.Mutex // guards the fields below
	faults  api.PlatformFaults
	frozen  *api.RangeResponse // what stale reads show; nil where they are off
	changed chan struct{}      // closed and replaced by every new setting
}

// NewFaultyStore returns a store without faults over a memory.
func NewFaultyStore(memory *platform.Memory) *FaultyStore {
	return &FaultyStore{Memory: memory, changed: make(chan struct{})}
}

// Calls returns the number of calls to the key-value service so far; a waiting
// watch is one.
func (f *FaultyStore) Calls() int64 { return f.calls.Load() }

// Set replaces all switches.
func (f *FaultyStore) Set(faults api.PlatformFaults) {
	// A Memory's Range has no error.
	snapshot, _ := f.Memory.Range(context.Background(), "")
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !faults.Stale:
		f.frozen = nil
	case f.frozen == nil:
		f.frozen = snapshot
	}
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

// enter delays a call, and fails it where the service is down.
func (f *FaultyStore) enter(ctx context.Context) error {
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	if faults.SlowMS > 0 {
		select {
		case <-time.After(time.Duration(faults.SlowMS) * time.Millisecond):
		case <-ctx.Done():
			return verdict.Errorf(verdict.NotRun, verdict.CodeDeadline, "platform: %v", ctx.Err())
		}
	}
	if faults.Down {
		return verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "platform: down")
	}
	return nil
}

// Range implements platform.Store.
func (f *FaultyStore) Range(ctx context.Context, prefix string) (*api.RangeResponse, error) {
	f.calls.Add(1)
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	frozen := f.frozen
	f.mu.Unlock()
	if frozen == nil {
		return f.Memory.Range(ctx, prefix)
	}
	response := &api.RangeResponse{Revision: frozen.Revision, Entries: []api.KeyValue{}}
	for _, entry := range frozen.Entries {
		if strings.HasPrefix(entry.Key, prefix) {
			response.Entries = append(response.Entries, entry)
		}
	}
	return response, nil
}

// Txn implements platform.Store. A lost answer has the verdict MayHaveRun.
func (f *FaultyStore) Txn(ctx context.Context, request *api.TxnRequest) (*api.TxnResponse, error) {
	f.calls.Add(1)
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	response, err := f.Memory.Txn(ctx, request)
	if err == nil && f.loseAnswer() {
		return nil, verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "platform: answer lost")
	}
	return response, err
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

// Watch implements platform.Store.
func (f *FaultyStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (*api.WatchResponse, error) {
	f.calls.Add(1)
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.cutWatch(ctx, cancel)
	response, err := f.Memory.Watch(ctx, prefix, after, wait)
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return response, err
}

// cutWatch cancels a watch when the switches ask for it.
func (f *FaultyStore) cutWatch(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		f.mu.Lock()
		faults, changed := f.faults, f.changed
		f.mu.Unlock()
		if faults.CutWatches || faults.Down {
			cancel(verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "platform: watch cut"))
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
