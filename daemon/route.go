package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/ownership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

const (
	// maxHops limits the forwards of a call while VMs disagree on its owner.
	maxHops = 4
	// rerouteInterval is the longest wait before a call is routed again.
	rerouteInterval = 20 * time.Millisecond
	// answerGrace is the extra wait after the deadline for the owner's answer,
	// which has a more precise verdict than this VM can give.
	answerGrace = 50 * time.Millisecond
)

// Submit implements httpfront.Backend.
func (d *Daemon) Submit(ctx context.Context, r *submission.Request) submission.Answer {
	d.metrics.calls.Add(1)
	answer := d.newRoute(r, 0, 0).run(ctx)
	switch failure := answer.Outcome.Failure; {
	case failure == nil:
		d.metrics.complete.Add(1)
	default:
		d.metrics.failed.Add(1)
		if failure.Verdict == verdict.MayHaveRun {
			d.metrics.mayHaveRun.Add(1)
		}
		d.decisions.Refusal(r.ID, failure)
	}
	return answer
}

// route is the state of one call on this VM. It is not safe for concurrent use.
type route struct {
	d       *Daemon
	request *submission.Request
	call    ownership.Call
	hops    uint8
	// mayHaveArrived is true if an attempt may have reached another VM.
	mayHaveArrived bool
	// unreachableMembers holds the members that did not answer a forward.
	unreachableMembers map[membership.Member]bool
	// reason says why the last attempt did not complete the call.
	reason string
	answer submission.Answer
}

// newRoute returns the route of a call that was forwarded hops times. pinnedTo is
// the incarnation that it is addressed to, or 0 if it is addressed to the owner.
func (d *Daemon) newRoute(r *submission.Request, hops uint8, pinnedTo uint64) *route {
	return &route{
		d: d, request: r, hops: hops, unreachableMembers: map[membership.Member]bool{},
		call: ownership.Call{
			ID: r.ID, Digest: r.Digest(), FreshKey: r.FreshKey, PinnedTo: membership.ID(pinnedTo),
			Expires: r.Deadline.Add(d.settings.Jobs.Retention),
		},
	}
}

