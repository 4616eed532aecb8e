// Package nodetest is the conformance test suite for implementations of
// node.UpstreamClient.
package nodetest

import (
	"context"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// UpstreamName is the name of the upstream under test.
const UpstreamName = "u1"

// Spec is the task specification used by the tests: one task that runs for
// 100 ms.
const Spec = `{"submission":"museum/k","tasks":1,"service":"rota","call":"alert","parameters":{"run_us":100000}}`

// Run tests a client with an upstream that accepts Spec. open starts an upstream
// and returns the client and the upstream's address.
func Run(t *testing.T, open func(t *testing.T) (u node.UpstreamClient, address string)) {
	for name, check := range map[string]func(*testing.T, *fixture){
		"run lifecycle":               testLifecycle,
		"poll waits for a completion": testPollWaits,
		"stop":                        testStop,
		"fenced":                      testFenced,
		"late":                        testLate,
		"old attempt":                 testOldAttempt,
		"repeated start":              testRepeatedStart,
		"lease":                       testLeaseExpires,
		"other process":               testOtherProcess,
		"no answer":                   testNoAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			u, address := open(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			t.Cleanup(cancel)
			f := &fixture{t: t, ctx: ctx, UpstreamClient: u, upstream: scheduler.Upstream{Name: UpstreamName, Address: address}}
			_, report := f.poll(0, 0)
			f.clock = report.Clock
			check(t, f)
		})
	}
}

// fixture is a client with the upstream that it calls.
type fixture struct {
	node.UpstreamClient
	t        *testing.T
	ctx      context.Context
	upstream scheduler.Upstream
	clock    int64 // of the upstream, at the start of the test
}

const (
	token   = 5
	validMS = 900 // below the lease of 1 s
)

func run(index, attempt int) scheduler.Run {
	return scheduler.Run{Task: scheduler.Task{Job: "5c0e7a21d94b36f8", Index: index}, Attempt: attempt}
}

func (f *fixture) start(token int64, r scheduler.Run, until int64) scheduler.OrderResult {
	result, clock, err := f.Start(f.ctx, scheduler.Start{Upstream: f.upstream, Token: token, Run: r, Spec: Spec, Until: until})
	require.NoError(f.t, err)
	if result != scheduler.OrderOtherProcess {
		require.Positive(f.t, clock)
	}
	return result
}

func (f *fixture) poll(seen int64, wait time.Duration) (scheduler.PollResult, scheduler.PollReport) {
	until := int64(0)
	if f.clock > 0 {
		until = f.clock + 60_000 // above the longest lease that upstreams grant
	}
	result, report, err := f.Poll(f.ctx, scheduler.Poll{Upstream: f.upstream, Token: token, Acked: seen, Seen: seen, Until: until, Wait: wait})
	require.NoError(f.t, err)
	return result, report
}

// awaitCompletions polls until the upstream lists a number of completions.
func (f *fixture) awaitCompletions(count int) scheduler.PollReport {
	for {
		result, report := f.poll(0, 50*time.Millisecond)
		require.Equal(f.t, scheduler.PollAnswered, result)
		if len(report.Completions) >= count {
			return report
		}
	}
}

func testLifecycle(t *testing.T, f *fixture) {
	require.Equal(t, scheduler.OrderDone, f.start(token, run(0, 1), f.clock+validMS))
	result, report := f.poll(0, 0)
	require.Equal(t, scheduler.PollAnswered, result)
	require.Positive(t, report.ProcessStart)
	require.Len(t, report.Running, 1)
	require.Equal(t, run(0, 1), report.Running[0].Run)
	report = f.awaitCompletions(1)
	require.Empty(t, report.Running)
	require.EqualValues(t, 1, report.Completions[0].Number)
	require.Equal(t, run(0, 1), report.Completions[0].Run)
	require.Equal(t, scheduler.CompletionDone, report.Completions[0].Kind)
	_, report = f.poll(1, 0)
	require.Empty(t, report.Completions, "an acknowledged completion is not listed again")
}

