// Package verdict says what is known about the execution of a submission.
// One Error type carries every failure through the code and to the caller.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a failure with its verdict. It is immutable and safe for
// concurrent use.
type Error struct {
	// Verdict says whether tasks may have started; never Complete.
	Verdict Verdict
	// Code is the machine-readable reason.
	Code Code
	// Reason is the readable reason.
	Reason string
	// RetryAfter is the shortest wait before a resubmission; 0 gives no advice.
	RetryAfter time.Duration
}

// Errorf returns an Error with a formatted reason.
func Errorf(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Reason: fmt.Sprintf(format, args...)}
}

// MinRetryAfter is the advice where nothing better is known: the header that carries
// it to callers counts whole seconds.
const MinRetryAfter = time.Second

// WithRetryAfter returns a copy that advises a wait before a resubmission.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Verdict, e.Code, e.Reason)
}

// From returns the Error in the chain of err. An error without one may stand
// for anything, so it becomes MayHaveRun; nil becomes nil.
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
