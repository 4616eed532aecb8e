// Package client calls services through mustardstep. It resubmits a call under the
// same idempotency key until its outcome is known, so that a lost answer or a
// failed VM delays the call but does not run it twice.
package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Config holds the settings of a Client.
type Config struct {
	// Addresses are the host:port addresses of VMs, or of a load balancer in
	// front of them.
	Addresses []string
	// Caller is the name of the calling team.
	Caller string
	// AttemptTimeout is the timeout of one attempt, after which the call is
	// resubmitted to the next address under the same key. It should exceed the
	// duration of a job. Zero waits until the deadline.
	AttemptTimeout time.Duration
	// Backoff is the delay before the first resubmission. It doubles with each
	// resubmission, up to 32 times the initial delay. Zero means 20 ms.
	Backoff time.Duration
	// Pick returns the address of the next attempt; nil uses Addresses in turn.
	// It may be called concurrently.
	Pick func() string
	// Observe is called after every attempt, possibly concurrently. It may be
	// nil.
	Observe func(Attempt)
	// Dial opens connections; nil dials TCP.
	Dial func(address string) (net.Conn, error)
}

// Attempt describes one attempt of a call.
type Attempt struct {
	Key     string
	Address string
	// Failure is nil if the call completed.
	Failure *verdict.Error
	// Err is the reason that no answer arrived, or nil.
	Err      error
	Sent     time.Time
	Finished time.Time
}

// Client makes calls. It is safe for concurrent use.
type Client struct {
	config Config
	http   *fasthttp.Client
	next   atomic.Uint64
}

const (
	defaultBackoff   = 20 * time.Millisecond
	maxBackoffFactor = 32
	// answerGrace is the extra wait for an answer that reports a missed deadline.
	answerGrace = 200 * time.Millisecond
)

// errDial marks a failure to connect; the request was not sent.
var errDial = errors.New("dial")

// errNoAnswer marks a response whose body holds no answer.
var errNoAnswer = errors.New("no answer")

// New returns a client. It opens no connection. It panics if the config has neither
// Addresses nor Pick.
func New(config Config) *Client {
	if len(config.Addresses) == 0 && config.Pick == nil {
		panic("client: Config has neither Addresses nor Pick")
	}
	if config.Backoff == 0 {
		config.Backoff = defaultBackoff
	}
	dial := config.Dial
	if dial == nil {
		dial = fasthttp.Dial
	}
	return &Client{config: config, http: &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			conn, err := dial(address)
			return conn, errors.Mark(err, errDial)
		},
		MaxConnsPerHost: 1 << 14,
		// The client resubmits by verdict, so the HTTP library must not retry.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}}
}

// Request describes a call.
type Request struct {
	Service, Call string
	// Key is the idempotency key; if empty, Call generates one.
	Key string
	// Parameters is encoded as JSON.
	Parameters any
}

// Call runs a request and returns the JSON value of every task, in order. The
// context must have a deadline. A failed call returns a *verdict.Error whose verdict
// covers all attempts.
func (c *Client) Call(ctx context.Context, r Request) ([]json.RawMessage, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("call: context has no deadline")
	}
	body, err := json.Marshal(r.Parameters)
	if err != nil {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "encode parameters: %v", err)
	}
	// A key chosen by the caller may have been used before this call.
	h := attemptHistory{mayHaveRun: r.Key != ""}
	if r.Key == "" {
		r.Key = rand.Text()
	}
	for attempt := 0; ; attempt++ {
		results, failure, answered := c.attempt(r, body, time.Until(deadline))
		if failure == nil {
			return results, nil
		}
		h.add(failure, answered)
		delay := max(failure.RetryAfter, c.backoff(attempt))
		if !canResubmit(failure) || time.Until(deadline) <= delay || !wait.For(ctx, delay) {
			return nil, h.overall(failure, answered)
		}
	}
}

// attemptHistory tracks whether earlier attempts of a call may have run.
type attemptHistory struct {
	// mayHaveRun is true if the key may have run before, or if an answer said that
	// it may have. A later answer "not run" covers the whole submission and so
	// overrules this.
	mayHaveRun bool
	// unanswered is true if an attempt got no answer. Its request may still be in
	// transit, so a later answer "not run" does not cover it.
	unanswered bool
}

