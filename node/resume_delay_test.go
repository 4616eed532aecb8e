package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// A dispatcher keeps the jobs of origins in a larger data centre for the timeout of that one. Its
// successor must not start their tasks before: the former runs would still be active.
func TestResumeDelayCoversOriginsOfLargerDataCentre(t *testing.T) {
	n := newOrigin(t)
	n.fleet.RecordDivision()
	var members []fleet.Member
	for i := range 40 {
		members = append(members, fleet.Member{VM: fmt.Sprint("b", i), DataCentre: "b", Address: fmt.Sprintf("b%d:1", i), Incarnation: 1, Weight: 1})
	}
	n.fleet.SetListed(members)
	now := time.Now()
	n.updateTerm(now)
	n.startTerm(now, n.view.Load(), "test")
	n.scheduler.SetUpstreams(now, []scheduler.Upstream{{Name: "unreachable", Service: "rota"}}, false)
	job := scheduler.Job{ID: "x", Origin: "b0", OriginIncarnation: 1, Queue: "q", Service: "rota", Resumed: true, Sent: now, Deadline: now.Add(time.Minute), Tasks: []int{0}}
	_, failure := n.scheduler.Offer(now, job)
	require.Nil(t, failure)
	bound := resumeDelay(fleet.HeartbeatTimeout(40), n.config.LeaseMax)
	require.Greater(t, bound, resumeDelay(n.peerTimeout(), n.config.LeaseMax))
	held := func(at time.Time) bool {
		n.scheduler.Tick(at)
		offered, ok := n.scheduler.Offered("x")
		require.True(t, ok)
		return offered.Held
	}
	require.True(t, held(now.Add(bound-50*time.Millisecond)))
	require.False(t, held(now.Add(bound+50*time.Millisecond)))
}
