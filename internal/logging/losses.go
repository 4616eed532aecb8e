package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
)

const (
	// maxLossLines is the greatest number of lines of a LossLog in a lossWindow, without the one
	// that counts the others.
	maxLossLines = 20
	lossWindow   = time.Second
)

// process identifies a process of a VM.
type process struct {
	vm          string
	incarnation uint64
}

// loss is a loss as it was logged.
type loss struct {
	fleet.LostMember
	since time.Time
}

// LossLog logs when a member becomes lost and when it no longer counts. It is safe for concurrent
// use.
type LossLog struct {
	logger *slog.Logger

	mu       sync.Mutex // guards the fields below; writing a line does not block
	lost     map[process]loss
	worstEnd fleet.LossEnd // of the losses that have ended since no member was lost
	windowAt time.Time
	lines    int // in the present window
	omitted  int // changes without a line
}

// NewLossLog returns a LossLog.
func NewLossLog(logger *slog.Logger) *LossLog {
	return &LossLog{logger: logger, lost: map[process]loss{}}
}

// Observe logs the differences from the members that were lost before. why returns why a member
// that was lost no longer is.
func (l *LossLog) Observe(now time.Time, lost []fleet.LostMember, why func(fleet.LostMember) fleet.LossEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowAt) >= lossWindow {
		if l.omitted > 0 {
			l.logger.Warn("further members were lost or no longer count", slog.Int("changes", l.omitted), slog.Int("lost", len(lost)))
		}
		l.windowAt, l.lines, l.omitted = now, 0, 0
	}
	if len(lost) == 0 && len(l.lost) == 0 {
		return
	}
	present := make(map[process]bool, len(lost))
	if len(l.lost) == 0 {
		l.worstEnd = fleet.LossEndHeard
	}
	for _, m := range lost {
		present[process{m.VM, m.Incarnation}] = true
	}
	for p, former := range l.lost {
		if present[p] {
			continue
		}
		delete(l.lost, p)
		end := why(former.LostMember)
		l.worstEnd = max(l.worstEnd, end)
		l.line(slog.LevelInfo, "member no longer counts as lost", slog.String("member", p.vm), slog.String("why", end.String()),
			slog.Int64("lost_ms", now.Sub(former.since).Milliseconds()), slog.Uint64("incarnation", p.incarnation))
	}
	for _, m := range lost {
		p := process{m.VM, m.Incarnation}
		if _, known := l.lost[p]; known {
			continue
		}
		l.lost[p] = loss{m, now}
		level := slog.LevelWarn
		if m.Reason == fleet.LossNeverHeard {
			level = slog.LevelInfo // usual when processes start
		}
		attrs := []slog.Attr{slog.String("member", m.VM), slog.String("why", m.Reason.String())}
		if !m.HeardAt.IsZero() {
			attrs = append(attrs, slog.Int64("unheard_ms", now.Sub(m.HeardAt).Milliseconds()))
		}
		l.line(level, "member lost", append(attrs, slog.Bool("listed", m.Listed), slog.Uint64("incarnation", m.Incarnation))...)
	}
}

// line logs a line, or counts it if the window has no room. The caller holds mu.
func (l *LossLog) line(level slog.Level, message string, attrs ...slog.Attr) {
	if l.lines >= maxLossLines {
		l.omitted++
		return
	}
	l.lines++
	l.logger.LogAttrs(context.Background(), level, message, attrs...)
}

// WorstEnd returns the weakest evidence by which a loss has ended since no member was lost.
func (l *LossLog) WorstEnd() fleet.LossEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worstEnd
}
