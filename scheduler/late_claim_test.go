package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// A dispatcher has all upstreams when a caller returns to the VM of another group. The dispatcher
// there claims an upstream long after its term began, and starts the task before the first one
// notices the claim.
func TestTaskStartsBesideRunOnUpstreamClaimedLate(t *testing.T) {
	b := newTestHarness(t, "u1", "u2", "u3")
	task := scheduler.Task{Job: "a", Index: 0}
	first := b.newGroup(150, []string{"u1", "u2", "u3"}, []string{"u1", "u2", "u3"})
	first.waits = true
	second := b.newGroup(200, []string{"u3"}, nil)
	b.workAll(2*time.Second, task, first, second)
	b.upstreams["u1"].Speed, b.upstreams["u2"].Speed = 0.1, 0.1
	first.offer(b.job("a", 0))
	b.workAll(callerReturn, task, first, second)
	require.Len(t, first.starts, 1)
	require.NotEqual(t, "u3", first.starts[0].Upstream.Name)
	second.offer(b.job("a", 0))
	second.reached = []string{"u3"}
	b.workAll(3*time.Second, task, first, second)
	second.offer(b.job("b", 0))
	b.workAll(100*time.Millisecond, task, first, second)
	require.NotEmpty(t, second.starts, "the upstream is used in the end")
}
