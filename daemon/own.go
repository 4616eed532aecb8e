package daemon

import (
	"encoding/json"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/job"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// start queues the tasks of a submission that this VM may start. Where that
// fails nothing has run, and the entry ends with the verdict NotRun.
func (d *Daemon) start(r *submission.Request, entry *submission.Entry) {
	if failure := d.enqueue(r, entry); failure != nil {
		d.submissions.Finish(entry, submission.Outcome{Failure: failure})
	}
}

// enqueue makes the job of a submission. A failure means that none was made.
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
	run := &running{entry: entry, job: job.New(len(items)), call: call, parameters: r.Parameters}
	tasks := make([]*dispatch.Task, len(items))
	for i, item := range items {
		run.items = append(run.items, item)
		tasks[i] = &dispatch.Task{Submission: entry.ID, Index: i, Call: call, Deadline: r.Deadline, Work: run}
	}
	d.jobs.add(run)
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

// expand returns the items of the tasks of a request. What the front of this
// VM has expanded is used while its call is still in force.
func (d *Daemon) expand(r *submission.Request, call *catalog.Call) ([]json.RawMessage, *verdict.Error) {
	if e := r.Expansion; e != nil && e.Call == call {
		return e.Items, nil
	}
	return call.Expand(r.Parameters, d.live.Load().Jobs.MaxTasks)
}

// cancelOwned cancels a submission of this VM. One that has ended or is not
// known stays as it is.
func (d *Daemon) cancelOwned(id submission.ID) *verdict.Error {
	if run, found := d.submissions.Work(id).(*running); found {
		d.abort(run, verdict.Errorf(verdict.NotRun, verdict.CodeCancelled, "cancelled by the caller"))
	}
	return nil
}
