package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
)

// Configuration implements operators.Backend.
func (d *Daemon) Configuration() *api.Configuration {
	s := d.configuration.table.Current()
	answer := &api.Configuration{
		VM: d.settings.Network.VM, Revision: s.Revision(), Fingerprint: hex(s.Fingerprint()),
		Entries: []api.ConfigurationEntry{},
	}
	for _, e := range s.Entries("") {
		answer.Entries = append(answer.Entries, api.ConfigurationEntry{Key: e.Key, Value: e.Value, Revision: e.Revision})
	}
	return answer
}

// Change implements operators.Backend.
func (d *Daemon) Change(ctx context.Context, r *api.ChangeRequest) *api.ChangeResponse {
	change := &configuration.Change{ID: r.ID, Author: r.Author, Note: r.Note, At: time.Now(), Base: r.Base}
	for _, e := range r.Edits {
		change.Edits = append(change.Edits, configuration.Edit(e))
	}
	if problems := d.validate(change.Edits); len(problems) > 0 {
		return &api.ChangeResponse{Outcome: api.ChangeInvalid, Problems: problems, Reason: "nothing was changed"}
	}
	if r.ID == "" || len(r.Edits) == 0 {
		return &api.ChangeResponse{Outcome: api.ChangeInvalid, Reason: "a change needs an ID and at least one edit"}
	}
	// The start of a drain aborts the commit, so that the drain does not wait for
	// the platform's store. The operator can retry on another VM with the same
	// change ID.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.draining, cancel)()
	revision, err := d.configuration.commit(ctx, change, r.Retry)
	if err == nil {
		return &api.ChangeResponse{Outcome: api.ChangeAccepted, Revision: revision}
	}
	return changeFailure(err)
}

// changeFailure returns the response to a change that was not accepted.
func changeFailure(err error) *api.ChangeResponse {
	var conflict *configuration.ConflictError
	var tooLarge *configuration.TooLargeError
	switch {
	case errors.As(err, &conflict):
		response := &api.ChangeResponse{
			Outcome: api.ChangeConflict, Base: conflict.Base, Revision: conflict.Current, Reason: conflict.Error(),
		}
		for _, e := range conflict.Theirs {
			response.Theirs = append(response.Theirs, api.ConfigurationEdit(e))
		}
		return response
	case errors.As(err, &tooLarge):
		return &api.ChangeResponse{Outcome: api.ChangeInvalid, Reason: tooLarge.Reason}
	}
	failure := verdict.From(err)
	switch {
	case failure.Verdict != verdict.NotRun:
		return &api.ChangeResponse{Outcome: api.ChangeUnknown, Reason: failure.Reason}
	case failure.Code == verdict.CodeTooLarge:
		return &api.ChangeResponse{Outcome: api.ChangeInvalid, Reason: failure.Reason}
	}
	return &api.ChangeResponse{Outcome: api.ChangeUnavailable, Reason: failure.Reason}
}

// History implements operators.Backend.
func (d *Daemon) History(ctx context.Context) (*api.HistoryResponse, error) {
	if d.configuration.store == nil {
		return nil, errors.New("no platform configured: the configuration history requires -platform")
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Configuration.CommitTimeout)
	defer cancel()
	changes, err := d.configuration.store.History(ctx)
	return &api.HistoryResponse{Changes: changes}, err
}
