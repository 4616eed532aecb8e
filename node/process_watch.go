package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/processwatch"
	"github.com/mustardstep/mustardstep/scheduler"
)

// processWatch is a running watch of an upstream's process.
type processWatch struct {
	address string
	stop    context.CancelFunc
}

// watchProcess starts a watch of the process of an upstream that has answered a poll,
// unless there is one.
func (n *Node) watchProcess(upstream scheduler.Upstream) {
	if n.deps.WatchProcess == nil {
		return
	}
	s := n.pollers.shard(upstream.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.watches[upstream.Name]
	if known != nil && known.address == upstream.Address {
		return
	}
	if known != nil {
		known.stop()
	}
	ctx, stop := context.WithCancel(n.runCtx)
	watch := &processWatch{upstream.Address, stop}
	s.watches[upstream.Name] = watch
	go func() {
		defer stop()
		err := n.deps.WatchProcess(ctx, upstream.Address)
		s.mu.Lock()
		if s.watches[upstream.Name] == watch {
			delete(s.watches, upstream.Name)
		}
		s.mu.Unlock()
		if !errors.Is(err, processwatch.ErrRefused) {
			return // the runs end with their lease
		}
		n.log.Info("upstream may have crashed", slog.String("upstream", upstream.Name), slog.String("address", upstream.Address), slog.Any("evidence", err))
		n.metrics.SuspectedCrashes.Inc()
		n.apply(n.scheduler.HandleSuspectedCrash(time.Now(), upstream.Name, upstream.Address))
		n.wakePlaceLoop()
	}()
}

// stopWatches ends all watches. They are needed only while this node dispatches.
func (p *pollers) stopWatches() {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for name, watch := range s.watches {
			watch.stop()
			delete(s.watches, name)
		}
		s.mu.Unlock()
	}
}
