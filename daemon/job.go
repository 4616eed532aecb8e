package daemon

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// startJob starts the job of a submission that this VM may start. If that fails, it
// completes the entry with the verdict NotRun.
func (d *Daemon) startJob(r *submission.Request, entry *submission.Entry) {
	if failure := d.enqueue(r, entry); failure != nil {
		d.submissions.Finish(entry, submission.Outcome{Failure: failure})
	}
}

// enqueue creates the job of a submission and runs it in the background. After a
// failure, no job exists.
func (d *Daemon) enqueue(r *submission.Request, entry *submission.Entry) *verdict.Error {
	call := d.Catalog().Lookup(r.Service, r.Call)
	if call == nil {
		return verdict.Errorf(verdict.NotRun, verdict.CodeUnknownCall, "service %q has no call %q", r.Service, r.Call)
	}
	items, failure := d.expand(r, call)
	if failure != nil {
		return failure
	}
	quota, _ := d.configuration.table.Current().Quota(entry.ID.Caller)
	if failure := d.quotas.Admit(entry.ID.Caller, len(items), quota); failure != nil {
		return failure
	}
	spec := api.TaskSpec{
		Submission: entry.ID.String(), Tasks: len(items), Service: call.Service, Call: call.Name, Parameters: r.Parameters,
		MilliCPU: call.Size.MilliCPU, MemoryMB: call.Size.MemoryMB, Accelerators: call.Size.Accelerators,
	}
	job := node.Job{
		Queue: QueueOf(call, len(items)), Spec: string(spec.AppendJSON(nil)), Size: sizeOf(call), Estimate: call.DeclaredDuration,
		AtMostOnce: true, Deadline: r.Deadline, Version: d.configuration.table.Current().Revision(),
	}
	for _, item := range items {
		job.Items = append(job.Items, item)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	j := &runningJob{entry: entry, id: d.jobID(entry.ID), tasks: len(items), cancel: cancel}
	d.jobs.add(j)
	d.submissions.Attach(entry, j)
	go d.runJob(ctx, j, job)
	return nil
}

// jobID returns a globally unique job ID. It starts with the ID of the submission,
// so that log lines show which submission a job belongs to.
func (d *Daemon) jobID(id submission.ID) string {
	return fmt.Sprintf("%s#%x.%x", id, d.incarnation, d.jobsStarted.Add(1))
}

// expand returns the items of the tasks of a request. It uses the expansion made
// by this VM's HTTP front unless the call's definition has changed since.
func (d *Daemon) expand(r *submission.Request, call *catalog.Call) ([]json.RawMessage, *verdict.Error) {
	if e := r.Expansion; e != nil && e.Call == call {
		return e.Items, nil
	}
	return call.Expand(r.Parameters, d.liveSettings.Load().Jobs.MaxTasks)
}

// cancelOwned cancels a submission that this VM owns or runs. It does nothing if
// the submission has completed or is unknown. It always returns nil, so that
// routeCancel can return its result.
func (d *Daemon) cancelOwned(id submission.ID) *verdict.Error {
	if j, found := d.submissions.Work(id).(*runningJob); found {
		d.cancelJob(j, verdict.Errorf(verdict.NotRun, verdict.CodeCancelled, "cancelled by the caller"))
	}
	return nil
}
