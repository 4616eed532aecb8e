package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/scheduler"
)

// pollers holds the wake-up channel of each upstream's polling goroutine, in
// shards by the name of the upstream.
type pollers struct{ shards [pollerShards]pollerShard }

// pollerShards is the number of shards, each with its own lock. Every start of a
// task wakes a poller, so a single lock would be contended.
const pollerShards = 16

type pollerShard struct {
	mu      sync.Mutex // guards the fields below
	wake    map[string]chan struct{}
	watches map[string]*processWatch
}

func (p *pollers) init() {
	for i := range p.shards {
		p.shards[i].wake, p.shards[i].watches = map[string]chan struct{}{}, map[string]*processWatch{}
	}
}

func (p *pollers) shard(upstream string) *pollerShard {
	return &p.shards[rendezvous.Hash(upstream)%pollerShards]
}

func (p *pollers) wakeOne(upstream string) {
	s := p.shard(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.wake[upstream]; c != nil {
		wake(c)
	}
}

func (p *pollers) wakeAll() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for _, c := range s.wake {
			wake(c)
		}
		s.mu.Unlock()
	}
}

func (p *pollers) remove(upstream string) {
	s := p.shard(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.wake, upstream)
	if watch := s.watches[upstream]; watch != nil {
		watch.stop()
		delete(s.watches, upstream)
	}
}

// add wakes the poller of an upstream. If there is none, it registers one and
// returns the channel that wakes it.
func (p *pollers) add(upstream string) (wakeup chan struct{}, added bool) {
	s := p.shard(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	wakeup = s.wake[upstream]
	if added = wakeup == nil; added {
		wakeup = make(chan struct{}, 1)
		s.wake[upstream] = wakeup
	}
	wake(wakeup)
	return wakeup, added
}

// ensurePoller starts a poller for an upstream that has none.
func (n *Node) ensurePoller(upstream string) {
	if wakeup, added := n.pollers.add(upstream); added {
		go n.pollLoop(n.runCtx, upstream, wakeup)
	}
}

// pollLoop polls an upstream whenever the scheduler asks for it, until the
// upstream is removed.
func (n *Node) pollLoop(ctx context.Context, upstream string, wakeup chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		poll, due, wait, removed, err := n.nextPoll(upstream)
		switch {
		case err != nil:
			return // the tick loop ends the node
		case removed:
			n.pollers.remove(upstream)
			return
		case due:
			n.poll(ctx, poll)
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
		case <-wakeup:
		case <-timer.C:
		}
	}
}

// nextPoll returns the poll that is due at an upstream. A poll renews leases, so it must not
// be decided in a term from before a pause.
func (n *Node) nextPoll(upstream string) (poll scheduler.Poll, due bool, wait time.Duration, removed bool, err error) {
	if err := n.checkPause(); err != nil {
		return poll, false, 0, false, err
	}
	poll, due, wait, removed = n.scheduler.NextPoll(time.Now(), upstream)
	return poll, due, wait, removed, nil
}

// poll polls an upstream and passes the answer to the scheduler.
func (n *Node) poll(ctx context.Context, poll scheduler.Poll) {
	pollCtx, cancel := context.WithTimeout(ctx, poll.Wait+n.rtt.timeout())
	result, report, err := n.deps.Upstreams.Poll(pollCtx, poll)
	cancel()
	n.metrics.Polls.Inc()
	if result != scheduler.PollAnswered {
		n.log.Info("upstream poll failed", slog.String("upstream", poll.Upstream.Name), slog.Int64("token", poll.Token),
			slog.String("result", result.String()), slog.Int64("took_us", time.Since(poll.Sent).Microseconds()), slog.Any("error", err))
	}
	if result == scheduler.PollAnswered {
		n.watchProcess(poll.Upstream)
		n.logCompletions(ctx, poll, report.Completions)
	}
	now := time.Now()
	n.apply(n.scheduler.HandlePollResult(now, poll, result, report))
	n.wakePlaceLoop()
}

// logCompletions logs the completions that a poll lists for the first time or again, and at
// debug level those that succeeded and those that the poll has acknowledged.
func (n *Node) logCompletions(ctx context.Context, poll scheduler.Poll, completions []scheduler.Completion) {
	for _, c := range completions {
		if c.Number <= poll.Acked {
			continue
		}
		level, message := slog.LevelInfo, "run finished without success"
		if c.Kind == scheduler.CompletionDone {
			level, message = slog.LevelDebug, "run finished"
		}
		n.log.LogAttrs(ctx, level, message, slog.String("job", c.Job), slog.String("task", n.taskName(c.Task)), slog.Int("attempt", c.Attempt),
			slog.String("upstream", poll.Upstream.Name), slog.String("how", c.Kind.String()), slog.Int64("number", c.Number))
	}
	if poll.Acked > 0 {
		n.log.LogAttrs(ctx, slog.LevelDebug, "completions acknowledged", slog.String("upstream", poll.Upstream.Name), slog.Int64("up_to", poll.Acked))
	}
}

// pollNow polls an upstream at once, without waiting for a completion, if the
// scheduler needs the state of its runs.
func (n *Node) pollNow(ctx context.Context, upstream string) {
	if err := n.checkPause(); err != nil {
		return // the tick loop ends the node
	}
	if poll, ok := n.scheduler.ImmediatePoll(time.Now(), upstream); ok {
		n.poll(ctx, poll)
	}
	n.pollers.wakeOne(upstream) // the reported runs may still be active: wait for their completion
}
