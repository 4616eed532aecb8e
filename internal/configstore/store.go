// Package configstore keeps the configuration in the platform's key-value
// service. Every change is one transaction on the condition that the head has
// not moved; configuration.Attempt decides what a failed or lost one means.
//
// Keys: mustardstep/state/head holds the revision, mustardstep/state/entries/
// the entries, mustardstep/state/parts/ the whole state as of the last change of
// many entries, and mustardstep/history/ the accepted changes, of which the
// oldest leave as new ones come.
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

// retryPause is the wait before a read that was too old is repeated.
const retryPause = 20 * time.Millisecond

// Store reads and changes the configuration. It is safe for concurrent use.
type Store struct{ kv *store.Limited }

// New returns a store over the platform's service.
func New(kv *store.Limited) *Store { return &Store{kv} }

// Read returns the whole state, without its history, and the revision of the
// service that it belongs to.
func (s *Store) Read(ctx context.Context) (*configuration.State, int64, error) {
	items, at, err := store.List(ctx, s.kv, statePrefix, false)
	if err != nil {
		return nil, 0, err
	}
	read, _, err := decode(items, at)
	return read.State, at, err
}

// WaitBackoff waits until the service may be called again after failures.
func (s *Store) WaitBackoff(ctx context.Context) error { return s.kv.Pause(ctx) }

// Watch waits for a change after a revision of the service, and returns that from
// which to go on. There are no events where the wait ended without one; the error
// is store.ErrCompacted where they are no longer kept.
func (s *Store) Watch(ctx context.Context, after int64, wait time.Duration) ([]store.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	return s.kv.Watch(ctx, statePrefix, after, wait)
}

// watchMargin is the time beyond its wait within which a watch is answered, so
// that a connection that went silent is noticed.
const watchMargin = 2 * time.Second

// ApplyEvents returns the state that results from the events of a watch, or the
// given one where it is ahead of them. ok is false where the events do not lead
// to a state, so that it must be read.
func ApplyEvents(state *configuration.State, events []store.Event) (next *configuration.State, ok bool) {
	return applyEvents(state, events)
}

// History returns the accepted changes that are kept, newest first.
func (s *Store) History(ctx context.Context) ([]api.StoredChange, error) {
	items, _, err := store.List(ctx, s.kv, historyPrefix, false)
	if err != nil {
		return nil, err
	}
	return decodeHistory(items)
}

// Commit makes a change and returns the state that holds it, or the revision
// alone where it was accepted before. current returns the state of this process.
// repeated tells that the change may have been sent before. Its error is a
// *configuration.Conflict, a *configuration.TooLargeError or a *verdict.Error
// whose verdict tells whether the change may have been made.
func (s *Store) Commit(ctx context.Context, current func() *configuration.State, c *configuration.Change, repeated bool) (*configuration.State, int64, error) {
	attempt := configuration.NewAttempt(c, repeated)
	for {
		decision, read, lies, err := s.decide(ctx, attempt, current())
		switch {
		case err == nil && decision.AlreadyApplied:
			return nil, decision.Revision, nil
		case err == nil:
			err = s.write(ctx, attempt, c, decision, read.HeadRevision, lies)
		}
		switch {
		case err == nil:
			return decision.Next, decision.Revision, nil
		case final(err):
			return nil, 0, err
		}
		if !wait.For(ctx, retryPause) {
			return nil, 0, unresolved(attempt, err)
		}
	}
}

// errRetry marks a failure after which the attempt goes on.
var errRetry = errors.New("retry")

func final(err error) bool {
	return !errors.Is(err, errRetry) && !errors.Is(err, configuration.ErrStale)
}

// decide reads what the attempt asks for.
func (s *Store) decide(ctx context.Context, a *configuration.Attempt, state *configuration.State) (configuration.Decision, configuration.Read, held, error) {
	read, lies, err := s.read(ctx, a.NeedsHistory(), state)
	if err != nil {
		return configuration.Decision{}, read, lies, errors.Mark(err, errRetry)
	}
	decision, err := a.Decide(state, read)
	return decision, read, lies, err
}

// read returns the head with the state of this process where they agree, else
// the whole state; full includes the history.
func (s *Store) read(ctx context.Context, full bool, state *configuration.State) (configuration.Read, held, error) {
	if !full {
		items, at, err := store.List(ctx, s.kv, headKey, false)
		if err != nil {
			return configuration.Read{}, held{}, err
		}
		if read, lies, ok := decodeHead(items, at, state); ok {
			return read, lies, nil
		}
	}
	prefix := statePrefix
	if full {
		prefix = rootPrefix
	}
	items, at, err := store.List(ctx, s.kv, prefix, false)
	if err != nil {
		return configuration.Read{}, held{}, err
	}
	return decode(items, at)
}

func (s *Store) write(ctx context.Context, a *configuration.Attempt, c *configuration.Change, d configuration.Decision, position int64, lies held) error {
	txn, err := encode(c, d, position, lies)
	if err != nil {
		return verdict.Errorf(verdict.NotRun, verdict.CodeInternal, "encode the change: %v", err)
	}
	_, err = s.kv.Commit(ctx, txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		moved := int64(0)
		for _, item := range conflict.Items {
			moved = max(moved, item.Revision)
		}
		a.ConditionFailed(moved)
		return errors.Mark(errors.New("another change went ahead"), errRetry)
	case errors.Is(err, store.ErrTooLarge):
		return verdict.Errorf(verdict.NotRun, verdict.CodeTooLarge, "%v", err)
	case !errors.Is(err, store.ErrRefused):
		a.AnswerLost(d)
	}
	return errors.Mark(err, errRetry)
}

// unresolved says what is known of a change when the time is up.
func unresolved(a *configuration.Attempt, cause error) error {
	if a.MayHaveWritten() {
		return verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "the change may have been made: %v", cause)
	}
	return verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "the change was not made: %v", cause)
}
