// Package upstream speaks the product's own protocol with upstreams: orders to
// start and stop runs, and looks, as JSON over HTTP (schema/messages/upstream.yaml).
// Client sends them; Serve is the other side, for stand-ins.
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

// Paths of the calls.
const (
	pathStart = "/v1/starts"
	pathStop  = "/v1/stops"
	pathLook  = "/v1/looks"
)

// Config holds the settings of a Client.
type Config struct {
	DialTimeout time.Duration
	// MaxConns is the most connections to one upstream.
	MaxConns int
	// MaxBody is the largest answer, in bytes.
	MaxBody int
}

// Client carries orders and looks to upstreams. It implements node.Upstreams and
// is safe for concurrent use.
type Client struct{ clients *clientpool.Pool }

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	return &Client{clientpool.New(func(address string) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr: address, MaxConns: config.MaxConns, MaxResponseBodySize: config.MaxBody,
			Dial: func(address string) (net.Conn, error) {
				return net.DialTimeout("tcp", address, config.DialTimeout)
			},
			// What became of an order decides whether it is sent again.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		}
	})}
}

// Start implements node.Upstreams.
func (c *Client) Start(ctx context.Context, start scheduler.Start) (scheduler.OrderResult, int64, error) {
	order := api.StartRequest{
		Upstream: start.Upstream.Name, ProcessStart: start.ProcessStart, Token: start.Token,
		Job: start.Run.Job, Task: start.Run.Index, Attempt: start.Run.Attempt,
		UntilMS: start.Until, Spec: json.RawMessage(start.Spec), Item: start.Item,
	}
	return c.order(ctx, start.Upstream.Address, pathStart, order.AppendJSON(nil))
}

// Stop implements node.Upstreams.
func (c *Client) Stop(ctx context.Context, stop scheduler.Stop) (scheduler.OrderResult, int64, error) {
	order := api.StopRequest{
		Upstream: stop.Upstream.Name, Token: stop.Token,
		Job: stop.Run.Job, Task: stop.Run.Index, Attempt: stop.Run.Attempt,
	}
	return c.order(ctx, stop.Upstream.Address, pathStop, order.AppendJSON(nil))
}

func (c *Client) order(ctx context.Context, address, path string, body []byte) (scheduler.OrderResult, int64, error) {
	var answer api.OrderResponse
	if err := c.post(ctx, address, path, body, &answer); err != nil {
		return scheduler.OrderUnanswered, 0, err
	}
	for result := scheduler.OrderDone; result < scheduler.OrderUnanswered; result++ {
		if answer.Result == result.String() {
			return result, answer.ClockMS, nil
		}
	}
	return scheduler.OrderUnanswered, 0, errors.Newf("upstream %s answered %q", address, answer.Result)
}

// Look implements node.Upstreams.
func (c *Client) Look(ctx context.Context, look scheduler.Poll) (scheduler.PollResult, scheduler.PollReport, error) {
	order := api.PollRequest{
		Upstream: look.Upstream.Name, Token: look.Token, LastSeen: look.LastSeen, Seen: look.Seen,
		UntilMS: look.Until, WaitMS: look.Wait.Milliseconds(),
	}
	var answer api.PollResponse
	if err := c.post(ctx, look.Upstream.Address, pathLook, order.AppendJSON(nil), &answer); err != nil {
		return scheduler.PollUnanswered, scheduler.PollReport{}, err
	}
	report, err := decodeReport(&answer)
	if err != nil {
		return scheduler.PollUnanswered, scheduler.PollReport{}, errors.Wrapf(err, "upstream %s", look.Upstream.Name)
	}
	for result := scheduler.PollAnswered; result < scheduler.PollUnanswered; result++ {
		if answer.Result == result.String() {
			return result, report, nil
		}
	}
	return scheduler.PollUnanswered, scheduler.PollReport{}, errors.Newf("upstream %s answered %q", look.Upstream.Name, answer.Result)
}

func decodeReport(answer *api.PollResponse) (scheduler.PollReport, error) {
	report := scheduler.PollReport{Clock: answer.ClockMS, ProcessStart: answer.ProcessStart}
	for _, r := range answer.Running {
		report.Running = append(report.Running, scheduler.Running{Run: decodeRun(r.Run), Percent: r.Percent})
	}
	for _, e := range answer.Completions {
		kind, err := decodeKind(e.Kind)
		if err != nil {
			return scheduler.PollReport{}, err
		}
		report.Completions = append(report.Completions, scheduler.Completion{Number: e.Number, Run: decodeRun(e.Run), Kind: kind, Result: e.Result})
	}
	return report, nil
}

func decodeRun(r api.Run) scheduler.Run {
	return scheduler.Run{Task: scheduler.Task{Job: r.Job, Index: r.Task}, Attempt: r.Attempt}
}

func decodeKind(how string) (scheduler.CompletionKind, error) {
	for kind := scheduler.CompletionDone; kind <= scheduler.CompletionLost; kind++ {
		if how == kind.String() {
			return kind, nil
		}
	}
	return 0, errors.Newf("a run ended as %q, which this release does not know", how)
}

// post sends a body and decodes the answer. An error leaves open whether the call
// was carried out.
func (c *Client) post(ctx context.Context, address, path string, body []byte, answer any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.Newf("the call of %s has no deadline", path)
	}
	if err := c.clients.Get(time.Now(), address).DoDeadline(request, response, deadline); err != nil {
		return errors.Wrapf(err, "upstream at %s", address)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return errors.Newf("upstream at %s: status %d: %s", address, status, response.Body())
	}
	return errors.Wrapf(json.Unmarshal(response.Body(), answer), "answer of the upstream at %s", address)
}
