package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"golang.org/x/sys/unix"
)

// maxPause is the time between two ticks above which this process counts as
// having been paused: three times the tenth of a second for which a machine
// with a quota may stand still.
const maxPause = 300 * time.Millisecond

// bootTime reads the clock that goes on while the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// agents hold a goroutine for each upstream, which looks at it.
type agents struct {
	mu   sync.Mutex // guards the field below
	wake map[string]chan struct{}
}

func (a *agents) wakeOne(upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.wake[upstream]; c != nil {
		wake(c)
	}
}

func (a *agents) wakeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.wake {
		wake(c)
	}
}

// ensure starts an agent for an upstream that has none.
func (n *Node) ensureAgent(upstream string) {
	a := &n.agents
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wake[upstream] != nil {
		wake(a.wake[upstream])
		return
	}
	c := make(chan struct{}, 1)
	wake(c)
	a.wake[upstream] = c
	go n.keepLooking(n.serving, upstream, c)
}

// keepLooking looks at an upstream while something runs there.
func (n *Node) keepLooking(ctx context.Context, upstream string, woken chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		look, due, wait, gone := n.scheduler.NextLook(time.Now(), upstream)
		switch {
		case gone:
			a := &n.agents
			a.mu.Lock()
			delete(a.wake, upstream)
			a.mu.Unlock()
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

func (n *Node) look(ctx context.Context, look scheduler.Look) {
	call, cancel := context.WithTimeout(ctx, look.Wait+n.trips.patience())
	result, report, err := n.deps.Upstreams.Look(call, look)
	cancel()
	n.metrics.Looks.Inc()
	if result != scheduler.LookAnswered {
		n.log.Info("look failed", slog.String("upstream", look.Upstream.Name), slog.Int64("token", look.Token),
			slog.String("result", result.String()), slog.Int64("took_us", time.Since(look.Sent).Microseconds()), slog.Any("error", err))
	}
	now := time.Now()
	for _, end := range report.Ends {
		if end.Number > look.LastSeen && end.Kind != scheduler.EndDone {
			n.log.Info("run ended", slog.String("job", end.Job), slog.Int("task", end.Index), slog.Int("attempt", end.Attempt),
				slog.String("upstream", look.Upstream.Name), slog.String("how", end.Kind.String()))
		}
	}
	n.act(n.scheduler.Looked(now, look, result, report))
	n.wakePlacing()
}

func (n *Node) quickLook(ctx context.Context, upstream string) {
	if look, ok := n.scheduler.QuickLook(time.Now(), upstream); ok {
		n.look(ctx, look)
	}
	n.agents.wakeOne(upstream) // what it told of may run on: its end is waited for
}
