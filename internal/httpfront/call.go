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

// Limits on values set by callers, in bytes.
const (
	maxKeyLength    = 256
	maxCallerLength = 128
)

// unknownCallTimeout limits the wait for the owner's answer if the call is not
// in the local catalog.
const unknownCallTimeout = 5 * time.Second

// notReadyRetryAfter is the retry delay sent to callers while the VM starts or
// drains.
const notReadyRetryAfter = time.Second

func (s *Server) handleCall(c *fasthttp.RequestCtx, service, name string) {
	request, failure := s.parseRequest(c, service, name)
	if failure != nil {
		writeError(c, statusOf(failure), keyOf(c), failure)
		return
	}
	if err := s.backend.Ready(); err != nil {
		writeError(c, fasthttp.StatusServiceUnavailable, request.ID.Key, notReadyError(request, err))
		return
	}
	// fasthttp cancels the context of a request when the server starts to shut
	// down. Requests in progress must complete, so that context is not used.
	ctx := context.Background()
	call := s.backend.Catalog().Lookup(service, name)
	failure = s.validate(request, call)
	// The tasks have copies of their parameters.
	s.config.Limits.Decoded(c, 2*len(request.Parameters))
	if failure != nil {
		if request.FreshKey {
			writeError(c, statusOf(failure), "", failure)
			return
		}
		writeAnswer(c, request.ID.Key, s.backend.SubmitInvalid(ctx, request))
		return
	}
	writeAnswer(c, request.ID.Key, s.backend.Submit(ctx, request))
}

// notReadyError returns the error for a request to a VM that is not ready. The
// submission is not looked up, so an earlier attempt with the caller's key may
// have run; with a key generated here, none can have.
func notReadyError(request *submission.Request, reason error) *verdict.Error {
	v := verdict.MayHaveRun
	if request.FreshKey {
		v = verdict.NotRun
	}
	return verdict.Errorf(v, verdict.CodeNotReady, "%v", reason).WithRetryAfter(notReadyRetryAfter)
}

// parseRequest decodes a request and checks it as far as possible without the
// catalog. A request that fails here cannot have been accepted by any VM. A
// missing key is generated.
func (s *Server) parseRequest(c *fasthttp.RequestCtx, service, name string) (*submission.Request, *verdict.Error) {
	body, err := s.config.Limits.ReadBody(c, s.config.MaxBody)
	if err != nil {
		return nil, bodyError(c, err)
	}
	id, failure := parseID(c)
	if failure != nil {
		return nil, failure
	}
	timeout, failure := parseTimeout(c)
	if failure != nil {
		return nil, failure
	}
	if !json.Valid(body) {
		return nil, malformed("the body is not valid JSON")
	}
	request := &submission.Request{ID: id, Service: service, Call: name}
	if id.Key == "" {
		request.ID.Key, request.FreshKey = rand.Text(), true
	}
	if timeout > 0 {
		request.Deadline = c.Time().Add(timeout)
	}
	request.Parameters = body
	return request, nil
}

// validate checks a request against its call in the catalog, expands it into
// tasks and limits its deadline. call is nil if the catalog does not contain it.
func (s *Server) validate(request *submission.Request, call *catalog.Call) *verdict.Error {
	if call == nil {
		boundDeadline(request, unknownCallTimeout)
		return verdict.Errorf(verdict.NotRun, verdict.CodeUnknownCall,
			"service %q has no call %q", request.Service, request.Call)
	}
	boundDeadline(request, call.Deadline)
	if request.FreshKey && !call.Idempotent {
		return verdict.Errorf(verdict.NotRun, verdict.CodeKeyRequired,
			"call %q is not idempotent and requires the header %s", request.Call, api.HeaderIdempotencyKey)
	}
	items, failure := call.Expand(request.Parameters, s.config.MaxTasks())
	if failure == nil {
		request.Expansion = &catalog.Expansion{Call: call, Items: items}
	}
	return failure
}

// boundDeadline sets the deadline of a request to at most maxDuration from now.
func boundDeadline(request *submission.Request, maxDuration time.Duration) {
	latest := time.Now().Add(maxDuration)
	if request.Deadline.IsZero() || request.Deadline.After(latest) {
		request.Deadline = latest
	}
}

// parseID reads the caller and the key from the headers. The key may be empty.
func parseID(c *fasthttp.RequestCtx) (submission.ID, *verdict.Error) {
	var id submission.ID
	for _, header := range []struct {
		name  string
		value *string
		limit int
	}{
		{api.HeaderCaller, &id.Caller, maxCallerLength},
		{api.HeaderIdempotencyKey, &id.Key, maxKeyLength},
	} {
		values := c.Request.Header.PeekAll(header.name)
		if len(values) > 1 {
			return id, malformed("header %s occurs %d times", header.name, len(values))
		}
		if len(values) == 1 {
			*header.value = string(values[0])
		}
		if failure := checkText(header.name, *header.value, header.limit); failure != nil {
			return id, failure
		}
	}
	if id.Caller == "" {
		return id, malformed("header %s is missing", api.HeaderCaller)
	}
	return id, nil
}

func checkText(what, text string, limit int) *verdict.Error {
	if len(text) > limit || !printable(text) {
		return malformed("%s must be at most %d printable ASCII characters", what, limit)
	}
	return nil
}

func printable(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) < 0
}

// parseTimeout returns the timeout set by the caller, or 0 if there is none.
func parseTimeout(c *fasthttp.RequestCtx) (time.Duration, *verdict.Error) {
	const maxTimeout = 24 * time.Hour
	text := string(c.Request.Header.Peek(api.HeaderTimeoutMS))
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, malformed("header %s must be a number of milliseconds from 1 to %d", api.HeaderTimeoutMS, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func keyOf(c *fasthttp.RequestCtx) string {
	return string(c.Request.Header.Peek(api.HeaderIdempotencyKey))
}

func (s *Server) handleCancel(c *fasthttp.RequestCtx, key string) {
	id, failure := parseID(c)
	if failure == nil && key == "" {
		failure = malformed("the path contains no key")
	}
	if failure == nil {
		failure = checkText("the key", key, maxKeyLength)
	}
	if failure == nil {
		id.Key = key
		failure = s.backend.Cancel(context.Background(), id)
	}
	if failure != nil {
		writeError(c, statusOf(failure), key, failure)
		return
	}
	c.SetStatusCode(fasthttp.StatusNoContent)
}
