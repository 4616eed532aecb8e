package peer

import (
	"sync/atomic"

	"github.com/mustardstep/mustardstep/internal/wire"
)

// kindCount is the number of message kinds that a frame header can encode.
const kindCount = 256

// counters holds the numbers of frames and bytes sent by a transport. It is safe
// for concurrent use.
type counters struct {
	frames [kindCount]atomic.Int64
	bytes  atomic.Int64
}

func (c *counters) add(kind wire.Kind, bytes int) {
	c.frames[kind].Add(1)
	c.bytes.Add(int64(bytes))
}

// FramesSent returns the number of frames sent since startup, by message kind.
// Kinds that were never sent are omitted.
func (t *Transport) FramesSent() map[wire.Kind]int64 {
	sent := map[wire.Kind]int64{}
	for kind := range t.counters.frames {
		if n := t.counters.frames[kind].Load(); n > 0 {
			sent[wire.Kind(kind)] = n
		}
	}
	return sent
}

// BytesSent returns the number of bytes sent since startup.
func (t *Transport) BytesSent() int64 { return t.counters.bytes.Load() }
