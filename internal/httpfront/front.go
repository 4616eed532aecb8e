// Package httpfront serves callers, operators and the platform's balancer over
// HTTP. It turns requests into submission.Request values and answers into
// status codes and JSON; it decides nothing about how a submission runs.
package httpfront

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"expvar"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Backend runs what the front accepts. It is called concurrently.
type Backend interface {
	// Catalog returns the services in force.
	Catalog() *catalog.Catalog
	// Submit runs a submission and returns its end.
	Submit(ctx context.Context, request *submission.Request) submission.Answer
	// Cancel stops a submission. A failure says why it could not.
	Cancel(ctx context.Context, id submission.ID) *verdict.Error
	// Ready returns the reason why this VM takes no calls, or nil.
	Ready() error
}

// Config holds the settings of a Front.
type Config struct {
	// MaxBody is the largest body of a call, in bytes.
	MaxBody int
	// Metrics are shown at /debug/vars.
	Metrics *expvar.Map
	// Operators serves paths under /v1/operators; nil serves none.
	Operators fasthttp.RequestHandler
}

// Limits on the names that callers give, in bytes.
const (
	maxKey    = 256
	maxCaller = 128
)

// idleTimeout is how long a caller's connection may stay without a request.
const idleTimeout = time.Minute

// Front is the HTTP server.
type Front struct {
	config  Config
	backend Backend
	server  *fasthttp.Server
}

// New returns a front that does not listen yet.
func New(config Config, backend Backend) *Front {
	f := &Front{config: config, backend: backend}
	f.server = &fasthttp.Server{
		Handler:               f.handle,
		MaxRequestBodySize:    config.MaxBody,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          refuseUnreadable,
	}
	return f
}

// Serve accepts requests until Shutdown.
func (f *Front) Serve(listener net.Listener) error { return f.server.Serve(listener) }

// Shutdown stops accepting and waits for the requests in progress until the
// context ends.
func (f *Front) Shutdown(ctx context.Context) error { return f.server.ShutdownWithContext(ctx) }

func (f *Front) handle(c *fasthttp.RequestCtx) {
	path := strings.Split(strings.Trim(string(c.Path()), "/"), "/")
	method := string(c.Method())
	switch {
	case len(path) == 5 && path[0] == "v1" && path[1] == "services" && path[3] == "calls":
		if allow(c, method, fasthttp.MethodPost) {
			f.call(c, path[2], path[4])
		}
	case len(path) == 3 && path[0] == "v1" && path[1] == "submissions":
		if allow(c, method, fasthttp.MethodDelete) {
			f.cancel(c, path[2])
		}
	case len(path) == 3 && path[0] == "v1" && path[1] == "operators" && f.config.Operators != nil:
		f.config.Operators(c)
	case len(path) == 1 && path[0] == "healthz":
		c.SetBodyString("ok\n")
	case len(path) == 1 && path[0] == "readyz":
		f.ready(c)
	case len(path) == 2 && path[0] == "debug" && path[1] == "vars":
		c.SetContentType("application/json")
		c.SetBodyString(f.config.Metrics.String())
	default:
		refuse(c, fasthttp.StatusNotFound, "", verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "no such path"))
	}
}

// allow refuses any other method than the given one.
func allow(c *fasthttp.RequestCtx, method, allowed string) bool {
	if method == allowed {
		return true
	}
	c.Response.Header.Set(fasthttp.HeaderAllow, allowed)
	refuse(c, fasthttp.StatusMethodNotAllowed, "", verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "use %s", allowed))
	return false
}

func (f *Front) ready(c *fasthttp.RequestCtx) {
	if err := f.backend.Ready(); err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ready\n")
}

func (f *Front) call(c *fasthttp.RequestCtx, service, name string) {
	request, failure := f.parse(c, service, name)
	if failure != nil {
		refuse(c, statusOf(failure), string(c.Request.Header.Peek(api.HeaderIdempotencyKey)), failure)
		return
	}
	answer := f.backend.Submit(c, request)
	respond(c, request.ID.Key, answer)
}

