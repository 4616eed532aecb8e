package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// The order of an at-most-once task was lost with the upstream's process. Its capacity must
// become free.
func TestLostOrderForReplacedProcessKeepsCapacity(t *testing.T) {
	b := newTestHarness(t, "u1")
	j := b.job("a", 0)
	j.AtMostOnce, j.Deadline = true, b.now.Add(2*time.Second)
	b.offer(j)
	starts := b.scheduler.Place(b.now)
	require.Len(t, starts, 1)
	b.now = b.now.Add(10 * time.Millisecond)
	b.upstreams["u1"].Restart(b.now)
	b.advanceWithPolls(200 * time.Millisecond)
	b.record(b.scheduler.HandleStartResult(b.now, starts[0], scheduler.OrderUnanswered, 0))
	b.advanceWithPolls(10 * time.Second)
	_, placed := b.scheduler.Explain(b.now, "a")
	require.Empty(t, placed)
}
