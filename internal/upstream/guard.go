package upstream

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// errNotPermitted marks a request of which no byte was written.
var errNotPermitted = errors.New("this process may not start tasks now")

// guardedConn asks for permission before each write.
type guardedConn struct {
	net.Conn
	permit func() (until time.Time, ok bool)
}

// guard wraps a connection where the configuration asks for it.
func (c *Client) guard(conn net.Conn) net.Conn {
	if c.config.Permit == nil {
		return conn
	}
	return &guardedConn{conn, c.config.Permit}
}

// Write writes before the permission lapses or not at all. A write that was
// cut short by the deadline has an unknown end, like any other that fails.
func (g *guardedConn) Write(b []byte) (int, error) {
	until, ok := g.permit()
	if !ok {
		return 0, errNotPermitted
	}
	if err := g.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	return g.Conn.Write(b)
}