// parse checks a call and makes a key for one that came without.
func (f *Front) parse(c *fasthttp.RequestCtx, service, name string) (*submission.Request, *verdict.Error) {
	if err := f.backend.Ready(); err != nil {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeNotReady, "%v", err).WithRetryAfter(time.Second)
	}
	call := f.backend.Catalog().Lookup(service, name)
	if call == nil {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeUnknownCall, "service %q has no call %q", service, name)
	}
	id, failure := identify(c)
	if failure != nil {
		return nil, failure
	}
	request := &submission.Request{ID: id, Service: service, Call: name}
	if id.Key == "" {
		if !call.Idempotent {
			return nil, verdict.Errorf(verdict.NotRun, verdict.CodeKeyRequired,
				"call %s is not idempotent: send the header %s", name, api.HeaderIdempotencyKey)
		}
		request.ID.Key, request.FreshKey = rand.Text(), true
	}
	timeout, failure := timeoutOf(c, call)
	if failure != nil {
		return nil, failure
	}
	request.Deadline = c.Time().Add(timeout)
	// The body belongs to the request context, which outlives the call only
	// as long as this handler; the submission may live longer.
	request.Parameters = append([]byte(nil), c.PostBody()...)
	return request, nil
}

// identify reads the caller and the key, which may be empty.
func identify(c *fasthttp.RequestCtx) (submission.ID, *verdict.Error) {
	id := submission.ID{
		Caller: string(c.Request.Header.Peek(api.HeaderCaller)),
		Key:    string(c.Request.Header.Peek(api.HeaderIdempotencyKey)),
	}
	switch {
	case id.Caller == "":
		return id, verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "send the header %s", api.HeaderCaller)
	case len(id.Caller) > maxCaller || !printable(id.Caller):
		return id, verdict.Errorf(verdict.NotRun, verdict.CodeMalformed,
			"%s must be at most %d printable ASCII characters", api.HeaderCaller, maxCaller)
	case len(id.Key) > maxKey || !printable(id.Key):
		return id, verdict.Errorf(verdict.NotRun, verdict.CodeMalformed,
			"%s must be at most %d printable ASCII characters", api.HeaderIdempotencyKey, maxKey)
	}
	return id, nil
}

func printable(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) < 0
}

func timeoutOf(c *fasthttp.RequestCtx, call *catalog.Call) (time.Duration, *verdict.Error) {
	text := string(c.Request.Header.Peek(api.HeaderTimeoutMS))
	if text == "" {
		return call.Deadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, verdict.Errorf(verdict.NotRun, verdict.CodeMalformed,
			"%s must be a positive number of milliseconds", api.HeaderTimeoutMS)
	}
	return min(time.Duration(ms)*time.Millisecond, call.Deadline), nil
}

func (f *Front) cancel(c *fasthttp.RequestCtx, key string) {
	id, failure := identify(c)
	if failure != nil {
		refuse(c, statusOf(failure), key, failure)
		return
	}
	id.Key = key
	if failure := f.backend.Cancel(c, id); failure != nil {
		refuse(c, statusOf(failure), key, failure)
		return
	}
	c.SetStatusCode(fasthttp.StatusNoContent)
}

// respond writes the end of a submission.
func respond(c *fasthttp.RequestCtx, key string, answer submission.Answer) {
	if failure := answer.Outcome.Failure; failure != nil {
		write(c, statusOf(failure), api.CallResponse{
			Verdict: failure.Verdict, Key: key, Code: failure.Code, Reason: failure.Reason,
			RetryAfterMS: failure.RetryAfter.Milliseconds(), Owner: answer.Owner,
		})
		return
	}
	results := make([]json.RawMessage, len(answer.Outcome.Results))
	for i, result := range answer.Outcome.Results {
		results[i] = result
	}
	write(c, fasthttp.StatusOK, api.CallResponse{
		Verdict: verdict.Complete, Key: key, Results: results, Owner: answer.Owner,
	})
}

func refuse(c *fasthttp.RequestCtx, status int, key string, failure *verdict.Error) {
	write(c, status, api.CallResponse{
		Verdict: failure.Verdict, Key: key, Code: failure.Code, Reason: failure.Reason,
		RetryAfterMS: failure.RetryAfter.Milliseconds(),
	})
}

// refuseUnreadable answers a request that is no HTTP or above a limit.
func refuseUnreadable(c *fasthttp.RequestCtx, err error) {
	failure := verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "%v", err)
	if err == fasthttp.ErrBodyTooLarge {
		failure.Code = verdict.CodeTooLarge
	}
	refuse(c, statusOf(failure), "", failure)
}

func write(c *fasthttp.RequestCtx, status int, response api.CallResponse) {
	body, err := json.Marshal(response)
	if err != nil {
		// Only a result that is no JSON can fail to encode; the tasks ran.
		c.Error(err.Error(), fasthttp.StatusBadGateway)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.Response.Header.Set(api.HeaderVerdict, response.Verdict.String())
	if response.RetryAfterMS > 0 {
		seconds := (response.RetryAfterMS + 999) / 1000
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	c.SetBody(body)
}

// statusOf maps a failure to an HTTP status.
func statusOf(failure *verdict.Error) int {
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
