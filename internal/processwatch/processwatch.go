// Package processwatch detects at once that the process at an address seems to have ended.
//
// The end of a process closes its connections, also those that are not in use, and new
// ones are refused. Watch keeps one connection that is not in use. Faults of the network
// can close it and refuse new ones while the process works on, so this is no proof.
package processwatch

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wait"
)

// ErrRefused means that the process has probably ended, and no other one listens at its
// address.
var ErrRefused = errors.New("its idle connection was closed and a new one was refused")

const (
	// dialTimeout allows for tens of network round trips.
	dialTimeout = 250 * time.Millisecond
	// minLifetime is the time between two connections to a process that closes idle ones.
	minLifetime = time.Second
)

// Watch returns ErrRefused when the process at the address seems to have ended. It returns another
// error if that can no longer be detected, or if the context ends. A process that closes
// idle connections gets a new one.
func Watch(ctx context.Context, address string) error {
	// Keep-alive probes would use the connection.
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	for first := true; ; first = false {
		connected := time.Now()
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if !first && errors.Is(err, syscall.ECONNREFUSED) {
			return ErrRefused
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
