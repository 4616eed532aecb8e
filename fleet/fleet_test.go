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

// newFleet returns the fleet of member 0 with n other members, all listed.
func newFleet(n int, dataCentres ...string) (*Fleet, []Member) {
	members := make([]Member, 0, n+1)
	for i := range n + 1 {
		members = append(members, member(i, dataCentres[i%len(dataCentres)]))
	}
	f := New(members[0])
	f.SetListed(members)
	return f, members
}

func recordHeartbeats(f *Fleet, now time.Time, members ...Member) {
	for _, m := range members {
		f.RecordHeartbeat(now, Heartbeat{Member: m}, true)
	}
}

func TestRankByWeightDrainingAndAge(t *testing.T) {
	f, members := newFleet(3, "a")
	recordHeartbeats(f, start, members[1:]...)
	require.Equal(t, "vm0", f.View(start, 0).TopRanked.VM)
	heavy := member(3, "a")
	heavy.Weight = 800
	recordHeartbeats(f, start, heavy)
	require.Equal(t, "vm3", f.View(start, 0).TopRanked.VM, "the greater weight ranks higher")
	heavy.Draining = true
	recordHeartbeats(f, start, heavy)
	require.Equal(t, "vm0", f.View(start, 0).TopRanked.VM, "a draining member ranks lowest")
}

func TestSilentMemberIsUnreachable(t *testing.T) {
	f, members := newFleet(2, "a")
	recordHeartbeats(f, start, members[1:]...)
	timeout := HeartbeatTimeout(3)
	require.Len(t, f.View(start.Add(timeout-1), 0).Reachable, 2)
	recordHeartbeats(f, start.Add(timeout-1), members[1])
	v := f.View(start.Add(timeout), 0)
	require.Len(t, v.Reachable, 1)
	require.Equal(t, []Member{members[2]}, v.Unreachable)
	f.RecordConnectionRefused("vm1", members[1].Incarnation)
	require.Empty(t, f.View(start.Add(timeout), 0).Reachable, "a refused connection makes a member unreachable at once")
	recordHeartbeats(f, start.Add(timeout), members[1])
	require.Len(t, f.View(start.Add(timeout), 0).Reachable, 1)
}

func TestOneWayHeartbeatsDoNotMakeReachable(t *testing.T) {
	f, members := newFleet(1, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1]}, false)
	require.Empty(t, f.View(start, 0).Reachable)
}

func TestUnlistedMemberIsNotPresent(t *testing.T) {
	f, members := newFleet(2, "a")
	f.SetListed(members[:2])
	require.Equal(t, []Member{members[1]}, f.View(start, 0).Unreachable)
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	f, members := newFleet(1, "a")
	newer := members[1]
	newer.Incarnation++
	recordHeartbeats(f, start, newer)
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 7}, true)
	v := f.View(start, 0)
	require.Equal(t, newer, v.Reachable[0].Member)
	require.Zero(t, v.Term)
}

func TestMinorityClaimsShareOfUpstreams(t *testing.T) {
	f, members := newFleet(6, "a", "b", "c")
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
	recordHeartbeats(f, start, members[1:5]...)
	v = f.View(start, 0)
	require.False(t, v.Minority)
	require.True(t, v.ShouldClaim(members[0], "any", "c"))
}

// If each member of a data centre forms a minority alone, exactly one of them
// claims each upstream.
func TestMinorityShareIsExclusive(t *testing.T) {
	members := []Member{member(0, "a"), member(1, "a"), member(2, "a"), member(3, "b"), member(4, "b"), member(5, "b")}
	for i := range 200 {
		claimants := 0
		for _, self := range members[:3] {
			f := New(self)
			f.SetListed(members)
			v := f.View(start, 0)
			if v.ShouldClaim(self, fmt.Sprintf("u%d", i), "a") {
				claimants++
			}
		}
		require.Equal(t, 1, claimants)
	}
}

func TestDispatcherIsHighestRankedDispatchingMember(t *testing.T) {
	f, members := newFleet(3, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[2], Term: 5}, true)
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 4}, true)
	v := f.View(start, 0)
	require.Equal(t, "vm1", v.Dispatcher.VM)
	require.EqualValues(t, 4, v.Term)
	require.Equal(t, "vm0", f.View(start, 9).Dispatcher.VM)
}

