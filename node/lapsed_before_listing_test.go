package node

import (
	"context"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// A VM starts after the entry of an upstream has lapsed, on which the dispatcher still runs tasks, and
// takes over. The caller, of whose broken connection the dispatcher does not know, sends the job to it.
func TestJustStartedDispatcherStartsTasksThatRunOnUpstreamThatLapsedBeforeItsListing(t *testing.T) {
	c := newClusterWith(t, 1, 3, 4*time.Second, 10*time.Second)
	first := c.dispatcher()
	c.wait("the upstreams are listed", func() bool { return first.upstreamCount() == 3 })
	go first.submit(context.Background(), "a", 5, waitTimeout)
	c.wait("tasks run on each upstream", func() bool { return c.upstreams.running() == 5 })
	_, err := c.store.Commit(context.Background(), store.Txn{Deletes: []string{"upstreams/u0"}})
	require.NoError(t, err)
	next := c.start("vm1", first.config.PeerAddress)
	c.wait("the next dispatcher has listed the upstreams", func() bool {
		next.registry.mu.Lock()
		defer next.registry.mu.Unlock()
		at := next.registry.listedAt
		return !at.IsZero() && time.Since(at) > 2*staleListTime
	})
	require.Equal(t, 2, next.upstreamCount())
	require.Equal(t, 5, c.upstreams.running())

	c.upstreams.renew(c.upstreams.byName["u0"], first.term.current())
	first.kill()
	c.wait("the next one dispatches", func() bool { return next.scheduler.Dispatching() })
	answer := next.submit(context.Background(), "a", 5, waitTimeout)
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}
