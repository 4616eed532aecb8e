package httpfront

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Limits on the names that callers give, in bytes.
const (
	maxKey    = 256
	maxCaller = 128
)

// unknownCallTimeout bounds the wait for the owner's word on a call that the
// catalog here does not hold.
const unknownCallTimeout = 5 * time.Second

// notReadyRetry is the advised wait after a refusal by a VM that starts or
// drains.
const notReadyRetry = time.Second

func (s *Server) call(c *fasthttp.RequestCtx, service, name string) {
	request, failure := s.read(c, service, name)
	if failure != nil {
		refuse(c, statusOf(failure), keyOf(c), failure)
		return
	}
	if err := s.backend.Ready(); err != nil {
		refuse(c, fasthttp.StatusServiceUnavailable, request.ID.Key, notReady(request, err))
		return
	}
	// The context of a fasthttp request ends when the server begins to shut
	// down, which must not cut a request in progress.
	ctx := context.Background()
	call := s.backend.Catalog().Lookup(service, name)
	if failure := s.check(request, call); failure != nil {
		if request.FreshKey {
			refuse(c, statusOf(failure), "", failure)
			return
		}
		respond(c, request.ID.Key, s.backend.Refuse(ctx, request))
		return
	}
	respond(c, request.ID.Key, s.backend.Submit(ctx, request))
}

// notReady refuses a request without looking at its submission, of which an
// earlier attempt may have run, unless its key was made here.
func notReady(request *submission.Request, reason error) *verdict.Error {
	v := verdict.MayHaveRun
	if request.FreshKey {
		v = verdict.NotRun
	}
	return verdict.Errorf(v, verdict.CodeNotReady, "%v", reason).WithRetryAfter(notReadyRetry)
}

// read checks what can be judged without the catalog: a request that it
// refuses can never have been accepted. It makes a key where there is none.
func (s *Server) read(c *fasthttp.RequestCtx, service, name string) (*submission.Request, *verdict.Error) {
	id, failure := identify(c)
	if failure != nil {
		return nil, failure
	}
	timeout, failure := timeoutOf(c)
	if failure != nil {
		return nil, failure
	}
	if !json.Valid(c.PostBody()) {
		return nil, malformed("the body is not JSON")
	}
	request := &submission.Request{ID: id, Service: service, Call: name}
	if id.Key == "" {
		request.ID.Key, request.FreshKey = rand.Text(), true
	}
	if timeout > 0 {
		request.Deadline = c.Time().Add(timeout)
	}
	// The body belongs to the request context, which is used again once the
	// handler has returned; the submission may live longer.
	request.Parameters = append([]byte(nil), c.PostBody()...)
	return request, nil
}

// check judges a request by the call that the catalog in force holds, which is
// nil where it holds none, and bounds the request's deadline.
func (s *Server) check(request *submission.Request, call *catalog.Call) *verdict.Error {
	if call == nil {
		boundDeadline(request, unknownCallTimeout)
		return verdict.Errorf(verdict.NotRun, verdict.CodeUnknownCall,
			"service %q has no call %q", request.Service, request.Call)
	}
	boundDeadline(request, call.Deadline)
	if request.FreshKey && !call.Idempotent {
		return verdict.Errorf(verdict.NotRun, verdict.CodeKeyRequired,
			"call %s is not idempotent: send the header %s", request.Call, api.HeaderIdempotencyKey)
	}
	items, failure := call.Expand(request.Parameters, s.config.MaxTasks())
	if failure == nil {
		request.Expansion = &catalog.Expansion{Call: call, Items: items}
	}
	return failure
}

// boundDeadline lets a request end within the longest time from now.
func boundDeadline(request *submission.Request, longest time.Duration) {
	latest := time.Now().Add(longest)
	if request.Deadline.IsZero() || request.Deadline.After(latest) {
		request.Deadline = latest
	}
}

// identify reads the caller and the key, which may be empty.
func identify(c *fasthttp.RequestCtx) (submission.ID, *verdict.Error) {
	var id submission.ID
	for _, header := range []struct {
		name  string
		value *string
		limit int
	}{
		{api.HeaderCaller, &id.Caller, maxCaller},
		{api.HeaderIdempotencyKey, &id.Key, maxKey},
	} {
		values := c.Request.Header.PeekAll(header.name)
		if len(values) > 1 {
			return id, malformed("the header %s is given %d times", header.name, len(values))
		}
		if len(values) == 1 {
			*header.value = string(values[0])
		}
		if failure := checkName(header.name, *header.value, header.limit); failure != nil {
			return id, failure
		}
	}
	if id.Caller == "" {
		return id, malformed("send the header %s", api.HeaderCaller)
	}
	return id, nil
}

func checkName(what, text string, limit int) *verdict.Error {
	if len(text) > limit || !printable(text) {
		return malformed("%s must be at most %d printable ASCII characters", what, limit)
	}
	return nil
}

func printable(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) < 0
}

// timeoutOf returns the caller's timeout, or 0 where there is none.
func timeoutOf(c *fasthttp.RequestCtx) (time.Duration, *verdict.Error) {
	const longest = 24 * time.Hour
	text := string(c.Request.Header.Peek(api.HeaderTimeoutMS))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > longest.Milliseconds() {
		return 0, malformed("%s must be a number of milliseconds from 1 to %d", api.HeaderTimeoutMS, longest.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func keyOf(c *fasthttp.RequestCtx) string {
	return string(c.Request.Header.Peek(api.HeaderIdempotencyKey))
}

func (s *Server) cancel(c *fasthttp.RequestCtx, key string) {
	id, failure := identify(c)
	if failure == nil && key == "" {
		failure = malformed("the path names no key")
	}
	if failure == nil {
		failure = checkName("the key", key, maxKey)
	}
	if failure == nil {
		id.Key = key
		failure = s.backend.Cancel(context.Background(), id)
	}
	if failure != nil {
		refuse(c, statusOf(failure), key, failure)
		return
	}
	c.SetStatusCode(fasthttp.StatusNoContent)
}