func TestHeartbeatsGoToCandidates(t *testing.T) {
	f, members := newFleet(40, "a", "b", "c", "d")
	recordHeartbeats(f, start, members[1:]...)
	targets := f.HeartbeatTargets(start)
	require.Contains(t, targets, members[1])
	require.Contains(t, targets, members[2])
	require.Contains(t, targets, members[3])
	require.Contains(t, targets, members[4], "the highest-ranked member of the own data centre")
	require.LessOrEqual(t, len(targets), candidateCount+localCandidateCount)
	// If those are unresponsive, the next in rank are tried at once.
	later := start.Add(HeartbeatTimeout(41))
	recordHeartbeats(f, later, members[10:]...)
	targets = f.HeartbeatTargets(later)
	require.Contains(t, targets, members[10])
	require.Contains(t, targets, members[12])
	for range slowRounds {
		targets = append(targets, f.HeartbeatTargets(later)...)
	}
	require.Contains(t, targets, members[1], "an unresponsive member is tried every slowRounds rounds")
}

// A member must not dispatch before the members that rank above it have been
// tried.
func TestHigherRankPendingUntilTried(t *testing.T) {
	f := New(member(5, "a"))
	older := member(1, "a")
	f.SetListed([]Member{older, member(5, "a")})
	require.True(t, f.View(start, 0).HigherRankPending)
	f.HeartbeatTargets(start)
	require.True(t, f.View(start, 0).HigherRankPending)
	require.False(t, f.View(start.Add(HeartbeatTimeout(2)), 0).HigherRankPending)
}

func TestHeartbeatIntervalGrowsWithFleet(t *testing.T) {
	require.Equal(t, MinHeartbeatInterval, HeartbeatInterval(7))
	require.Equal(t, 200*time.Millisecond, HeartbeatInterval(40))
	require.Equal(t, MaxHeartbeatInterval, HeartbeatInterval(1000))
}

func TestNextTokenIsGreaterThanKnown(t *testing.T) {
	f, members := newFleet(1, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Token: 50}, true)
	require.EqualValues(t, 51, f.NextToken(10))
	require.EqualValues(t, 70, f.NextToken(70))
}

func TestDigestDiffersForDifferentMembers(t *testing.T) {
	f, members := newFleet(2, "a")
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

// A dispatcher that received heartbeats all the time is unresponsive as soon as
// it is unreachable, so that its successor does not wait any longer.
func TestSilentDispatcherIsUnresponsiveAtOnce(t *testing.T) {
	f := New(member(5, "a"))
	older := member(1, "a")
	f.SetListed([]Member{older, member(5, "a")})
	now := start
	for range 10 {
		f.HeartbeatTargets(now)
		recordHeartbeats(f, now.Add(time.Millisecond), older)
		now = now.Add(HeartbeatInterval(2))
	}
	for range timeoutIntervals {
		f.HeartbeatTargets(now)
		now = now.Add(HeartbeatInterval(2))
	}
	v := f.View(now, 0)
	require.Equal(t, "vm5", v.TopRanked.VM)
	require.False(t, v.HigherRankPending)
}

// A heartbeat that a split has delayed shows an old clock.
func TestDelayedHeartbeatSetsClockBack(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := New(Member{VM: "vm0", Incarnation: 1})
	require.Zero(t, f.ClockBound("vm1", now))
	m := Member{VM: "vm1", Incarnation: 1}
	f.RecordHeartbeat(now, Heartbeat{Member: m, Clock: time.Hour}, true)
	require.Equal(t, time.Hour, f.ClockBound("vm1", now))
	now = now.Add(10 * time.Second)
	f.RecordHeartbeat(now, Heartbeat{Member: m, Clock: time.Hour + time.Second}, true)
	require.InDelta(t, time.Hour+10*time.Second, f.ClockBound("vm1", now), float64(20*time.Millisecond))
	require.LessOrEqual(t, f.ClockBound("vm1", now), time.Hour+10*time.Second, "a lower bound")
	f.RecordHeartbeat(now, Heartbeat{Member: m, Clock: time.Hour + 10*time.Second}, true)
	require.Equal(t, time.Hour+10*time.Second, f.ClockBound("vm1", now))
	f.RecordHeartbeat(now, Heartbeat{Member: Member{VM: "vm1", Incarnation: 2}}, true)
	require.Zero(t, f.ClockBound("vm1", now), "another process, maybe of another VM")
}
