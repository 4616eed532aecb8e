package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// A job that only one of many free upstreams may run was rejected for load, because the search for a
// free one ended among those that its label excludes. Load: 150 jobs of 8 tasks that wait for a
// rack, a second of work for the whole fleet.
func TestLabelledJobIsRejectedWhileItsUpstreamIsFree(t *testing.T) {
	f := newFleetReplay(t, 1, 120).sameSpeed()
	f.setLabels("r1-0", "x")
	f.upstreams["u119"].Info.Labels = []string{"y"}
	f.setUpstreams()
	f.run(100*time.Millisecond, nil, 0, nil)
	for range 150 {
		j := f.testJob(8, 100*time.Millisecond, &scheduler.Constraints{Label: "x"})
		j.Slack = 400 * time.Millisecond
		f.offer(j)
	}
	f.place()
	for range 100 { // each search begins at another shard
		j := f.testJob(1, 100*time.Millisecond, &scheduler.Constraints{Label: "y"})
		j.Queue, j.Priority = "y", 8
		f.offer(j)
		require.False(t, j.rejected, "an upstream with its label is free")
	}
}

// An upstream that has as many tasks of a job as it may was held for a suspect of the job, which
// then waited until its deadline while the upstream was kept from others.
func TestUpstreamAtItsLimitIsHeldForSuspect(t *testing.T) {
	f := newFleetReplay(t, 1, 2).sameSpeed()
	j := f.testJob(1, 300*time.Millisecond, &scheduler.Constraints{Label: "a", MaxPerUpstream: 1})
	f.offer(j)
	f.offer(f.testJob(1, 3*time.Second, &scheduler.Constraints{Label: "b"}))
	f.run(replayStep, nil, 0, nil)
	require.Zero(t, f.s.Waiting())
	suspect := j.Job
	suspect.Constraints = &scheduler.Constraints{MaxPerUpstream: 1}
	f.s.HoldForSuspect(f.now, &suspect, 1)
	require.False(t, f.s.IsHeld(f.now, "u000"), "it has a task of the job")
	require.True(t, f.s.IsHeld(f.now, "u001"))
}
