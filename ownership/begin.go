package ownership

import (
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Call is an attempt of a submission.
type Call struct {
	ID     submission.ID
	Digest uint64
	// FreshKey tells that no earlier attempt can have used the key.
	FreshKey bool
	// PinnedTo is the incarnation that is asked as the recorded starter of the
	// submission, whatever its rank; 0 asks the owner.
	PinnedTo membership.ID
	// Expires is the end of the retention.
	Expires time.Time
}

// Step tells what to do with a call next.
type Step struct {
	Kind StepKind
	// To receives the call (Forward, ForwardPinned) or the record (Record).
	To membership.Member
	// Entry is the submission (Await, Record, Run).
	Entry *submission.Entry
	// Outcome is the answer (Answer).
	Outcome submission.Outcome
	// Reason tells why the call has to wait (Retry).
	Reason string
}

// StepKind tells what a Step asks for.
type StepKind uint8

// Kinds of steps.
const (
	// Answer ends the call.
	Answer StepKind = iota
	// Forward sends the call to its owner.
	Forward
	// ForwardPinned sends the call to the incarnation that may have started
	// the submission. Where that says Unstarted, Unstarted is called here.
	ForwardPinned
	// Await waits for the entry. Where it is abandoned, Begin is called again.
	Await
	// Retry calls Begin again once the view has changed or a fill is done.
	Retry
	// StoreRecord stores the entry's record, then calls RecordAcknowledged or
	// RecordFailed.
	StoreRecord
	// Run starts the tasks of the entry.
	Run
	// Unstarted answers a pinned call: this process has not started the
	// submission and will not.
	Unstarted
)

// Begin decides what a call does at this process.
func (n *Node) Begin(now time.Time, c Call) Step {
	if e := n.submissions.Owned(now, c.ID); e != nil {
		return await(e, c)
	}
	view := n.View()
	n.coverage.judge(now, view)
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
	return n.own(now, c, view, second)
}

// own begins a submission for which this process is first in rank.
func (n *Node) own(now time.Time, c Call, view *membership.View, holder membership.Member) Step {
	n.pending.Add(1)
	step := n.admit(now, c, view, holder)
	if step.Kind != StoreRecord {
		n.pending.Add(-1)
	}
	return step
}

// admit enters the submission. The entry is inserted before the view is read
// again, and a join publishes its view before it collects the entries to hand
// over: so either the joiner gets the entry or the change is seen here.
func (n *Node) admit(now time.Time, c Call, view *membership.View, holder membership.Member) Step {
	self := view.Self.ID()
	hasHolder := holder.VM != ""
	if !view.Admitted(self) || n.leaving.Load() {
		return Step{Kind: Retry, Reason: "the owner is starting or draining"}
	}
	if hasHolder && !n.isFilled(view, holder) {
		return Step{Kind: Retry, Reason: "the record holder is being filled"}
	}
	lost := !c.FreshKey && n.coverage.lacks(now, c.ID.Hash())
	action, e, r := n.submissions.Begin(now, submission.Record{
		ID: c.ID, Digest: c.Digest, Starter: self, Expires: c.Expires,
	})
	switch action {
	case submission.Wait, submission.Conflict:
		return await(e, c)
	case submission.StartedElsewhere:
		return known(view, r)
	case submission.Full:
		return n.full(lost)
	}
	if lost {
		n.submissions.Abandon(e)
		return uncovered()
	}
	if n.View() != view {
		n.submissions.Abandon(e)
		return Step{Kind: Retry, Reason: "the members changed"}
	}
	if !hasHolder {
		return Step{Kind: Run, Entry: e}
	}
	return Step{Kind: StoreRecord, Entry: e, To: holder}
}

func await(e *submission.Entry, c Call) Step {
	if e.Digest != c.Digest {
		return failure(verdict.Errorf(verdict.MayHaveRun, verdict.CodeKeyReused, "the key was used with another request"))
	}
	return Step{Kind: Await, Entry: e}
}

// known decides on a submission that another incarnation may have started.
func known(view *membership.View, r submission.Record) Step {
	if r.Outcome != nil {
		return Step{Kind: Answer, Outcome: *r.Outcome}
	}
	if f, found := view.Fact(r.Starter); found && f.Termination == membership.NotTerminated {
		return Step{Kind: ForwardPinned, To: f.Member}
	}
	return ownerLost()
}

func ownerLost() Step {
	return failure(verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost,
		"the owner of the submission ended while it may have been running"))
}

func (n *Node) full(lost bool) Step {
	if lost {
		return uncovered()
	}
	return failure(verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded,
		"the memory for submissions is used up").WithRetryAfter(verdict.MinRetryAfter))
}

func uncovered() Step {
	return failure(verdict.Errorf(verdict.MayHaveRun, verdict.CodeUncovered,
		"the owner of the submission and its record holder were lost together"))
}

func failure(f *verdict.Error) Step {
	return Step{Kind: Answer, Outcome: submission.Outcome{Failure: f}}
}

// HandleUnstarted notes that the starter of a submission says that it did not start
// it. The call is to begin again.
func (n *Node) HandleUnstarted(id submission.ID, starter membership.Member) Step {
	if !n.submissions.DropRecord(id, starter.ID()) {
		return ownerLost()
	}
	return Step{Kind: Retry, Reason: "the recorded starter did not start the submission"}
}

// HandleRecords stores the records of an owner that has not departed.
func (n *Node) HandleRecords(now time.Time, m *Records) *RecordsReply {
	if m.To != n.View().Self.ID() {
		return &RecordsReply{}
	}
	for _, r := range m.Records {
		if !n.submissions.StoreRecord(now, r) {
			return &RecordsReply{}
		}
	}
	// The records are stored before the view is read, as in admit: so either
	// a call that follows the departure finds them, or it is seen here.
	f, known := n.View().Fact(m.From.ID())
	return &RecordsReply{Accepted: known && f.Termination == membership.NotTerminated && !f.Leaving}
}

// RecordAcknowledged decides on an entry whose record its holder has acknowledged.
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

// RecordFailed gives up an entry whose record was not acknowledged.
func (n *Node) RecordFailed(e *submission.Entry) Step {
	defer n.pending.Add(-1)
	n.submissions.Abandon(e)
	return Step{Kind: Retry, Reason: "the record was not acknowledged"}
}

// StartUntil returns the time until which tasks of an entry may be sent. ok is
// false where none may be.
func (n *Node) StartUntil(now time.Time, e *submission.Entry) (until time.Time, ok bool) {
	until, ok = n.members.MayStartUntil(now)
	return until, ok && e.Starter == n.View().Self.ID()
}

// ProvablyNotRun tells whether it is certain, now, that no task of a submission has
// started: this process owns it, has no entry of it, and lacks no history.
func (n *Node) ProvablyNotRun(now time.Time, c Call) bool {
	view := n.View()
	n.coverage.judge(now, view)
	first, _, ok := view.Ranked(view.HomeOf(c.ID.Caller), c.ID.Hash())
	return ok && first == view.Self && view.Admitted(first.ID()) && !n.leaving.Load() &&
		!n.coverage.lacks(now, c.ID.Hash()) && !n.submissions.Has(now, c.ID) && n.View() == view
}
