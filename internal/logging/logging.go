// Package logging builds the structured log of a program. A decision is logged
// for every task, so that lines are gathered in memory and written together;
// threads spread over several buffers, each under its own lock.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/internal/settings"
)

// New returns a logger on w and a function that writes out what is buffered.
// Lines are written at most flushInterval late and not in order of time.
func New(s settings.Logging, w io.Writer) (*slog.Logger, func()) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo // the settings were checked before
	}
	options := &slog.HandlerOptions{Level: level}
	out := &output{w: w}
	var buffers [shardCount]*buffer
	handler := &sharded{}
	for i := range buffers {
		buffers[i] = &buffer{out: out, note: func(lines int) []byte { return dropNote(s.Format, lines) }}
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

// dropNote returns the line that tells of lines that were dropped.
func dropNote(format string, lines int) []byte {
	now := time.Now().Format(time.RFC3339Nano)
	if format == "text" {
		return fmt.Appendf(nil, "time=%s level=WARN msg=\"log lines dropped\" lines=%d\n", now, lines)
	}
	return fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", now, lines)
}
