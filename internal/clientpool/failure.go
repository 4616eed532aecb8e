package clientpool

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/valyala/fasthttp"
)

// refused reports whether no process listens at the address of a failed call.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// disconnected reports whether the peer closed the connection of a failed call.
func disconnected(err error) bool {
	return errors.Is(err, fasthttp.ErrConnectionClosed) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// FailedOrder returns the result of an order whose call to the upstream failed.
func (p *Pool) FailedOrder(address string, err error) scheduler.OrderResult {
	switch {
	case refused(err):
		return scheduler.OrderNoProcess
	case disconnected(err):
		p.dropIdle(address)
		return scheduler.OrderDisconnected
	default:
		return scheduler.OrderUnanswered
	}
}

// FailedPoll returns the result of a poll whose call to the upstream failed.
func (p *Pool) FailedPoll(address string, err error) scheduler.PollResult {
	switch {
	case refused(err):
		return scheduler.PollNoProcess
	case disconnected(err):
		p.dropIdle(address)
	}
	return scheduler.PollUnanswered
}

// dropIdle closes the idle connections to an address. If one was closed by the peer, the
// others probably were as well, and a new connection shows whether a process listens.
func (p *Pool) dropIdle(address string) { p.Get(time.Now(), address).CloseIdleConnections() }
