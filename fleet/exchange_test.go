package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two data centres of different size use different intervals. If the smaller one did not wait for
// those of the larger one, it would abandon the jobs of origins there again and again; if an origin
// sent no heartbeats there, it would always abandon them.
func TestExchangeBetweenDataCentresOfDifferentSize(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	members := []Member{{VM: "a0", Incarnation: 1, DataCentre: "a", Weight: 9}}
	for i := range 40 {
		members = append(members, Member{VM: fmt.Sprint("b", i), Incarnation: 1, DataCentre: "b", Weight: 40 - i})
	}
	a, b := New(members[0]), New(members[1])
	for _, f := range []*Fleet{a, b} {
		f.RecordDivision()
		f.SetListed(members)
	}
	require.Empty(t, remoteTargets(a, start), "without an evacuation")
	a.SetExchange(true)
	a.RecordHeartbeat(start, Heartbeat{Member: members[30], Term: 7, Hears: true}, true) // dispatches with a low rank
	require.Equal(t, []string{"b0", "b1", "b29"}, remoteTargets(a, start))

	interval := HeartbeatInterval(40)
	require.Equal(t, interval, b.Interval())
	require.Greater(t, timeoutIntervals*interval, a.Timeout())
	b.RecordHeartbeat(start, Heartbeat{Member: members[0]}, true)
	for now, reachable := range map[time.Time]bool{start.Add(a.Timeout()): true, start.Add(timeoutIntervals * interval): false} {
		view := a.View(now, 0)
		_, found := view.RemoteDispatcher("b")
		require.Equal(t, reachable, found)
		require.Equal(t, reachable, b.Reachable(now, "a0"))
	}
	require.Equal(t, timeoutIntervals*interval, a.LongestTimeout(), "otherwise the next dispatcher of a starts tasks of b's origins while the former one keeps their runs")
	a.RecordHeartbeat(start, Heartbeat{Member: members[30], Term: 7}, true)
	view := a.View(start, 0)
	_, found := view.RemoteDispatcher("b")
	require.False(t, found, "it does not hear a0, and would abandon its jobs")
}

// remoteTargets returns the members of data centre b to which a sends heartbeats in a round.
func remoteTargets(a *Fleet, now time.Time) (names []string) {
	for _, m := range a.HeartbeatTargets(now) {
		if m.DataCentre == "b" {
			names = append(names, m.VM)
		}
	}
	return names
}
