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

// Job describes the work that a caller requests.
type Job struct {
	Queue    *routing.Queue
	Spec     string
	Size     scheduler.Size
	Estimate time.Duration
	// AtMostOnce forbids starting a task again that may have started; the job
	// fails instead.
	AtMostOnce bool
	// Constraints restrict the upstreams of the tasks; nil if any will do.
	Constraints *scheduler.Constraints
	// Items holds the input of each task. It is nil if Spec is the only input.
	Items [][]byte
	// Arrived is when the caller's request reached this VM; the zero value stands for the
	// call of Submit. The request may have waited while this process was paused or busy.
	Arrived time.Time
	// Deadline is the time until which the caller waits.
	Deadline time.Time
	// Version is the version of the configuration that selected Queue.
	Version int64
}

// answerMargin is how long before the caller's deadline an unfinished job is
// abandoned, so that the answer still arrives. It covers two round trips to the
// caller.
const answerMargin = 10 * time.Millisecond

// abandonLead is how long before the caller's deadline a dispatcher abandons
// tasks that have not started, so that the answer can say so. It covers two ticks
// and a message.
const abandonLead = 50 * time.Millisecond

// Submit runs the tasks of a job and returns its answer. The context must be
// cancelled when the caller disconnects.
func (n *Node) Submit(ctx context.Context, id string, job Job, tasks int) intake.Answer {
	now := time.Now()
	if job.Arrived.IsZero() {
		job.Arrived = now
	}
	if job.Deadline.Sub(now) <= answerMargin {
		answer := n.refuseLate(id, job.Arrived)
		n.recordAnswer(id, &job, answer)
		return answer
	}
	j, request := n.jobs.AddOrJoin(job.Arrived, id, job, tasks)
	n.metrics.Jobs.Inc()
	defer n.endRequest(j, request) // after a panic, nothing else would
	switch {
	case n.stopping.Load(): // read after the job was added, so that endJobs does not miss it
		n.endStopping(j)
	case request == 1:
		if v := n.view.Load(); !n.rejectBarred(j, v) && !n.rejectHopeless(j, v) {
			n.offer(j, v)
		}
	}
	timer := time.NewTimer(job.Deadline.Sub(now) - answerMargin)
	defer timer.Stop()
	select {
	case <-j.Done():
	case <-ctx.Done():
		n.endRequest(j, request)
	case <-timer.C:
		n.expire(j)
	}
	answer := intake.Answer{Outcome: intake.Abandoned, Code: verdict.CodeCancelled, Reason: intake.CallerLeft}
	if isDone(j) { // otherwise a later request has the job
		answer, _ = n.jobs.Answer(j)
	}
	n.recordAnswer(id, &job, answer)
	return answer
}

// refuseLate returns the answer to a request whose deadline has passed. A request of the
// caller that arrived before this one may still have the job in progress; it is stale.
func (n *Node) refuseLate(id string, arrived time.Time) intake.Answer {
	outcome := intake.NotRun
	if j := n.jobs.Find(id); j != nil {
		outcome = intake.Abandoned
		if !arrived.Before(j.Arrived) {
			n.expire(j)
		}
	}
	return intake.Answer{Outcome: outcome, Code: verdict.CodeDeadline, Reason: "the deadline had passed when the request was read", RetryAfter: verdict.MinRetryAfter}
}

// endRequest stops a job if it was the last request for it that ended.
func (n *Node) endRequest(j *intake.Job[Job], request int) {
	if vm, term, ended := n.jobs.EndRequest(j, request); ended {
		n.withdraw(vm, term, j)
	}
}

// expire ends a job at its deadline.
func (n *Node) expire(j *intake.Job[Job]) {
	answer := intake.Answer{Outcome: intake.Abandoned, Code: verdict.CodeDeadline, Reason: "the deadline has passed while tasks were running"}
	if !n.jobs.MayHaveStarted(j) {
		answer = intake.Answer{Outcome: intake.NotRun, Code: verdict.CodeUnreachable, Reason: "no dispatcher was reached before the deadline", RetryAfter: verdict.MinRetryAfter}
	}
	n.end(j, answer)
}

// end answers a job and stops its tasks. NotRun becomes Abandoned if tasks may have started, also
// for an earlier request of the caller that a former dispatcher knows.
func (n *Node) end(j *intake.Job[Job], a intake.Answer) {
	if a.Outcome == intake.NotRun && n.formerRoutes.knows(j) {
		a.Outcome = intake.Abandoned
	}
	if vm, term, ended := n.jobs.Finish(j.ID, j.Submission, a); ended {
		n.withdraw(vm, term, j)
	}
}

// recordAnswer logs the answer to a job and updates the metrics.
func (n *Node) recordAnswer(id string, job *Job, a intake.Answer) {
	took := time.Since(job.Arrived)
	n.metrics.observeAnswer(a.Outcome, took)
	n.decisions.Answer(id, job.Queue.Name, a.Outcome.String(), a.Reason, took, job.Version)
}

