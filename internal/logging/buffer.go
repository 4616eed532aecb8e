package logging

import (
	"sync"
	"time"
)

const (
	flushThreshold = 64 << 10 // bytes; a larger buffer is flushed immediately
	// maxBuffered is the maximum size of a buffer, in bytes. Further lines are
	// dropped, so that a blocked or slow writer does not block the program.
	maxBuffered   = 4 * flushThreshold
	flushInterval = 100 * time.Millisecond
)

// buffer collects complete lines and flushes them periodically.
type buffer struct {
	out *output
	// dropNotice returns a line that reports the number of dropped lines.
	dropNotice func(lines int) []byte

	// flushMu is held while writing, by design, so that flush returns only after
	// all earlier lines are written. It is locked before mu.
	flushMu sync.Mutex

	mu           sync.Mutex // guards the fields below; not held while writing
	lines        []byte
	spare        []byte // memory of the lines last written, for reuse
	timerSet     bool
	flushPending bool // a flush was started because the threshold was exceeded
	count        int  // of lines
	dropped      int  // lines since the last flush
}

// Write implements io.Writer. Each call passes one line. It never waits for the
// underlying writer.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.lines)+len(line) > maxBuffered {
		b.dropped++
		b.out.counts.Dropped.Add(1)
	} else {
		b.count++
		b.lines = append(b.lines, line...)
	}
	full := len(b.lines) > flushThreshold && !b.flushPending
	b.flushPending = b.flushPending || full
	setTimer := !b.timerSet
	b.timerSet = true
	b.mu.Unlock()
	if setTimer {
		time.AfterFunc(flushInterval, b.onTimer)
	}
	if full {
		go b.flush()
	}
	return len(line), nil
}

// onTimer flushes the buffer at the end of the interval. Other flushes do not stop
// the timer. After it has fired, the next line sets it again.
func (b *buffer) onTimer() {
	b.mu.Lock()
	b.timerSet = false
	b.mu.Unlock()
	b.flush()
}

// flush writes the collected lines.
func (b *buffer) flush() {
	b.flushMu.Lock()
	defer b.flushMu.Unlock()
	b.mu.Lock()
	lines, count, dropped := b.lines, b.count, b.dropped
	b.lines, b.spare, b.count, b.dropped, b.flushPending = b.spare[:0], nil, 0, 0, false
	b.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, b.dropNotice(dropped)...)
	}
	if len(lines) == 0 {
		return
	}
	b.out.write(lines, count, dropped)
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
