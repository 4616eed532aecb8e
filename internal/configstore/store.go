// Package configstore keeps the configuration in the platform's key-value
// service. Every change is one transaction on the condition that the head has
// not moved; configuration.Attempt decides what a failed or lost one means.
//
// Keys: mustardstep/state/head holds the revision, mustardstep/state/entries/
// the entries, and mustardstep/history/ the accepted changes, of which the
// oldest leave as new ones come.
package configstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/platform"
	"github.com/mustardstep/mustardstep/verdict"
)

// retryPause is the wait before a read that was too old is repeated.
const retryPause = 20 * time.Millisecond

// Store reads and changes the configuration. It is safe for concurrent use.
type Store struct{ kv *platform.Limited }

// New returns a store over the platform's service.
func New(kv *platform.Limited) *Store { return &Store{kv} }

// Read returns the whole state, without its history, and the revision of the
// service that it belongs to.
func (s *Store) Read(ctx context.Context) (*configuration.State, int64, error) {
	response, err := s.kv.Range(ctx, statePrefix)
	if err != nil {
		return nil, 0, err
	}
	read, err := decode(response)
	return read.State, response.Revision, err
}

// Pause waits until the service may be called again after failures.
func (s *Store) Pause(ctx context.Context) error { return s.kv.Pause(ctx) }

// Watch waits for a change after a revision of the service. The response has
// no events where the wait ended without one.
func (s *Store) Watch(ctx context.Context, after int64, wait time.Duration) (*api.WatchResponse, error) {
	return s.kv.Watch(ctx, statePrefix, after, wait)
}

// Update returns the state that results from the events of a watch, or the
// given one where it is ahead of them. ok is false where the events do not lead
// to a state, so that it must be read.
func Update(state *configuration.State, watched *api.WatchResponse) (next *configuration.State, ok bool) {
	if watched.Compacted {
		return nil, false
	}
	return applyEvents(state, watched.Events)
}

// History returns the accepted changes that are kept, newest first.
func (s *Store) History(ctx context.Context) ([]api.StoredChange, error) {
	response, err := s.kv.Range(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	return decodeHistory(response.Entries)
}

// Commit makes a change and returns the state that holds it, or the revision
// alone where it was accepted before. held is the state of this process.
// repeated tells that the change may have been sent before. Its error is a
// *configuration.Conflict, a *configuration.TooLargeError or a *verdict.Error
// whose verdict tells whether the change may have been made.
func (s *Store) Commit(ctx context.Context, held func() *configuration.State, c *configuration.Change, repeated bool) (*configuration.State, int64, error) {
	attempt := configuration.NewAttempt(c, repeated)
	for {
		decision, read, err := s.decide(ctx, attempt, held())
		switch {
		case err == nil && decision.Accepted:
			return nil, decision.Revision, nil
		case err == nil:
			err = s.write(ctx, attempt, c, decision, read.Position)
		}
		switch {
		case err == nil:
			return decision.Next, decision.Revision, nil
		case final(err):
			return nil, 0, err
		}
		if pauseErr := pause(ctx); pauseErr != nil {
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
func (s *Store) decide(ctx context.Context, a *configuration.Attempt, held *configuration.State) (configuration.Decision, configuration.Read, error) {
	read, err := s.read(ctx, a.Full(), held)
	if err != nil {
		return configuration.Decision{}, read, errors.Mark(err, errRetry)
	}
	decision, err := a.Decide(held, read)
	return decision, read, err
}

// read returns the head with the state of this process where they agree, else
// the whole state; full includes the history.
func (s *Store) read(ctx context.Context, full bool, held *configuration.State) (configuration.Read, error) {
	if !full {
		response, err := s.kv.Range(ctx, headKey)
		if err != nil {
			return configuration.Read{}, err
		}
		if read, ok := decodeHead(response, held); ok {
			return read, nil
		}
	}
	prefix := statePrefix
	if full {
		prefix = rootPrefix
	}
	response, err := s.kv.Range(ctx, prefix)
	if err != nil {
		return configuration.Read{}, err
	}
	return decode(response)
}

func (s *Store) write(ctx context.Context, a *configuration.Attempt, c *configuration.Change, d configuration.Decision, position int64) error {
	request, err := encode(c, d, position)
	if err != nil {
		return verdict.Errorf(verdict.NotRun, verdict.CodeInternal, "encode the change: %v", err)
	}
	response, err := s.kv.Txn(ctx, request)
	if err == nil && response.Succeeded {
		return nil
	}
	if err == nil {
		a.Refused(response.Revision)
		return errors.Mark(errors.New("another change went ahead"), errRetry)
	}
	failure := verdict.From(err)
	switch {
	case failure.Code == verdict.CodeTooLarge:
		return failure
	case failure.Verdict != verdict.NotRun:
		a.Lost(d)
	}
	return errors.Mark(failure, errRetry)
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unresolved says what is known of a change when the time is up.
func unresolved(a *configuration.Attempt, cause error) error {
	if a.Unresolved() {
		return verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "the change may have been made: %v", cause)
	}
	return verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "the change was not made: %v", cause)
}
