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
	// AtMostOnce tells that a task that may have started must not start again; the job
	// fails instead.
	AtMostOnce bool
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

// abandonLead is the time before the caller's deadline at which a dispatcher drops
// what has not started, so that the answer can say so: two ticks and a message.
const abandonLead = 50 * time.Millisecond

// Submit runs the tasks of a job and returns its answer. The context ends where
// the caller has left.
func (n *Node) Submit(ctx context.Context, id string, job Job, tasks int) intake.Answer {
	now := time.Now()
	j, fresh := n.jobs.Take(now, id, job, tasks)
	n.metrics.Jobs.Inc()
	if fresh {
		n.offer(j, n.view.Load())
	}
	timer := time.NewTimer(max(job.Deadline.Sub(now)-answerMargin, 0))
	defer timer.Stop()
	select {
	case <-j.Done():
	case <-ctx.Done():
		if vm, term, last := n.jobs.Leave(j); last {
			n.withdraw(vm, term, id)
		}
	case <-timer.C:
		n.expire(j)
	}
	answer, _ := n.jobs.Answer(j)
	n.recordAnswer(j, answer, now)
	return answer
}

// expire gives a job up whose caller waits no longer.
func (n *Node) expire(j *intake.Job[Job]) {
	answer := intake.Answer{Outcome: intake.GivenUp, Code: verdict.CodeDeadline, Reason: "the deadline has passed while tasks ran"}
	if !n.jobs.Offered(j) {
		answer = intake.Answer{Outcome: intake.NotRun, Code: verdict.CodeUnreachable, Reason: "no dispatcher was reached before the deadline", RetryAfter: verdict.LeastRetryAfter}
	}
	if vm, term, ended := n.jobs.End(j.ID, answer); ended {
		n.withdraw(vm, term, j.ID)
	}
}

func (n *Node) recordAnswer(j *intake.Job[Job], a intake.Answer, arrived time.Time) {
	took := time.Since(arrived)
	n.metrics.observeAnswer(a.Outcome, took)
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
	if job := &j.Spec; job.AtMostOnce && o.Resumed && !n.canResume(o.Previous) {
		n.abandon(j, "its dispatcher "+o.Previous+" was not heard for too long to tell what has started")
		return
	}
	request := n.newOfferRequest(o, v.Term)
	n.decisions.Offer(j.ID, v.Dispatcher.VM, v.Term, len(o.Tasks), o.Resumed)
	if v.Dispatcher.VM == n.config.VM {
		n.handleOfferResponse(o, v, n.acceptOffer(request), nil)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.runCtx, n.peerTimeout())
		defer cancel()
		var response wire.OfferResponse
		err := n.peers.Call(ctx, v.Dispatcher.Address, request, &response)
		n.handleOfferResponse(o, v, &response, err)
	}()
}

// resumeLimit is the time without word from a dispatcher within which a job that
// must run once only may be offered to another one: well below the time for which
// the ends of such jobs stay listed at the upstreams.
const resumeLimit = time.Second

// canResume tells whether a dispatcher was heard lately.
func (n *Node) canResume(previous string) bool {
	return previous == n.config.VM || time.Since(n.fleet.LastHeard(previous)) < resumeLimit
}

// abandon ends a job of which tasks may have started, and has them stopped.
func (n *Node) abandon(j *intake.Job[Job], reason string) {
	if vm, term, ended := n.jobs.End(j.ID, intake.Answer{Outcome: intake.GivenUp, Code: verdict.CodeOwnerLost, Reason: reason}); ended {
		n.withdraw(vm, term, j.ID)
	}
}

