// Package processwatch detects at once that the process at an address has ended.
//
// A refused connection does not prove it, because a network fault can refuse new
// connections while the process works on, or break a connection that is in use. The end
// of a process also closes the connections that are not in use. Watch therefore keeps
// one such connection.
package processwatch

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wait"
)

// ErrProcessGone means that the process has ended and no other one listens at its
// address.
var ErrProcessGone = errors.New("its idle connection was closed and a new one was refused")

const (
	// dialTimeout allows for tens of network round trips.
	dialTimeout = 250 * time.Millisecond
	// minLifetime is the time between two connections to a process that closes idle ones.
	minLifetime = time.Second
)

// Watch returns ErrProcessGone when the process at the address ends. It returns another
// error if that can no longer be detected, or if the context ends. A process that closes
// idle connections gets a new one.
func Watch(ctx context.Context, address string) error {
	// Keep-alive probes would use the connection.
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	for first := true; ; first = false {
		connected := time.Now()
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if !first && errors.Is(err, syscall.ECONNREFUSED) {
			return ErrProcessGone
		}
		if err != nil {
			return errors.Wrapf(err, "connect to %s", address)
		}
		awaitClose(ctx, conn)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if lifetime := time.Since(connected); !first && lifetime < minLifetime && !wait.For(ctx, minLifetime-lifetime) {
			return ctx.Err()
		}
	}
}

// awaitClose waits until the peer closes the connection or the context ends.
func awaitClose(ctx context.Context, conn net.Conn) {
	// The errors of closing an idle connection have no consequence.
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	var unexpected [1]byte
	// The peer sends nothing on a connection without a request, except when it closes it.
	_, _ = conn.Read(unexpected[:])
}
