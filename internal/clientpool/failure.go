package clientpool

import (
	"io"
	"syscall"

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
func FailedOrder(err error) scheduler.OrderResult {
	switch {
	case refused(err):
		return scheduler.OrderNoProcess
	case disconnected(err):
		return scheduler.OrderDisconnected
	default:
		return scheduler.OrderUnanswered
	}
}

// FailedPoll returns the result of a poll whose call to the upstream failed.
func FailedPoll(err error) scheduler.PollResult {
	if refused(err) {
		return scheduler.PollNoProcess
	}
	return scheduler.PollUnanswered
}
