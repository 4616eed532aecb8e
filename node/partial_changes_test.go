package node

import (
	"testing"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// An upstream joins after the last listing of the next dispatcher, and the store's first answer to it
// ends with earlier changes.
func TestNextDispatcherTakesFirstChangesForAll(t *testing.T) {
	const limit = 10
	j := newJoinTest(t)
	j.store.SetWatchLimit(limit)
	j.nextStore().unlisted.Store(true)
	for range limit {
		j.putUpstream("u0", func(*scheduler.Upstream) {})
	}
	done := j.killBesideRuns()
	j.wait("the list counts as current", func() bool {
		return j.next.scheduler.Dispatching() && j.next.registry.currentSince(j.next.term.startTime())
	})
	require.Equal(t, 3, j.next.upstreamCount())
	answer := <-done
	require.Equal(t, intake.Succeeded, answer.Outcome, answer.Reason)
}
