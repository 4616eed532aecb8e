// Package verdict reports what is known about the execution of a submission. An
// Error carries a failure between packages and to the caller.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a failure with its verdict. It is immutable and safe for concurrent
// use.
type Error struct {
	// Verdict says whether tasks may have started. It is never Complete.
	Verdict Verdict
	// Code is the machine-readable reason.
	Code Code
	// Reason is the human-readable reason.
	Reason string
	// RetryAfter is the minimum delay before a resubmission; 0 gives no advice.
	RetryAfter time.Duration
}

// Errorf returns an Error with a formatted reason.
func Errorf(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Reason: fmt.Sprintf(format, args...)}
}

// MinRetryAfter is the retry advice if no better estimate is known. It is one
// second because the Retry-After header counts whole seconds.
const MinRetryAfter = time.Second

// WithRetryAfter returns a copy with the given delay before a resubmission.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Verdict, e.Code, e.Reason)
}

// From returns the Error in the chain of err, or nil for a nil err. Any other
// error becomes MayHaveRun with CodeInternal, because nothing is known about
// its cause.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Errorf(MayHaveRun, CodeInternal, "%v", err)
}
