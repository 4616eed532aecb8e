package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// Callers of `mustardstepd serve` have no return time: a submission has one owner, which is the only
// origin of its job, and a call that is sent again joins it there. The owner is cut off from its
// dispatcher and offers the job to another one.
func TestJobWithoutReturnTimeStartsBesideRun(t *testing.T) {
	const timeout, margin = 400 * time.Millisecond, 40 * time.Millisecond
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("dispatcher frozen as well: %v", killed), func(t *testing.T) {
			b := newTestHarness(t, "u1", "u2", "u3")
			first := b.newGroupWith(scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100}, 150, []string{"u1", "u2"}, []string{"u1", "u2"})
			first.scheduler.SetUnreachablePeers(false)
			first.scheduler.SetPeerLoss(scheduler.PeersHeard)
			task := scheduler.Task{Job: "a", Index: 0}
			b.workAll(time.Second, task, first)
			b.upstreams["u1"].Speed, b.upstreams["u2"].Speed = 0.1, 0.1
			first.offer(b.job("a", 0))
			b.workAll(time.Second, task, first)
			require.Len(t, first.starts, 1)
			if killed {
				b.workAll(timeout, task)
			} else {
				b.workAll(timeout, task, first) // the cut; the owner looks for another dispatcher
			}
			second := b.newGroupWith(scheduler.Config{LeaseMax: time.Second, MaxWaiting: 100}, 200, []string{"u3"}, []string{"u3"})
			again := b.job("a", 0)
			again.Resumed, again.PreviousToken = true, 150
			second.offer(again)
			b.workAll(margin, task, first, second)
			first.record(first.scheduler.AbandonJobsOf(b.now, "front", 2))
			first.stopsLost = true
			b.workAll(4*time.Second, task, first, second)
			require.Len(t, second.starts, 1)
			require.Equal(t, scheduler.TaskDone, second.notices[len(second.notices)-1].Kind)
		})
	}
}
