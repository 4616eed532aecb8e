package logging

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

// Counts counts the lines of a logger. It is safe for concurrent use.
type Counts struct {
	// Written lines were passed to the writer. Dropped ones found a full buffer, because the
	// writer was blocked or slow. Failed ones were lost with a write that failed.
	Written, Dropped, Failed atomic.Uint64
}

// CountsOf returns the counts of a logger returned by New or derived from one, or nil for any
// other.
func CountsOf(logger *slog.Logger) *Counts {
	if h, ok := logger.Handler().(*shardedHandler); ok {
		return h.counts
	}
	return nil
}

// output serializes the writes of all buffers.
type output struct {
	counts *Counts
	// failNotice returns a line that reports the number of lines lost with failed writes.
	failNotice func(lines int) []byte

	mu     sync.Mutex // guards the fields below; held during each write, by design
	w      io.Writer
	failed int  // lines lost with failed writes and not reported yet
	torn   bool // the last write has ended within a line
}

// write writes lines. reported is the number of dropped lines that a notice among them reports.
// If the write fails, the program goes on, and the lines are reported with the next one.
func (o *output) write(lines []byte, count, reported int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed > 0 && !o.reportFailed() {
		o.noteFailed(count, reported)
		return
	}
	n, err := o.w.Write(lines)
	if err == nil {
		o.counts.Written.Add(uint64(count))
		return
	}
	whole := min(bytes.Count(lines[:n], []byte("\n")), count)
	o.torn = n > 0 && lines[n-1] != '\n'
	o.counts.Written.Add(uint64(whole))
	o.noteFailed(count-whole, reported)
}

// noteFailed counts lines that are lost, and notices that have to be repeated. The caller holds mu.
func (o *output) noteFailed(lines, reported int) {
	o.counts.Failed.Add(uint64(lines))
	o.failed += lines + reported
}

// reportFailed writes the number of lines that were lost. It reports whether it succeeded. The
// caller holds mu.
func (o *output) reportFailed() bool {
	notice := o.failNotice(o.failed)
	if o.torn {
		notice = append([]byte("\n"), notice...)
	}
	n, err := o.w.Write(notice)
	if err != nil {
		o.torn = o.torn && n == 0 || n > 0 && notice[n-1] != '\n'
		return false
	}
	o.failed, o.torn = 0, false
	return true
}
