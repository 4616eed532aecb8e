package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wait"
)

// RateLimited is a Store that limits the rate of calls to another one. It is
// safe for concurrent use. If the context is done before a call may be made,
// the call is not made and fails with ErrRefused.
type RateLimited struct {
	store           Store
	limiter         *RateLimiter
	calls, failures atomic.Int64
}

// NewRateLimited returns a store whose calls to the given store are limited.
func NewRateLimited(store Store, limiter *RateLimiter) *RateLimited {
	return &RateLimited{store: store, limiter: limiter}
}

// Calls returns the number of calls made, and the number of those that failed.
func (l *RateLimited) Calls() (made, failed int64) { return l.calls.Load(), l.failures.Load() }

// WaitBackoff waits for the end of the backoff after failures. Background work
// calls it before each call to the store.
func (l *RateLimited) WaitBackoff(ctx context.Context) error {
	return sleep(ctx, l.limiter.Backoff(time.Now()))
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
func (l *RateLimited) Commit(ctx context.Context, txn Txn) (revision int64, err error) {
	err = l.limit(ctx, func() (err error) {
		revision, err = l.store.Commit(ctx, txn)
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

// limit makes a call as soon as the rate limiter allows it.
func (l *RateLimited) limit(ctx context.Context, call func() error) error {
	if err := sleep(ctx, l.limiter.Reserve(time.Now())); err != nil {
		return err
	}
	l.calls.Add(1)
	err := call()
	// A call that was cancelled says nothing about the store.
	if ctx.Err() == nil {
		l.limiter.Observe(time.Now(), err == nil || isResponse(err))
	}
	if err != nil && !isResponse(err) {
		l.failures.Add(1)
	}
	return err
}

// isResponse reports whether an error is the store's regular response to a
// request rather than a failure of the store.
func isResponse(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrLeaseNotFound) || errors.Is(err, ErrCompacted)
}

// sleep waits for a duration. If the context is done first, it returns an error
// marked ErrRefused.
func sleep(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return errors.Mark(ctx.Err(), ErrRefused)
	}
	return nil
}
