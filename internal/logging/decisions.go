package logging

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Decisions logs a line for each routing and placement decision. It is safe
// for concurrent use; the zero value logs nothing.
type Decisions struct {
	logger *slog.Logger
	// placements holds a logger for each reason of a placement. With the
	// reason bound beforehand, a line has no more attributes than a record
	// holds without an allocation.
	placements map[dispatch.Reason]*slog.Logger
	enabled    *atomic.Bool
}

// NewDecisions returns a log of decisions, silent while it is not enabled.
func NewDecisions(logger *slog.Logger, enabled bool) Decisions {
	d := Decisions{logger: logger, placements: map[dispatch.Reason]*slog.Logger{}, enabled: &atomic.Bool{}}
	for _, reason := range []dispatch.Reason{dispatch.Fastest, dispatch.Borrowed, dispatch.Baseline} {
		d.placements[reason] = logger.With(slog.String("reason", reason.String()))
	}
	d.Enable(enabled)
	return d
}

// Enable turns the log on or off. It must not be called on the zero value.
func (d Decisions) Enable(enabled bool) { d.enabled.Store(enabled) }

func (d Decisions) silent() bool { return d.logger == nil || !d.enabled.Load() }

// Route logs to which VM a submission was sent, and why.
func (d Decisions) Route(id submission.ID, home, owner, reason string) {
	if d.silent() {
		return
	}
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "route",
		slog.String("caller", id.Caller), slog.String("key", id.Key),
		slog.String("home", home), slog.String("owner", owner), slog.String("reason", reason))
}

// Placement logs to which upstream a task was bound, and why.
func (d Decisions) Placement(a *dispatch.Assignment) {
	if d.silent() {
		return
	}
	logger := d.placements[a.Reason]
	if logger == nil {
		logger = d.logger.With(slog.String("reason", a.Reason.String()))
	}
	logger.LogAttrs(context.Background(), slog.LevelInfo, "place",
		slog.String("caller", a.Task.Submission.Caller), slog.String("key", a.Task.Submission.Key),
		slog.Int("task", a.Task.Index), slog.String("upstream", a.Upstream.Name),
		slog.Int64("waited_us", a.Waited.Microseconds()))
}

// Refusal logs that a submission failed, and why.
func (d Decisions) Refusal(id submission.ID, failure *verdict.Error) {
	if d.silent() {
		return
	}
	d.logger.LogAttrs(context.Background(), slog.LevelInfo, "refuse",
		slog.String("caller", id.Caller), slog.String("key", id.Key),
		slog.String("verdict", failure.Verdict.String()), slog.String("code", failure.Code.String()),
		slog.String("reason", failure.Reason))
}
