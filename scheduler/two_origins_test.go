package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// fromOrigin returns a job as the given origin offers it, which received it some time ago.
func (b *testHarness) fromOrigin(origin string, age time.Duration) scheduler.Job {
	j := b.job("a", 0)
	j.Origin, j.Submission, j.Sent = origin, 1, b.now.Add(-age)
	return j
}

// A caller sends a job to a second origin. The first one, which has not noticed that the caller
// has gone, offers it once more. The connection to the second origin breaks, which withdraws the job,
// and the caller sends it to the VM of another dispatcher, of which the first one does not know.
func TestLateOfferOfAnotherOriginTakesJobOver(t *testing.T) {
	b := newTestHarness(t, "u1", "u2", "u3")
	first := b.newGroup(150, []string{"u1", "u2"}, []string{"u1", "u2"})
	second := b.newGroup(200, []string{"u3"}, []string{"u3"})
	for _, g := range []*group{first, second} {
		g.scheduler.SetPeerLoss(scheduler.PeersHeard)
		g.scheduler.SetUnreachablePeers(false)
	}
	task := scheduler.Task{Job: "a", Index: 0}
	b.workAll(time.Second, task, first, second)
	b.upstreams["u1"].Speed, b.upstreams["u2"].Speed = 0.1, 0.1
	began := b.now
	first.offer(b.fromOrigin("vm1", 0))
	b.workAll(callerReturn, task, first, second)
	first.offer(b.fromOrigin("vm2", 0))
	b.workAll(100*time.Millisecond, task, first, second)
	first.offer(b.fromOrigin("vm1", b.now.Sub(began)))
	b.workAll(100*time.Millisecond, task, first, second)
	first.record(first.scheduler.Withdraw(b.now, "vm2", "a", 1))
	b.workAll(callerReturn-200*time.Millisecond, task, first, second)
	require.Len(t, first.starts, 1)
	second.offer(b.fromOrigin("vm3", 0))
	b.workAll(3*time.Second, task, first, second)
	require.Len(t, second.starts, 1)
}

// After a hand-over, the origin of the later submission offers the job first.
func TestCallerOfLaterSubmissionGetsAnswer(t *testing.T) {
	for _, order := range [][]string{{"vm1", "vm2"}, {"vm2", "vm1"}} {
		b := newTestHarness(t, "u1")
		ages := map[string]time.Duration{"vm1": 1500 * time.Millisecond, "vm2": 200 * time.Millisecond}
		for _, origin := range order {
			j := b.fromOrigin(origin, ages[origin])
			j.Resumed = true
			b.offer(j)
		}
		b.advanceWithPolls(300 * time.Millisecond)
		require.Len(t, b.place(), 1)
		b.advanceWithPolls(1200 * time.Millisecond)
		require.Len(t, b.notices, 1)
		require.Equal(t, "vm2", b.notices[0].Origin, "offered by %v", order)
	}
}
