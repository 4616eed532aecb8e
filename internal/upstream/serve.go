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

// Serve carries out a request as the upstream's side of the protocol. What is
// unanswered closes the connection without an answer. It returns false for a path
// that is not one of the protocol.
func Serve(ctx context.Context, p node.Upstreams, c *fasthttp.RequestCtx) bool {
	switch string(c.Path()) {
	case pathStart:
		serveStart(ctx, p, c)
	case pathStop:
		serveStop(ctx, p, c)
	case pathLook:
		serveLook(ctx, p, c)
	default:
		return false
	}
	return true
}

func serveStart(ctx context.Context, p node.Upstreams, c *fasthttp.RequestCtx) {
	var order api.StartRequest
	if !decode(c, &order) {
		return
	}
	// The body belongs to the library once the answer is out.
	spec, item := string(order.Spec), append([]byte(nil), order.Item...)
	result, clock, _ := p.Start(ctx, scheduler.Start{
		Upstream: scheduler.Upstream{Name: order.Upstream}, ProcessStart: order.ProcessStart, Token: order.Token,
		Run:   scheduler.Run{Task: scheduler.Task{Job: order.Job, Index: order.Task}, Attempt: order.Attempt},
		Until: order.UntilMS, Spec: spec, Item: item,
	})
	answerOrder(c, result, clock)
}

func serveStop(ctx context.Context, p node.Upstreams, c *fasthttp.RequestCtx) {
	var order api.StopRequest
	if !decode(c, &order) {
		return
	}
	result, clock, _ := p.Stop(ctx, scheduler.Stop{
		Upstream: scheduler.Upstream{Name: order.Upstream}, Token: order.Token,
		Run: scheduler.Run{Task: scheduler.Task{Job: order.Job, Index: order.Task}, Attempt: order.Attempt},
	})
	answerOrder(c, result, clock)
}

func serveLook(ctx context.Context, p node.Upstreams, c *fasthttp.RequestCtx) {
	var order api.PollRequest
	if !decode(c, &order) {
		return
	}
	result, report, _ := p.Look(ctx, scheduler.Poll{
		Upstream: scheduler.Upstream{Name: order.Upstream}, Token: order.Token, LastSeen: order.LastSeen, Seen: order.Seen,
		Until: order.UntilMS, Wait: time.Duration(order.WaitMS) * time.Millisecond,
	})
	if result == scheduler.PollUnanswered {
		CloseWithoutResponse(c)
		return
	}
	answer := api.PollResponse{
		ClockMS: report.Clock, ProcessStart: report.ProcessStart, Result: result.String(),
		Running: []api.RunningTask{}, Completions: []api.Completion{},
	}
	for _, r := range report.Running {
		answer.Running = append(answer.Running, api.RunningTask{Run: encodeRun(r.Run), Percent: r.Percent})
	}
	for _, e := range report.Completions {
		answer.Completions = append(answer.Completions, api.Completion{Number: e.Number, Run: encodeRun(e.Run), Kind: e.Kind.String(), Result: e.Result})
	}
	respond(c, answer)
}

func encodeRun(r scheduler.Run) api.Run {
	return api.Run{Job: r.Job, Task: r.Index, Attempt: r.Attempt}
}

func answerOrder(c *fasthttp.RequestCtx, result scheduler.OrderResult, clock int64) {
	if result == scheduler.OrderUnanswered {
		CloseWithoutResponse(c)
		return
	}
	respond(c, api.OrderResponse{ClockMS: clock, Result: result.String()})
}

func decode(c *fasthttp.RequestCtx, order any) bool {
	if err := json.Unmarshal(c.PostBody(), order); err != nil {
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

// CloseWithoutResponse closes the connection of a request without an answer.
func CloseWithoutResponse(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		_ = conn.Close() // the peer sees the end of the connection either way
	})
}
