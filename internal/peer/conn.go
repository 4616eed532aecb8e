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
	bufferSize = 64 << 10 // bytes
	queueSize  = 1024     // frames
)

// conn is one connection. Its writer gathers queued frames into one write.
type conn struct {
	nc       net.Conn
	maxFrame int
	sent     *counters
	out      chan []byte
	closed   chan struct{}
	hello    wire.Hello // of the other end; set before the conn is shared

	mu      sync.Mutex // guards the fields below
	pending map[uint64]chan frame
	next    uint64
	failure error // why the connection ended; nil while it is open
}

func newConn(nc net.Conn, maxFrame int, sent *counters) *conn {
	return &conn{
		nc: nc, maxFrame: maxFrame, sent: sent,
		out:     make(chan []byte, queueSize),
		closed:  make(chan struct{}),
		pending: map[uint64]chan frame{},
	}
}

// close ends the connection and every call on it.
func (c *conn) close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return
	}
	c.failure = reason
	close(c.closed)
	c.nc.Close()
	for _, waiting := range c.pending {
		close(waiting)
	}
	c.pending = nil
}

// call sends a request and waits for its response. sent is false where no byte
// of the request can have reached the other end.
func (c *conn) call(ctx context.Context, request wire.Message) (response frame, sent bool, err error) {
	waiting := make(chan frame, 1)
	number, err := c.register(waiting)
	if err != nil {
		return frame{}, false, err
	}
	defer c.unregister(number)
	buf, err := appendFrame(make([]byte, 0, headerSize+request.Msgsize()), request, false, number)
	if err != nil {
		return frame{}, false, err
	}
	if len(buf) > c.maxFrame {
		return frame{}, false, errors.Newf("message of %d bytes is above the limit of %d", len(buf), c.maxFrame)
	}
	select {
	case c.out <- buf:
		c.sent.add(request.Kind(), len(buf))
	case <-ctx.Done():
		return frame{}, false, ctx.Err()
	case <-c.closed:
		return frame{}, false, c.reason()
	}
	select {
	case f, ok := <-waiting:
		if !ok {
			return frame{}, true, c.reason()
		}
		return f, true, nil
	case <-ctx.Done():
		return frame{}, true, ctx.Err()
	}
}

func (c *conn) register(waiting chan frame) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		return 0, c.failure
	}
	c.next++
	c.pending[c.next] = waiting
	return c.next, nil
}

func (c *conn) unregister(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

func (c *conn) reason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// deliver hands a response to the call that waits for it. A response to a call
// that no longer waits is dropped.
func (c *conn) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting := c.pending[f.call]; waiting != nil {
		waiting <- f // has room for the one response
		delete(c.pending, f.call)
	}
}

// write sends queued frames until the connection ends.
func (c *conn) write() {
	w := bufio.NewWriterSize(c.nc, bufferSize)
	for {
		select {
		case buf := <-c.out:
			if err := c.writeQueued(w, buf); err != nil {
				c.close(err)
				return
			}
		case <-c.closed:
			return
		}
	}
}

// writeQueued writes a frame and all that have queued behind it.
func (c *conn) writeQueued(w *bufio.Writer, buf []byte) error {
	for {
		if _, err := w.Write(buf); err != nil {
			return err
		}
		select {
		case buf = <-c.out:
		default:
			return w.Flush()
		}
	}
}

// respond queues a response; it is dropped where the connection has ended.
func (c *conn) respond(m wire.Message, number uint64) error {
	buf, err := appendFrame(make([]byte, 0, headerSize+m.Msgsize()), m, true, number)
	if err != nil {
		return err
	}
	select {
	case c.out <- buf:
		c.sent.add(m.Kind(), len(buf))
		return nil
	case <-c.closed:
		return c.reason()
	}
}
