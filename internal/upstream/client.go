// Package upstream sends tasks to upstreams over HTTP and turns what happened
// into a verdict on whether the task may have run.
package upstream

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Config holds the settings of a Client.
type Config struct {
	DialTimeout time.Duration
	// MaxConns is the most connections to one upstream.
	MaxConns int
	// MaxBody is the largest result of a task, in bytes.
	MaxBody int
	// Permit is asked right before a request is written. It returns the time
	// by which the write must have ended, or false where nothing may be sent.
	// Nil permits everything.
	Permit func() (until time.Time, ok bool)
}

// shardCount spreads the upstreams over locks.
const shardCount = 16

// Client sends tasks. It is safe for concurrent use.
type Client struct {
	config Config
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex // guards hosts
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	c := &Client{config: config}
	for i := range c.shards {
		c.shards[i].hosts = map[string]*fasthttp.HostClient{}
	}
	return c
}

// errDial marks a request that was never sent.
var errDial = errors.New("dial")

func (c *Client) host(address string) *fasthttp.HostClient {
	s := &c.shards[rendezvous.Hash(address)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[address]
	if h == nil {
		h = c.newHost(address)
		s.hosts[address] = h
	}
	return h
}

func (c *Client) newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:     address,
		MaxConns: c.config.MaxConns,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, c.config.DialTimeout)
			if err != nil {
				return nil, errors.Mark(err, errDial)
			}
			return c.guard(conn), nil
		},
		MaxResponseBodySize: c.config.MaxBody,
		// A task must never be sent twice, so the library may not retry.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// Result is the end of a task.
type Result struct {
	// Value is the JSON value of a task that succeeded.
	Value []byte
	// Failure is nil where the task succeeded.
	Failure *verdict.Error
	// Leaving tells that the upstream takes no more tasks.
	Leaving bool
}

// Run starts a task on the upstream at address and waits for its end. The
// verdict of a failure is NotRun where the task did not start, Ran where it
// started and failed, and MayHaveRun where no answer came.
func (c *Client) Run(address string, task *api.TaskRequest) Result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/tasks")
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(task.AppendJSON(nil))
	timeout := time.Duration(task.TimeoutMS) * time.Millisecond
	if err := c.host(address).DoTimeout(request, response, timeout); err != nil {
		return Result{Failure: transportFailure(address, err)}
	}
	return decode(address, response)
}

// transportFailure judges an error without an answer. The code is CodeNotReady
// where this process itself withheld the task.
func transportFailure(address string, err error) *verdict.Error {
	if errors.Is(err, errNotPermitted) {
		return verdict.Errorf(verdict.NotRun, verdict.CodeNotReady, "upstream %s: %v", address, err)
	}
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "upstream %s: %v", address, err)
	}
	return verdict.Errorf(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "upstream %s: %v", address, err)
}

// decode judges an answer. An answer that cannot be understood proves nothing.
func decode(address string, response *fasthttp.Response) Result {
	var answer api.TaskResponse
	status := response.StatusCode()
	if err := json.Unmarshal(response.Body(), &answer); err != nil {
		return Result{Failure: verdict.Errorf(verdict.MayHaveRun, verdict.CodeUpstreamFailed,
			"upstream %s: status %d without a task response", address, status)}
	}
	result := Result{Leaving: answer.Leaving}
	switch {
	case status == fasthttp.StatusOK && answer.Started:
		result.Value = answer.Result
		if result.Value == nil {
			result.Value = []byte("null")
		}
	case status == fasthttp.StatusServiceUnavailable && !answer.Started:
		result.Failure = verdict.Errorf(verdict.NotRun, verdict.CodeUpstreamFailed, "upstream %s refused: %s", address, answer.Error)
	case answer.Started:
		result.Failure = verdict.Errorf(verdict.Ran, verdict.CodeUpstreamFailed, "upstream %s: %s", address, answer.Error)
	default:
		result.Failure = verdict.Errorf(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "upstream %s: status %d: %s", address, status, answer.Error)
	}
	return result
}

// Cancel asks the upstream to stop a task. Its result comes from Run.
func (c *Client) Cancel(address, submission string, task int, timeout time.Duration) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI(fmt.Sprintf("http://%s/v1/tasks?submission=%s&task=%d", address, url.QueryEscape(submission), task))
	return c.host(address).DoTimeout(request, response, timeout)
}
