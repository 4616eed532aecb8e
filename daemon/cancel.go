package daemon

import (
	"context"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Cancel implements httpfront.Backend.
func (d *Daemon) Cancel(ctx context.Context, id submission.ID) *verdict.Error {
	return d.routeCancel(ctx, id, 0)
}

// routeCancel cancels a submission on this VM or forwards the request to its
// owner. hops counts the forwards so far.
func (d *Daemon) routeCancel(ctx context.Context, id submission.ID, hops uint8) *verdict.Error {
	view := d.ownership.View()
	owner, _, ok := view.Ranked(view.HomeOf(id.Caller), id.Hash())
	if ok && owner == view.Self || d.submissions.Work(id) != nil {
		return d.cancelOwned(id)
	}
	if !ok || hops >= maxHops {
		return verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "the submission has no reachable owner")
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Network.PeerTimeout)
	defer cancel()
	request := &wire.CancelRequest{Caller: id.Caller, Key: id.Key, Hops: hops + 1}
	var response wire.SubmitResponse
	if err := d.callMember(ctx, owner, request, &response); err != nil {
		return verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "cannot reach the owner of the submission: %v", err)
	}
	return decodeOutcome(&response).Failure
}

func (d *Daemon) handleCancel(ctx context.Context, _ *wire.Hello, m *wire.CancelRequest) wire.Message {
	failure := d.routeCancel(ctx, submission.ID{Caller: m.Caller, Key: m.Key}, m.Hops)
	return encodeAnswer(submission.Answer{Outcome: submission.Outcome{Failure: failure}, Owner: d.settings.Network.VM})
}