// run routes the call until it has an answer or its deadline has passed. Each retry
// uses the same key, so that the owner recognizes it as the same submission.
func (t *route) run(ctx context.Context) submission.Answer {
	ctx, cancel := context.WithDeadline(ctx, t.request.Deadline)
	defer cancel()
	for {
		viewChanged, transferred := t.d.ownership.Membership().Changed(), t.d.ownership.TransfersChanged()
		step := t.d.ownership.Begin(time.Now(), t.call)
		if t.performStep(ctx, step) {
			return t.answer
		}
		timer := time.NewTimer(rerouteInterval)
		select {
		case <-viewChanged:
		case <-transferred:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		switch {
		case ctx.Err() == nil:
		case t.hops > 0 && errors.Is(ctx.Err(), context.Canceled):
			// This VM stops. The VM that has forwarded the call routes it again.
			t.answer = submission.Answer{Reroute: true}
			return t.answer
		default:
			return t.deadlineAnswer()
		}
	}
}

// performStep performs a step. It returns true if the call has its answer.
func (t *route) performStep(ctx context.Context, step ownership.Step) bool {
	switch step.Kind {
	case ownership.Answer:
		return t.complete(step.Outcome)
	case ownership.Unstarted:
		t.answer = submission.Answer{Unstarted: true}
		return true
	case ownership.Forward:
		return t.forward(ctx, t.forwardTarget(step.To), 0)
	case ownership.ForwardPinned:
		return t.forward(ctx, step.To, step.To.ID())
	case ownership.Await:
		return t.await(step.Entry)
	case ownership.StoreRecord:
		return t.performStep(ctx, t.storeRecord(ctx, step))
	case ownership.Run:
		t.d.decisions.Route(t.request.ID, t.d.settings.Network.DataCentre, t.d.settings.Network.VM, "owner")
		t.d.startJob(t.request, step.Entry)
		return t.await(step.Entry)
	default:
		t.reason = step.Reason
		return false
	}
}

// complete sets the outcome as the answer. It always returns true, so that
// performStep can return its result.
func (t *route) complete(outcome submission.Outcome) bool {
	t.answer = submission.Answer{Outcome: outcome, Owner: t.d.settings.Network.VM}
	return true
}

// fail completes the call with a failure. It always returns true, as complete does.
func (t *route) fail(v verdict.Verdict, code verdict.Code, format string, args ...any) bool {
	return t.complete(submission.Outcome{Failure: verdict.Errorf(v, code, format, args...)})
}

// storeRecord stores the start record on its holder and returns the next step.
func (t *route) storeRecord(ctx context.Context, step ownership.Step) ownership.Step {
	if err := t.d.storeRecord(ctx, step.Entry.Record, step.To); err != nil {
		return t.d.ownership.RecordFailed(step.Entry)
	}
	return t.d.ownership.RecordAcknowledged(step.Entry, step.To)
}

// await waits until the submission completes or the caller's deadline has passed.
// It returns false if the entry was abandoned.
func (t *route) await(entry *submission.Entry) bool {
	timer := time.NewTimer(time.Until(t.request.Deadline.Add(answerGrace)))
	defer timer.Stop()
	select {
	case <-entry.Done():
		if entry.Abandoned() {
			return false
		}
		return t.complete(entry.Outcome())
	case <-timer.C:
		return t.fail(verdict.MayHaveRun, verdict.CodeDeadline, "the submission is still running")
	}
}

// deadlineAnswer answers a call whose deadline passed while it was routed.
func (t *route) deadlineAnswer() submission.Answer {
	v := verdict.MayHaveRun
	if t.call.FreshKey && !t.mayHaveArrived || t.d.ownership.ProvablyNotRun(time.Now(), t.call) {
		v = verdict.NotRun
	}
	t.fail(v, verdict.CodeDeadline, "the deadline passed while the call was routed: %s", t.reason)
	return t.answer
}

// forwardTarget returns the owner. If the owner is in another data centre and
// could not be reached, it returns another member there, which has newer
// information on the ownership. It returns the zero Member if there is none.
func (t *route) forwardTarget(owner membership.Member) membership.Member {
	view := t.d.ownership.View()
	if owner.DataCentre == view.Self.DataCentre || !t.unreachableMembers[owner] {
		return owner
	}
	for _, m := range view.Members(owner.DataCentre) {
		if !t.unreachableMembers[m] {
			return m
		}
	}
	return membership.Member{}
}

// forward sends the call to a member and takes its answer. It returns false if the
// call must be routed again.
func (t *route) forward(ctx context.Context, to membership.Member, pinnedTo membership.ID) bool {
	if to.VM == "" {
		return t.failUnreachable()
	}
	if t.hops >= maxHops {
		t.answer = submission.Answer{Reroute: true}
		return true
	}
	t.d.metrics.forwards.Add(1)
	t.d.decisions.Route(t.request.ID, to.DataCentre, to.VM, "forward")
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), t.request.Deadline.Add(answerGrace))
	defer cancel()
	r := t.request
	request := &wire.SubmitRequest{
		Caller: r.ID.Caller, Key: r.ID.Key, Service: r.Service, Call: r.Call, Parameters: r.Parameters,
		TimeoutMS: time.Until(r.Deadline).Milliseconds(), Hops: t.hops + 1,
		FreshKey: r.FreshKey && !t.mayHaveArrived, PinnedTo: uint64(pinnedTo),
	}
	var response wire.SubmitResponse
	err := t.d.callMember(ctx, to, request, &response)
	if err != nil {
		return t.handleForwardError(ctx, to, err)
	}
	if response.Reroute {
		t.reason = "members disagree on the owner"
		return false
	}
	if response.Unstarted {
		return t.performStep(ctx, t.d.ownership.HandleUnstarted(r.ID, to))
	}
	t.answer = submission.Answer{Outcome: decodeOutcome(&response), Owner: response.Owner}
	return true
}

// handleForwardError handles a forward that got no answer.
func (t *route) handleForwardError(ctx context.Context, to membership.Member, err error) bool {
	if callVerdict(err) != verdict.NotRun {
		t.mayHaveArrived, t.call.FreshKey = true, false
	}
	t.unreachableMembers[to] = true
	t.reason = err.Error()
	if ctx.Err() != nil {
		return t.fail(t.verdict(), verdict.CodeDeadline, "cannot reach the owner of the submission: %v", err)
	}
	t.d.checkMember(to)
	return false
}

// failUnreachable answers a call whose home data centre cannot be reached.
func (t *route) failUnreachable() bool {
	return t.complete(submission.Outcome{Failure: verdict.Errorf(t.verdict(), verdict.CodeUnreachable,
		"no VM of the caller's home data centre can be reached: %s", t.reason).WithRetryAfter(verdict.MinRetryAfter)})
}

// verdict returns NotRun if no attempt can have reached an owner, and MayHaveRun
// otherwise.
func (t *route) verdict() verdict.Verdict {
	if t.call.FreshKey && !t.mayHaveArrived {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// handleSubmit serves a forwarded submission.
func (d *Daemon) handleSubmit(ctx context.Context, _ *wire.Hello, m *wire.SubmitRequest) wire.Message {
	d.forwards.Add(1)
	defer d.forwards.Add(-1)
	r := &submission.Request{
		ID:      submission.ID{Caller: m.Caller, Key: m.Key},
		Service: m.Service, Call: m.Call, Parameters: m.Parameters, FreshKey: m.FreshKey,
		Deadline: time.Now().Add(time.Duration(m.TimeoutMS) * time.Millisecond),
	}
	return encodeAnswer(d.newRoute(r, m.Hops, m.PinnedTo).run(ctx))
}
