package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// The fleet is divided: each data centre has a dispatcher, which hears every VM of its scope. The
// connection of a caller breaks without its origin noticing, and the caller sends the job to the
// other data centre.
func TestJobSentToOtherDataCentreOfDividedFleetStartsBesideRun(t *testing.T) {
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
	first.offer(b.fromOrigin("vm1", 0))
	b.workAll(callerReturn, task, first, second)
	require.Len(t, first.starts, 1)
	second.offer(b.fromOrigin("vm2", 0))
	b.workAll(3*time.Second, task, first, second)
}
