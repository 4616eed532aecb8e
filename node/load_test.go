package node

import (
	"context"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/evacuation"
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

// While its data centre is evacuated, the load of its own dispatcher, which has no upstream left,
// says nothing about the jobs of an origin: they would be refused although others have capacity.
func TestLoadOfEvacuatedDataCentreRejectsNoJob(t *testing.T) {
	n := newOrigin(t)
	n.view.Store(&fleet.View{Scope: fleet.ScopeDataCentre, Dispatcher: fleet.Member{VM: "vm9"}, Term: 7})
	n.receiveLoad(time.Now(), &wire.FleetHeartbeat{From: wire.FleetMember{VM: "vm9"}, Term: 7, Load: []wire.QueueLoad{{Queue: testQueue.Name, WaitUS: time.Hour.Microseconds()}}})
	n.evacuation.table.Replace(time.Now(), evacuation.State{Revision: 1, DataCentres: []string{n.config.DataCentre}})
	job := Job{Queue: &testQueue, Estimate: 100 * time.Millisecond, Deadline: time.Now().Add(time.Minute)}
	j, _ := n.jobs.AddOrJoin(time.Now(), "0000000000000001", job, 1)
	require.False(t, n.rejectHopeless(j, n.view.Load()))
}

// The VMs of a data centre share one account, also those of an evacuated one and the dispatcher
// itself. With an account each, they would get many times the share of the other data centre.
func TestAccountIsThatOfDataCentre(t *testing.T) {
	n := newOrigin(t)
	n.view.Store(&fleet.View{Scope: fleet.ScopeDataCentre})
	n.fleet.AddMembers([]fleet.Member{
		{VM: "b1", DataCentre: "b", Address: "b1:1", Incarnation: 1}, {VM: "b2", DataCentre: "b", Address: "b2:1", Incarnation: 1},
		{VM: "own", DataCentre: n.config.DataCentre, Address: "own:1", Incarnation: 1},
	})
	account := func(origin string) string { return n.account(&wire.OfferRequest{Origin: origin}) }
	require.Equal(t, account("b1"), account("b2"))
	require.Equal(t, account("own"), account(n.config.VM))
	require.NotEqual(t, account("b1"), account("own"))
	require.Equal(t, "unknown", account("unknown"))
}
