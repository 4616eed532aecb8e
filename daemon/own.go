package daemon

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/job"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// own runs a submission that belongs to this VM, or waits for the attempt
// that already does.
func (d *Daemon) own(ctx context.Context, r *submission.Request, holder membership.Member) submission.Outcome {
	action, entry := d.submissions.Begin(time.Now(), r.ID, r.Digest())
	switch action {
	case submission.Conflict:
		return submission.Outcome{Failure: verdict.Errorf(verdict.MayHaveRun, verdict.CodeKeyReused,
			"the key was used with another request")}
	case submission.Start:
		if failure := d.start(r, entry, holder); failure != nil {
			d.submissions.Finish(time.Now(), entry, submission.Outcome{Failure: failure})
		}
	}
	return d.await(ctx, r, entry)
}

// await waits for the end of a submission, or for the caller's deadline.
func (d *Daemon) await(ctx context.Context, r *submission.Request, entry *submission.Entry) submission.Outcome {
	// The job aborts at the same deadline; the grace lets its verdict, which
	// is sharper, be the answer.
	const grace = 50 * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(grace))
	defer cancel()
	select {
	case <-entry.Done():
		return entry.Outcome()
	case <-ctx.Done():
		return submission.Outcome{Failure: verdict.Errorf(verdict.MayHaveRun, verdict.CodeDeadline,
			"the submission is still running")}
	}
}

// start records the submission at its holder and queues its tasks. A failure
// has the verdict NotRun and means that no job was made.
func (d *Daemon) start(r *submission.Request, entry *submission.Entry, holder membership.Member) *verdict.Error {
	call := d.Catalog().Lookup(r.Service, r.Call)
	if call == nil {
		return verdict.Errorf(verdict.NotRun, verdict.CodeUnknownCall, "service %q has no call %q", r.Service, r.Call)
	}
	items, failure := call.Expand(r.Parameters, d.settings.Jobs.MaxTasks)
	if failure != nil {
		return failure
	}
	if failure := d.record(entry, holder); failure != nil {
		return failure
	}
	run := &running{entry: entry, job: job.New(len(items)), call: call, parameters: r.Parameters}
	tasks := make([]*dispatch.Task, len(items))
	for i, item := range items {
		run.items = append(run.items, item)
		tasks[i] = &dispatch.Task{Submission: entry.ID, Index: i, Call: call, Deadline: r.Deadline, Work: run}
	}
	d.watchDeadline(run, r.Deadline)
	d.submissions.Attach(entry, run)
	assignments, failure := d.dispatcher.Add(time.Now(), tasks)
	if failure != nil {
		d.abort(run, failure)
		return nil
	}
	d.place(assignments)
	d.borrowNow()
	return nil
}

// cancelOwned cancels a submission of this VM. One that has ended or is not
// known stays as it is.
func (d *Daemon) cancelOwned(id submission.ID) *verdict.Error {
	if run, found := d.submissions.Work(id).(*running); found {
		d.abort(run, verdict.Errorf(verdict.NotRun, verdict.CodeCancelled, "cancelled by the caller"))
	}
	return nil
}
