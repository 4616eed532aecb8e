package logging

import (
	"io"
	"sync"
	"time"
)

const (
	bufferSize    = 64 << 10 // bytes; a buffer that has grown beyond is written
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

	// flushing makes flush return only once all earlier lines are written. It
	// is held during the write, by design, and taken before mu.
	flushing sync.Mutex

	mu        sync.Mutex // guards the fields below; not held while writing
	lines     []byte
	spare     []byte // memory of the lines that were written last
	scheduled bool
}

// Write implements io.Writer. It gets one line at a time.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	b.lines = append(b.lines, line...)
	full := len(b.lines) > bufferSize
	schedule := !b.scheduled
	b.scheduled = true
	b.mu.Unlock()
	if schedule {
		time.AfterFunc(flushInterval, b.expire)
	}
	if full {
		b.flush()
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
	lines := b.lines
	b.lines, b.spare = b.spare[:0], nil
	b.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	b.out.write(lines)
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
