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
