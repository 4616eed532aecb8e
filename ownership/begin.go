package ownership

import (
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Call is one attempt to run a submission.
type Call struct {
	ID     submission.ID
	Digest uint64
	// FreshKey is true if no earlier attempt can have used the key.
	FreshKey bool
	// PinnedTo is the recorded starter that the call is addressed to, whatever
	// its rank; 0 addresses the owner.
	PinnedTo membership.ID
	// Expires is the time at which the retention period ends.
	Expires time.Time
}

// Step is the next action for a call.
type Step struct {
	Kind StepKind
	// To receives the call (Forward, ForwardPinned) or the record (StoreRecord).
	To membership.Member
	// Entry is the submission (Await, StoreRecord, Run).
	Entry *submission.Entry
	// Outcome is the answer (Answer).
	Outcome submission.Outcome
	// Reason says why the call has to wait (Retry).
	Reason string
}

// StepKind is the kind of a Step.
type StepKind uint8

// Kinds of steps.
const (
	// Answer completes the call with Outcome.
	Answer StepKind = iota
	// Forward sends the call to its owner.
	Forward
	// ForwardPinned sends the call to the incarnation that may have started
	// the submission. If that answers Unstarted, call HandleUnstarted.
	ForwardPinned
	// Await waits for the entry to complete. If it is abandoned, call Begin
	// again.
	Await
	// Retry calls Begin again after the view has changed or a transfer has
	// completed.
	Retry
	// StoreRecord sends the entry's record to its holder, then calls
	// RecordAcknowledged or RecordFailed.
	StoreRecord
	// Run starts the tasks of the entry.
	Run
	// Unstarted answers a pinned call: this process has not started the
	// submission and never will.
	Unstarted
)

// Begin decides how this process handles a call.
func (n *Node) Begin(now time.Time, c Call) Step {
	if e := n.submissions.Owned(now, c.ID); e != nil {
		return await(e, c)
	}
	view := n.View()
	n.gaps.observeView(now, view)
	home := view.HomeOf(c.ID.Caller)
	first, second, ok := view.Ranked(home, c.ID.Hash())
	isOwner := ok && first == view.Self
	switch {
	case c.PinnedTo != 0 && c.PinnedTo != view.Self.ID():
		return ownerLost()
	case c.PinnedTo != 0 && !isOwner:
		return Step{Kind: Unstarted}
	case c.PinnedTo != 0:
		return Step{Kind: Retry, Reason: "members disagree on the owner"}
	case !ok:
		return Step{Kind: Retry, Reason: "data centre " + home + " has no known member"}
	case !isOwner && view.Admitted(first.ID()):
		return Step{Kind: Forward, To: first}
	case !isOwner:
		return Step{Kind: Retry, Reason: "the owner is joining"}
	}
	return n.beginOwned(now, c, view, second)
}

// beginOwned handles a call whose submission this process owns.
func (n *Node) beginOwned(now time.Time, c Call, view *membership.View, holder membership.Member) Step {
	n.pending.Add(1)
	step := n.createEntry(now, c, view, holder)
	if step.Kind != StoreRecord {
		n.pending.Add(-1)
	}
	return step
}

// createEntry adds the submission to the table. It inserts the entry before it
// reads the view again, and a join publishes its view before it collects the
// entries to transfer. So either the joining member receives the entry, or
// createEntry sees the new view.
func (n *Node) createEntry(now time.Time, c Call, view *membership.View, holder membership.Member) Step {
	self := view.Self.ID()
	hasHolder := holder.VM != ""
	if !view.Admitted(self) || n.leaving.Load() {
		return Step{Kind: Retry, Reason: "the owner is starting or draining"}
	}
	if hasHolder && !n.isUpToDate(view, holder) {
		return Step{Kind: Retry, Reason: "the record holder is still receiving records"}
	}
	mayBeLost := !c.FreshKey && n.gaps.mayBeLost(now, c.ID.Hash())
	action, e, r := n.submissions.Begin(now, submission.Record{
		ID: c.ID, Digest: c.Digest, Starter: self, Expires: c.Expires,
	})
	switch action {
	case submission.Wait, submission.Conflict:
		return await(e, c)
	case submission.StartedElsewhere:
		return startedElsewhere(view, r)
	case submission.Full:
		return n.tableFull(mayBeLost)
	}
	if mayBeLost {
		n.submissions.Abandon(e)
		return historyLost()
	}
	if n.View() != view {
		n.submissions.Abandon(e)
		return Step{Kind: Retry, Reason: "the membership view changed"}
	}
	if !hasHolder {
		return Step{Kind: Run, Entry: e}
	}
	return Step{Kind: StoreRecord, Entry: e, To: holder}
}

func await(e *submission.Entry, c Call) Step {
	if e.Digest != c.Digest {
		return answerFailure(verdict.Errorf(verdict.MayHaveRun, verdict.CodeKeyReused, "the key was already used with a different request"))
	}
	return Step{Kind: Await, Entry: e}
}

// startedElsewhere handles a submission that another incarnation may have started.
func startedElsewhere(view *membership.View, r submission.Record) Step {
	if r.Outcome != nil {
		return Step{Kind: Answer, Outcome: *r.Outcome}
	}
	if f, found := view.Fact(r.Starter); found && f.Termination == membership.NotTerminated {
		return Step{Kind: ForwardPinned, To: f.Member}
	}
	return ownerLost()
}

func ownerLost() Step {
	return answerFailure(verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost,
		"the owner of the submission terminated while the submission may have been running"))
}

