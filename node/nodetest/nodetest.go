// Package nodetest is the suite that every node.Upstreams passes.
package nodetest

import (
	"context"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/node"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// Name is the name of the upstream under test.
const Name = "u1"

// Spec is what its tasks are started with: one task that takes a tenth of a second.
const Spec = `{"submission":"museum/k","tasks":1,"service":"rota","call":"alert","parameters":{"run_us":100000}}`

// Run checks a carrier of orders to an upstream that takes Spec. open starts an
// upstream at an address and returns the carrier.
func Run(t *testing.T, open func(t *testing.T) (u node.Upstreams, address string)) {
	for name, check := range map[string]func(*testing.T, *subject){
		"a run from its start to its end": lifeOfARun,
		"a look waits for an end":         lookWaits,
		"a stop":                          stop,
		"fenced":                          fenced,
		"late":                            late,
		"an old attempt":                  oldAttempt,
		"a start that is repeated":        repeated,
		"the lease":                       lease,
		"another process":                 otherProcess,
		"no answer":                       noAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			u, address := open(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			t.Cleanup(cancel)
			s := &subject{t: t, ctx: ctx, Upstreams: u, to: scheduler.Upstream{Name: Name, Address: address}}
			_, report := s.look(0, 0)
			s.clock = report.Clock
			check(t, s)
		})
	}
}

// subject is a carrier with the upstream that it calls.
type subject struct {
	node.Upstreams
	t     *testing.T
	ctx   context.Context
	to    scheduler.Upstream
	clock int64 // of the upstream, at the begin
}

const (
	token = 5
	long  = 900 // ms, below the lease of 1 s
)

func run(index, attempt int) scheduler.Run {
	return scheduler.Run{Task: scheduler.Task{Job: "5c0e7a21d94b36f8", Index: index}, Attempt: attempt}
}

func (s *subject) start(token int64, r scheduler.Run, until int64) scheduler.OrderResult {
	result, clock, err := s.Start(s.ctx, scheduler.Start{Upstream: s.to, Token: token, Run: r, Spec: Spec, Until: until})
	require.NoError(s.t, err)
	if result != scheduler.OrderOtherProcess {
		require.Positive(s.t, clock)
	}
	return result
}

func (s *subject) look(seen int64, wait time.Duration) (scheduler.PollResult, scheduler.PollReport) {
	until := int64(0)
	if s.clock > 0 {
		until = s.clock + 60_000 // the longest lease that there is
	}
	result, report, err := s.Look(s.ctx, scheduler.Poll{Upstream: s.to, Token: token, LastSeen: seen, Seen: seen, Until: until, Wait: wait})
	require.NoError(s.t, err)
	return result, report
}

// await looks until a number of ends is listed.
func (s *subject) await(ends int) scheduler.PollReport {
	for {
		result, report := s.look(0, 50*time.Millisecond)
		require.Equal(s.t, scheduler.PollAnswered, result)
		if len(report.Completions) >= ends {
			return report
		}
	}
}

func lifeOfARun(t *testing.T, s *subject) {
	require.Equal(t, scheduler.OrderDone, s.start(token, run(0, 1), s.clock+long))
	result, report := s.look(0, 0)
	require.Equal(t, scheduler.PollAnswered, result)
	require.Positive(t, report.ProcessStart)
	require.Len(t, report.Running, 1)
	require.Equal(t, run(0, 1), report.Running[0].Run)
	report = s.await(1)
	require.Empty(t, report.Running)
	require.EqualValues(t, 1, report.Completions[0].Number)
	require.Equal(t, run(0, 1), report.Completions[0].Run)
	require.Equal(t, scheduler.CompletionDone, report.Completions[0].Kind)
	_, report = s.look(1, 0)
	require.Empty(t, report.Completions, "an end that was seen is not listed again")
}

func lookWaits(t *testing.T, s *subject) {
	require.Equal(t, scheduler.OrderDone, s.start(token, run(0, 1), s.clock+long))
	_, report := s.look(0, 2*time.Second)
	require.Len(t, report.Completions, 1)
}

func stop(t *testing.T, s *subject) {
	require.Equal(t, scheduler.OrderDone, s.start(token, run(0, 1), s.clock+long))
	result, _, err := s.Stop(s.ctx, scheduler.Stop{Upstream: s.to, Token: token, Run: run(0, 1)})
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderDone, result)
	require.Equal(t, scheduler.CompletionStopped, s.await(1).Completions[0].Kind)
	result, _, err = s.Stop(s.ctx, scheduler.Stop{Upstream: s.to, Token: token, Run: run(1, 1)})
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderDone, result)
	require.Equal(t, scheduler.OrderOldAttempt, s.start(token, run(1, 1), s.clock+long), "a run that was stopped before its start")
}

func fenced(t *testing.T, s *subject) {
	require.Equal(t, scheduler.OrderFenced, s.start(token-1, run(0, 1), s.clock+long))
	result, _, err := s.Stop(s.ctx, scheduler.Stop{Upstream: s.to, Token: token - 1, Run: run(0, 1)})
	require.NoError(t, err)
	require.Equal(t, scheduler.OrderFenced, result)
	look, _, err := s.Look(s.ctx, scheduler.Poll{Upstream: s.to, Token: token - 1})
	require.NoError(t, err)
	require.Equal(t, scheduler.PollFenced, look)
}

func late(t *testing.T, s *subject) {
	require.Equal(t, scheduler.OrderLate, s.start(token, run(0, 1), -1))
	_, report := s.look(0, 0)
	require.Empty(t, report.Running)
}

func oldAttempt(t *testing.T, s *subject) {
	require.Equal(t, scheduler.OrderDone, s.start(token, run(0, 2), s.clock+long))
	s.await(1)
	require.Equal(t, scheduler.OrderOldAttempt, s.start(token, run(0, 1), s.clock+long))
	require.Equal(t, scheduler.OrderOldAttempt, s.start(token, run(0, 2), s.clock+long))
}

func repeated(t *testing.T, s *subject) {
	for range 2 {
		require.Equal(t, scheduler.OrderDone, s.start(token, run(0, 1), s.clock+long))
	}
	_, report := s.look(0, 0)
	require.Len(t, report.Running, 1)
}

func lease(t *testing.T, s *subject) {
	require.Equal(t, scheduler.OrderDone, s.start(token, run(0, 1), s.clock+1000))
	s.clock = 0 // looks renew nothing
	report := s.await(1)
	require.Contains(t, []scheduler.CompletionKind{scheduler.CompletionDone, scheduler.CompletionLapsed}, report.Completions[0].Kind)
}

func otherProcess(t *testing.T, s *subject) {
	s.to.Name = "u2"
	require.Equal(t, scheduler.OrderOtherProcess, s.start(token, run(0, 1), s.clock+long))
	result, _, err := s.Look(s.ctx, scheduler.Poll{Upstream: s.to, Token: token})
	require.NoError(t, err)
	require.Equal(t, scheduler.PollOtherProcess, result)
}

func noAnswer(t *testing.T, s *subject) {
	s.to.Address = "127.0.0.1:1"
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	result, _, err := s.Start(ctx, scheduler.Start{Upstream: s.to, Token: token, Run: run(0, 1), Spec: Spec, Until: s.clock + long})
	require.Error(t, err)
	require.Equal(t, scheduler.OrderUnanswered, result)
	look, _, err := s.Look(ctx, scheduler.Poll{Upstream: s.to, Token: token})
	require.Error(t, err)
	require.Equal(t, scheduler.PollUnanswered, look)
}
