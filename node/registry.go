package node

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
)

// lapseGrace is the time for which an upstream whose entry has lapsed is still
// used while it answers: entries that lapsed with the store are back within two
// seconds of its return.
const lapseGrace = 2500 * time.Millisecond

// listStale is the time for which another VM may use an upstream that is no longer
// listed: the spacing of its watch and a slow answer.
const listStale = 500 * time.Millisecond

// upstreamSpacing gathers the changes of upstreams, which write about themselves
// every other second: a leaving one is known well within the 2 s in which it may
// still get tasks.
const upstreamSpacing = 400 * time.Millisecond

// registry holds the entries of upstreams, and the configuration as it was read.
type registry struct {
	mu            sync.Mutex // guards the fields below
	at            int64      // revision of the newest change of an entry; 0 before the first listing
	since         time.Time  // time of the first listing
	fresh         time.Time  // when the store was heard last
	pulled        time.Time  // when a peer gave the list last
	entries       map[string]entry
	configuration store.Item
}

type entry struct {
	item     store.Item
	upstream scheduler.Upstream
	valid    bool
	lapsed   time.Time // when the entry was removed; zero while it is there
}

func (r *registry) init() { r.entries = map[string]entry{} }

func (r *registry) revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// pulledAt notes that a peer has given the list.
func (r *registry) pulledAt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulled = now
}

// touch notes that the store has told of the upstreams.
func (r *registry) touch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh = now
}

// freshSince tells whether the store was heard after a time.
func (r *registry) freshSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fresh.After(t)
}

// young tells whether upstreams may run tasks that lapsed before the first listing.
func (r *registry) young(now time.Time, memory time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.since) < memory
}

func (r *registry) known() bool { return r.revision() > 0 }

// followUpstreams keeps the list of upstreams.
func (n *Node) followUpstreams(ctx context.Context) error {
	return n.follow(ctx, &follower{
		prefix:  n.config.UpstreamPrefix,
		wait:    watchWait,
		spacing: upstreamSpacing,
		watches: n.scheduler.Dispatching,
		lists:   func() bool { v := n.view.Load(); return v.TopInDataCentre || v.Candidate },
		relist:  n.relist,
		reset: func(items []store.Item) {
			n.registry.touch(time.Now())
			newest := int64(1)
			for _, item := range items {
				newest = max(newest, item.Revision)
			}
			n.resetUpstreams(items, newest, "store")
		},
		change: func(events []store.Event) {
			now := time.Now()
			n.registry.touch(now)
			n.registry.mu.Lock()
			for _, e := range events {
				n.registry.at = max(n.registry.at, e.Revision)
				if e.Deleted {
					n.lapse(now, e.Key)
				} else {
					n.enterUpstream(e.Item)
				}
			}
			n.registry.mu.Unlock()
			n.applyUpstreams(now)
		},
	})
}

// resetUpstreams takes a full list, which is newer than what is held.
func (n *Node) resetUpstreams(items []store.Item, revision int64, source string) {
	now := time.Now()
	n.registry.mu.Lock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		n.enterUpstream(item)
	}
	for key := range n.registry.entries {
		if !listed[key] {
			n.lapse(now, key)
		}
	}
	n.registry.at = max(n.registry.at, revision)
	if n.registry.since.IsZero() {
		n.registry.since = now
	}
	n.registry.mu.Unlock()
	n.log.Info("upstreams listed", slog.Int("entries", len(items)), slog.Int64("revision", revision), slog.String("source", source))
	n.applyUpstreams(now)
	n.wakeControl()
}

// enterUpstream takes an entry. The caller holds the registry's lock.
func (n *Node) enterUpstream(item store.Item) {
	known, present := n.registry.entries[item.Key]
	if present && known.item.Revision >= item.Revision {
		if known.item.Revision == item.Revision && !known.lapsed.IsZero() {
			known.lapsed = time.Time{}
			n.registry.entries[item.Key] = known
		}
		return
	}
	e := entry{item: item}
	upstream, err := n.deps.Decoder.Upstream(item)
	if err != nil {
		n.log.Warn("upstream entry ignored", slog.String("key", item.Key), slog.Any("error", err))
	} else {
		e.upstream, e.valid = upstream, true
		if !present || known.upstream.Draining != upstream.Draining || known.upstream.Address != upstream.Address {
			n.log.Info("upstream", slog.String("upstream", upstream.Name), slog.Bool("draining", upstream.Draining),
				slog.String("address", upstream.Address), slog.Int64("revision", item.Revision))
		}
	}
	n.registry.entries[item.Key] = e
}

// lapse notes that an entry is gone. The caller holds the registry's lock.
func (n *Node) lapse(now time.Time, key string) {
	e, present := n.registry.entries[key]
	switch {
	case !present || !e.lapsed.IsZero():
	case !e.valid || e.upstream.Draining:
		delete(n.registry.entries, key)
	default:
		e.lapsed = now
		n.registry.entries[key] = e
		n.log.Info("upstream lapsed", slog.String("upstream", e.upstream.Name))
		for _, d := range []time.Duration{lapseGrace, n.config.LapseMemory} {
			time.AfterFunc(d, func() { n.applyUpstreams(time.Now()) })
		}
	}
}

