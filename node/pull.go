package node

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/store"
)

// shouldPull reports whether to fetch state from a peer: because its configuration
// is newer, or because its list of upstreams is newer and should be fetched.
func (n *Node) shouldPull(h *wire.FleetHeartbeat) bool {
	table := n.table.Load()
	if h.ConfigurationRevision > 0 && (table == nil || h.ConfigurationRevision > table.Revision) {
		return true
	}
	return h.UpstreamsRevision > n.registry.revision() && n.shouldPullUpstreams(time.Now())
}

// shouldPullUpstreams reports whether to fetch the list of upstreams from a peer: the store does not
// answer this node, which dispatches, or has not for registryMaxAge, and this node may need the list soon. The
// others never fetch it: a change of the configuration makes all members fetch state
// at the same time, and a list to each of them would fill the link of the dispatcher.
// While another VM dispatches, the interval grows with the length of the list.
func (n *Node) shouldPullUpstreams(now time.Time) bool {
	r := &n.registry
	unread := n.upstreamsUnread()
	if !unread && r.updatedSince(now.Add(-registryMaxAge)) || !n.mayDispatchSoon() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	interval := max(listInterval, time.Duration(len(r.entries))*pullIntervalPerEntry)
	if unread || n.scheduler.Dispatching() {
		interval = time.Duration(len(r.entries)) * dispatcherPullIntervalPerEntry
	}
	return now.Sub(r.pulledAt) > interval
}

const (
	// pullDelay gives the store's watch the time to deliver a change first.
	pullDelay = 60 * time.Millisecond
	// pullSpread is the time for each member over which the fetches of a change are
	// spread, so that they do not fill the link of the member that serves them.
	pullSpread = 20 * time.Millisecond
	// registryMaxAge is the time without an answer of the store after which the
	// list of upstreams is fetched from a peer. It covers two listings and a slow
	// answer.
	registryMaxAge = 2*listInterval + storeTimeout/2
	// pullIntervalPerEntry is the time that each entry adds to the interval between
	// two fetches of the list. With 300 bytes per entry, fetching takes 3 KB/s.
	pullIntervalPerEntry = 100 * time.Millisecond
	// dispatcherPullIntervalPerEntry is the same for the dispatcher, which may not start tasks on an upstream
	// that drains: 150 KB/s.
	dispatcherPullIntervalPerEntry = 2 * time.Millisecond
	// pullTimeout limits the time to fetch state from a peer.
	pullTimeout = 500 * time.Millisecond
	// pullInterval is the delay between two fetches. A VM that the store refuses
	// can fetch several times within the period in which a change must come into
	// force.
	pullInterval = 200 * time.Millisecond
)

// pullLoop fetches newer state from peers while the store does not deliver it.
func (n *Node) pullLoop(ctx context.Context) error {
	for {
		var address string
		select {
		case <-ctx.Done():
			return nil
		case address = <-n.pullFrom:
		}
		delay := pullDelay
		if !n.scheduler.Dispatching() {
			delay += rand.N(time.Duration(n.fleet.ScopeSize()) * pullSpread)
		}
		if !wait.For(ctx, delay) {
			return nil
		}
		n.pullState(ctx, address)
		if !wait.For(ctx, pullInterval) {
			return nil
		}
	}
}

// pullState fetches the configuration and the list of upstreams from a peer, if
// they are newer.
func (n *Node) pullState(ctx context.Context, address string) {
	request := &wire.StateRequest{UpstreamsRevision: n.registry.revision()}
	if !n.shouldPullUpstreams(time.Now()) {
		request.UpstreamsRevision = math.MaxInt64 // request the configuration only
	}
	if table := n.table.Load(); table != nil {
		request.ConfigurationRevision = table.Revision
	}
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var state wire.StateResponse
	if err := n.peers.Call(callCtx, address, request, &state); err != nil {
		n.log.Info("failed to fetch configuration and upstreams from peer", slog.String("peer", address), slog.Any("error", err))
		return
	}
	for _, item := range state.Configuration {
		n.applyConfiguration(store.Item{Key: item.Key, Value: item.Value, Revision: item.Revision}, address)
	}
	if state.UpstreamsRevision > n.registry.revision() {
		items := make([]store.Item, 0, len(state.Upstreams))
		for _, item := range state.Upstreams {
			items = append(items, store.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
		}
		n.replaceUpstreams(items, state.UpstreamsRevision, address)
		n.registry.recordPull(time.Now())
	}
}

func (n *Node) handleState(_ context.Context, _ *wire.Hello, r *wire.StateRequest) wire.Message {
	state := &wire.StateResponse{}
	table := n.table.Load()
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	if table != nil && table.Revision > r.ConfigurationRevision {
		item := n.registry.configuration
		state.Configuration = []wire.StoreItem{{Key: item.Key, Value: item.Value, Revision: item.Revision}}
	}
	if n.registry.newest > r.UpstreamsRevision {
		state.UpstreamsRevision = n.registry.newest
		for _, e := range n.registry.entries {
			if e.lapsedAt.IsZero() {
				state.Upstreams = append(state.Upstreams, wire.StoreItem{Key: e.item.Key, Value: e.item.Value, Revision: e.item.Revision})
			}
		}
	}
	return state
}
