package logging

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/locality"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// DecisionLog logs a line for each routing and placement decision. It is safe
// for concurrent use; the zero value logs nothing.
type DecisionLog struct {
	logger  *slog.Logger
	enabled *atomic.Bool
}

// NewDecisionLog returns a DecisionLog that logs only while it is enabled.
func NewDecisionLog(logger *slog.Logger, enabled bool) DecisionLog {
	d := DecisionLog{logger: logger, enabled: &atomic.Bool{}}
	d.SetEnabled(enabled)
	return d
}

// SetEnabled turns the log on or off. It must not be called on the zero value.
func (d DecisionLog) SetEnabled(enabled bool) { d.enabled.Store(enabled) }

func (d DecisionLog) disabled() bool { return d.logger == nil || !d.enabled.Load() }

// Route logs the VM that a submission was routed to, its data centre and the reason.
func (d DecisionLog) Route(id submission.ID, dataCentre, owner, reason string) {
	if d.disabled() {
		return
	}
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "route",
		slog.String("caller", id.Caller), slog.String("key", id.Key),
		slog.String("home", dataCentre), slog.String("owner", owner), slog.String("reason", reason))
}

// Offer logs the dispatcher to which a job was offered. resumed means that an
// earlier dispatcher may have started tasks of the job.
func (d DecisionLog) Offer(job, dispatcher string, term uint64, tasks int, resumed bool) {
	if d.disabled() {
		return
	}
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "offer",
		slog.String("job", job), slog.String("dispatcher", dispatcher), slog.Uint64("term", term),
		slog.Int("tasks", tasks), slog.Bool("resumed", resumed))
}

// Accepted logs a job that this dispatcher has accepted. age is the time since its caller
// sent it.
func (d DecisionLog) Accepted(job, origin string, submission uint64, age time.Duration, tasks int, o *scheduler.OfferedJob) {
	if d.disabled() {
		return
	}
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "offer accepted",
		slog.String("job", job), slog.String("origin", origin), slog.Uint64("submission", submission),
		slog.Int64("age_us", age.Microseconds()), slog.Int("tasks", tasks), slog.Bool("held", o.Held),
		slog.Bool("resumed", o.Basis.Resumed), slog.Bool("was_unstarted", o.Basis.WasUnstarted), slog.Bool("earlier_known", o.Basis.EarlierKnown))
}

// maxPlacementAttrs is the number of attributes of the longest line of Placement.
const maxPlacementAttrs = 27

// Placement logs the upstream on which a task was placed, why the task could start, and the
// values that determined the choice. task is the name by which the upstream knows the task.
// The attributes that identify the run come first, for readers that cut long lines.
func (d DecisionLog) Placement(start *scheduler.Start, task string) {
	if d.disabled() {
		return
	}
	if start.Suspicion > 0 {
		d.logger.LogAttrs(context.Background(), slog.LevelInfo, "suspect runs isolated",
			slog.String("job", start.Run.Job), slog.String("task", task), slog.Int("attempt", start.Run.Attempt),
			slog.String("upstream", start.Upstream.Name), slog.Float64("suspicion", start.Suspicion))
	}
	attrs := make([]slog.Attr, 0, maxPlacementAttrs)
	attrs = append(attrs, slog.String("job", start.Run.Job), slog.String("task", task), slog.Int("attempt", start.Run.Attempt),
		slog.String("upstream", start.Upstream.Name))
	if basis := &start.Basis; !basis.Ordinary() {
		attrs = append(attrs, slog.Bool("resumed", basis.Resumed), slog.String("hold", basis.Hold.String()), slog.Int64("held_us", basis.Held.Microseconds()),
			slog.Bool("was_unstarted", basis.WasUnstarted), slog.Bool("earlier_known", basis.EarlierKnown))
		attrs = appendCoverage(attrs, &basis.Coverage)
	}
	if p := start.Placement; p.Kind != locality.Unconstrained || p.Waited > 0 {
		attrs = append(attrs, slog.String("place", p.Kind.String()), slog.String("reason", p.Reason.String()), slog.Int64("parked_us", p.Waited.Microseconds()))
	}
	attrs = append(attrs, slog.String("origin", start.Origin), slog.Uint64("submission", start.Submission),
		slog.Int64("token", start.Token), slog.Int64("waited_us", start.Waited.Microseconds()),
		slog.Int64("expected_us", start.Expected.Microseconds()), slog.Int64("left_us", start.Left.Microseconds()),
		slog.Int("free_cpu", start.Free.MilliCPU))
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "place", attrs...)
}

// appendCoverage appends the attributes of a coverage.
func appendCoverage(attrs []slog.Attr, c *scheduler.Coverage) []slog.Attr {
	return append(attrs, slog.Int("listed", c.Listed), slog.Int("unanswered", c.Unanswered), slog.Int("fenced", c.Fenced), slog.Int("failing", c.Failing),
		slog.Int("unlisted", c.Unlisted), slog.Bool("partial", c.Partial), slog.Bool("incomplete_list", c.IncompleteList),
		slog.Bool("unreachable_peers", c.UnreachablePeers))
}

// Answer logs the outcome of a job at its origin.
func (d DecisionLog) Answer(job, queue, outcome, reason string, took time.Duration, configuration int64) {
	if d.disabled() {
		return
	}
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "answer",
		slog.String("job", job), slog.String("queue", queue), slog.String("outcome", outcome), slog.String("reason", reason),
		slog.Int64("took_us", took.Microseconds()), slog.Int64("configuration", configuration))
}

// Refusal logs the failure of a submission and the reason.
func (d DecisionLog) Refusal(id submission.ID, failure *verdict.Error) {
	if d.disabled() {
		return
	}
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "refuse",
		slog.String("caller", id.Caller), slog.String("key", id.Key),
		slog.String("verdict", failure.Verdict.String()), slog.String("code", failure.Code.String()),
		slog.String("reason", failure.Reason))
}
