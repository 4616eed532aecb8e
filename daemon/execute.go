package daemon

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/job"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// running is a job of this VM; each of its tasks carries it as Work.
type running struct {
	entry      *submission.Entry
	job        *job.Job
	call       *catalog.Call
	parameters []byte
	items      [][]byte
	deadline   *time.Timer // aborts the job
	sent       sentTasks
}

// watchDeadline aborts a job that has not ended at its deadline.
func (d *Daemon) watchDeadline(run *running, deadline time.Time) {
	// The timer is set before it runs, since its function reads run.deadline.
	run.deadline = time.AfterFunc(time.Hour, func() {
		d.abort(run, verdict.Errorf(verdict.NotRun, verdict.CodeDeadline, "the deadline passed"))
	})
	run.deadline.Reset(time.Until(deadline))
}

// abort ends a job from outside and drops its waiting tasks.
func (d *Daemon) abort(run *running, failure *verdict.Error) {
	if outcome, ended := run.job.Abort(failure); ended {
		d.finish(run, outcome)
	}
}

// finish enters the end of a job.
func (d *Daemon) finish(run *running, outcome submission.Outcome) {
	run.deadline.Stop()
	d.quotas.Release(run.entry.ID.Caller, len(run.items))
	if outcome.Failure != nil {
		d.dispatcher.Cancel(run.call.Service, run.entry.ID)
		d.stopTasks(run)
	}
	d.submissions.Finish(run.entry, outcome)
	d.jobs.remove(run)
}

// tickDispatch reconsiders waiting tasks until the context ends.
func (d *Daemon) tickDispatch(ctx context.Context) error {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.place(d.dispatcher.Tick(now))
			d.lend(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// place carries out assignments, each on its own goroutine: a task holds its
// slot until the upstream answers, so their number is bounded by the slots.
func (d *Daemon) place(assignments []dispatch.Assignment) {
	for i := range assignments {
		d.decisions.Placement(&assignments[i])
		d.startTask(assignments[i])
	}
}

// run sends one task to its upstream and enters the result.
func (d *Daemon) run(a dispatch.Assignment) {
	run := a.Task.Work.(*running)
	if !d.awaitPermission(run.entry, a.Task.Deadline) || !run.job.Offer() {
		d.release(a, dispatch.Result{Ending: dispatch.Skipped})
		return
	}
	d.metrics.starts.Add(1)
	sent := time.Now()
	run.sent.add(a.Task.Index, a.Upstream)
	result := d.upstreams.Run(a.Upstream.Address, &api.TaskRequest{
		Submission: a.Task.Submission.String(), Task: a.Task.Index, Tasks: len(run.items),
		Service: run.call.Service, Call: run.call.Name,
		Parameters: run.parameters, Item: run.items[a.Task.Index],
		TimeoutMS: a.Task.Deadline.Sub(sent).Milliseconds(),
		MilliCPU:  run.call.Size.MilliCPU, MemoryMB: run.call.Size.MemoryMB, Accelerators: run.call.Size.Accelerators,
	})
	run.sent.remove(a.Task.Index)
	ending := dispatch.Result{Ending: dispatch.Done, Took: time.Since(sent), Leaving: result.Leaving}
	switch failure := result.Failure; {
	case failure == nil:
		if outcome, ended := run.job.Complete(a.Task.Index, result.Value); ended {
			d.finish(run, outcome)
		}
	case failure.Code == verdict.CodeNotReady:
		run.job.Refuse()
		ending.Ending = dispatch.Withheld
	case failure.Verdict == verdict.NotRun:
		d.metrics.refusals.Add(1)
		run.job.Refuse()
		ending.Ending = dispatch.Refused
	default:
		ending.Ending = dispatch.Failed
		outcome, ended := run.job.Fail(failure)
		if ended {
			d.finish(run, outcome)
		} else {
			// The job had ended, so its tasks were stopped; that is no failure
			// of the upstream.
			ending.Ending = dispatch.Skipped
		}
	}
	d.release(a, ending)
}

// release returns the slot of an assignment and places what it lets through.
func (d *Daemon) release(a dispatch.Assignment, result dispatch.Result) {
	var buffer [4]dispatch.Assignment
	next, dropped := d.dispatcher.Finish(time.Now(), a, result, buffer[:0])
	if dropped {
		d.abort(a.Task.Work.(*running), verdict.Errorf(verdict.NotRun, verdict.CodeUpstreamFailed,
			"task %d was refused by every upstream that it was offered to", a.Task.Index))
	}
	d.place(next)
}
