// Package panics keeps an unexpected error in the handling of one request from
// terminating the process and with it all other requests.
package panics

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// Recover must be deferred by a function that serves one request. If the function
// panics, Recover logs the value and the stack with the attributes, and calls after with
// the value as an error. It does nothing otherwise. A nil logger logs nothing.
func Recover(log *slog.Logger, after func(error), attributes ...any) {
	value := recover()
	if value == nil {
		return
	}
	if log != nil {
		log.Error("panic while serving a request", append(attributes, slog.Any("panic", value), slog.String("stack", string(debug.Stack())))...)
	}
	after(fmt.Errorf("panic: %v", value))
}
