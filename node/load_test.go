package node

import (
	"context"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// An origin that offers hopeless jobs loads the dispatcher when it has least to spare. One that
// goes on rejecting after the dispatcher has stopped publishing refuses jobs without need.
func TestOriginRejectsHopelessJob(t *testing.T) {
	n := newOrigin(t)
	n.view.Store(&fleet.View{Dispatcher: fleet.Member{VM: "vm9"}, Term: 7})
	job := Job{Queue: &testQueue, Spec: "s", Estimate: 100 * time.Millisecond, Deadline: time.Now().Add(time.Minute)}
	heartbeat := &wire.FleetHeartbeat{From: wire.FleetMember{VM: "vm9"}, Term: 7, Load: []wire.QueueLoad{{Queue: testQueue.Name, WaitUS: time.Hour.Microseconds()}}}
	n.receiveLoad(time.Now(), heartbeat)
	answer := n.Submit(context.Background(), "0000000000000001", job, 1)
	require.Equal(t, intake.NotRun, answer.Outcome)
	require.Equal(t, verdict.CodeOverloaded, answer.Code)
	require.GreaterOrEqual(t, answer.RetryAfter, verdict.MinRetryAfter)
	require.LessOrEqual(t, answer.RetryAfter, 20*time.Second, "the estimate of an hour is not relied on")

	heartbeat.Load = nil
	n.receiveLoad(time.Now(), heartbeat)
	j, _ := n.jobs.AddOrJoin(time.Now(), "0000000000000002", job, 1)
	require.False(t, n.rejectHopeless(j, n.view.Load()), "the dispatcher no longer publishes the queue")
}