// Redrain takes anew which upstreams operators drain.
func (n *Node) Redrain() { n.applyUpstreams(time.Now()) }

// applyUpstreams hands the scheduler the upstreams that this node claims.
func (n *Node) applyUpstreams(now time.Time) {
	v := n.view.Load()
	self := n.fleet.Self()
	var list []scheduler.Upstream
	n.registry.mu.Lock()
	// One that lapsed before the first listing is not known.
	var complete time.Time
	if now.Sub(n.registry.since) < n.config.LapseMemory {
		complete = n.registry.since.Add(listStale)
	}
	partial := false
	for key, e := range n.registry.entries {
		since := now.Sub(e.lapsed)
		if !e.lapsed.IsZero() && since >= n.config.LapseMemory {
			delete(n.registry.entries, key)
			continue
		}
		switch {
		case !e.valid:
		case v.ShouldClaim(self, e.upstream.Name, e.upstream.DataCentre):
			upstream := e.upstream
			upstream.Draining = upstream.Draining || n.deps.Drained != nil && n.deps.Drained(upstream.Name)
			upstream.Missing = !e.lapsed.IsZero() && since >= lapseGrace
			list = append(list, upstream)
		default:
			partial = true
		}
	}
	n.registry.mu.Unlock()
	n.scheduler.SetListCompleteSince(complete)
	for _, added := range n.scheduler.SetUpstreams(now, list, partial) {
		n.ensureAgent(added)
	}
	n.agents.wakeAll()
	n.wakePlacing()
}

// behind tells whether a peer holds newer state than this node.
func (n *Node) behind(b *wire.Beat) bool {
	table := n.table.Load()
	if b.Revision > 0 && (table == nil || b.Revision > table.Revision) {
		return true
	}
	now := time.Now()
	return b.Registry > n.registry.revision() && !n.registry.freshSince(now.Add(-registryStale)) && n.mayPull(now)
}

// mayPull tells whether the list may be fetched from a peer again. While another VM
// dispatches, the pause grows with the list, so that its bytes a second do not.
func (n *Node) mayPull(now time.Time) bool {
	if n.scheduler.Dispatching() {
		return true
	}
	r := &n.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.pulled) > max(pollInterval, time.Duration(len(r.entries))*pullPerEntry)
}

const (
	// pullDelay lets the store's own watch bring a change first.
	pullDelay = 60 * time.Millisecond
	// registryStale is the time without word from the store after which the list
	// of upstreams is fetched from a peer: two listings and a slow answer.
	registryStale = 2*pollInterval + callTimeout/2
	// pullPerEntry is the part of the pause between two fetches of the list that
	// each entry adds: 300 bytes take it at 3 KB/s.
	pullPerEntry = 100 * time.Millisecond
	// pullTimeout is the longest wait for a peer's state.
	pullTimeout = 500 * time.Millisecond
	// pullPause spaces the fetches of a VM that the store turns away: several
	// fall into the time in which a change has to be in force.
	pullPause = 200 * time.Millisecond
)

// keepPulling fetches newer state from peers, while the store does not bring it.
func (n *Node) keepPulling(ctx context.Context) error {
	for {
		var address string
		select {
		case <-ctx.Done():
			return nil
		case address = <-n.pull:
		}
		if !wait.For(ctx, pullDelay) {
			return nil
		}
		n.pullState(ctx, address)
		if !wait.For(ctx, pullPause) {
			return nil
		}
	}
}

func (n *Node) pullState(ctx context.Context, address string) {
	request := &wire.StateRequest{Registry: n.registry.revision()}
	if !n.mayPull(time.Now()) {
		request.Registry = math.MaxInt64 // only the configuration is wanted
	}
	if table := n.table.Load(); table != nil {
		request.Revision = table.Revision
	}
	call, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var state wire.StateResponse
	if err := n.peers.Call(call, address, request, &state); err != nil {
		n.log.Info("state not fetched", slog.String("peer", address), slog.Any("error", err))
		return
	}
	for _, item := range state.Configuration {
		n.configure(store.Item{Key: item.Key, Value: item.Value, Revision: item.Revision}, address)
	}
	if state.Registry > n.registry.revision() {
		items := make([]store.Item, 0, len(state.Upstreams))
		for _, item := range state.Upstreams {
			items = append(items, store.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
		}
		n.resetUpstreams(items, state.Registry, address)
		n.registry.pulledAt(time.Now())
	}
}

func (n *Node) handleState(_ context.Context, _ *wire.Hello, r *wire.StateRequest) wire.Message {
	state := &wire.StateResponse{}
	table := n.table.Load()
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	if table != nil && table.Revision > r.Revision {
		item := n.registry.configuration
		state.Configuration = []wire.StoreItem{{Key: item.Key, Value: item.Value, Revision: item.Revision}}
	}
	if n.registry.at > r.Registry {
		state.Registry = n.registry.at
		for _, e := range n.registry.entries {
			if e.lapsed.IsZero() {
				state.Upstreams = append(state.Upstreams, wire.StoreItem{Key: e.item.Key, Value: e.item.Value, Revision: e.item.Revision})
			}
		}
	}
	return state
}
