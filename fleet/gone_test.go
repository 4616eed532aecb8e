package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Operators have removed a VM that was cut off. It comes back, keeps its lease and is heard. In the
// next split it is lost again, and its old removal proves nothing.
func TestMemberThatWasRemovedOnceIsTakenForGone(t *testing.T) {
	f, members := newFleet(2, "a")
	recordHeartbeats(f, start, members[1:]...)
	f.SetRoster(members)
	f.SetRoster(members[:2])
	now := start.Add(time.Minute)
	recordHeartbeats(f, now, members[1:]...)
	now = now.Add(HeartbeatTimeout(3))
	recordHeartbeats(f, now, members[1])
	require.Equal(t, SilenceLong, f.View(now, 0).Silence)
	f.SetRoster(members[:2])
	require.Equal(t, SilenceLong, f.View(now, 0).Silence, "the entry is missing since before vm2 was last heard")
}

// A member that has just started knows a draining dispatcher only from another one. It does not know
// its term.
func TestDrainingDispatcherOfWhichOnlyOthersTellIsTakenForGone(t *testing.T) {
	f, members := newFleet(1, "a")
	recordHeartbeats(f, start, members[1])
	draining := member(2, "a")
	draining.Draining = true
	f.AddMembers([]Member{draining})
	require.Equal(t, SilenceLong, f.View(start, 0).Silence)
}

// A member tells others of the members that it knows to be gone. A process that starts later learns
// of them without the proof, and none follows: the roster does not name them any longer.
func TestMemberRemovedBeforeStartIsLostForever(t *testing.T) {
	first, members := newFleet(2, "a")
	recordHeartbeats(first, start, members[1:]...)
	first.SetRoster(members)
	first.SetRoster(members[:2]) // vm2 was killed, and operators have removed it
	now := start.Add(time.Hour)
	recordHeartbeats(first, now, members[1])
	require.Equal(t, SilenceNone, first.View(now, 0).Silence)

	started := New(member(3, "a"))
	started.SetListed([]Member{members[0], members[1], member(3, "a")})
	started.SetRoster([]Member{members[0], members[1], member(3, "a")})
	started.AddMembers(first.Peers())
	started.SetRoster([]Member{members[0], members[1], member(3, "a")})
	recordHeartbeats(started, now, members[0], members[1])
	require.Equal(t, SilenceNone, started.View(now, 0).Silence)
}

// A member that is not heard does not learn that the fleet is divided. It goes on to dispatch for
// all data centres.
func TestDivisionEndsLossOfMemberThatDoesNotKnowOfIt(t *testing.T) {
	f, members := newFleet(2, "a", "b") // vm1 is in b
	recordHeartbeats(f, start, members[1:]...)
	now := start.Add(time.Minute)
	recordHeartbeats(f, now, members[2])
	require.Equal(t, SilenceLong, f.View(now, 0).Silence, "vm1 is lost")
	f.RecordDivision()
	require.Equal(t, SilenceLong, f.View(now, 0).Silence, "vm1 may use the upstreams of all data centres")
}

// The clock of a VM has been set back, so that its present process has the lower incarnation. The
// former one has announced its stop.
func TestProcessWithLowerIncarnationIsTakenForGone(t *testing.T) {
	f, members := newFleet(2, "a")
	former := members[2]
	former.Draining = true
	recordHeartbeats(f, start, members[1], former)
	f.SetListed(members[:2])
	require.Equal(t, SilenceNone, f.View(start, 0).Silence)

	present := members[2]
	present.Incarnation--
	now := start.Add(time.Minute)
	recordHeartbeats(f, now, members[1], present)
	f.RecordHeartbeat(now, Heartbeat{Member: present, Term: 7}, false)
	require.Equal(t, SilenceLong, f.View(now, 0).Silence, "a process of vm2 dispatches")
}

// What the dispatchers of the last 10 s have listed confirms a list. A lost dispatcher goes on.
func TestListIsConfirmedOnceLostDispatcherIsUnheardForLong(t *testing.T) {
	f, members := newFleet(2, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 5, UpstreamsDigest: 7}, true)
	now := start.Add(time.Minute)
	recordHeartbeats(f, now, members[2])
	require.Equal(t, SilenceLong, f.View(now, 0).Silence)
	require.False(t, f.DispatchersListed(now.Add(-10*time.Second), 8), "vm1 may dispatch, and lists other upstreams")
}

// Processes that have terminated without a graceful stop stay on the roster. They rank above those
// that were started later.
func TestFormerMembersTakeHeartbeats(t *testing.T) {
	f := New(member(900, "a"))
	var former []Member
	for i := range 200 {
		former = append(former, member(i, "a"))
	}
	f.SetRoster(former)
	now, most := start, 0
	for range 10 * slowRounds {
		recordHeartbeats(f, now, member(901, "a"))
		most = max(most, len(f.HeartbeatTargets(now)))
		now = now.Add(MinHeartbeatInterval)
		if now.Sub(start) < HeartbeatTimeout(2) {
			most = 0 // all are tried at first
		}
	}
	require.LessOrEqual(t, most, 20)
}
