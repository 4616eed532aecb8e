// Package upstream implements the project's own protocol between VMs and upstreams:
// start orders, stop orders and polls as JSON over HTTP
// (schema/messages/upstream.yaml). Client is the side of the VMs; Serve is the side of
// the upstreams, for stand-ins.
package upstream

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/clientpool"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/valyala/fasthttp"
)

// HTTP paths of the protocol.
const (
	pathStart = "/v1/starts"
	pathStop  = "/v1/stops"
	pathPoll  = "/v1/looks"
)

// Config holds the settings of a Client.
type Config struct {
	DialTimeout time.Duration
	// MaxConns limits the connections to one upstream.
	MaxConns int
	// MaxBody is the size limit of a response, in bytes.
	MaxBody int
}

// Client sends start orders, stop orders and polls to upstreams. It implements
// node.UpstreamClient and is safe for concurrent use.
type Client struct{ clients *clientpool.Pool }

// NewClient returns a client without open connections.
func NewClient(config Config) *Client {
	return &Client{clientpool.New(func(address string) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr: address, MaxConns: config.MaxConns, MaxResponseBodySize: config.MaxBody,
			Dial: func(address string) (net.Conn, error) {
				return net.DialTimeout("tcp", address, config.DialTimeout)
			},
			// Don't retry here: the outcome of an order decides whether it is sent again.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		}
	})}
}

// Start implements node.UpstreamClient.
func (c *Client) Start(ctx context.Context, start scheduler.Start) (scheduler.OrderResult, int64, error) {
	request := api.StartRequest{
		Upstream: start.Upstream.Name, ProcessStart: start.ProcessStart, Token: start.Token,
		Job: start.Run.Job, Task: start.Run.Index, Attempt: start.Run.Attempt,
		UntilMS: start.Until, Spec: json.RawMessage(start.Spec), Item: start.Item,
	}
	return c.sendOrder(ctx, start.Upstream.Address, pathStart, request.AppendJSON(nil))
}

// Stop implements node.UpstreamClient.
func (c *Client) Stop(ctx context.Context, stop scheduler.Stop) (scheduler.OrderResult, int64, error) {
	request := api.StopRequest{
		Upstream: stop.Upstream.Name, Token: stop.Token,
		Job: stop.Run.Job, Task: stop.Run.Index, Attempt: stop.Run.Attempt,
	}
	return c.sendOrder(ctx, stop.Upstream.Address, pathStop, request.AppendJSON(nil))
}

func (c *Client) sendOrder(ctx context.Context, address, path string, body []byte) (scheduler.OrderResult, int64, error) {
	var response api.OrderResponse
	if err := c.post(ctx, address, path, body, &response); err != nil {
		return c.clients.FailedOrder(address, err), 0, err
	}
	// An upstream can return every result before OrderUnanswered.
	for result := scheduler.OrderDone; result < scheduler.OrderUnanswered; result++ {
		if response.Result == result.String() {
			return result, response.ClockMS, nil
		}
	}
	return scheduler.OrderUnanswered, 0, errors.Newf("upstream %s returned unknown result %q", address, response.Result)
}

// Poll implements node.UpstreamClient.
func (c *Client) Poll(ctx context.Context, poll scheduler.Poll) (scheduler.PollResult, scheduler.PollReport, error) {
	request := api.PollRequest{
		Upstream: poll.Upstream.Name, ProcessStart: poll.ProcessStart, Token: poll.Token, Acked: poll.Acked, Seen: poll.Seen,
		UntilMS: poll.Until, WaitMS: poll.Wait.Milliseconds(),
	}
	var response api.PollResponse
	if err := c.post(ctx, poll.Upstream.Address, pathPoll, request.AppendJSON(nil), &response); err != nil {
		return c.clients.FailedPoll(poll.Upstream.Address, err), scheduler.PollReport{}, err
	}
	report, err := decodeReport(&response)
	if err != nil {
		return scheduler.PollUnanswered, scheduler.PollReport{}, errors.Wrapf(err, "upstream %s", poll.Upstream.Name)
	}
	// An upstream can return every result before PollUnanswered.
	for result := scheduler.PollAnswered; result < scheduler.PollUnanswered; result++ {
		if response.Result == result.String() {
			return result, report, nil
		}
	}
	return scheduler.PollUnanswered, scheduler.PollReport{}, errors.Newf("upstream %s returned unknown result %q", poll.Upstream.Name, response.Result)
}

func decodeReport(response *api.PollResponse) (scheduler.PollReport, error) {
	report := scheduler.PollReport{Clock: response.ClockMS, ProcessStart: response.ProcessStart}
	for _, r := range response.Running {
		report.Running = append(report.Running, scheduler.Running{Run: decodeRun(r.Run), Percent: r.Percent})
	}
	for _, completion := range response.Completions {
		kind, err := decodeKind(completion.Kind)
		if err != nil {
			return scheduler.PollReport{}, err
		}
		report.Completions = append(report.Completions, scheduler.Completion{Number: completion.Number, Run: decodeRun(completion.Run), Kind: kind, Result: completion.Result})
	}
	return report, nil
}

func decodeRun(r api.Run) scheduler.Run {
	return scheduler.Run{Task: scheduler.Task{Job: r.Job, Index: r.Task}, Attempt: r.Attempt}
}

func decodeKind(name string) (scheduler.CompletionKind, error) {
	for kind := scheduler.CompletionDone; kind <= scheduler.CompletionLost; kind++ {
		if name == kind.String() {
			return kind, nil
		}
	}
	return 0, errors.Newf("unknown completion kind %q", name)
}

// post sends a request and decodes the response into result. After an error the
// request may still have been carried out.
func (c *Client) post(ctx context.Context, address, path string, body []byte, result any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.Newf("context of the call to %s has no deadline", path)
	}
	if err := c.clients.Get(time.Now(), address).DoDeadline(request, response, deadline); err != nil {
		return errors.Wrapf(err, "call upstream at %s", address)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return errors.Newf("upstream at %s returned status %d: %s", address, status, response.Body())
	}
	return errors.Wrapf(json.Unmarshal(response.Body(), result), "decode the response of the upstream at %s", address)
}
