// Package boundedhttp applies the limits of package ingresslimit to HTTP servers: to the
// connections that a listener accepts, to the bodies that handlers read, and to the
// answers that are sent.
package boundedhttp

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/ingresslimit"
)

const (
	// sendBuffer is the size of the socket's buffer for unread answers, in bytes; the kernel
	// doubles it. Without a limit it grows to megabytes for a client that does not read.
	sendBuffer = 128 << 10
	// writePiece is the number of bytes that are written at once, so that progress shows.
	writePiece = 16 << 10
	// lingerTime and lingerBytes bound what is received and dropped after an answer that was
	// sent before the end of the request. Closing a socket with unread data resets the
	// connection, and the client may lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// acceptPause is the wait after a failure to accept a connection.
	acceptPause = 10 * time.Millisecond
)

// listener accepts connections under the limits of a group.
type listener struct {
	net.Listener
	limits *Limits
	group  *ingresslimit.Group
}

// Accept implements net.Listener. Failures of a single connection, and a lack of descriptors or
// memory, do not end the listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
		case errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS):
			l.limits.acted(ingresslimit.NoDescriptor)
			if victim := l.group.Victim(time.Now()); victim != nil {
				victim.Close()
			}
			time.Sleep(acceptPause)
			continue
		case errors.Is(err, syscall.ECONNABORTED):
			continue
		default:
			return nil, err
		}
		c := &Conn{Conn: conn, limits: l.limits}
		state, victim, ok := l.group.Accept(time.Now(), c.abort)
		if victim != nil {
			victim.Close()
		}
		if !ok || victim != nil {
			l.limits.report()
		}
		if !ok {
			c.abort()
			continue
		}
		c.state = state
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBuffer)
		}
		return c, nil
	}
}

// Conn is a connection under limits. Close may be called at any time; the other methods must be
// called from one goroutine.
type Conn struct {
	net.Conn
	limits *Limits
	state  *ingresslimit.Conn
	linger atomic.Bool // the answer precedes the end of the request

	receivingBody               bool      // reads must make progress
	serving                     bool      // until the first byte of the answer
	accepted                    bool      // a body has been accepted, so that there must be an answer
	answer                      bool      // the share of the budget is an answer's
	requests                    int       // served since the last read from the socket
	readDeadline, writeDeadline time.Time // that the server has set
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection of type %T has no socket", c.Conn)
	}
	return socket.SyscallConn()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// earlier returns the earlier of a deadline, zero for none, and a time, and whether it is the time.
func earlier(deadline, t time.Time) (time.Time, bool) {
	if deadline.IsZero() || t.Before(deadline) {
		return t, true
	}
	return deadline, false
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.requests = 0
	if c.answer { // the answer has been sent
		c.answer = false
		c.hold(0)
	}
	own := false
	if c.receivingBody {
		var deadline time.Time
		deadline, own = earlier(c.readDeadline, time.Now().Add(c.limits.config.ProgressTimeout))
		_ = c.Conn.SetReadDeadline(deadline)
	}
	n, err := c.Conn.Read(p)
	if c.receivingBody {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	if n > 0 {
		c.state.Progress(time.Now())
	}
	c.countTimeout(own, err)
	return n, err
}

// Write implements net.Conn. It fails if the client takes nothing for the time without progress.
func (c *Conn) Write(p []byte) (written int, err error) {
	if c.serving {
		c.serving = false
		c.state.Progress(time.Now())
	}
	own := false
	for len(p) > 0 && err == nil {
		var deadline time.Time
		deadline, own = earlier(c.writeDeadline, time.Now().Add(c.limits.config.ProgressTimeout))
		_ = c.Conn.SetWriteDeadline(deadline)
		var n int
		n, err = c.Conn.Write(p[:min(writePiece, len(p))])
		p = p[n:]
		written += n
		if n > 0 {
			c.state.Progress(time.Now())
		}
	}
	c.countTimeout(own, err)
	return written, err
}

// beginServing keeps the limits from closing the connection until the answer is sent.
func (c *Conn) beginServing() {
	c.serving = true
	c.state.Serve()
}

// countTimeout counts the end of a connection by the limit on the time without progress.
func (c *Conn) countTimeout(own bool, err error) {
	var network net.Error
	if own && errors.As(err, &network) && network.Timeout() {
		c.limits.acted(ingresslimit.NoProgress)
	}
}

// hold sets the share of the budget, and reports whether the budget sufficed.
func (c *Conn) hold(n int) bool {
	victims, ok := c.state.Hold(time.Now(), int64(n))
	closeAll(victims)
	if !ok || len(victims) > 0 {
		c.limits.report()
	}
	return ok
}

// forceHold is hold for the answer to an accepted request.
func (c *Conn) forceHold(n int) {
	if victims := c.state.ForceHold(time.Now(), int64(n)); len(victims) > 0 {
		closeAll(victims)
		c.limits.report()
	}
}

func closeAll(victims []*ingresslimit.Conn) {
	for _, victim := range victims {
		victim.Close()
	}
}

// abort closes the connection and drops what has not been sent.
func (c *Conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

var lingerBuffers = sync.Pool{New: func() any { return new([4096]byte) }}

// Close implements net.Conn. If the answer was sent before the end of the request, it first receives
// and drops a part of the rest.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Swap(false) {
		buffer := lingerBuffers.Get().(*[4096]byte)
		err := tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		for dropped := 0; dropped < lingerBytes && err == nil; {
			var n int
			n, err = tcp.Read(buffer[:])
			dropped += n
		}
		lingerBuffers.Put(buffer)
	}
	err := c.Conn.Close()
	c.state.Closed()
	return err
}
