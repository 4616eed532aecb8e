package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// withdrawInterval is the time between two attempts to reach a dispatcher that has not
// acknowledged a withdrawal. Callers send a job again more than a second after its end; by
// then several attempts have been made.
const withdrawInterval = 100 * time.Millisecond

// withdrawal is a request to a dispatcher to stop a submission.
type withdrawal struct {
	request wire.WithdrawRequest
	// until is when the dispatcher has abandoned the job by itself.
	until time.Time
	// moved is the job if it goes on at another dispatcher, and from the time at which the
	// former one must have ended its term. moved is nil if the job has ended.
	moved *intake.Job[Job]
	from  time.Time
}

// withdrawalState tells what to do with a pending withdrawal.
type withdrawalState int

const (
	withdrawalDue withdrawalState = iota
	withdrawalEarly
	withdrawalUnneeded
)

// withdrawals holds the withdrawals that are still to be acknowledged, by the VM of the
// dispatcher.
type withdrawals struct {
	open atomic.Int64 // withdrawals that are to be acknowledged, or early

	mu   sync.Mutex // guards the field below
	byVM map[string]*withdrawalQueue
}

// withdrawalQueue holds the withdrawals to one dispatcher that have failed, or were not sent
// because it was unreachable.
type withdrawalQueue struct {
	mu        sync.Mutex // guards the fields below
	pending   []withdrawal
	repeating bool
}

// withdraw asks the dispatcher of a job to stop its tasks, whether or not the view names it.
// A dispatcher that hears the origin keeps the job otherwise.
func (n *Node) withdraw(vm string, term uint64, j *intake.Job[Job]) {
	if term == 0 {
		return
	}
	if vm == n.config.VM {
		n.withdrawJob(n.config.VM, j.ID, j.Submission)
		return
	}
	n.withdrawals.open.Add(1)
	go n.sendWithdrawal(vm, n.newWithdrawal(j))
}

// newWithdrawal returns the withdrawal of a job. An offer names the time that is left when it
// is sent. If a pause or the network delays it, the dispatcher's deadline is later than the
// caller's, but no later than that of a job which arrives now.
func (n *Node) newWithdrawal(j *intake.Job[Job]) withdrawal {
	patience := j.Spec.Deadline.Sub(j.Arrived)
	return withdrawal{
		request: wire.WithdrawRequest{Origin: n.config.VM, Job: j.ID, Submission: j.Submission},
		until:   time.Now().Add(patience + abandonMargin),
	}
}

// withdrawMoved stops a job at its former dispatcher if that one goes on in its term. It
// does if it hears this VM but not the dispatcher to which the job is now offered. Until
// peerTimeout has passed, it may still hear of the new term, and the new dispatcher adopts
// its runs; resumeDelay allows for runs that it stops after that.
func (n *Node) withdrawMoved(o intake.Offer[Job], dispatcher string) {
	if o.PreviousTerm == 0 || o.PreviousVM == n.config.VM || o.PreviousVM == dispatcher {
		return
	}
	w := n.newWithdrawal(o.Job)
	w.request.Term, w.moved, w.from = o.PreviousTerm, o.Job, time.Now().Add(n.peerTimeout())
	n.withdrawals.open.Add(1)
	n.withdrawals.add(n, o.PreviousVM, w)
}

// withdrawalState returns the state of a withdrawal to a dispatcher.
func (n *Node) withdrawalState(now time.Time, vm string, w *withdrawal) withdrawalState {
	switch {
	case !now.Before(w.until):
		return withdrawalUnneeded
	case w.moved == nil:
		return withdrawalDue
	case now.Before(w.from) && !isDone(w.moved):
		return withdrawalEarly
	}
	if last, _ := n.jobs.LastOffer(w.moved); last == vm {
		return withdrawalUnneeded // the job is back, or never left
	}
	if n.fleet.Term(vm) != w.request.Term {
		return withdrawalUnneeded
	}
	return withdrawalDue
}

// isDone reports whether a job is answered.
func isDone(j *intake.Job[Job]) bool {
	select {
	case <-j.Done():
		return true
	default:
		return false
	}
}

// sendWithdrawal sends a withdrawal, and repeats it if it fails: the dispatcher would renew
// the leases of the runs until the caller's deadline.
func (n *Node) sendWithdrawal(vm string, w withdrawal) {
	if !n.fleet.Reachable(time.Now(), vm) {
		n.withdrawals.add(n, vm, w)
		return
	}
	if err := n.callWithdraw(vm, &w); err != nil {
		n.log.Info("job withdrawal failed", slog.String("job", w.request.Job), slog.String("dispatcher", vm), slog.Any("error", err))
		n.withdrawals.add(n, vm, w)
		return
	}
	n.withdrawals.open.Add(-1)
}

// callWithdraw makes one attempt. Its timeout is below that of other calls, so that a lost
// message costs little.
func (n *Node) callWithdraw(vm string, w *withdrawal) error {
	ctx, cancel := context.WithTimeout(n.runCtx, n.peerTimeout()/2)
	defer cancel()
	err := n.peers.Call(ctx, n.fleet.Address(vm), &w.request, &wire.WithdrawResponse{})
	if j := w.moved; j != nil {
		if last, term := n.jobs.LastOffer(j); last == vm && term == w.request.Term {
			// The job has been offered to this term again during the call.
			n.jobs.Unassign(intake.Offer[Job]{Job: j}, vm, term, false)
			n.wakeTermLoop()
		}
	}
	return err
}

func (q *withdrawals) add(n *Node, vm string, w withdrawal) {
	q.mu.Lock()
	queue := q.byVM[vm]
	if queue == nil {
		queue = &withdrawalQueue{}
		q.byVM[vm] = queue
	}
	q.mu.Unlock()
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.pending = append(queue.pending, w)
	if !queue.repeating {
		queue.repeating = true
		go queue.repeat(n, vm)
	}
}

// repeat sends the pending withdrawals until each is acknowledged or no longer needed. One
// of them tells whether the dispatcher answers; only then are the others sent.
func (q *withdrawalQueue) repeat(n *Node, vm string) {
	for wait.For(n.runCtx, withdrawInterval) {
		now := time.Now()
		all := q.takeAll()
		due, early := sortWithdrawals(all, func(w *withdrawal) withdrawalState { return n.withdrawalState(now, vm, w) })
		q.putBack(early)
		n.withdrawals.open.Add(int64(len(due) + len(early) - len(all)))
		if len(due) == 0 {
			if q.stopIfEmpty() {
				return
			}
			continue
		}
		if err := n.callWithdraw(vm, &due[0]); err != nil {
			q.putBack(append(due[1:], due[0]))
			continue
		}
		n.withdrawals.open.Add(-1)
		for _, w := range due[1:] {
			go n.sendWithdrawal(vm, w)
		}
	}
}

// sortWithdrawals returns the withdrawals that are due, and those that may become due.
func sortWithdrawals(all []withdrawal, state func(*withdrawal) withdrawalState) (due, early []withdrawal) {
	for i := range all {
		switch w := &all[i]; state(w) {
		case withdrawalDue:
			due = append(due, *w)
		case withdrawalEarly:
			early = append(early, *w)
		}
	}
	return due, early
}

// takeAll removes and returns all pending withdrawals.
func (q *withdrawalQueue) takeAll() []withdrawal {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.pending
	q.pending = nil
	return all
}

// stopIfEmpty reports whether no withdrawal is left. The next one that is added then starts
// repeat.
func (q *withdrawalQueue) stopIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.repeating = len(q.pending) > 0
	return !q.repeating
}

func (q *withdrawalQueue) putBack(w []withdrawal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, w...)
}