func (h *attemptHistory) add(failure *verdict.Error, answered bool) {
	switch {
	case failure.Verdict == verdict.NotRun:
	case answered:
		h.mayHaveRun = true
	default:
		h.unanswered = true
	}
}

// overall returns the failure of the last attempt. It changes the verdict NotRun to
// MayHaveRun if an earlier attempt may have run and the last answer does not
// overrule that.
func (h *attemptHistory) overall(failure *verdict.Error, answered bool) *verdict.Error {
	if failure.Verdict != verdict.NotRun || (!h.unanswered && (answered || !h.mayHaveRun)) {
		return failure
	}
	widened := *failure
	widened.Verdict = verdict.MayHaveRun
	return &widened
}

// canResubmit reports whether another attempt under the same key may succeed.
func canResubmit(failure *verdict.Error) bool {
	switch failure.Code {
	case verdict.CodeUnreachable, verdict.CodeNotReady, verdict.CodeOverloaded, verdict.CodeQuota, verdict.CodeNoUpstream:
		return true
	default:
		return false
	}
}

func (c *Client) backoff(attempt int) time.Duration {
	return c.config.Backoff * time.Duration(min(1<<min(attempt, 16), maxBackoffFactor))
}

// pick returns the address of the next attempt.
func (c *Client) pick() string {
	if c.config.Pick != nil {
		return c.config.Pick()
	}
	return c.config.Addresses[c.next.Add(1)%uint64(len(c.config.Addresses))]
}

// attempt sends the call to the next address. answered is false if no answer
// arrived and the client derived the failure itself.
func (c *Client) attempt(r Request, body []byte, timeout time.Duration) (results []json.RawMessage, failure *verdict.Error, answered bool) {
	address := c.pick()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/services/" + url.PathEscape(r.Service) + "/calls/" + url.PathEscape(r.Call))
	request.Header.SetContentType("application/json")
	request.Header.Set(api.HeaderCaller, c.config.Caller)
	request.Header.Set(api.HeaderIdempotencyKey, r.Key)
	request.Header.Set(api.HeaderTimeoutMS, strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	request.SetBodyRaw(body)
	sent := time.Now()
	results, failure, sendErr := c.send(request, response, timeout)
	if c.config.Observe != nil {
		c.config.Observe(Attempt{Key: r.Key, Address: address, Failure: failure, Err: sendErr, Sent: sent, Finished: time.Now()})
	}
	return results, failure, sendErr == nil
}

// send sends one request. sendErr is the reason that no answer arrived, or nil; if it
// is set, the client derived the failure itself.
func (c *Client) send(request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) (results []json.RawMessage, failure *verdict.Error, sendErr error) {
	wait := timeout + answerGrace
	if c.config.AttemptTimeout > 0 {
		wait = min(wait, c.config.AttemptTimeout)
	}
	if err := c.http.DoTimeout(request, response, wait); err != nil {
		return nil, noAnswerFailure(err), err
	}
	var answer api.CallResponse
	if err := json.Unmarshal(response.Body(), &answer); err != nil || answer.Verdict == verdict.Unknown {
		return nil, verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable,
			"status %d without an answer", response.StatusCode()), errNoAnswer
	}
	if answer.Verdict == verdict.Complete {
		return answer.Results, nil, nil
	}
	return nil, &verdict.Error{
		Verdict: answer.Verdict, Code: answer.Code, Reason: answer.Reason,
		RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond,
	}, nil
}

// noAnswerFailure returns the failure of an attempt that got no answer. Its verdict
// is NotRun only if no connection was established.
func noAnswerFailure(err error) *verdict.Error {
	v := verdict.MayHaveRun
	if errors.Is(err, errDial) {
		v = verdict.NotRun
	}
	return verdict.Errorf(v, verdict.CodeUnreachable, "%v", err)
}

// Cancel asks the owner to cancel a submission. The pending Call returns the
// outcome.
func (c *Client) Cancel(ctx context.Context, key string) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.New("cancel: context has no deadline")
	}
	address := c.pick()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI("http://" + address + "/v1/submissions/" + url.PathEscape(key))
	request.Header.Set(api.HeaderCaller, c.config.Caller)
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return errors.Wrap(err, "cancel")
	}
	if status := response.StatusCode(); status != fasthttp.StatusNoContent {
		return errors.Newf("cancel: status %d: %s", status, response.Body())
	}
	return nil
}
