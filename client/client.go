// Package client calls services through mustardstep. A call is resubmitted
// under its one idempotency key until its end is known, so that a lost answer
// or a dead VM costs time and not a second run.
package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Config holds the settings of a Client.
type Config struct {
	// Addresses are the host:port of entry VMs, or of the balancer before them.
	Addresses []string
	// Caller is the name of the calling team.
	Caller string
	// Backoff is the wait before the first resubmission; it doubles with each
	// one up to 32 times its length. Zero takes 20 ms.
	Backoff time.Duration
	// AttemptTimeout is the longest wait for the answer to one attempt, after
	// which the call is resubmitted. Zero waits until the deadline.
	AttemptTimeout time.Duration
	// Pick chooses the address of an attempt; nil takes Addresses in turn. It
	// may be called concurrently.
	Pick func() string
	// Observe is told of every attempt; it may be nil. It may be called
	// concurrently.
	Observe func(Attempt)
}

// Attempt is one try of a call.
type Attempt struct {
	Key     string
	Address string
	// Failure is nil where the answer was complete.
	Failure *verdict.Error
	// Lost is why no answer came, or nil.
	Lost  error
	Sent  time.Time
	Ended time.Time
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

// New returns a client without connections.
func New(config Config) *Client {
	if config.Backoff == 0 {
		config.Backoff = defaultBackoff
	}
	return &Client{config: config, http: &fasthttp.Client{
		MaxConnsPerHost:           1 << 14,
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
	if r.Key == "" {
		r.Key = rand.Text()
	}
	uncertain := false
	for attempt := 0; ; attempt++ {
		results, failure := c.attempt(r, body, time.Until(deadline))
		if failure == nil {
			return results, nil
		}
		uncertain = uncertain || failure.Verdict == verdict.MayHaveRun
		wait := max(failure.RetryAfter, c.backoff(attempt))
		if !resubmit(failure) || time.Until(deadline) <= wait {
			return nil, overall(failure, uncertain)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, overall(failure, uncertain)
		}
	}
}

// overall widens the verdict of the last attempt by what the earlier ones
// left open. A NotRun from the owner covers the submission, but one that this
// client concluded itself, from a refused connection, covers its attempt only.
func overall(failure *verdict.Error, uncertain bool) *verdict.Error {
	if failure.Verdict != verdict.NotRun || !uncertain || failure.Code != verdict.CodeUnreachable {
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

// attempt sends the call to the next address.
func (c *Client) attempt(r Request, body []byte, timeout time.Duration) ([]json.RawMessage, *verdict.Error) {
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
	results, failure, lost := c.send(request, response, c.patience(timeout))
	if c.config.Observe != nil {
		c.config.Observe(Attempt{Key: r.Key, Address: address, Failure: failure, Lost: lost, Sent: sent, Ended: time.Now()})
	}
	return results, failure
}

// patience returns the wait for the answer to an attempt, given the time left
// until the deadline.
func (c *Client) patience(left time.Duration) time.Duration {
	wait := left + answerGrace
	if c.config.AttemptTimeout > 0 {
		wait = min(wait, c.config.AttemptTimeout)
	}
	return wait
}

// send makes one attempt. lost tells why no answer came; then the failure says
// that the submission may have run.
func (c *Client) send(request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) (results []json.RawMessage, failure *verdict.Error, lost error) {
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return nil, verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable, "%v", err), err
	}
	var answer api.CallResponse
	if err := json.Unmarshal(response.Body(), &answer); err != nil {
		return nil, verdict.Errorf(verdict.MayHaveRun, verdict.CodeUnreachable,
			"status %d without an answer", response.StatusCode()), err
	}
	if answer.Verdict == verdict.Complete {
		return answer.Results, nil, nil
	}
	return nil, &verdict.Error{
		Verdict: answer.Verdict, Code: answer.Code, Reason: answer.Reason,
		RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond,
	}, nil
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
