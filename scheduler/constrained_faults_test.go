package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/locality"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
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

// idsOfOneShard returns the IDs of two jobs that the scheduler keeps in the same shard.
func idsOfOneShard() [2]string {
	const first, shards = "00000000000000f0", 16
	for n := 0xf1; ; n++ {
		if id := fmt.Sprintf("%016x", n); rendezvous.Hash(id)%shards == rendezvous.Hash(first)%shards {
			return [2]string{first, id}
		}
	}
}

// Tasks that fit into the capacity that a run had left in their rack waited on, because only the
// first waiting job of a shard was tried, whose tasks are larger. Load: 12 upstreams of a rack with
// a short and a long run each, a job of a large task and one of a small task that wait for it.
func TestSmallTaskWaitsBehindLargeOne(t *testing.T) {
	f := newFleetReplay(t, 1, 24).sameSpeed()
	fill := func(runTime time.Duration, queue string) {
		for range 12 {
			j := f.testJob(1, runTime, &scheduler.Constraints{Label: "r1-0", MaxPerUpstream: 1})
			j.Queue = queue
			f.offer(j)
		}
		f.run(replayStep, nil, 0, nil)
	}
	fill(2*time.Second, "long")
	fill(100*time.Millisecond, "short")
	require.Zero(t, f.s.Waiting())
	ids := idsOfOneShard()
	for i, milliCPU := range []int{20_000, 12_000} {
		j := f.testJob(1, 3*time.Second, &scheduler.Constraints{Rack: "r1-0", SpreadFactor: spreadFactor})
		j.Queue, j.Size.MilliCPU, j.ID = "waiting", milliCPU, ids[i]
		f.offer(j)
		f.run(replayStep, nil, 0, nil)
	}
	require.Equal(t, 2, f.s.Parked())
	f.run(100*time.Millisecond, nil, 0, nil)
	require.Equal(t, 1, f.s.Parked(), "the capacity that the short runs have left is used")
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

// A task went on waiting for its rack after an idle upstream had joined it, because an upstream
// becomes usable only with its first report, which woke no task. Load: 12 upstreams of a rack with
// runs of 2 s, and a task that waits for the rack.
func TestUpstreamThatBecomesUsableWakesNoTask(t *testing.T) {
	f := newFleetReplay(t, 1, 24).sameSpeed()
	for range 12 {
		f.offer(f.testJob(2, 2*time.Second, &scheduler.Constraints{Label: "r1-0"}))
	}
	f.run(replayStep, nil, 0, nil)
	f.offer(f.testJob(1, 3*time.Second, &scheduler.Constraints{Rack: "r1-0", SpreadFactor: spreadFactor}))
	f.run(replayStep, nil, 0, nil)
	require.Equal(t, 1, f.s.Parked())
	f.run(200*time.Millisecond, nil, 0, func(time.Duration) {
		if info := f.upstreams["u000"].Info; f.upstreams["u900"] == nil {
			info.Name = "u900"
			f.upstreams[info.Name] = schedulertest.New(f.now, info, time.Second)
			f.names = append(f.names, info.Name)
			f.setUpstreams()
		}
	})
	require.Zero(t, f.s.Waiting())
	require.Equal(t, 1, f.placements[locality.Near])
}

// The rack of a job with same_rack was not recorded if its first task ran isolated, so that the
// others were placed in any rack. Load: 8 jobs of two tasks, of which one is a suspect, on two idle
// racks.
func TestIsolatedTaskDoesNotDetermineRack(t *testing.T) {
	f := newFleetReplay(t, 1, 24).sameSpeed()
	for range 8 {
		j := f.testJob(2, 300*time.Millisecond, &scheduler.Constraints{SameRack: true, SpreadFactor: spreadFactor})
		j.Histories = map[int]history.Task{0: {Suspicion: 0.2}}
		f.offer(j)
		f.run(10*time.Millisecond, nil, 0, nil)
	}
	require.Zero(t, f.s.Waiting())
	for i, j := range f.order {
		require.Len(t, j.racks, 1, "job %d", i)
	}
}
