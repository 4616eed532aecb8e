package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func member(n int, dataCentre string) Member {
	return Member{
		VM: fmt.Sprintf("vm%d", n), Incarnation: uint64(100 + n), DataCentre: dataCentre,
		Address: fmt.Sprintf("10.0.0.%d:1", n), Weight: 400,
	}
}

// group returns the fleet of member 0 that knows n others, all listed.
func group(n int, dataCentres ...string) (*Fleet, []Member) {
	members := make([]Member, 0, n+1)
	for i := range n + 1 {
		members = append(members, member(i, dataCentres[i%len(dataCentres)]))
	}
	f := New(members[0])
	f.SetListed(members)
	return f, members
}

func hear(f *Fleet, now time.Time, members ...Member) {
	for _, m := range members {
		f.RecordHeartbeat(now, Heartbeat{Member: m}, true)
	}
}

func TestLongestRunningMemberIsFirst(t *testing.T) {
	f, members := group(3, "a")
	hear(f, start, members[1:]...)
	require.Equal(t, "vm0", f.View(start, 0).TopRanked.VM)
	heavy := member(3, "a")
	heavy.Weight = 800
	hear(f, start, heavy)
	require.Equal(t, "vm3", f.View(start, 0).TopRanked.VM, "one that can carry more ranks first")
	heavy.Draining = true
	hear(f, start, heavy)
	require.Equal(t, "vm0", f.View(start, 0).TopRanked.VM, "one that stops ranks last")
}

func TestSilentMemberIsNotHeard(t *testing.T) {
	f, members := group(2, "a")
	hear(f, start, members[1:]...)
	silence := HeartbeatTimeout(3)
	require.Len(t, f.View(start.Add(silence-1), 0).Reachable, 2)
	hear(f, start.Add(silence-1), members[1])
	v := f.View(start.Add(silence), 0)
	require.Len(t, v.Reachable, 1)
	require.Equal(t, []Member{members[2]}, v.Unreachable)
	f.RecordConnectionRefused("vm1", members[1].Incarnation)
	require.Empty(t, f.View(start.Add(silence), 0).Reachable, "a refused connection counts at once")
	hear(f, start.Add(silence), members[1])
	require.Len(t, f.View(start.Add(silence), 0).Reachable, 1)
}

func TestOneWayBeatsAreNotHearing(t *testing.T) {
	f, members := group(1, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1]}, false)
	require.Empty(t, f.View(start, 0).Reachable)
}

func TestMemberThatIsNoLongerListedIsNotPresent(t *testing.T) {
	f, members := group(2, "a")
	f.SetListed(members[:2])
	require.Equal(t, []Member{members[1]}, f.View(start, 0).Unreachable)
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	f, members := group(1, "a")
	newer := members[1]
	newer.Incarnation++
	hear(f, start, newer)
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 7}, true)
	v := f.View(start, 0)
	require.Equal(t, newer, v.Reachable[0].Member)
	require.Zero(t, v.Term)
}

func TestMinorityClaimsItsShare(t *testing.T) {
	f, members := group(6, "a", "b", "c")
	v := f.View(start, 0)
	require.True(t, v.Minority)
	claimed := map[string]int{}
	for i := range 300 {
		for _, dataCentre := range []string{"a", "b", "c"} {
			if v.ShouldClaim(members[0], fmt.Sprintf("upstream-%s-%d", dataCentre, i), dataCentre) {
				claimed[dataCentre]++
			}
		}
	}
	require.InDelta(t, 100, claimed["a"], 30, "one of three members in its data centre")
	require.Zero(t, claimed["b"]+claimed["c"])
	hear(f, start, members[1:5]...)
	v = f.View(start, 0)
	require.False(t, v.Minority)
	require.True(t, v.ShouldClaim(members[0], "any", "c"))
}

