// Package client calls services through mustardstep. A call is resubmitted
// under its one idempotency key until its end is known, so that a lost answer
// or a dead VM costs time and not a second run.
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
	// Addresses are the host:port of entry VMs, or of the balancer before them.
	Addresses []string
	// Caller is the name of the calling team.
	Caller string
	// AttemptTimeout is the longest wait for one answer before the call is
	// resubmitted, to the next address, under its key; it should be above the
	// time that a job takes. Zero waits for the whole deadline.
	AttemptTimeout time.Duration
	// Backoff is the wait before the first resubmission; it doubles with each
	// one up to 32 times its length. Zero takes 20 ms.
	Backoff time.Duration
	// Pick chooses the address of an attempt; nil takes Addresses in turn. It
	// may be called concurrently.
	Pick func() string
	// Observe is told of every attempt; it may be nil. It may be called
	// concurrently.
	Observe func(Attempt)
	// Dial opens connections; nil dials TCP.
	Dial func(address string) (net.Conn, error)
}

// Attempt is one try of a call.
type Attempt struct {
	Key     string
	Address string
	// Failure is nil where the answer was complete.
	Failure *verdict.Error
	// Err is why no answer came, or nil.
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
	// answerGrace lets the answer that reports a missed deadline arrive.
	answerGrace = 200 * time.Millisecond
)

// errDial marks an attempt that reached no VM.
var errDial = errors.New("dial")

// errNoAnswer marks an attempt whose response holds no answer.
var errNoAnswer = errors.New("no answer")

// New returns a client without connections. It panics where the config names
// no address.
func New(config Config) *Client {
	if len(config.Addresses) == 0 && config.Pick == nil {
		panic("client: the config names no address")
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
		// Resubmission is done here, by verdict.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}}
}

// Request is a call.
type Request struct {
	Service, Call string
	// Key is the idempotency key; empty makes one.
	Key string
	// Parameters is encoded as JSON.
	Parameters any
}

// Call runs a request and returns the JSON value of every task, in order. The
// context must have a deadline. A failure is a *verdict.Error; when the
// deadline ends the resubmissions its verdict covers all attempts.
func (c *Client) Call(ctx context.Context, r Request) ([]json.RawMessage, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("the context has no deadline")
	}
	body, err := json.Marshal(r.Parameters)
	if err != nil {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "encode parameters: %v", err)
	}
	// A key of the caller's own may have been used before this call.
	h := history{doubt: r.Key != ""}
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
		if !resubmit(failure) || time.Until(deadline) <= delay || !wait.For(ctx, delay) {
			return nil, h.overall(failure, answered)
		}
	}
}

// history is what the attempts of one call leave open.
type history struct {
	// doubt tells that an attempt may have run, which an answer "not run"
	// settles, since it covers the submission.
	doubt bool
	// lost tells that an attempt got no answer. It may still be on its way, so
	// that no later answer can deny it.
	lost bool
}

func (h *history) add(failure *verdict.Error, answered bool) {
	switch {
	case failure.Verdict == verdict.NotRun:
	case answered:
		h.doubt = true
	default:
		h.lost = true
	}
}

// overall widens the verdict of the last attempt by what the earlier ones
// left open.
func (h *history) overall(failure *verdict.Error, answered bool) *verdict.Error {
	if failure.Verdict != verdict.NotRun || (!h.lost && (answered || !h.doubt)) {
		return failure
	}
	whole := *failure
	whole.Verdict = verdict.MayHaveRun
	return &whole
}

// resubmit tells whether another attempt under the same key can end better.
func resubmit(failure *verdict.Error) bool {
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

// attempt sends the call to the next address. answered is false where the
// failure was concluded here.
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
	results, failure, lost := c.send(request, response, timeout)
	if c.config.Observe != nil {
		c.config.Observe(Attempt{Key: r.Key, Address: address, Failure: failure, Err: lost, Sent: sent, Finished: time.Now()})
	}
	return results, failure, lost == nil
}

// send makes one attempt. lost tells why no answer came; then the failure was
// concluded here.
func (c *Client) send(request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) (results []json.RawMessage, failure *verdict.Error, lost error) {
	wait := timeout + answerGrace
	if c.config.AttemptTimeout > 0 {
		wait = min(wait, c.config.AttemptTimeout)
	}
	if err := c.http.DoTimeout(request, response, wait); err != nil {
		return nil, unanswered(err), err
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

// unanswered judges an attempt that got no answer.
func unanswered(err error) *verdict.Error {
	v := verdict.MayHaveRun
	if errors.Is(err, errDial) {
		v = verdict.NotRun
	}
	return verdict.Errorf(v, verdict.CodeUnreachable, "%v", err)
}

// Cancel asks for the end of a submission. Its outcome comes from Call.
func (c *Client) Cancel(ctx context.Context, key string) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.New("the context has no deadline")
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