// offer sends a job to the dispatcher of the view, or of another data centre, if there is one.
func (n *Node) offer(j *intake.Job[Job], v *fleet.View) {
	v, dataCentre, ok := n.route(j, v)
	if !ok {
		return // offered once a dispatcher is reachable
	}
	o, ok := n.jobs.AssignIn(j, dataCentre, v.Dispatcher.VM, v.Term)
	if !ok {
		return
	}
	n.noteSentElsewhere(&o, v, dataCentre)
	n.withdrawMoved(o, v.Dispatcher.VM)
	if job := &j.Spec; job.AtMostOnce && o.Resumed && !n.canResume(o.PreviousVM) {
		n.abandon(j, "its dispatcher "+o.PreviousVM+" was unreachable for too long to know which tasks have started")
		return
	}
	request := n.newOfferRequest(o, v.Dispatcher.VM, v.Term)
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

// resumeLimit is how long a dispatcher may have been unreachable before its
// at-most-once jobs can no longer be offered to another one. It is well below the
// time for which upstreams keep listing the completions of such jobs.
const resumeLimit = time.Second

// canResume reports whether a dispatcher was reachable recently.
func (n *Node) canResume(previous string) bool {
	return previous == n.config.VM || time.Since(n.fleet.LastContact(previous)) < resumeLimit
}

// abandon ends a job whose tasks may have started, and stops the tasks.
func (n *Node) abandon(j *intake.Job[Job], reason string) {
	n.end(j, intake.Answer{Outcome: intake.Abandoned, Code: verdict.CodeOwnerLost, Reason: reason})
}

// handleOfferResponse processes the answer to an offer.
func (n *Node) handleOfferResponse(o intake.Offer[Job], v *fleet.View, response *wire.OfferResponse, err error) {
	if (err != nil || response.Accepted) && isDone(o.Job) {
		n.withdraw(v.Dispatcher.VM, v.Term, o.Job) // the withdrawal may have arrived before the offer
	}
	switch {
	case err != nil:
		n.log.Info("job offer failed", slog.String("job", o.Job.ID), slog.String("dispatcher", v.Dispatcher.VM), slog.Any("error", err))
		n.jobs.Unassign(o, v.Dispatcher.VM, v.Term, false)
	case response.WrongTerm:
		n.jobs.Unassign(o, v.Dispatcher.VM, v.Term, true)
		n.wakeTermLoop()
	case !response.Accepted:
		outcome := intake.NotRun
		if o.Resumed {
			outcome = intake.Abandoned
		}
		n.jobs.FinishBy(o.Job.ID, o.Job.Submission, v.Dispatcher.VM, v.Term, intake.Answer{
			Outcome: outcome, Code: verdict.Code(response.Code), Reason: response.Reason,
			RetryAfter: time.Duration(response.RetryAfterUS) * time.Microsecond,
		})
	}
}

func (n *Node) newOfferRequest(o intake.Offer[Job], dispatcher string, term uint64) *wire.OfferRequest {
	now := time.Now()
	job := &o.Job.Spec
	left := job.Deadline.Add(-abandonLead).Sub(now)
	deadlineClock := time.Duration(0)
	if clock := n.fleet.ClockBound(dispatcher, now); clock != 0 {
		deadlineClock = clock + left
	}
	var items [][]byte
	if len(job.Items) > 0 {
		for _, index := range o.Tasks {
			items = append(items, job.Items[index])
		}
	}
	request := &wire.OfferRequest{
		Job: o.Job.ID, Origin: n.config.VM, OriginIncarnation: n.fleet.Self().Incarnation, Submission: o.Job.Submission, Term: term,
		Queue: job.Queue.Name, Service: job.Queue.Service, Spec: job.Spec, Tasks: o.Tasks, Items: items, AtMostOnce: job.AtMostOnce,
		MilliCPU: job.Size.MilliCPU, MemoryMB: job.Size.MemoryMB, Accelerators: job.Size.Accelerators,
		Priority: job.Queue.Priority, EstimateUS: job.Estimate.Microseconds(),
		AgeUS: now.Sub(o.Job.Arrived).Microseconds(), DeadlineUS: left.Microseconds(),
		DeadlineClockUS: deadlineClock.Microseconds(),
		Stretch:         job.Queue.Stretch, SlackUS: job.Queue.Slack.Microseconds(),
		MaxAttempts: job.Queue.MaxAttempts, Resumed: o.Resumed, PreviousTerm: o.PreviousTerm,
		Histories: historiesToWire(o.Job.ID, o.Histories),
	}
	addConstraints(request, job.Constraints, o.Completed)
	return request
}

// offerUnassigned offers the jobs that their dispatcher does not have.
func (n *Node) offerUnassigned(v *fleet.View) {
	jobs := n.jobs.All
	if v.Dispatcher.VM != "" {
		jobs = func() []*intake.Job[Job] { return n.jobs.Unassigned(v.Dispatcher.VM, v.Term) }
		if v.Term != n.historiesSentTerm {
			n.historiesSentTerm = v.Term
			n.sendEndedHistories(v)
		}
	} else if !n.elsewhere.active() && !v.TopRanked.Barred {
		return
	}
	for _, j := range jobs() {
		if !n.rejectBarred(j, v) {
			n.offer(j, v)
		}
	}
}

func (n *Node) handleCompletions(ctx context.Context, from *wire.Hello, r *wire.CompletionsRequest) wire.Message {
	moved := n.applyCompletions(from.VM, r)
	return &wire.CompletionsResponse{Incomplete: !n.forwardCompletions(ctx, moved)}
}

// applyCompletions processes the report of a dispatcher. A completed task counts
// whichever dispatcher reports it, and so does the failure of an at-most-once job
// that may have started. All else counts only if it comes from the dispatcher that
// has the job. applyCompletions returns the completed tasks of jobs that another
// dispatcher has now, by its VM.
func (n *Node) applyCompletions(dispatcher string, r *wire.CompletionsRequest) (moved map[string][]wire.TaskCompletion) {
	n.recordHistories(r.Histories)
	moved = map[string][]wire.TaskCompletion{}
	for i := range r.Completions {
		completion := &r.Completions[i]
		if completion.Failed {
			n.finishJob(completion.Job, completion.Submission, dispatcher, r.Term, intake.Answer{Outcome: intake.Failed, Code: verdict.CodeUpstreamFailed, Reason: completion.Reason})
			continue
		}
		if completion.Upstream != "" {
			n.jobs.NoteCompletedOn(completion.Job, completion.Index, completion.Upstream)
		}
		vm, term := n.jobs.CompleteTask(completion.Job, completion.Index, completion.Result)
		if term != 0 && (vm != dispatcher || term != r.Term) {
			moved[vm] = append(moved[vm], *completion)
		}
	}
	for i := range r.Abandoned {
		abandoned := &r.Abandoned[i]
		outcome := intake.NotRun
		if abandoned.Started {
			outcome = intake.Abandoned
		}
		n.finishJob(abandoned.Job, abandoned.Submission, dispatcher, r.Term, intake.Answer{
			Outcome: outcome, Code: verdict.Code(abandoned.Code), Reason: abandoned.Reason, RetryAfter: time.Duration(abandoned.RetryAfterUS) * time.Microsecond,
		})
	}
	return moved
}

// forwardCompletions tells the dispatchers of some jobs which of their tasks have
// completed under an earlier dispatcher. A dispatcher starts the tasks of a resumed job
// that no upstream lists. The earlier dispatcher must therefore not acknowledge a
// completion to its upstream before the present one knows of it; forwardCompletions
// returns false if that is not certain.
func (n *Node) forwardCompletions(ctx context.Context, moved map[string][]wire.TaskCompletion) bool {
	complete := true
	for vm, completions := range moved {
		request := &wire.TasksDoneRequest{Origin: n.config.VM, Completions: completions}
		if vm == n.config.VM {
			complete = n.recordTasksDone(request) && complete
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, n.peerTimeout()/2)
		var response wire.TasksDoneResponse
		err := n.peers.Call(callCtx, n.fleet.Address(vm), request, &response)
		cancel()
		if err != nil {
			n.log.Info("dispatcher not told of completed tasks", slog.String("dispatcher", vm), slog.Int("tasks", len(completions)), slog.Any("error", err))
		}
		complete = err == nil && response.Known && complete
	}
	return complete
}

func (n *Node) handleTasksDone(_ context.Context, _ *wire.Hello, r *wire.TasksDoneRequest) wire.Message {
	return &wire.TasksDoneResponse{Known: n.recordTasksDone(r)}
}

// recordTasksDone passes the completed tasks to the scheduler. It returns false if a job
// is unknown here.
func (n *Node) recordTasksDone(r *wire.TasksDoneRequest) bool {
	known := true
	for _, c := range r.Completions {
		now, task := time.Now(), scheduler.Task{Job: c.Job, Index: c.Index}
		n.scheduler.NoteCompletedOn(now, task, c.Upstream)
		known = n.scheduler.CompleteElsewhere(now, task, c.Result) && known
	}
	return known
}

// finishJob ends a submission of a job with the answer of a dispatcher.
func (n *Node) finishJob(id string, submission uint64, dispatcher string, term uint64, a intake.Answer) {
	if j := n.jobs.Find(id); j != nil && j.Spec.AtMostOnce && a.Outcome != intake.NotRun {
		if vm, current, ended := n.jobs.Finish(id, submission, a); ended && (vm != dispatcher || current != term) {
			n.withdraw(vm, current, j)
		}
		return
	}
	n.jobs.FinishBy(id, submission, dispatcher, term, a)
}
