package peer

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
)

const (
	bufferSize = 16 << 10 // bytes
	queueSize  = 1024     // frames
)

// conn is a connection to a peer. Queued frames are written in batches.
type conn struct {
	nc        net.Conn
	maxFrame  int
	counters  *counters
	sendQueue chan []byte
	closed    chan struct{}
	hello     wire.Hello // of the peer; set before the conn is shared

	mu       sync.Mutex // guards the fields below
	pending  map[uint64]chan frame
	lastCall uint64
	closeErr error // why the connection was closed; nil while it is open
}

func newConn(nc net.Conn, maxFrame int, counters *counters) *conn {
	return &conn{
		nc: nc, maxFrame: maxFrame, counters: counters,
		sendQueue: make(chan []byte, queueSize),
		closed:    make(chan struct{}),
		pending:   map[uint64]chan frame{},
	}
}

// close closes the connection because of err and fails all pending calls. Only
// the first call has an effect.
func (c *conn) close(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return
	}
	c.closeErr = err
	close(c.closed)
	c.nc.Close()
	for _, ch := range c.pending {
		close(ch)
	}
	c.pending = nil
}

// call sends a request and waits for its response. sent is false if no byte of
// the request can have reached the peer.
func (c *conn) call(ctx context.Context, request wire.Message) (response frame, sent bool, err error) {
	ch := make(chan frame, 1)
	number, err := c.register(ch)
	if err != nil {
		return frame{}, false, err
	}
	defer c.unregister(number)
	buf, err := appendFrame(make([]byte, 0, headerSize+request.Msgsize()), request, false, number)
	if err != nil {
		return frame{}, false, err
	}
	if len(buf) > c.maxFrame {
		return frame{}, false, errors.Newf("message of %d bytes exceeds the limit of %d", len(buf), c.maxFrame)
	}
	select {
	case c.sendQueue <- buf:
		c.counters.add(request.Kind(), len(buf))
	case <-ctx.Done():
		return frame{}, false, ctx.Err()
	case <-c.closed:
		return frame{}, false, c.err()
	}
	select {
	case f, ok := <-ch:
		if !ok {
			return frame{}, true, c.err()
		}
		return f, true, nil
	case <-ctx.Done():
		return frame{}, true, ctx.Err()
	}
}

func (c *conn) register(ch chan frame) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, c.closeErr
	}
	c.lastCall++
	c.pending[c.lastCall] = ch
	return c.lastCall, nil
}

func (c *conn) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

func (c *conn) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr
}

// deliver passes a response to its pending call. A response without a pending
// call is dropped.
func (c *conn) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.pending[f.callNumber]; ch != nil {
		ch <- f // never blocks: the buffer holds the only response
		delete(c.pending, f.callNumber)
	}
}

// writeLoop sends queued frames until the connection is closed.
func (c *conn) writeLoop() {
	w := bufio.NewWriterSize(c.nc, bufferSize)
	for {
		select {
		case buf := <-c.sendQueue:
			if err := c.writeBatch(w, buf); err != nil {
				c.close(err)
				return
			}
		case <-c.closed:
			return
		}
	}
}

// writeBatch writes a frame and all frames queued after it, then flushes.
func (c *conn) writeBatch(w *bufio.Writer, buf []byte) error {
	for {
		if _, err := w.Write(buf); err != nil {
			return err
		}
		select {
		case buf = <-c.sendQueue:
		default:
			return w.Flush()
		}
	}
}

// respond queues a response. It fails if the connection is closed.
func (c *conn) respond(m wire.Message, number uint64) error {
	buf, err := appendFrame(make([]byte, 0, headerSize+m.Msgsize()), m, true, number)
	if err != nil {
		return err
	}
	select {
	case c.sendQueue <- buf:
		c.counters.add(m.Kind(), len(buf))
		return nil
	case <-c.closed:
		return c.err()
	}
}
