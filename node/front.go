package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/routing"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/verdict"
)

// Job is what a caller asks for.
type Job struct {
	Queue    *routing.Queue
	Spec     string
	Size     scheduler.Size
	Estimate time.Duration
	// Once tells that a task that may have started must not start again; the job
	// fails instead.
	Once bool
	// Items are what the tasks work on; nil where the spec says it all.
	Items [][]byte
	// Deadline is the time until which the caller waits.
	Deadline time.Time
	// Version is that of the configuration that chose the queue.
	Version int64
}

// answerMargin is the time before the caller's deadline at which a job without
// an end is given up, so that the answer still arrives: two round trips to the
// caller.
const answerMargin = 10 * time.Millisecond

// dropLead is the time before the caller's deadline at which a dispatcher drops
// what has not started, so that the answer can say so: two ticks and a message.
const dropLead = 50 * time.Millisecond

// Submit runs the tasks of a job and returns its answer. The context ends where
// the caller has left.
func (n *Node) Submit(ctx context.Context, id string, job Job, tasks int) intake.Answer {
	now := time.Now()
	j, fresh := n.jobs.AddOrJoin(now, id, job, tasks)
	n.metrics.Jobs.Inc()
	if fresh {
		n.offer(j, n.view.Load())
	}
	timer := time.NewTimer(max(job.Deadline.Sub(now)-answerMargin, 0))
	defer timer.Stop()
	select {
	case <-j.Done():
	case <-ctx.Done():
		if vm, term, last := n.jobs.RemoveWaiter(j); last {
			n.withdraw(vm, term, id)
		}
	case <-timer.C:
		n.expire(j)
	}
	answer, _ := n.jobs.Answer(j)
	n.finished(j, answer, now)
	return answer
}

// expire gives a job up whose caller waits no longer.
func (n *Node) expire(j *intake.Job[Job]) {
	answer := intake.Answer{Outcome: intake.Abandoned, Code: verdict.CodeDeadline, Reason: "the deadline has passed while tasks ran"}
	if !n.jobs.MayHaveStarted(j) {
		answer = intake.Answer{Outcome: intake.NotRun, Code: verdict.CodeUnreachable, Reason: "no dispatcher was reached before the deadline", RetryAfter: verdict.MinRetryAfter}
	}
	if vm, term, ended := n.jobs.Finish(j.ID, answer); ended {
		n.withdraw(vm, term, j.ID)
	}
}

func (n *Node) finished(j *intake.Job[Job], a intake.Answer, arrived time.Time) {
	took := time.Since(arrived)
	n.metrics.answered(a.Outcome, took)
	n.decisions.Answer(j.ID, j.Spec.Queue.Name, a.Outcome.String(), a.Reason, took, j.Spec.Version)
}

// offer hands a job to the dispatcher, if there is one.
func (n *Node) offer(j *intake.Job[Job], v *fleet.View) {
	if v.Dispatcher.VM == "" {
		return // offered once a dispatcher is heard
	}
	o, ok := n.jobs.Assign(j, v.Dispatcher.VM, v.Term)
	if !ok {
		return
	}
	if job := &j.Spec; job.Once && o.Resumed && !n.mayResume(o.PreviousVM) {
		n.giveUp(j, "its dispatcher "+o.PreviousVM+" was not heard for too long to tell what has started")
		return
	}
	request := n.offerRequest(o, v.Term)
	n.decisions.Offer(j.ID, v.Dispatcher.VM, v.Term, len(o.Tasks), o.Resumed)
	if v.Dispatcher.VM == n.config.VM {
		n.offered(o, v, n.enter(request), nil)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.serving, n.silence())
		defer cancel()
		var response wire.OfferResponse
		err := n.peers.Call(ctx, v.Dispatcher.Address, request, &response)
		n.offered(o, v, &response, err)
	}()
}

// resumeLimit is the time without word from a dispatcher within which a job that
// must run once only may be offered to another one: well below the time for which
// the ends of such jobs stay listed at the upstreams.
const resumeLimit = time.Second

// mayResume tells whether a dispatcher was heard lately.
func (n *Node) mayResume(previous string) bool {
	return previous == n.config.VM || time.Since(n.fleet.LastContact(previous)) < resumeLimit
}

// giveUp ends a job of which tasks may have started, and has them stopped.
func (n *Node) giveUp(j *intake.Job[Job], reason string) {
	if vm, term, ended := n.jobs.Finish(j.ID, intake.Answer{Outcome: intake.Abandoned, Code: verdict.CodeOwnerLost, Reason: reason}); ended {
		n.withdraw(vm, term, j.ID)
	}
}

