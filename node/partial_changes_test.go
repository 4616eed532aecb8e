package node

import (
	"context"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// An upstream joins after the last listing of the next dispatcher, and the store's first answer to it
// ends with earlier changes.
func TestNextDispatcherTakesFirstChangesForAll(t *testing.T) {
	const limit = 10
	c := newClusterWith(t, 0, 2, 2*time.Second, shortRetention)
	c.store.SetWatchLimit(limit)
	joined := newModelUpstreams([]string{"joined"}, 0).byName["joined"]
	joined.Speed = 0.5 // its runs last longer than those of the others
	stores := map[string]*gatedStore{}
	for _, vm := range []string{"vm0", "vm1"} {
		stores[vm] = &gatedStore{Store: c.store}
		c.startWith(vm, stores[vm])
	}
	first := c.dispatcher()
	next := c.otherThan(first)
	c.wait("both have listed the upstreams", func() bool { return first.upstreamCount() == 2 && next.upstreamCount() == 2 })
	c.awaitCompleteLists()
	full, done := make(chan intake.Answer, 1), make(chan intake.Answer, 1)
	go func() { full <- next.submit(context.Background(), "filler", 4, waitTimeout) }()
	c.wait("the other upstreams are full", func() bool { return c.upstreams.running() == 4 })
	stores[next.config.VM].unlisted.Store(true)
	for range limit {
		c.putUpstream("u0", func(*scheduler.Upstream) {})
	}
	c.upstreams.add(joined)
	c.putUpstream("joined", func(*scheduler.Upstream) {})
	c.wait("the dispatcher has listed the upstream that joins", func() bool { return first.upstreamCount() == 3 })
	go func() { done <- next.submit(context.Background(), "a", 2, waitTimeout) }()
	c.wait("tasks run on the upstream that has joined", func() bool { return c.upstreams.running() == 6 })
	require.Equal(t, intake.Succeeded, (<-full).Outcome)
	c.upstreams.renew(joined, first.term.current())
	first.kill()
	c.wait("the list counts as current", func() bool { return next.scheduler.Dispatching() && next.registry.currentSince(next.term.startTime()) })
	require.Equal(t, 3, next.upstreamCount())
	answer := <-done
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}
