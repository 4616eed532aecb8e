// Package logging provides the structured logger of a program. Because every
// task logs a decision, lines are buffered in memory and written in batches. To
// reduce contention, there are several buffers, each with its own lock.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/internal/settings"
)

// New returns a logger that writes to w and a function that flushes its buffers.
// Lines are flushed after at most flushInterval and are not ordered by time.
func New(s settings.Logging, w io.Writer) (*slog.Logger, func()) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo // not reached: settings are validated earlier
	}
	options := &slog.HandlerOptions{Level: level}
	out := &output{w: w, counts: &Counts{}, failNotice: func(lines int) []byte { return formatNotice(s.Format, "log lines lost, a write has failed", lines) }}
	var buffers [shardCount]*buffer
	handler := &shardedHandler{counts: out.counts}
	for i := range buffers {
		buffers[i] = &buffer{out: out, dropNotice: func(lines int) []byte { return formatNotice(s.Format, "log lines dropped", lines) }}
		if s.Format == "text" {
			handler.shards[i] = slog.NewTextHandler(buffers[i], options)
		} else {
			handler.shards[i] = slog.NewJSONHandler(buffers[i], options)
		}
	}
	return slog.New(handler), func() {
		for _, b := range buffers {
			b.flush()
		}
	}
}

// formatNotice returns a log line that reports a number of lines.
func formatNotice(format, message string, lines int) []byte {
	now := time.Now().Format(time.RFC3339Nano)
	if format == "text" {
		return fmt.Appendf(nil, "time=%s level=WARN msg=%q lines=%d\n", now, message, lines)
	}
	return fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":%q,"lines":%d}`+"\n", now, message, lines)
}
