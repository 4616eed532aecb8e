// Package configstore keeps the configuration in the platform's key-value
// store. Every change is one transaction that succeeds only if the head is
// unchanged. configuration.Attempt decides how to proceed after a failed or
// unanswered one.
//
// The key mustardstep/state/head holds the revision. Keys under
// mustardstep/state/parts/ hold a snapshot of the whole state, which is written
// by a change with more entries than fit into a transaction. Keys under
// mustardstep/state/entries/ hold individually written entries; they count only
// if newer than the snapshot. Keys under mustardstep/history/ hold the accepted
// changes; each new change removes the oldest beyond a limit.
package configstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/verdict"
)

// retryDelay is the delay before a failed or stale step of a commit is retried.
const retryDelay = 20 * time.Millisecond

// Store reads and changes the configuration. It is safe for concurrent use.
type Store struct{ kv *store.RateLimited }

// New returns a store on top of the platform's key-value store.
func New(kv *store.RateLimited) *Store { return &Store{kv} }

// Read returns the whole state, without its history, and the store revision at
// which it was read.
func (s *Store) Read(ctx context.Context) (*configuration.State, int64, error) {
	items, at, err := store.List(ctx, s.kv, statePrefix, false)
	if err != nil {
		return nil, 0, err
	}
	read, _, err := decode(items, at)
	return read.State, at, err
}

// WaitBackoff waits until the store may be called again after failures.
func (s *Store) WaitBackoff(ctx context.Context) error { return s.kv.WaitBackoff(ctx) }

// Watch waits for a change after a store revision. It returns the events and
// the revision from which to continue; there are no events if the wait timed
// out. The error is store.ErrCompacted if the events are no longer kept.
func (s *Store) Watch(ctx context.Context, after int64, wait time.Duration) ([]store.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	return s.kv.Watch(ctx, statePrefix, after, wait)
}

// watchMargin is the time beyond the wait after which a watch is cancelled, so
// that a silent connection is detected.
const watchMargin = 2 * time.Second

// ApplyEvents returns the state after the events of a watch, or the given state
// if it is newer. ok is false if the events are not enough and the whole state
// must be read.
func ApplyEvents(state *configuration.State, events []store.Event) (next *configuration.State, ok bool) {
	return applyEvents(state, events)
}

// History returns the stored changes, newest first.
func (s *Store) History(ctx context.Context) ([]api.StoredChange, error) {
	items, _, err := store.List(ctx, s.kv, historyPrefix, false)
	if err != nil {
		return nil, err
	}
	return decodeHistory(items)
}

// Commit applies a change. It returns the new state and its revision, or a nil
// state and the revision if the change was already applied.
//
// current returns the state of this process. repeated must be true if the
// change may have been sent before. The error is a
// *configuration.ConflictError, a *configuration.TooLargeError or a
// *verdict.Error whose verdict says whether the change may have been applied.
func (s *Store) Commit(ctx context.Context, current func() *configuration.State, c *configuration.Change, repeated bool) (*configuration.State, int64, error) {
	attempt := configuration.NewAttempt(c, repeated)
	for {
		decision, read, snapshot, err := s.decide(ctx, attempt, current())
		switch {
		case err == nil && decision.AlreadyApplied:
			return nil, decision.Revision, nil
		case err == nil:
			err = s.write(ctx, attempt, c, decision, read.HeadRevision, snapshot)
		}
		switch {
		case err == nil:
			return decision.Next, decision.Revision, nil
		case isFinal(err):
			return nil, 0, err
		}
		if !wait.For(ctx, retryDelay) {
			return nil, 0, unresolvedError(attempt, err)
		}
	}
}

// errRetry marks an error after which the attempt continues.
var errRetry = errors.New("retry")

// isFinal reports whether an error ends the attempt.
func isFinal(err error) bool {
	return !errors.Is(err, errRetry) && !errors.Is(err, configuration.ErrStale)
}

// decide performs the read that the attempt needs and returns the attempt's
// decision.
func (s *Store) decide(ctx context.Context, a *configuration.Attempt, state *configuration.State) (configuration.Decision, configuration.Read, snapshotRef, error) {
	read, snapshot, err := s.read(ctx, a.NeedsHistory(), state)
	if err != nil {
		return configuration.Decision{}, read, snapshot, errors.Mark(err, errRetry)
	}
	decision, err := a.Decide(state, read)
	return decision, read, snapshot, err
}

// read reads only the head if it matches the state of this process, and the
// whole state otherwise. With full, it always reads the whole state and the
// history.
func (s *Store) read(ctx context.Context, full bool, state *configuration.State) (configuration.Read, snapshotRef, error) {
	if !full {
		items, at, err := store.List(ctx, s.kv, headKey, false)
		if err != nil {
			return configuration.Read{}, snapshotRef{}, err
		}
		if read, snapshot, ok := decodeHead(items, at, state); ok {
			return read, snapshot, nil
		}
	}
	prefix := statePrefix
	if full {
		prefix = rootPrefix
	}
	items, at, err := store.List(ctx, s.kv, prefix, false)
	if err != nil {
		return configuration.Read{}, snapshotRef{}, err
	}
	return decode(items, at)
}

// write writes a decision and reports the result to the attempt.
func (s *Store) write(ctx context.Context, a *configuration.Attempt, c *configuration.Change, d configuration.Decision, headRevision int64, snapshot snapshotRef) error {
	txn, err := encode(c, d, headRevision, snapshot)
	if err != nil {
		return verdict.Errorf(verdict.NotRun, verdict.CodeInternal, "encode configuration change: %v", err)
	}
	_, err = s.kv.Commit(ctx, txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		latest := int64(0)
		for _, item := range conflict.Items {
			latest = max(latest, item.Revision)
		}
		a.ConditionFailed(latest)
		return errors.Mark(errors.New("configuration was changed concurrently"), errRetry)
	case errors.Is(err, store.ErrTooLarge):
		return verdict.Errorf(verdict.NotRun, verdict.CodeTooLarge, "%v", err)
	case !errors.Is(err, store.ErrRefused):
		a.AnswerLost(d)
	}
	return errors.Mark(err, errRetry)
}

// unresolvedError returns the error for a change that was not completed before
// the deadline.
func unresolvedError(a *configuration.Attempt, cause error) error {
	if a.MayHaveWritten() {
		return verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "configuration change may have been applied: %v", cause)
	}
	return verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "configuration change was not applied: %v", cause)
}
