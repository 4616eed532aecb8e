package scheduler_test

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
)

// Offers and withdrawals of jobs in the split model.

// splitSpec is what an origin keeps of a job.
type splitSpec struct {
	job      *modelJob
	deadline time.Time
}

type (
	splitJob   = intake.Job[splitSpec]
	splitOffer = intake.Offer[splitSpec]
)

// splitOrigin is what a dispatcher keeps of a VM that offers jobs.
type splitOrigin struct {
	incarnation, abandonCount uint64
	reachable                 bool
}

// splitWithdrawal is a withdrawal that the dispatcher has not acknowledged. It ends the job,
// or stops it in a former term if moved is set.
type splitWithdrawal struct {
	vm          string
	ref         withdrawnRef
	term        uint64
	moved       *splitJob
	from, until time.Time
	pending     bool // a call is pending
	over        bool
}

// withdrawnRef identifies a submission that its origin has withdrawn.
type withdrawnRef struct {
	origin, job string
	submission  uint64
}

func (n *splitNode) offerUnassigned() {
	v := &n.view
	if v.Dispatcher.VM == "" {
		return
	}
	jobs := n.jobs.Unassigned(v.Dispatcher.VM, v.Term)
	slices.SortFunc(jobs, func(a, b *splitJob) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range jobs {
		n.offer(j)
	}
}

type offerResponse struct {
	accepted, wrongTerm bool
	reason              string // why the job is refused
}

func (n *splitNode) offer(j *splitJob) {
	vm, term := n.view.Dispatcher.VM, n.view.Term
	if vm == "" {
		return
	}
	o, ok := n.jobs.Assign(j, vm, term)
	if !ok {
		return
	}
	n.withdrawMoved(o, vm)
	m := n.m
	m.logf("%s is offered by %s to %s, resumed %v", j.ID, n.name, vm, o.Resumed)
	offered := j.Spec.job.job
	offered.ID, offered.Origin, offered.OriginIncarnation, offered.Submission, offered.Term = j.ID, n.name, n.member.Incarnation, j.Submission, term
	offered.Sent, offered.Deadline = j.Arrived, j.Spec.deadline.Add(-abandonLead)
	offered.Tasks, offered.Resumed, offered.PreviousToken, offered.Histories = o.Tasks, o.Resumed, int64(o.PreviousTerm>>abandonBits), o.Histories
	if vm == n.name {
		n.handleOfferResponse(o, vm, term, n.acceptOffer(offered, m.now), nil)
		return
	}
	sent := m.now
	handle := func(peer *splitNode, respond func(offerResponse)) { respond(peer.acceptOffer(offered, sent)) }
	call(n, m.position(vm), n.peerTimeout(), handle, func(r offerResponse, err error) { n.handleOfferResponse(o, vm, term, r, err) })
}

// acceptOffer passes an offered job to the scheduler.
func (n *splitNode) acceptOffer(j scheduler.Job, sent time.Time) offerResponse {
	m := n.m
	if j.Term == 0 || j.Term != n.termFor(j.Origin) || m.now.Sub(sent) > n.peerTimeout() {
		return offerResponse{wrongTerm: true}
	}
	if n.withdrawn[withdrawnRef{j.Origin, j.ID, j.Submission}] {
		return offerResponse{reason: "withdrawn"}
	}
	actions, failure := n.scheduler.Offer(m.now, j)
	if failure != nil {
		return offerResponse{reason: failure.Reason}
	}
	m.execute(n.modelDispatcher, actions)
	o := n.origins[j.Origin]
	if o == nil {
		o = &splitOrigin{}
		n.origins[j.Origin] = o
	}
	o.incarnation, o.reachable = max(o.incarnation, j.OriginIncarnation), true
	if o.incarnation != j.OriginIncarnation {
		m.execute(n.modelDispatcher, n.scheduler.AbandonJobsOf(m.now, j.Origin, o.incarnation))
	}
	n.pollAll()
	m.place(n.modelDispatcher)
	return offerResponse{accepted: true}
}

func (n *splitNode) handleOfferResponse(o splitOffer, vm string, term uint64, r offerResponse, err error) {
	if (err != nil || r.accepted) && isDone(o.Job) {
		n.withdraw(vm, term, o.Job)
	}
	switch {
	case err != nil:
		n.jobs.Unassign(o, vm, term, false)
	case r.wrongTerm:
		n.jobs.Unassign(o, vm, term, true)
	case !r.accepted:
		outcome := intake.NotRun
		if o.Resumed {
			outcome = intake.Abandoned
		}
		n.jobs.FinishBy(o.Job.ID, o.Job.Submission, vm, term, intake.Answer{Outcome: outcome, Reason: r.reason})
		n.answerRequests()
	}
}

func isDone(j *splitJob) bool {
	select {
	case <-j.Done():
		return true
	default:
		return false
	}
}

// withdraw ends a submission at the dispatcher that may have it.
func (n *splitNode) withdraw(vm string, term uint64, j *splitJob) {
	if term == 0 {
		return
	}
	n.m.logf("%s is withdrawn by %s from %s", j.ID, n.name, vm)
	ref := withdrawnRef{n.name, j.ID, j.Submission}
	if vm == n.name {
		n.withdrawJob(ref, 0)
		return
	}
	w := &splitWithdrawal{vm: vm, ref: ref, until: n.withdrawUntil(j)}
	n.withdrawals = append(n.withdrawals, w)
	n.sendWithdrawal(w)
}

// withdrawMoved stops a job at its former dispatcher if that one goes on in its term.
func (n *splitNode) withdrawMoved(o splitOffer, vm string) {
	if o.PreviousTerm == 0 || o.PreviousVM == n.name || o.PreviousVM == vm {
		return
	}
	n.withdrawals = append(n.withdrawals, &splitWithdrawal{
		vm: o.PreviousVM, ref: withdrawnRef{n.name, o.Job.ID, o.Job.Submission}, term: o.PreviousTerm, moved: o.Job,
		from: n.m.now.Add(n.peerTimeout()), until: n.withdrawUntil(o.Job),
	})
}

func (n *splitNode) withdrawUntil(j *splitJob) time.Time {
	return n.m.now.Add(j.Spec.deadline.Sub(j.Arrived) + abandonMargin)
}

func (n *splitNode) repeatWithdrawals() {
	for _, w := range n.withdrawals {
		n.sendWithdrawal(w)
	}
	n.withdrawals = slices.DeleteFunc(n.withdrawals, func(w *splitWithdrawal) bool { return w.over })
}

func (n *splitNode) sendWithdrawal(w *splitWithdrawal) {
	now := n.m.now
	switch {
	case w.pending || w.over:
		return
	case !now.Before(w.until):
		w.over = true
		return
	case w.moved != nil && now.Before(w.from) && !isDone(w.moved):
		return
	case w.moved != nil:
		if last, _ := n.jobs.LastOffer(w.moved); last == w.vm || n.fleet.Term(w.vm) != w.term {
			w.over = true // the job is back, or the term is over
			return
		}
	}
	w.pending = true
	handle := func(peer *splitNode, respond func(struct{})) {
		peer.withdrawJob(w.ref, w.term)
		respond(struct{}{})
	}
	call(n, n.m.position(w.vm), n.peerTimeout()/2, handle, func(_ struct{}, err error) {
		w.pending = false
		w.over = w.over || err == nil
		if j := w.moved; j != nil {
			if last, term := n.jobs.LastOffer(j); last == w.vm && term == w.term {
				n.jobs.Unassign(splitOffer{Job: j}, w.vm, term, false)
			}
		}
	})
}

// withdrawJob ends a submission, for good unless a term is given.
func (n *splitNode) withdrawJob(ref withdrawnRef, term uint64) {
	switch {
	case term == 0:
		n.withdrawn[ref] = true
	case term != n.termFor(ref.origin):
		return
	}
	n.m.execute(n.modelDispatcher, n.scheduler.Withdraw(n.m.now, ref.origin, ref.job, ref.submission))
	n.m.place(n.modelDispatcher)
}
