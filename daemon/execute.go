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

// runningJob is a job of this VM.
type runningJob struct {
	entry *submission.Entry
	id    string // names the job in the pool
	tasks int
	// cancel ends the job from outside, with a *verdict.Error as the cause.
	cancel context.CancelCauseFunc
}

// execute runs a job in the pool and enters its end.
func (d *Daemon) execute(ctx context.Context, run *runningJob, job node.Job) {
	defer run.cancel(nil)
	if !d.waitForStartPermission(ctx, run.entry, job.Deadline) {
		d.finish(run, submission.Outcome{Failure: failureCause(ctx, verdict.Errorf(verdict.NotRun, verdict.CodeDeadline,
			"this VM got no permission to start tasks before the deadline"))})
		return
	}
	answer := d.pool.Submit(ctx, run.id, job, run.tasks)
	d.finish(run, jobOutcome(ctx, answer))
}

// failureCause returns the failure that ended a job from outside, or another one.
func failureCause(ctx context.Context, otherwise *verdict.Error) *verdict.Error {
	var failure *verdict.Error
	if errors.As(context.Cause(ctx), &failure) {
		return failure
	}
	return otherwise
}

// jobOutcome judges the answer of the pool. The verdict covers the whole
// submission: it is NotRun only where no task has started and none will.
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

// cancelJob ends a job from outside: what waits is dropped, what runs is stopped.
func (d *Daemon) cancelJob(run *runningJob, failure *verdict.Error) { run.cancel(failure) }

// finish enters the end of a job.
func (d *Daemon) finish(run *runningJob, outcome submission.Outcome) {
	d.quotas.Release(run.entry.ID.Caller, run.tasks)
	d.submissions.Finish(run.entry, outcome)
	d.jobs.remove(run)
}

// permissionPollInterval is the time between looks at a permission that is missing.
const permissionPollInterval = 10 * time.Millisecond

// waitForStartPermission waits until the tasks of the entry may be offered. It returns
// false where the deadline passes first, the job was ended, or this process is no
// longer the incarnation that began the submission.
func (d *Daemon) waitForStartPermission(ctx context.Context, e *submission.Entry, deadline time.Time) bool {
	for {
		now := time.Now()
		if _, ok := d.node.StartUntil(now, e); ok {
			return true
		}
		if e.Starter != d.node.View().Self.ID() || now.After(deadline) || !wait.For(ctx, permissionPollInterval) {
			return false
		}
	}
}
