package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// TestDrainOfUnknownAgeCountsFromItsListing guards against starts on an upstream that has been
// draining for longer than this VM knows.
func TestDrainOfUnknownAgeCountsFromItsListing(t *testing.T) {
	now := time.Now()
	ready := entry{valid: true}
	draining := entry{valid: true, upstream: scheduler.Upstream{Draining: true, Notice: &scheduler.DepartureNotice{DrainingSince: now.Add(-time.Second), Left: 2 * time.Second, ReadAt: now.Add(-time.Second)}}}
	for name, c := range map[string]struct {
		known    entry
		gap      time.Duration // since the last reading
		fromPeer bool
		begins   bool // the drain counts from now
		kept     bool // the notice known before is kept
	}{
		"followed":                       {known: ready, begins: true},
		"first listed as draining":       {},
		"after a gap":                    {known: ready, gap: 1100 * time.Millisecond},
		"from a peer":                    {known: ready, fromPeer: true},
		"could not be read before":       {known: entry{valid: true, odd: true}},
		"had lapsed":                     {known: entry{valid: true, lapsedAt: now}},
		"drains on, from a peer":         {known: draining, fromPeer: true, kept: true},
		"drains on, after a gap":         {known: draining, gap: 1100 * time.Millisecond, kept: true},
		"drained before it had lapsed":   {known: entry{valid: true, lapsedAt: now, upstream: draining.upstream}},
		"drains on, with a newer notice": {known: draining},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{log: slog.New(slog.DiscardHandler), config: Config{UpstreamDrain: 2 * time.Second}}
			n.registry.mu.Lock()
			defer n.registry.mu.Unlock()
			n.registry.currentAt = time.Now().Add(-c.gap)
			n.registry.readAt = n.registry.currentAt
			e := entry{item: store.Item{Key: "u"}, valid: true, upstream: scheduler.Upstream{Draining: true, Notice: &scheduler.DepartureNotice{Left: 1500 * time.Millisecond}}}
			n.recordNotice(&e, c.known, !c.fromPeer)
			got := e.upstream.Notice
			switch {
			case c.begins:
				require.False(t, got.DrainingSince.Before(now))
				require.Equal(t, n.registry.currentAt, got.ReadAt)
			case c.kept:
				require.Equal(t, draining.upstream.Notice, got)
			case c.known.upstream.Draining && c.known.lapsedAt.IsZero():
				require.Equal(t, draining.upstream.Notice.DrainingSince, got.DrainingSince)
				require.Equal(t, 1500*time.Millisecond, got.Left)
			default:
				require.Nil(t, got)
			}
		})
	}
}

// A stale listing, or an answer that leaves out later changes, is older than its call.
func TestDrainCountsFromListingThatWasStale(t *testing.T) {
	n := &Node{log: slog.New(slog.DiscardHandler), config: Config{UpstreamDrain: 2 * time.Second}}
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	now := time.Now()
	n.registry.readAt, n.registry.currentAt = now, now.Add(-3*time.Second)
	e := entry{item: store.Item{Key: "u"}, valid: true, upstream: scheduler.Upstream{Draining: true, Notice: &scheduler.DepartureNotice{Left: 1500 * time.Millisecond}}}
	n.recordNotice(&e, entry{valid: true}, true)
	require.Nil(t, e.upstream.Notice, "the upstream may have drained for 3 s")
}
