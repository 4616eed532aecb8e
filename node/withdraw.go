package node

import (
	"context"
	"log/slog"
	"sync"
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
}

// withdrawals holds the withdrawals that are still to be acknowledged, by the VM of the
// dispatcher.
type withdrawals struct {
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
	go n.sendWithdrawal(vm, withdrawal{
		request: wire.WithdrawRequest{Origin: n.config.VM, Job: j.ID, Submission: j.Submission},
		until:   j.Spec.Deadline.Add(n.peerTimeout() + abandonMargin),
	})
}

// sendWithdrawal sends a withdrawal, and repeats it if it fails: the dispatcher would renew
// the leases of the runs until the caller's deadline.
func (n *Node) sendWithdrawal(vm string, w withdrawal) {
	if !n.fleet.Reachable(time.Now(), vm) {
		n.withdrawals.add(n, vm, w)
		return
	}
	if err := n.callWithdraw(vm, &w.request); err != nil {
		n.log.Info("job withdrawal failed", slog.String("job", w.request.Job), slog.String("dispatcher", vm), slog.Any("error", err))
		n.withdrawals.add(n, vm, w)
	}
}

// callWithdraw makes one attempt. Its timeout is below that of other calls, so that a lost
// message costs little.
func (n *Node) callWithdraw(vm string, request *wire.WithdrawRequest) error {
	ctx, cancel := context.WithTimeout(n.runCtx, n.peerTimeout()/2)
	defer cancel()
	return n.peers.Call(ctx, n.fleet.Address(vm), request, &wire.WithdrawResponse{})
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
		first, others, ok := q.take(time.Now())
		if !ok {
			return
		}
		if err := n.callWithdraw(vm, &first.request); err != nil {
			q.putBack(append(others, first))
			continue
		}
		for _, w := range others {
			go n.sendWithdrawal(vm, w)
		}
	}
}

// take removes the pending withdrawals and returns those that are still needed. If there
// are none, ok is false, and the next withdrawal that is added starts repeat.
func (q *withdrawalQueue) take(now time.Time) (first withdrawal, others []withdrawal, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var needed []withdrawal
	for _, w := range q.pending {
		if now.Before(w.until) {
			needed = append(needed, w)
		}
	}
	q.pending = nil
	if len(needed) == 0 {
		q.repeating = false
		return withdrawal{}, nil, false
	}
	return needed[0], needed[1:], true
}

func (q *withdrawalQueue) putBack(w []withdrawal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, w...)
}
