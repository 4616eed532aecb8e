package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/stretchr/testify/require"
)

// A job whose caller's deadline has passed while a task runs stays for a while. Its waiting
// tasks must not keep free capacity from other jobs.
func TestExpiredJobsBlockOtherJobs(t *testing.T) {
	b := newTestHarness(t)
	var list []scheduler.Upstream
	addUpstream := func() {
		info := scheduler.Upstream{Name: fmt.Sprintf("u%d", len(list)), Service: "rota", Size: scheduler.Size{MilliCPU: 8000, MemoryMB: 1000}}
		list = append(list, info)
		b.upstreams[info.Name] = schedulertest.New(b.now, info, time.Second)
		b.scheduler.SetUpstreams(b.now, list, false)
		b.pollAll()
		b.record(b.scheduler.Tick(b.now))
	}
	const expired = 8 // in several shards
	deadline := b.now.Add(200 * time.Millisecond)
	for i := range expired {
		addUpstream()
		j := b.job(fmt.Sprintf("expired%d", i), 0, 1)
		j.Stretch, j.Deadline = float64(20-i), deadline
		b.offer(j)
		starts := b.place()
		require.Len(t, starts, 1)
		require.Equal(t, j.ID, starts[0].Run.Job)
	}
	b.now = deadline.Add(10 * time.Millisecond)
	addUpstream()
	fresh := b.job("fresh", 0)
	fresh.Stretch = 30
	b.offer(fresh)
	starts := b.place()
	require.Len(t, starts, 1)
	require.Equal(t, "fresh", starts[0].Run.Job)
}
