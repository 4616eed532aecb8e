package standin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/upstream"
	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/node/nodetest"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// serveUpstream serves a stand-in through the handler and returns its address.
func serveUpstream(t *testing.T, handler func(context.Context, *Upstream, *fasthttp.RequestCtx)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	u := NewUpstream(api.VM{Name: nodetest.UpstreamName}, "", 1, time.Hour)
	done := make(chan error, 1)
	go func() {
		done <- u.ServeHandler(ctx, listener, func(c *fasthttp.RequestCtx) { handler(ctx, u, c) })
	}()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func TestUpstreamProtocol(t *testing.T) {
	nodetest.Run(t, func(t *testing.T) (node.UpstreamClient, string) {
		address := serveUpstream(t, func(ctx context.Context, u *Upstream, c *fasthttp.RequestCtx) { u.handle(ctx, c) })
		return upstream.NewClient(upstream.Config{DialTimeout: time.Second, MaxConns: 8, MaxBody: 1 << 20}), address
	})
}

func TestPlatformProtocol(t *testing.T) {
	nodetest.Run(t, func(t *testing.T) (node.UpstreamClient, string) {
		address := serveUpstream(t, func(ctx context.Context, u *Upstream, c *fasthttp.RequestCtx) {
			platform.ServeUpstream(ctx, nodetest.UpstreamName, u, c)
		})
		return platform.NewUpstreamClient(), address
	})
}

// TestLeaseLapsesWithoutRequests checks that CompleteRuns ends a run whose lease
// expires while no request arrives.
func TestLeaseLapsesWithoutRequests(t *testing.T) {
	u := NewUpstream(api.VM{Name: nodetest.UpstreamName}, "", 1, time.Hour)
	lapsed := make(chan scheduler.CompletionKind, 1)
	u.OnCompletion = func(_ scheduler.Run, kind scheduler.CompletionKind) { lapsed <- kind }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = u.CompleteRuns(ctx) }()
	start := scheduler.Start{Upstream: scheduler.Upstream{Name: nodetest.UpstreamName}, Token: 1, Run: scheduler.Run{Attempt: 1}, Spec: "{}", Until: 100}
	result, _, err := u.Start(ctx, start)
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderDone, result)
	require.Equal(t, scheduler.CompletionLapsed, <-lapsed)
}

// A poll for the former process renews no lease of the one that has replaced it.
func TestPollOfFormerProcessRenewsLeaseOfNewOne(t *testing.T) {
	address := serveUpstream(t, func(ctx context.Context, u *Upstream, c *fasthttp.RequestCtx) { u.handle(ctx, c) })
	client := upstream.NewClient(upstream.Config{DialTimeout: time.Second, MaxConns: 8, MaxBody: 1 << 20})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	poll := scheduler.Poll{Upstream: scheduler.Upstream{Name: nodetest.UpstreamName, Address: address}, Token: 1}
	result, report, err := client.Poll(ctx, poll)
	require.NoError(t, err)
	require.Equal(t, scheduler.PollAnswered, result)
	poll.ProcessStart, poll.Until = report.ProcessStart-1, report.Clock+900
	result, _, err = client.Poll(ctx, poll)
	require.NoError(t, err)
	require.Equal(t, scheduler.PollOtherProcess, result)
	poll.ProcessStart = report.ProcessStart
	result, _, err = client.Poll(ctx, poll)
	require.NoError(t, err)
	require.Equal(t, scheduler.PollAnswered, result)
}

// TestStartWithoutRoomRenewsLease checks that a start that is rejected for lack of room
// raises the token and renews the lease of the active run.
func TestStartWithoutRoomRenewsLease(t *testing.T) {
	u := NewUpstream(api.VM{Name: "u0", Slots: 1}, "", 1, time.Hour)
	start := scheduler.Start{
		Upstream: scheduler.Upstream{Name: "u0"}, Token: 1, Run: scheduler.Run{Task: scheduler.Task{Job: "a"}, Attempt: 1}, Spec: "{}", Until: 200,
	}
	result, _, err := u.Start(t.Context(), start)
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderDone, result)
	second := start
	second.Run.Job, second.Token, second.Until = "b", 2, 900
	result, _, err = u.Start(t.Context(), second)
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderNoRoom, result)
	time.Sleep(300 * time.Millisecond)
	_, report, err := u.Poll(t.Context(), scheduler.Poll{Upstream: scheduler.Upstream{Name: "u0"}, Token: 2})
	require.NoError(t, err)
	require.Len(t, report.Running, 1)
	result, _, err = u.Start(t.Context(), start)
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderFenced, result)
}
