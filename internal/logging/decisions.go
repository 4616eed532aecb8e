package logging

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

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

// Placement logs the upstream on which a task was placed and the values that
// determined the choice.
func (d DecisionLog) Placement(start *scheduler.Start) {
	if d.disabled() {
		return
	}
	if start.Suspicion > 0 {
		d.logger.LogAttrs(context.Background(), slog.LevelInfo, "suspect runs isolated",
			slog.String("job", start.Run.Job), slog.Int("task", start.Run.Index), slog.Int("attempt", start.Run.Attempt),
			slog.String("upstream", start.Upstream.Name), slog.Float64("suspicion", start.Suspicion))
	}
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "place",
		slog.String("job", start.Run.Job), slog.Int("task", start.Run.Index), slog.Int("attempt", start.Run.Attempt),
		slog.String("upstream", start.Upstream.Name), slog.Int64("token", start.Token), slog.Int64("waited_us", start.Waited.Microseconds()),
		slog.Int64("expected_us", start.Expected.Microseconds()), slog.Int64("left_us", start.Left.Microseconds()),
		slog.Int("free_cpu", start.Free.MilliCPU))
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