// handleOfferResponse enters the answer to an offer.
func (n *Node) handleOfferResponse(o intake.Offer[Job], v *fleet.View, response *wire.OfferResponse, err error) {
	switch {
	case err != nil:
		n.log.Info("offer failed", slog.String("job", o.Job.ID), slog.String("dispatcher", v.Dispatcher.VM), slog.Any("error", err))
		n.jobs.Unassign(o, v.Dispatcher.VM, v.Term, false)
	case response.WrongTerm:
		n.jobs.Unassign(o, v.Dispatcher.VM, v.Term, true)
		n.wakeTermLoop()
	case !response.Accepted:
		outcome := intake.NotRun
		if o.Resumed {
			outcome = intake.GivenUp
		}
		n.jobs.EndBy(o.Job.ID, v.Dispatcher.VM, v.Term, intake.Answer{
			Outcome: outcome, Code: verdict.Code(response.Code), Reason: response.Reason,
			RetryAfter: time.Duration(response.RetryAfterUS) * time.Microsecond,
		})
	}
}

func (n *Node) newOfferRequest(o intake.Offer[Job], term uint64) *wire.OfferRequest {
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
		Queue: job.Queue.Name, Service: job.Queue.Service, Spec: job.Spec, Tasks: o.Tasks, Items: items, AtMostOnce: job.AtMostOnce,
		MilliCPU: job.Size.MilliCPU, MemoryMB: job.Size.MemoryMB, Accelerators: job.Size.Accelerators,
		Priority: job.Queue.Priority, EstimateUS: job.Estimate.Microseconds(),
		AgeUS: now.Sub(o.Job.Arrived).Microseconds(), DeadlineUS: job.Deadline.Add(-abandonLead).Sub(now).Microseconds(),
		Stretch: job.Queue.Stretch, SlackUS: job.Queue.Slack.Microseconds(),
		MaxAttempts: job.Queue.MaxAttempts, Resumed: o.Resumed, PreviousTerm: o.Before,
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
		n.withdrawJobs(n.config.VM, []string{id})
		return
	}
	v := n.view.Load()
	if v.Dispatcher.VM != vm || v.Term != term {
		return // its dispatcher drops the jobs of VMs that it does not hear
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.runCtx, n.peerTimeout())
		defer cancel()
		request := wire.WithdrawRequest{Origin: n.config.VM, Jobs: []string{id}}
		if err := n.peers.Call(ctx, v.Dispatcher.Address, &request, &wire.WithdrawResponse{}); err != nil {
			n.log.Info("withdrawal failed", slog.String("job", id), slog.String("dispatcher", vm), slog.Any("error", err))
		}
	}()
}

func (n *Node) handleCompletions(_ context.Context, from *wire.Hello, r *wire.CompletionsRequest) wire.Message {
	n.applyCompletions(from.VM, r)
	return &wire.CompletionsResponse{}
}

// applyCompletions enters what a dispatcher tells of tasks and jobs. Work that was done
// counts whoever tells of it, and so does a lost run that must not be repeated;
// the rest only from the dispatcher that has the job.
func (n *Node) applyCompletions(dispatcher string, r *wire.CompletionsRequest) {
	for i := range r.Completions {
		e := &r.Completions[i]
		if e.Failed {
			n.finishJob(e.Job, dispatcher, r.Term, intake.Answer{Outcome: intake.Failed, Code: verdict.CodeUpstreamFailed, Reason: "a task has failed for good"})
		} else {
			n.jobs.TaskDone(e.Job, e.Index, e.Result)
		}
	}
	for i := range r.Abandoned {
		d := &r.Abandoned[i]
		outcome := intake.NotRun
		if d.Started {
			outcome = intake.GivenUp
		}
		n.finishJob(d.Job, dispatcher, r.Term, intake.Answer{
			Outcome: outcome, Code: verdict.Code(d.Code), Reason: d.Reason, RetryAfter: time.Duration(d.RetryAfterUS) * time.Microsecond,
		})
	}
}

// finishJob gives a job the answer of a dispatcher.
func (n *Node) finishJob(id, dispatcher string, term uint64, a intake.Answer) {
	if j := n.jobs.Find(id); j != nil && j.Spec.AtMostOnce && a.Outcome != intake.NotRun {
		if vm, current, ended := n.jobs.End(id, a); ended && (vm != dispatcher || current != term) {
			n.withdraw(vm, current, id)
		}
		return
	}
	n.jobs.EndBy(id, dispatcher, term, a)
}