// offered enters the answer to an offer.
func (n *Node) offered(o intake.Offer[Job], v *fleet.View, response *wire.OfferResponse, err error) {
	switch {
	case err != nil:
		n.log.Info("offer failed", slog.String("job", o.Job.ID), slog.String("dispatcher", v.Dispatcher.VM), slog.Any("error", err))
		n.jobs.Unassign(o, v.Dispatcher.VM, v.Term, false)
	case response.WrongTerm:
		n.jobs.Unassign(o, v.Dispatcher.VM, v.Term, true)
		n.wakeControl()
	case !response.Accepted:
		outcome := intake.NotRun
		if o.Resumed {
			outcome = intake.Abandoned
		}
		n.jobs.FinishBy(o.Job.ID, v.Dispatcher.VM, v.Term, intake.Answer{
			Outcome: outcome, Code: verdict.Code(response.Code), Reason: response.Reason,
			RetryAfter: time.Duration(response.RetryAfterUS) * time.Microsecond,
		})
	}
}

func (n *Node) offerRequest(o intake.Offer[Job], term uint64) *wire.OfferRequest {
	now := time.Now()
	job := &o.Job.Spec
	var items [][]byte
	if len(job.Items) > 0 {
		for _, index := range o.Tasks {
			items = append(items, job.Items[index])
		}
	}
	return &wire.OfferRequest{
		Job: o.Job.ID, Origin: n.config.VM, OriginIncarnation: n.fleet.Self().Incarnation, Term: term,
		Queue: job.Queue.Name, Service: job.Queue.Service, Spec: job.Spec, Tasks: o.Tasks, Items: items, Once: job.Once,
		MilliCPU: job.Size.MilliCPU, MemoryMB: job.Size.MemoryMB, Accelerators: job.Size.Accelerators,
		Priority: job.Queue.Priority, EstimateUS: job.Estimate.Microseconds(),
		AgeUS: now.Sub(o.Job.Arrived).Microseconds(), DeadlineUS: job.Deadline.Add(-dropLead).Sub(now).Microseconds(),
		Stretch: job.Queue.Stretch, SlackUS: job.Queue.Slack.Microseconds(),
		MaxAttempts: job.Queue.MaxAttempts, Resumed: o.Resumed, Before: o.PreviousTerm,
	}
}

// offerUnassigned offers the jobs that the dispatcher of a view does not have.
func (n *Node) offerUnassigned(v *fleet.View) {
	if v.Dispatcher.VM == "" {
		return
	}
	for _, j := range n.jobs.Unassigned(v.Dispatcher.VM, v.Term) {
		n.offer(j, v)
	}
}

// withdraw asks the dispatcher that has a job to stop its tasks.
func (n *Node) withdraw(vm string, term uint64, id string) {
	if term == 0 {
		return
	}
	if vm == n.config.VM {
		n.withdrawn(n.config.VM, []string{id})
		return
	}
	v := n.view.Load()
	if v.Dispatcher.VM != vm || v.Term != term {
		return // its dispatcher drops the jobs of VMs that it does not hear
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.serving, n.silence())
		defer cancel()
		request := wire.WithdrawRequest{Origin: n.config.VM, Jobs: []string{id}}
		if err := n.peers.Call(ctx, v.Dispatcher.Address, &request, &wire.WithdrawResponse{}); err != nil {
			n.log.Info("withdrawal failed", slog.String("job", id), slog.String("dispatcher", vm), slog.Any("error", err))
		}
	}()
}

func (n *Node) handleEnds(_ context.Context, from *wire.Hello, r *wire.EndsRequest) wire.Message {
	n.ended(from.VM, r)
	return &wire.EndsResponse{}
}

// ended enters what a dispatcher tells of tasks and jobs. Work that was done
// counts whoever tells of it, and so does a lost run that must not be repeated;
// the rest only from the dispatcher that has the job.
func (n *Node) ended(dispatcher string, r *wire.EndsRequest) {
	for i := range r.Ends {
		e := &r.Ends[i]
		if e.Failed {
			n.endBy(e.Job, dispatcher, r.Term, intake.Answer{Outcome: intake.Failed, Code: verdict.CodeUpstreamFailed, Reason: "a task has failed for good"})
		} else {
			n.jobs.CompleteTask(e.Job, e.Index, e.Result)
		}
	}
	for i := range r.Drops {
		d := &r.Drops[i]
		outcome := intake.NotRun
		if d.Started {
			outcome = intake.Abandoned
		}
		n.endBy(d.Job, dispatcher, r.Term, intake.Answer{
			Outcome: outcome, Code: verdict.Code(d.Code), Reason: d.Reason, RetryAfter: time.Duration(d.RetryAfterUS) * time.Microsecond,
		})
	}
}

// endBy gives a job the answer of a dispatcher.
func (n *Node) endBy(id, dispatcher string, term uint64, a intake.Answer) {
	if j := n.jobs.Find(id); j != nil && j.Spec.Once && a.Outcome != intake.NotRun {
		if vm, current, ended := n.jobs.Finish(id, a); ended && (vm != dispatcher || current != term) {
			n.withdraw(vm, current, id)
		}
		return
	}
	n.jobs.FinishBy(id, dispatcher, term, a)
}
