package logging

import (
	"io"
	"sync"
	"time"
)

const (
	bufferSize = 64 << 10 // bytes; a buffer that has grown beyond is written
	// maxPending is the most that waits in a buffer, in bytes; lines beyond are
	// dropped, so that a log that cannot be written, or not as fast, holds
	// nothing up.
	maxPending    = 4 * bufferSize
	flushInterval = 100 * time.Millisecond
)

// output writes the lines of all buffers.
type output struct {
	mu sync.Mutex // makes each write whole; held during the write, by design
	w  io.Writer
}

func (o *output) write(lines []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// A log that cannot be written must not stop the program.
	_, _ = o.w.Write(lines)
}

// buffer gathers whole lines.
type buffer struct {
	out *output
	// note returns a line that tells of lines that were dropped.
	note func(lines int) []byte

	// flushing makes flush return only once all earlier lines are written. It
	// is held during the write, by design, and taken before mu.
	flushing sync.Mutex

	mu        sync.Mutex // guards the fields below; not held while writing
	lines     []byte
	spare     []byte // memory of the lines that were written last
	scheduled bool
	urgent    bool // a flush is under way because the buffer was full
	dropped   int  // lines since the last flush
}

// Write implements io.Writer. It gets one line at a time and never waits for the
// log to be written.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.lines)+len(line) > maxPending {
		b.dropped++
	} else {
		b.lines = append(b.lines, line...)
	}
	full := len(b.lines) > bufferSize && !b.urgent
	b.urgent = b.urgent || full
	schedule := !b.scheduled
	b.scheduled = true
	b.mu.Unlock()
	if schedule {
		time.AfterFunc(flushInterval, b.expire)
	}
	if full {
		go b.flush()
	}
	return len(line), nil
}

// expire flushes at the end of the interval. The timer stays set while lines
// come, whatever was flushed in between.
func (b *buffer) expire() {
	b.mu.Lock()
	b.scheduled = false
	b.mu.Unlock()
	b.flush()
}

// flush writes out what has been gathered.
func (b *buffer) flush() {
	b.flushing.Lock()
	defer b.flushing.Unlock()
	b.mu.Lock()
	lines, dropped := b.lines, b.dropped
	b.lines, b.spare, b.dropped, b.urgent = b.spare[:0], nil, 0, false
	b.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, b.note(dropped)...)
	}
	if len(lines) == 0 {
		return
	}
	b.out.write(lines)
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
