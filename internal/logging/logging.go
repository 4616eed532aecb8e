// Package logging builds the structured log of a program. Lines are gathered
// in memory and written together, since a decision is logged for every task.
package logging

import (
	"bufio"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/settings"
)

const (
	bufferSize    = 256 << 10 // bytes
	flushInterval = 100 * time.Millisecond
)

// New returns a logger on w and a function that writes out what is buffered.
func New(s settings.Logging, w io.Writer) (*slog.Logger, func()) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo // the settings were checked before
	}
	buffer := &buffer{w: bufio.NewWriterSize(w, bufferSize)}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewJSONHandler(buffer, options)
	if s.Format == "text" {
		handler = slog.NewTextHandler(buffer, options)
	}
	return slog.New(handler), buffer.flush
}

// buffer delays writes by at most flushInterval.
type buffer struct {
	mu        sync.Mutex // guards the fields below
	w         *bufio.Writer
	scheduled bool
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.scheduled {
		b.scheduled = true
		time.AfterFunc(flushInterval, b.flush)
	}
	return b.w.Write(p)
}

func (b *buffer) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduled = false
	// A log that cannot be written must not stop the program.
	_ = b.w.Flush()
}
