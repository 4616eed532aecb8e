package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/scheduler"
)

// agents hold a goroutine for each upstream, which looks at it, in shards by the
// upstream's name.
type agents struct{ shards [agentShards]agentShard }

// agentShards spreads upstreams over locks: each start wakes an agent.
const agentShards = 16

type agentShard struct {
	mu   sync.Mutex // guards the field below
	wake map[string]chan struct{}
}

func (a *agents) init() {
	for i := range a.shards {
		a.shards[i].wake = map[string]chan struct{}{}
	}
}

func (a *agents) of(upstream string) *agentShard {
	return &a.shards[rendezvous.Hash(upstream)%agentShards]
}

func (a *agents) wakeOne(upstream string) {
	s := a.of(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.wake[upstream]; c != nil {
		wake(c)
	}
}

func (a *agents) wakeAll() {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, c := range s.wake {
			wake(c)
		}
		s.mu.Unlock()
	}
}

func (a *agents) remove(upstream string) {
	s := a.of(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.wake, upstream)
}

// enter wakes the agent of an upstream; where there is none, it enters one and
// returns the channel by which it is woken.
func (a *agents) enter(upstream string) (woken chan struct{}, added bool) {
	s := a.of(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	woken = s.wake[upstream]
	if added = woken == nil; added {
		woken = make(chan struct{}, 1)
		s.wake[upstream] = woken
	}
	wake(woken)
	return woken, added
}

// ensureAgent starts an agent for an upstream that has none.
func (n *Node) ensureAgent(upstream string) {
	if woken, added := n.agents.enter(upstream); added {
		go n.keepLooking(n.serving, upstream, woken)
	}
}

// keepLooking looks at an upstream while something runs there.
func (n *Node) keepLooking(ctx context.Context, upstream string, woken chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		look, due, wait, gone := n.scheduler.NextPoll(time.Now(), upstream)
		switch {
		case gone:
			n.agents.remove(upstream)
			return
		case due:
			n.look(ctx, look)
			if ctx.Err() != nil {
				return
			}
			continue
		}
		if wait > 0 {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-woken:
		case <-timer.C:
		}
	}
}

func (n *Node) look(ctx context.Context, look scheduler.Poll) {
	call, cancel := context.WithTimeout(ctx, look.Wait+n.trips.patience())
	result, report, err := n.deps.Upstreams.Look(call, look)
	cancel()
	n.metrics.Looks.Inc()
	if result != scheduler.PollAnswered {
		n.log.Info("look failed", slog.String("upstream", look.Upstream.Name), slog.Int64("token", look.Token),
			slog.String("result", result.String()), slog.Int64("took_us", time.Since(look.Sent).Microseconds()), slog.Any("error", err))
	}
	now := time.Now()
	for _, end := range report.Completions {
		if end.Number > look.LastSeen && end.Kind != scheduler.CompletionDone {
			n.log.Info("run ended", slog.String("job", end.Job), slog.Int("task", end.Index), slog.Int("attempt", end.Attempt),
				slog.String("upstream", look.Upstream.Name), slog.String("how", end.Kind.String()))
		}
	}
	n.act(n.scheduler.HandlePollResult(now, look, result, report))
	n.wakePlacing()
}

func (n *Node) quickLook(ctx context.Context, upstream string) {
	if look, ok := n.scheduler.ImmediatePoll(time.Now(), upstream); ok {
		n.look(ctx, look)
	}
	n.agents.wakeOne(upstream) // what it told of may run on: its end is waited for
}
