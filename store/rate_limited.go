package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wait"
)

// RateLimited is a Store that keeps its calls within a budget. It is safe for
// concurrent use. A call that the context's end keeps from being made fails with
// ErrRefused.
type RateLimited struct {
	store           Store
	budget          *RateLimiter
	calls, failures atomic.Int64
}

// NewRateLimited returns a store that calls another one within a budget.
func NewRateLimited(store Store, budget *RateLimiter) *RateLimited {
	return &RateLimited{store: store, budget: budget}
}

// Calls returns the number of calls made, and of those that failed.
func (l *RateLimited) Calls() (made, failed int64) { return l.calls.Load(), l.failures.Load() }

// WaitBackoff waits for the end of the pause after failures, or of the context. A
// caller with nobody waiting for it pauses before each call.
func (l *RateLimited) WaitBackoff(ctx context.Context) error {
	return sleep(ctx, l.budget.Backoff(time.Now()))
}

// Range implements Store.
func (l *RateLimited) Range(ctx context.Context, prefix, after string, stale bool) (page Page, err error) {
	err = l.limit(ctx, func() (err error) {
		page, err = l.store.Range(ctx, prefix, after, stale)
		return err
	})
	return page, err
}

// Watch implements Store.
func (l *RateLimited) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, at int64, err error) {
	err = l.limit(ctx, func() (err error) {
		events, at, err = l.store.Watch(ctx, prefix, after, wait)
		return err
	})
	return events, at, err
}

// Commit implements Store.
func (l *RateLimited) Commit(ctx context.Context, change Txn) (revision int64, err error) {
	err = l.limit(ctx, func() (err error) {
		revision, err = l.store.Commit(ctx, change)
		return err
	})
	return revision, err
}

// Grant implements Store.
func (l *RateLimited) Grant(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	err = l.limit(ctx, func() (err error) {
		lease, err = l.store.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepAlive implements Store.
func (l *RateLimited) KeepAlive(ctx context.Context, lease int64) error {
	return l.limit(ctx, func() error { return l.store.KeepAlive(ctx, lease) })
}

// Revoke implements Store.
func (l *RateLimited) Revoke(ctx context.Context, lease int64) error {
	return l.limit(ctx, func() error { return l.store.Revoke(ctx, lease) })
}

// limit makes a call when the budget allows it.
func (l *RateLimited) limit(ctx context.Context, call func() error) error {
	if err := sleep(ctx, l.budget.Reserve(time.Now())); err != nil {
		return err
	}
	l.calls.Add(1)
	err := call()
	// A call that its own caller gave up says nothing about the store.
	if ctx.Err() == nil {
		l.budget.Observe(time.Now(), err == nil || answered(err))
	}
	if err != nil && !answered(err) {
		l.failures.Add(1)
	}
	return err
}

// answered tells whether an error is the store's answer to the request rather
// than a sign of trouble.
func answered(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrLeaseNotFound) || errors.Is(err, ErrCompacted)
}

// sleep waits for a time; at the context's end the call is not made.
func sleep(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return errors.Mark(ctx.Err(), ErrRefused)
	}
	return nil
}