// tableFull answers a call that the table has no memory for. mayBeLost is true if
// the history of its submission may be lost.
func (n *Node) tableFull(mayBeLost bool) Step {
	if mayBeLost {
		return historyLost()
	}
	return answerFailure(verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded,
		"the memory budget for submissions is exhausted").WithRetryAfter(verdict.MinRetryAfter))
}

func historyLost() Step {
	return answerFailure(verdict.Errorf(verdict.MayHaveRun, verdict.CodeUncovered,
		"the owner of the submission and its record holder were lost together"))
}

func answerFailure(f *verdict.Error) Step {
	return Step{Kind: Answer, Outcome: submission.Outcome{Failure: f}}
}

// HandleUnstarted drops the record of a submission after its recorded starter
// has denied starting it. The call must begin again.
func (n *Node) HandleUnstarted(id submission.ID, starter membership.Member) Step {
	if !n.submissions.DropRecord(id, starter.ID()) {
		return ownerLost()
	}
	return Step{Kind: Retry, Reason: "the recorded starter did not start the submission"}
}

// HandleRecords stores start records for an owner. It rejects them if the owner
// has departed.
func (n *Node) HandleRecords(now time.Time, m *Records) *RecordsReply {
	if m.To != n.View().Self.ID() {
		return &RecordsReply{}
	}
	for _, r := range m.Records {
		if !n.submissions.StoreRecord(now, r) {
			return &RecordsReply{}
		}
	}
	// Store the records before reading the view, as in createEntry: either a
	// call made after the owner departed finds the records, or this view
	// shows the departure.
	f, known := n.View().Fact(m.From.ID())
	return &RecordsReply{Accepted: known && f.Termination == membership.NotTerminated && !f.Leaving}
}

// RecordAcknowledged returns the next step after the holder has acknowledged the
// entry's record.
func (n *Node) RecordAcknowledged(e *submission.Entry, holder membership.Member) Step {
	defer n.pending.Add(-1)
	view := n.View()
	f, _ := view.Fact(holder.ID())
	if e.Starter != view.Self.ID() || !view.Admitted(e.Starter) || f.Termination != membership.NotTerminated || f.Leaving {
		n.submissions.Abandon(e)
		return Step{Kind: Retry, Reason: "the record holder departed"}
	}
	n.submissions.AddReplica(e.ID, holder.ID())
	return Step{Kind: Run, Entry: e}
}

// RecordFailed abandons an entry whose record was not acknowledged.
func (n *Node) RecordFailed(e *submission.Entry) Step {
	defer n.pending.Add(-1)
	n.submissions.Abandon(e)
	return Step{Kind: Retry, Reason: "the record was not acknowledged"}
}

// StartUntil returns the time until which tasks of an entry may be started. ok
// is false if none may be started.
func (n *Node) StartUntil(now time.Time, e *submission.Entry) (until time.Time, ok bool) {
	until, ok = n.members.MayStartUntil(now)
	return until, ok && e.Starter == n.View().Self.ID()
}

// ProvablyNotRun reports whether no task of a submission can have started: this
// process owns it, has no entry for it and has its complete history.
func (n *Node) ProvablyNotRun(now time.Time, c Call) bool {
	view := n.View()
	n.gaps.observeView(now, view)
	first, _, ok := view.Ranked(view.HomeOf(c.ID.Caller), c.ID.Hash())
	return ok && first == view.Self && view.Admitted(first.ID()) && !n.leaving.Load() &&
		!n.gaps.mayBeLost(now, c.ID.Hash()) && !n.submissions.Has(now, c.ID) && n.View() == view
}
