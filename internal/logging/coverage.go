package logging

import (
	"context"
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
)

// coverageInterval is the shortest time between two lines of a CoverageLog.
const coverageInterval = time.Second

// CoverageLog logs which upstreams a dispatcher lacks when that changes. It must not be used
// by several goroutines at once.
type CoverageLog struct {
	logger   *slog.Logger
	logged   scheduler.Coverage // as of the last line
	loggedAt time.Time
}

// NewCoverageLog returns a CoverageLog.
func NewCoverageLog(logger *slog.Logger) *CoverageLog { return &CoverageLog{logger: logger} }

// Observe logs the coverage if it differs from the last line and the interval has passed.
// Outside of a term, ok is false; the next term then begins without lacking anything.
func (l *CoverageLog) Observe(now time.Time, c scheduler.Coverage, ok bool) {
	if !ok {
		l.logged = scheduler.Coverage{}
		return
	}
	last := l.logged
	last.Listed = c.Listed // which alone is no reason for a line
	if c == last || now.Sub(l.loggedAt) < coverageInterval {
		return
	}
	l.logged, l.loggedAt = c, now
	message := "upstreams are lacking"
	if c.Complete() {
		message = "no upstreams are lacking"
	}
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, message, appendCoverage(nil, &c)...)
}
