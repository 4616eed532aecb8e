package daemon

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// maxHops bounds the forwards of a call while VMs disagree on its owner.
const maxHops = 3

// Submit implements httpfront.Backend.
func (d *Daemon) Submit(ctx context.Context, r *submission.Request) submission.Answer {
	d.metrics.calls.Add(1)
	answer := d.route(ctx, r, 0)
	switch failure := answer.Outcome.Failure; {
	case failure == nil:
		d.metrics.complete.Add(1)
	default:
		d.metrics.failed.Add(1)
		if failure.Verdict == verdict.MayHaveRun {
			d.metrics.mayHave.Add(1)
		}
		d.decisions.Refusal(r.ID, failure)
	}
	return answer
}

// route runs a submission here or forwards it to its owner.
func (d *Daemon) route(ctx context.Context, r *submission.Request, hops uint8) submission.Answer {
	view := d.members.View()
	home := view.HomeOf(r.ID.Caller)
	owner, holder, ok := view.Ranked(home, r.ID.Hash())
	if !ok {
		return d.failed(verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "data centre %s has no VM", home))
	}
	if owner.VM == view.Self.VM {
		d.decisions.Route(r.ID, home, owner.VM, "owner")
		return submission.Answer{Outcome: d.own(ctx, r, holder), Owner: owner.VM}
	}
	if hops >= maxHops {
		return d.failed(verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "owner not settled after %d forwards", hops))
	}
	d.decisions.Route(r.ID, home, owner.VM, "forward")
	return d.forward(ctx, r, owner.Address, hops+1)
}

func (d *Daemon) failed(failure *verdict.Error) submission.Answer {
	return submission.Answer{Outcome: submission.Outcome{Failure: failure}, Owner: d.settings.Network.VM}
}

// forward sends a submission to its owner and waits for the answer.
func (d *Daemon) forward(ctx context.Context, r *submission.Request, address string, hops uint8) submission.Answer {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.metrics.forwards.Add(1)
	request := &wire.SubmitRequest{
		Caller: r.ID.Caller, Key: r.ID.Key, Service: r.Service, Call: r.Call,
		Parameters: r.Parameters, TimeoutMS: time.Until(r.Deadline).Milliseconds(), Hops: hops,
	}
	var response wire.SubmitResponse
	if err := d.peers.Call(ctx, address, request, &response); err != nil {
		// An earlier attempt under the key may have run even if this one did
		// not reach the owner. Only a key that is new cannot have been used.
		v := verdict.MayHaveRun
		if r.FreshKey {
			v = verdictOf(err)
		}
		return d.failed(verdict.Errorf(v, verdict.CodeUnreachable, "owner of the submission: %v", err))
	}
	return submission.Answer{Outcome: outcomeOf(&response), Owner: response.Owner}
}

// handleSubmit serves a forwarded submission.
func (d *Daemon) handleSubmit(ctx context.Context, _ *wire.Hello, m *wire.SubmitRequest) wire.Message {
	r := &submission.Request{
		ID:      submission.ID{Caller: m.Caller, Key: m.Key},
		Service: m.Service, Call: m.Call, Parameters: m.Parameters,
		Deadline: time.Now().Add(time.Duration(m.TimeoutMS) * time.Millisecond),
	}
	return responseOf(d.route(ctx, r, m.Hops))
}

// Cancel implements httpfront.Backend.
func (d *Daemon) Cancel(ctx context.Context, id submission.ID) *verdict.Error {
	return d.routeCancel(ctx, id, 0)
}

func (d *Daemon) routeCancel(ctx context.Context, id submission.ID, hops uint8) *verdict.Error {
	view := d.members.View()
	owner, _, ok := view.Ranked(view.HomeOf(id.Caller), id.Hash())
	if ok && owner.VM == view.Self.VM {
		return d.cancelOwned(id)
	}
	if !ok || hops >= maxHops {
		return verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "no owner of the submission")
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Network.PeerTimeout)
	defer cancel()
	request := &wire.CancelRequest{Caller: id.Caller, Key: id.Key, Hops: hops + 1}
	var response wire.SubmitResponse
	if err := d.peers.Call(ctx, owner.Address, request, &response); err != nil {
		return verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "owner of the submission: %v", err)
	}
	return outcomeOf(&response).Failure
}

func (d *Daemon) handleCancel(ctx context.Context, _ *wire.Hello, m *wire.CancelRequest) wire.Message {
	failure := d.routeCancel(ctx, submission.ID{Caller: m.Caller, Key: m.Key}, m.Hops)
	return responseOf(submission.Answer{Outcome: submission.Outcome{Failure: failure}, Owner: d.settings.Network.VM})
}
