package httpfront

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/boundedhttp"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// writeAnswer writes the answer of a submission.
func writeAnswer(c *fasthttp.RequestCtx, key string, answer submission.Answer) {
	if failure := answer.Outcome.Failure; failure != nil {
		response := errorResponse(key, failure)
		response.Owner = answer.Owner
		writeResponse(c, statusOf(failure), response)
		return
	}
	results := make([]json.RawMessage, len(answer.Outcome.Results))
	for i, result := range answer.Outcome.Results {
		results[i] = result
	}
	writeResponse(c, fasthttp.StatusOK, api.CallResponse{
		Verdict: verdict.Complete, Key: key, Results: results, Owner: answer.Owner,
	})
}

func writeError(c *fasthttp.RequestCtx, status int, key string, failure *verdict.Error) {
	writeResponse(c, status, errorResponse(key, failure))
}

func errorResponse(key string, failure *verdict.Error) api.CallResponse {
	return api.CallResponse{
		Verdict: failure.Verdict, Key: key, Code: failure.Code, Reason: failure.Reason,
		RetryAfterMS: failure.RetryAfter.Milliseconds(),
	}
}

// handleReadError responds to a request that cannot be read: it is not HTTP,
// exceeds a limit or timed out.
func handleReadError(c *fasthttp.RequestCtx, err error) {
	failure := malformed("%v", err)
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case c.Request.Header.Len() > boundedhttp.MaxHeaderFields, errors.As(err, &small):
		failure.Code, status = verdict.CodeTooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = fasthttp.StatusRequestTimeout
	}
	writeError(c, status, "", failure)
}

func isTimeout(err error) bool {
	var network *net.OpError
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &network) && network.Timeout()
}

// bodyError returns the error for a request whose body was not accepted. Nothing has been
// forwarded. If the budget is exhausted, an earlier attempt with the caller's key may have run.
func bodyError(c *fasthttp.RequestCtx, err error) *verdict.Error {
	switch {
	case errors.Is(err, boundedhttp.ErrBudget):
		v := verdict.NotRun
		if keyOf(c) != "" {
			v = verdict.MayHaveRun
		}
		return verdict.Errorf(v, verdict.CodeNotReady, "%v", err).WithRetryAfter(boundedhttp.RetryAfter)
	case errors.IsAny(err, boundedhttp.ErrTooLarge, boundedhttp.ErrTooManyFields):
		return verdict.Errorf(verdict.NotRun, verdict.CodeTooLarge, "%v", err)
	}
	if isTimeout(err) {
		return errBodyTimeout
	}
	return malformed("%v", err)
}

// errBodyTimeout is the error for a body that was not received in time. It must not be changed.
var errBodyTimeout = malformed("the request was not received in time")

func writeResponse(c *fasthttp.RequestCtx, status int, response api.CallResponse) {
	body, err := json.Marshal(response)
	if err != nil {
		// Encoding fails only if a result is not valid JSON, so the task ran.
		failure := verdict.Errorf(verdict.Ran, verdict.CodeUpstreamFailed, "a result is not valid JSON: %v", err)
		writeError(c, fasthttp.StatusBadGateway, response.Key, failure)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.Response.Header.Set(api.HeaderVerdict, response.Verdict.String())
	if response.Key != "" && checkText("", response.Key, maxKeyLength) == nil {
		c.Response.Header.Set(api.HeaderIdempotencyKey, response.Key)
	}
	if response.RetryAfterMS > 0 {
		seconds := (response.RetryAfterMS + 999) / 1000
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	c.SetBody(body)
}

// statusOf maps a failure to an HTTP status.
func statusOf(failure *verdict.Error) int {
	if failure == errBodyTimeout {
		return fasthttp.StatusRequestTimeout
	}
	switch failure.Code {
	case verdict.CodeMalformed, verdict.CodeKeyRequired:
		return fasthttp.StatusBadRequest
	case verdict.CodeUnknownCall:
		return fasthttp.StatusNotFound
	case verdict.CodeInvalidParameters, verdict.CodeKeyReused, verdict.CodeNeverFits:
		return fasthttp.StatusUnprocessableEntity
	case verdict.CodeTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case verdict.CodeOverloaded, verdict.CodeQuota:
		return fasthttp.StatusTooManyRequests
	case verdict.CodeDeadline:
		return fasthttp.StatusGatewayTimeout
	case verdict.CodeUpstreamFailed:
		return fasthttp.StatusBadGateway
	case verdict.CodeCancelled, verdict.CodeExpired:
		return fasthttp.StatusConflict
	case verdict.CodeInternal:
		return fasthttp.StatusInternalServerError
	default:
		return fasthttp.StatusServiceUnavailable
	}
}