// The shares of the members of a data centre do not overlap and leave nothing.
func TestSharesAreDisjoint(t *testing.T) {
	members := []Member{member(0, "a"), member(1, "a"), member(2, "a"), member(3, "b"), member(4, "b"), member(5, "b")}
	for i := range 200 {
		owners := 0
		for _, self := range members[:3] {
			f := New(self)
			f.SetListed(members)
			v := f.View(start, 0)
			if v.ShouldClaim(self, fmt.Sprintf("u%d", i), "a") {
				owners++
			}
		}
		require.Equal(t, 1, owners)
	}
}

func TestDispatcherIsTheFirstThatDispatches(t *testing.T) {
	f, members := group(3, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[2], Term: 5}, true)
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 4}, true)
	v := f.View(start, 0)
	require.Equal(t, "vm1", v.Dispatcher.VM)
	require.EqualValues(t, 4, v.Term)
	require.Equal(t, "vm0", f.View(start, 9).Dispatcher.VM)
}

func TestBeatsGoToTheLeaders(t *testing.T) {
	f, members := group(40, "a", "b", "c", "d")
	hear(f, start, members[1:]...)
	targets := f.HeartbeatTargets(start)
	require.Contains(t, targets, members[1])
	require.Contains(t, targets, members[2])
	require.Contains(t, targets, members[3])
	require.Contains(t, targets, members[4], "the first of its data centre")
	require.LessOrEqual(t, len(targets), leaders+localLeaders)
	// Where those are lost, the next in rank are tried at once.
	later := start.Add(HeartbeatTimeout(41))
	hear(f, later, members[10:]...)
	targets = f.HeartbeatTargets(later)
	require.Contains(t, targets, members[10])
	require.Contains(t, targets, members[12])
	for range lostRounds {
		targets = append(targets, f.HeartbeatTargets(later)...)
	}
	require.Contains(t, targets, members[1], "a lost one is tried now and then")
}

// A member is first only once those that rank before it were tried.
func TestPendingUntilTried(t *testing.T) {
	f := New(member(5, "a"))
	older := member(1, "a")
	f.SetListed([]Member{older, member(5, "a")})
	require.True(t, f.View(start, 0).HigherRankPending)
	f.HeartbeatTargets(start)
	require.True(t, f.View(start, 0).HigherRankPending)
	require.False(t, f.View(start.Add(HeartbeatTimeout(2)), 0).HigherRankPending)
}

func TestIntervalGrowsWithTheFleet(t *testing.T) {
	require.Equal(t, MinHeartbeatInterval, HeartbeatInterval(7))
	require.Equal(t, 200*time.Millisecond, HeartbeatInterval(40))
	require.Equal(t, MaxHeartbeatInterval, HeartbeatInterval(1000))
}

func TestTokensRise(t *testing.T) {
	f, members := group(1, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Token: 50}, true)
	require.EqualValues(t, 51, f.NextToken(10))
	require.EqualValues(t, 70, f.NextToken(70))
}

func TestDigestTellsWhoKnowsWhat(t *testing.T) {
	f, members := group(2, "a")
	g := New(members[1])
	g.AddMembers(members)
	digest, _ := g.Digest("vm0")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Digest: digest}, true)
	_, differs := f.Digest("vm1")
	require.False(t, differs)
	f.AddMembers([]Member{member(9, "a")})
	_, differs = f.Digest("vm1")
	require.True(t, differs)
}

// A member that was beaten to all the time is lost as soon as it is not heard,
// so that the next one in rank dispatches at once.
func TestSilentLeaderIsLostAtOnce(t *testing.T) {
	f := New(member(5, "a"))
	older := member(1, "a")
	f.SetListed([]Member{older, member(5, "a")})
	now := start
	for range 10 {
		f.HeartbeatTargets(now)
		hear(f, now.Add(time.Millisecond), older)
		now = now.Add(HeartbeatInterval(2))
	}
	for range silentBeats {
		f.HeartbeatTargets(now)
		now = now.Add(HeartbeatInterval(2))
	}
	v := f.View(now, 0)
	require.Equal(t, "vm5", v.TopRanked.VM)
	require.False(t, v.HigherRankPending)
}
