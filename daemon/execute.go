package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// runningJob is a job that this VM runs.
type runningJob struct {
	entry *submission.Entry
	id    string // job ID for the dispatcher
	tasks int
	// cancel cancels the job. The cause is a *verdict.Error, or nil once the job
	// has finished.
	cancel context.CancelCauseFunc
}

// runJob runs a job and records its outcome.
func (d *Daemon) runJob(ctx context.Context, j *runningJob, job node.Job) {
	defer j.cancel(nil)
	if !d.waitForStartPermission(ctx, j.entry, job.Deadline) {
		d.finish(j, submission.Outcome{Failure: failureCause(ctx, verdict.Errorf(verdict.NotRun, verdict.CodeDeadline,
			"this VM had no permission to start tasks before the deadline"))})
		return
	}
	answer := d.dispatch.Submit(ctx, j.id, job, j.tasks)
	d.finish(j, jobOutcome(ctx, answer))
}

// failureCause returns the failure with which a job was cancelled, or else
// fallback.
func failureCause(ctx context.Context, fallback *verdict.Error) *verdict.Error {
	var failure *verdict.Error
	if errors.As(context.Cause(ctx), &failure) {
		return failure
	}
	return fallback
}

// jobOutcome converts the dispatcher's answer to a job into the outcome of the
// submission. The verdict covers the whole submission: it is NotRun only if no
// task has started and none will.
func jobOutcome(ctx context.Context, a intake.Answer) submission.Outcome {
	if a.Outcome == intake.Succeeded {
		for i, result := range a.Results {
			if result == nil {
				a.Results[i] = []byte("null")
			}
		}
		return submission.Outcome{Results: a.Results}
	}
	failure := *failureCause(ctx, verdict.Errorf(verdict.MayHaveRun, a.Code, "%s", a.Reason).WithRetryAfter(a.RetryAfter))
	switch {
	case a.Outcome == intake.NotRun:
		failure.Verdict = verdict.NotRun
	case a.Outcome == intake.Failed || a.CompletedTasks > 0:
		failure.Verdict = verdict.Ran
	default:
		failure.Verdict = verdict.MayHaveRun
	}
	return submission.Outcome{Failure: &failure}
}

// cancelJob cancels a job: its waiting tasks are dropped and its running tasks
// are stopped.
func (d *Daemon) cancelJob(j *runningJob, failure *verdict.Error) { j.cancel(failure) }

// finish records the outcome of a job and releases its quota.
func (d *Daemon) finish(j *runningJob, outcome submission.Outcome) {
	d.quotas.Release(j.entry.ID.Caller, j.tasks)
	d.submissions.Finish(j.entry, outcome)
	d.jobs.remove(j)
}

// permissionPollInterval is the interval at which waitForStartPermission checks
// the permission.
const permissionPollInterval = 10 * time.Millisecond

// waitForStartPermission waits until this process may start the tasks of the
// entry. It returns false if the deadline passes, the job is cancelled, or this
// process is no longer the incarnation that began the submission.
func (d *Daemon) waitForStartPermission(ctx context.Context, e *submission.Entry, deadline time.Time) bool {
	for {
		now := time.Now()
		if _, ok := d.ownership.StartUntil(now, e); ok {
			return true
		}
		if e.Starter != d.ownership.View().Self.ID() || now.After(deadline) || !wait.For(ctx, permissionPollInterval) {
			return false
		}
	}
}
