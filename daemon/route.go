package daemon

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/ownership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

const (
	// maxHops bounds the forwards of a call while VMs disagree on its owner.
	maxHops = 4
	// rerouteInterval is the longest wait before a call is routed anew.
	rerouteInterval = 20 * time.Millisecond
	// answerGrace lets the answer that reports a missed deadline, whose
	// verdict is sharper, arrive.
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

// route is the way of one call at this VM. It is used by one goroutine.
type route struct {
	d       *Daemon
	request *submission.Request
	call    ownership.Call
	hops    uint8
	// mayHaveArrived tells that an attempt may have reached another VM.
	mayHaveArrived bool
	// unreachableMembers are members that could not be reached.
	unreachableMembers map[membership.Member]bool
	reason             string
	answer             submission.Answer
}

func (d *Daemon) newRoute(r *submission.Request, hops uint8, pinnedTo uint64) *route {
	return &route{
		d: d, request: r, hops: hops, unreachableMembers: map[membership.Member]bool{},
		call: ownership.Call{
			ID: r.ID, Digest: r.Digest(), FreshKey: r.FreshKey, PinnedTo: membership.ID(pinnedTo),
			Expires: r.Deadline.Add(d.settings.Jobs.Retention),
		},
	}
}

// run follows the call until it has an answer. While the members change it is
// routed anew under its one key, which the owner joins to earlier attempts.
func (t *route) run(ctx context.Context) submission.Answer {
	ctx, cancel := context.WithDeadline(ctx, t.request.Deadline)
	defer cancel()
	for {
		viewChanged, transferred := t.d.node.Members().Changed(), t.d.node.TransfersChanged()
		step := t.d.node.Begin(time.Now(), t.call)
		if t.execute(ctx, step) {
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
		if ctx.Err() != nil {
			return t.deadlineAnswer()
		}
	}
}

// execute carries out a step. It returns true where the call has its answer.
func (t *route) execute(ctx context.Context, step ownership.Step) bool {
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
		return t.execute(ctx, t.storeRecord(ctx, step))
	case ownership.Run:
		t.d.decisions.Route(t.request.ID, t.d.settings.Network.DataCentre, t.d.settings.Network.VM, "owner")
		t.d.startJob(t.request, step.Entry)
		return t.await(step.Entry)
	default:
		t.reason = step.Reason
		return false
	}
}

func (t *route) complete(outcome submission.Outcome) bool {
	t.answer = submission.Answer{Outcome: outcome, Owner: t.d.settings.Network.VM}
	return true
}

func (t *route) fail(v verdict.Verdict, code verdict.Code, format string, args ...any) bool {
	return t.complete(submission.Outcome{Failure: verdict.Errorf(v, code, format, args...)})
}

// storeRecord stores the start storeRecord and returns what follows.
func (t *route) storeRecord(ctx context.Context, step ownership.Step) ownership.Step {
	if err := t.d.storeRecord(ctx, step.Entry.Record, step.To); err != nil {
		return t.d.node.RecordFailed(step.Entry)
	}
	return t.d.node.RecordAcknowledged(step.Entry, step.To)
}

// await waits for the end of a submission, or for the caller's deadline.
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
	if t.call.FreshKey && !t.mayHaveArrived || t.d.node.ProvablyNotRun(time.Now(), t.call) {
		v = verdict.NotRun
	}
	t.fail(v, verdict.CodeDeadline, "the deadline passed: %s", t.reason)
	return t.answer
}

// forwardTarget returns the owner, or another member of its data centre where the
// owner of another one could not be reached; that one knows better who owns.
func (t *route) forwardTarget(owner membership.Member) membership.Member {
	view := t.d.node.View()
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

// forward sends the call to a member and takes its answer. It returns false
// where the call is to be routed anew.
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
		t.reason = "the members disagree on the owner"
		return false
	}
	if response.Unstarted {
		return t.execute(ctx, t.d.node.HandleUnstarted(r.ID, to))
	}
	t.answer = submission.Answer{Outcome: decodeOutcome(&response), Owner: response.Owner}
	return true
}

// handleForwardError judges a forward that got no answer.
func (t *route) handleForwardError(ctx context.Context, to membership.Member, err error) bool {
	if callVerdict(err) != verdict.NotRun {
		t.mayHaveArrived, t.call.FreshKey = true, false
	}
	t.unreachableMembers[to] = true
	t.reason = err.Error()
	if ctx.Err() != nil {
		return t.fail(t.verdict(), verdict.CodeDeadline, "owner of the submission: %v", err)
	}
	t.d.checkMember(to)
	return false
}

// failUnreachable answers a call whose home data centre cannot be reached.
func (t *route) failUnreachable() bool {
	return t.complete(submission.Outcome{Failure: verdict.Errorf(t.verdict(), verdict.CodeUnreachable,
		"no VM of the caller's home data centre can be reached: %s", t.reason).WithRetryAfter(verdict.MinRetryAfter)})
}

// verdict covers all that this VM knows of: an earlier attempt may have run
// unless the key is fresh.
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
