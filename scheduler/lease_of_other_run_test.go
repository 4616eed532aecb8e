package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// A task starts on an upstream whose lease, renewed for the run of another job, ends after the
// caller of the task may return. The dispatcher pauses before it stops the run.
func TestRunOutlivesReturnByLeaseOfAnotherRun(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	g := b.newGroup(150, []string{"u1"}, []string{"u1"})
	b.workAll(time.Second, scheduler.Task{}, g)
	b.upstreams["u1"].Speed = 0.1
	g.offer(b.job("young", 0))
	b.workAll(100*time.Millisecond, scheduler.Task{}, g)
	require.Len(t, b.runsOf(scheduler.Task{Job: "young", Index: 0}), 1)

	old := b.job("old", 0)
	old.Sent = b.now.Add(200*time.Millisecond - callerReturn)
	old.Slack = 5 * time.Second // not late
	g.offer(old)
	b.workAll(20*time.Millisecond, scheduler.Task{}, g)
	b.advance(180 * time.Millisecond)
	require.Empty(t, b.runsOf(scheduler.Task{Job: "old", Index: 0}), "its caller may send the job again now")
}