func testPollWaits(t *testing.T, f *fixture) {
	require.Equal(t, scheduler.OrderDone, f.start(token, run(0, 1), f.clock+validMS))
	_, report := f.poll(0, 2*time.Second)
	require.Len(t, report.Completions, 1)
}

func testStop(t *testing.T, f *fixture) {
	require.Equal(t, scheduler.OrderDone, f.start(token, run(0, 1), f.clock+validMS))
	result, _, err := f.Stop(f.ctx, scheduler.Stop{Upstream: f.upstream, Token: token, Run: run(0, 1)})
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderDone, result)
	require.Equal(t, scheduler.CompletionStopped, f.awaitCompletions(1).Completions[0].Kind)
	result, _, err = f.Stop(f.ctx, scheduler.Stop{Upstream: f.upstream, Token: token, Run: run(1, 1)})
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderDone, result)
	require.Equal(t, scheduler.OrderOldAttempt, f.start(token, run(1, 1), f.clock+validMS), "start of a run that was already stopped")
}

func testFenced(t *testing.T, f *fixture) {
	require.Equal(t, scheduler.OrderFenced, f.start(token-1, run(0, 1), f.clock+validMS))
	result, _, err := f.Stop(f.ctx, scheduler.Stop{Upstream: f.upstream, Token: token - 1, Run: run(0, 1)})
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderFenced, result)
	polled, _, err := f.Poll(f.ctx, scheduler.Poll{Upstream: f.upstream, Token: token - 1})
	require.NoError(t, err)
	require.Equal(t, scheduler.PollFenced, polled)
}

func testLate(t *testing.T, f *fixture) {
	require.Equal(t, scheduler.OrderLate, f.start(token, run(0, 1), -1))
	_, report := f.poll(0, 0)
	require.Empty(t, report.Running)
}

func testOldAttempt(t *testing.T, f *fixture) {
	require.Equal(t, scheduler.OrderDone, f.start(token, run(0, 2), f.clock+validMS))
	f.awaitCompletions(1)
	require.Equal(t, scheduler.OrderOldAttempt, f.start(token, run(0, 1), f.clock+validMS))
	require.Equal(t, scheduler.OrderOldAttempt, f.start(token, run(0, 2), f.clock+validMS))
}

func testRepeatedStart(t *testing.T, f *fixture) {
	for range 2 {
		require.Equal(t, scheduler.OrderDone, f.start(token, run(0, 1), f.clock+validMS))
	}
	_, report := f.poll(0, 0)
	require.Len(t, report.Running, 1)
}

func testLeaseExpires(t *testing.T, f *fixture) {
	require.Equal(t, scheduler.OrderDone, f.start(token, run(0, 1), f.clock+1000))
	f.clock = 0 // polls do not renew the lease
	report := f.awaitCompletions(1)
	require.Contains(t, []scheduler.CompletionKind{scheduler.CompletionDone, scheduler.CompletionLapsed}, report.Completions[0].Kind)
}

func testOtherProcess(t *testing.T, f *fixture) {
	f.upstream.Name = "u2"
	require.Equal(t, scheduler.OrderOtherProcess, f.start(token, run(0, 1), f.clock+validMS))
	result, _, err := f.Poll(f.ctx, scheduler.Poll{Upstream: f.upstream, Token: token})
	require.NoError(t, err)
	require.Equal(t, scheduler.PollOtherProcess, result)
}

func testNoAnswer(t *testing.T, f *fixture) {
	f.upstream.Address = "127.0.0.1:1"
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	result, _, err := f.Start(ctx, scheduler.Start{Upstream: f.upstream, Token: token, Run: run(0, 1), Spec: Spec, Until: f.clock + validMS})
	require.Error(t, err)
	require.Equal(t, scheduler.OrderNoProcess, result, "no process listens at the address")
	polled, _, err := f.Poll(ctx, scheduler.Poll{Upstream: f.upstream, Token: token})
	require.Error(t, err)
	require.Equal(t, scheduler.PollNoProcess, polled)
}
