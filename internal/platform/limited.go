package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
)

// Limited is a Store that keeps its calls within a budget. It is safe for
// concurrent use.
type Limited struct {
	store           Store
	budget          *Budget
	calls, failures atomic.Int64
}

// NewLimited returns a store that calls another one within a budget.
func NewLimited(store Store, budget *Budget) *Limited {
	return &Limited{store: store, budget: budget}
}

// Calls returns the number of calls made, and of those that failed.
func (l *Limited) Calls() (made, failed int64) { return l.calls.Load(), l.failures.Load() }

// Pause waits for the end of the pause after failures, or of the context. A
// caller with nobody waiting for it pauses before each call.
func (l *Limited) Pause(ctx context.Context) error {
	return sleep(ctx, l.budget.Backoff(time.Now()))
}

// Range implements Store.
func (l *Limited) Range(ctx context.Context, prefix string) (*api.RangeResponse, error) {
	return limit(ctx, l, func() (*api.RangeResponse, error) { return l.store.Range(ctx, prefix) })
}

// Txn implements Store.
func (l *Limited) Txn(ctx context.Context, request *api.TxnRequest) (*api.TxnResponse, error) {
	return limit(ctx, l, func() (*api.TxnResponse, error) { return l.store.Txn(ctx, request) })
}

// Watch implements Store.
func (l *Limited) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (*api.WatchResponse, error) {
	return limit(ctx, l, func() (*api.WatchResponse, error) { return l.store.Watch(ctx, prefix, after, wait) })
}

// limit makes a call when the budget allows it.
func limit[T any](ctx context.Context, l *Limited, call func() (T, error)) (T, error) {
	if err := sleep(ctx, l.budget.Reserve(time.Now())); err != nil {
		var none T
		return none, err
	}
	l.calls.Add(1)
	value, err := call()
	// A call that its own caller gave up says nothing about the service.
	if ctx.Err() == nil {
		l.budget.Observe(time.Now(), err == nil || refused(err))
	}
	if err != nil {
		l.failures.Add(1)
	}
	return value, err
}

// refused tells whether the service answered, but turned the request down.
func refused(err error) bool {
	code := verdict.From(err).Code
	return code == verdict.CodeTooLarge || code == verdict.CodeMalformed
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return verdict.Errorf(verdict.NotRun, verdict.CodeDeadline, "platform: %v", ctx.Err())
	}
}
