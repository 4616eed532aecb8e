package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dividedFleet returns a fleet of six members in each of three data centres that has
// divided. Member 0 is in data centre a.
func dividedFleet() (*Fleet, []Member) {
	f, members := newFleet(17, "a", "b", "c")
	f.RecordUpstreamCount(1100)
	return f, members
}

// TestFleetDividesIfUpstreamsExceedOneDispatcher replays the sizes of deployments: one
// dispatcher serves all upstreams as long as its capacity suffices. A list that is short
// during an outage of the store must not end the division.
func TestFleetDividesIfUpstreamsExceedOneDispatcher(t *testing.T) {
	f, _ := newFleet(7, "a", "b", "c")
	f.RecordUpstreamCount(48)
	require.False(t, f.Divided(), "0.4 cores carry 48 upstreams")
	f.RecordUpstreamCount(350)
	require.True(t, f.Divided())
	f.RecordUpstreamCount(0)
	require.True(t, f.Divided())

	f, _ = newFleet(7, "a", "b", "c")
	f.RecordDivision()
	require.True(t, f.Divided(), "a member without a list learns it from another one")
}

// TestDividedFleetHasADispatcherInEachDataCentre checks that neither the failure nor the
// term of a member of another data centre has an effect on the view.
func TestDividedFleetHasADispatcherInEachDataCentre(t *testing.T) {
	f, members := dividedFleet()
	now := start
	for _, m := range members[1:] {
		f.RecordHeartbeat(now, Heartbeat{Member: m, Term: 7}, true)
	}
	v := f.View(now, 0)
	require.Len(t, v.Reachable, 5)
	require.Equal(t, "vm0", v.TopRanked.VM)
	require.Equal(t, "a", v.Dispatcher.DataCentre)
	require.True(t, v.AllReachable)

	local := []Member{members[3], members[6], members[9], members[12], members[15]}
	now = now.Add(HeartbeatTimeout(6))
	recordHeartbeats(f, now, local...)
	v = f.View(now, 0)
	require.True(t, v.AllReachable, "only members of other data centres are silent")
	require.False(t, v.Minority)
	self := members[0]
	require.True(t, v.ShouldClaim(self, "u", "a"))
	require.False(t, v.ShouldClaim(self, "u", "b"))
}

// TestDividedFleetSendsFewHeartbeatsToOtherDataCentres checks that members of other data
// centres, which are needed for the spread of configuration only, get one heartbeat every
// few rounds, and that the timeout follows the size of the data centre.
func TestDividedFleetSendsFewHeartbeatsToOtherDataCentres(t *testing.T) {
	f, members := dividedFleet()
	recordHeartbeats(f, start, members[1:]...)
	const rounds = 50
	other := 0
	for range rounds {
		for _, m := range f.HeartbeatTargets(start) {
			if m.DataCentre != "a" {
				other++
			}
		}
	}
	require.LessOrEqual(t, other, rounds/slowRounds)
	require.NotZero(t, other)
	require.Equal(t, HeartbeatTimeout(6), f.Timeout())
	require.Less(t, f.Timeout(), 600*time.Millisecond)
}
