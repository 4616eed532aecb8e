package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/verdict"
)

// Actions lists what the caller of a method must send or log.
type Actions struct {
	Stops   []Stop
	Polls   []string // upstreams to poll immediately, in addition to a pending poll
	Notices []Notice
	// Lost lists runs that ended without a listed completion, for the log.
	Lost []LostRun
	// Found lists active runs that this dispatcher has not started, for the log.
	Found []FoundRun
	// FoundEnds tells what has become of found runs, for the log.
	FoundEnds []FoundEnd
	// Resurfaced lists runs that counted as over and are listed, for the log.
	Resurfaced []ResurfacedRun
	// Probations lists upstreams whose probation has begun or ended, for the log.
	Probations []ProbationChange
	// unapplied lists lost runs that were not yet applied to their jobs; finishLost
	// applies them and moves them to Lost.
	unapplied []finishedRun
	// orphansOver lists orphans that are over; finishLost applies them to their jobs.
	orphansOver []foundRun
	// expired lists completions that matched no job within CompletionRetention.
	expired []CompletionRef
	// coverage counts the upstreams that a tick has visited.
	coverage Coverage
	// lacking counts those of them that another dispatcher may use.
	lacking Lacking
}

// LostRun is a run that is over although its upstream listed no completion.
type LostRun struct {
	Run
	Upstream string
	// MayHaveRun reports whether the run may have had an effect.
	MayHaveRun bool
	Reason     string
	// ProcessStart is the start time of the process that had the run, in ms since 1970;
	// 0 if unknown.
	ProcessStart int64
	// Sharing is the number of runs of the upstream that were lost together, including
	// this one.
	Sharing int
	// Contact is the time since the upstream's last response.
	Contact time.Duration
	// Suspicion is the probability that the run crashed its upstream.
	Suspicion float64
}

// Notice informs an origin about a task or a job.
type Notice struct {
	Origin string
	// Term is the term in which the origin offered the job. If the origin has offered
	// it again since, only TaskDone still holds.
	Term uint64
	// Submission is the submission of the job that the notice is about. TaskDone holds for
	// every submission.
	Submission uint64
	// Task identifies the task, or only the job if Kind is JobNotRun or JobAbandoned.
	Task Task
	Kind NoticeKind
	// Reason and Code tell why a task has failed or a job was abandoned.
	Reason string
	Code   verdict.Code
	// RetryAfter is the delay after which an abandoned job may be accepted.
	RetryAfter time.Duration
	// Result is the output of the task.
	Result  []byte
	History history.Task
	// Upstream is where a task has succeeded, if the job limits the number of its tasks per
	// upstream.
	Upstream string
	// Completion must be passed to ConfirmDelivery once the origin has the notice.
	Completion CompletionRef
}

// CompletionRef identifies a completion that stays listed at its upstream until
// the origin of the job has received it. The zero value refers to no completion.
type CompletionRef struct {
	Upstream string
	Number   int64
	// Token is the fencing token of the term in which the completion was listed.
	Token int64
}

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

// Notice kinds.
const (
	// TaskDone means that the task has succeeded.
	TaskDone NoticeKind = iota
	// TaskFailed means that the task has failed and is not retried.
	TaskFailed
	// JobNotRun means that the job was abandoned before a task started.
	JobNotRun
	// JobAbandoned means that the job was abandoned after a task may have started.
	JobAbandoned
	// TaskRetried means that a run of the task did not succeed and that the task is
	// started again. History counts such runs.
	TaskRetried
)

// Stop orders an upstream to terminate a run.
type Stop struct {
	Upstream Upstream
	Token    int64
	Run      Run
	// ProcessStart is as in Start.
	ProcessStart int64
	// Reason is used for logging only.
	Reason string
}
