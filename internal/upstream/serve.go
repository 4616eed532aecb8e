package upstream

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/valyala/fasthttp"
)

// Serve handles a request of the protocol by calling u. If u reports an unanswered
// call, Serve closes the connection without a response. It returns false if the
// path does not belong to the protocol.
func Serve(ctx context.Context, u node.UpstreamClient, c *fasthttp.RequestCtx) bool {
	switch string(c.Path()) {
	case pathStart:
		serveStart(ctx, u, c)
	case pathStop:
		serveStop(ctx, u, c)
	case pathPoll:
		servePoll(ctx, u, c)
	default:
		return false
	}
	return true
}

func serveStart(ctx context.Context, u node.UpstreamClient, c *fasthttp.RequestCtx) {
	var request api.StartRequest
	if !decode(c, &request) {
		return
	}
	// The HTTP library reuses the request body after the response, so copy from it.
	spec, item := string(request.Spec), append([]byte(nil), request.Item...)
	result, clock, _ := u.Start(ctx, scheduler.Start{
		Upstream: scheduler.Upstream{Name: request.Upstream}, ProcessStart: request.ProcessStart, Token: request.Token,
		Run:   scheduler.Run{Task: scheduler.Task{Job: request.Job, Index: request.Task}, Attempt: request.Attempt},
		Until: request.UntilMS, Spec: spec, Item: item,
	})
	respondOrder(c, result, clock)
}

func serveStop(ctx context.Context, u node.UpstreamClient, c *fasthttp.RequestCtx) {
	var request api.StopRequest
	if !decode(c, &request) {
		return
	}
	result, clock, _ := u.Stop(ctx, scheduler.Stop{
		Upstream: scheduler.Upstream{Name: request.Upstream}, Token: request.Token,
		Run: scheduler.Run{Task: scheduler.Task{Job: request.Job, Index: request.Task}, Attempt: request.Attempt},
	})
	respondOrder(c, result, clock)
}

func servePoll(ctx context.Context, u node.UpstreamClient, c *fasthttp.RequestCtx) {
	var request api.PollRequest
	if !decode(c, &request) {
		return
	}
	result, report, _ := u.Poll(ctx, scheduler.Poll{
		Upstream: scheduler.Upstream{Name: request.Upstream}, ProcessStart: request.ProcessStart, Token: request.Token, Acked: request.Acked, Seen: request.Seen,
		Until: request.UntilMS, Wait: time.Duration(request.WaitMS) * time.Millisecond,
	})
	if result == scheduler.PollUnanswered {
		CloseWithoutResponse(c)
		return
	}
	response := api.PollResponse{
		ClockMS: report.Clock, ProcessStart: report.ProcessStart, Result: result.String(),
		Running: []api.RunningTask{}, Completions: []api.Completion{},
	}
	for _, r := range report.Running {
		response.Running = append(response.Running, api.RunningTask{Run: encodeRun(r.Run), Percent: r.Percent})
	}
	for _, completion := range report.Completions {
		response.Completions = append(response.Completions, api.Completion{Number: completion.Number, Run: encodeRun(completion.Run), Kind: completion.Kind.String(), Result: completion.Result})
	}
	respond(c, response)
}

func encodeRun(r scheduler.Run) api.Run {
	return api.Run{Job: r.Job, Task: r.Index, Attempt: r.Attempt}
}

func respondOrder(c *fasthttp.RequestCtx, result scheduler.OrderResult, clock int64) {
	if result == scheduler.OrderUnanswered {
		CloseWithoutResponse(c)
		return
	}
	respond(c, api.OrderResponse{ClockMS: clock, Result: result.String()})
}

func decode(c *fasthttp.RequestCtx, request any) bool {
	if err := json.Unmarshal(c.PostBody(), request); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func respond(c *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// CloseWithoutResponse closes the connection of a request without a response.
func CloseWithoutResponse(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		_ = conn.Close() // on error too, the peer sees the connection closed
	})
}
