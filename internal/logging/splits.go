package logging

import (
	"log/slog"
	"strings"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
)

// maxSplitNames is the greatest number of members that a line of a SplitLog names.
const maxSplitNames = 8

// SplitLog logs when a split is confirmed and when it is over. It must not be used by several
// goroutines at once.
type SplitLog struct {
	logger    *slog.Logger
	confirmed scheduler.SplitReport // of the tick that confirmed the split; zero without one
	since     time.Time
}

// NewSplitLog returns a SplitLog.
func NewSplitLog(logger *slog.Logger) *SplitLog { return &SplitLog{logger: logger} }

// Observe logs the begin or the end of a split. lost are the members that are lost, lossEnd is the
// weakest evidence by which others no longer are. It returns why a split has ended; ended is false
// if none has.
func (l *SplitLog) Observe(now time.Time, r scheduler.SplitReport, lost []fleet.LostMember, lossEnd fleet.LossEnd) (end scheduler.SplitEnd, ended bool) {
	if l.confirmed.Confirmed && r.Confirmed {
		l.confirmed.Token = r.Token // a split goes on in the next term
	}
	if l.confirmed.Confirmed && !r.Confirmed {
		end, ended = scheduler.EndOfSplit(l.confirmed, r), true
		attrs := []any{slog.String("why", end.String())}
		if end == scheduler.SplitEndNoneLost {
			attrs = append(attrs, slog.String("members", lossEnd.String()))
		}
		l.logger.Info("the split is over", append(attrs, slog.Int64("after_ms", now.Sub(l.since).Milliseconds()), slog.Int("lost", len(lost)))...)
		l.confirmed = scheduler.SplitReport{}
	}
	if r.Confirmed && !l.confirmed.Confirmed {
		l.confirmed, l.since = r, now
		l.logger.Warn("split: other VMs may dispatch", slog.Int("lost", len(lost)),
			slog.Int("fenced", r.Lacking.Fenced), slog.Int("silent", r.Lacking.Silent), slog.Int("failing", r.Lacking.Failing), slog.Int("unclaimed", r.Lacking.Unclaimed),
			slog.Int("unlisted", r.Unlisted), slog.Bool("partial", r.Lacking.Partial), slog.String("members", lostNames(lost)))
	}
	return end, ended
}

// lostNames returns the names of members, up to maxSplitNames.
func lostNames(lost []fleet.LostMember) string {
	names := make([]string, 0, maxSplitNames)
	for _, m := range lost[:min(len(lost), maxSplitNames)] {
		names = append(names, m.VM)
	}
	return strings.Join(names, " ")
}
