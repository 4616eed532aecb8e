package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A view names the members that are lost, since when, and why.
func TestViewDoesNotNameLostMembers(t *testing.T) {
	timeout := HeartbeatTimeout(3)
	now := start.Add(timeout)
	lost := func(reason LossReason, listed bool, heardAt time.Time) []LostMember {
		return []LostMember{{VM: "vm2", Incarnation: 102, Listed: listed, HeardAt: heardAt, Reason: reason, Watched: true}}
	}
	for name, c := range map[string]struct {
		change func(*Fleet, Member)
		term   uint64 // of this member
		want   []LostMember
	}{
		"not heard":                  {nil, 0, lost(LossNotHeard, true, start)},
		"not heard, while it begins": {nil, 7, lost(LossNotHeard, true, start)},
		"not listed": {func(f *Fleet, _ Member) {
			f.SetListed([]Member{f.Self(), f.peers["vm1"].heartbeat.Member})
		}, 0, lost(LossNotHeard, false, start)},
		"never heard": {func(f *Fleet, m Member) {
			m.Incarnation++
			f.AddMembers([]Member{m})
		}, 0, []LostMember{{VM: "vm2", Incarnation: 103, Listed: true, Reason: LossNeverHeard, Watched: true}}},
		"does not hear this member": {func(f *Fleet, m Member) {
			f.RecordHeartbeat(now, Heartbeat{Member: m}, false)
		}, 0, lost(LossDeaf, true, start)},
		"heard": {func(f *Fleet, m Member) { recordHeartbeats(f, now, m) }, 0, nil},
		"dispatcher of this member": {func(f *Fleet, m Member) {
			f.RecordHeartbeat(now, Heartbeat{Member: m, Term: 5}, true)
		}, 0, nil},
		"dispatches beside this member": {func(f *Fleet, m Member) {
			f.RecordHeartbeat(now, Heartbeat{Member: m, Term: 5}, true)
		}, 7, lost(LossOwnTerm, true, now)},
	} {
		t.Run(name, func(t *testing.T) {
			f, members := newFleet(2, "a")
			recordHeartbeats(f, start, members[1:]...)
			recordHeartbeats(f, now, members[1])
			if c.change != nil {
				c.change(f, members[2])
			}
			v := f.View(now, c.term)
			require.Equal(t, c.want, v.Lost)
		})
	}
}

// Each way in which a member ceases to be lost is told from the others.
func TestEndOfLossHasNoReason(t *testing.T) {
	now := start.Add(HeartbeatTimeout(3))
	for name, c := range map[string]struct {
		before, after func(*Fleet, []Member)
		term          uint64
		want          LossEnd
	}{
		"heard again": {nil, func(f *Fleet, m []Member) { recordHeartbeats(f, now, m[2]) }, 0, LossEndHeard},
		"later process heard": {nil, func(f *Fleet, m []Member) {
			m[2].Incarnation++
			recordHeartbeats(f, now, m[2])
		}, 0, LossEndReplaced},
		"later process listed": {nil, func(f *Fleet, m []Member) {
			m[2].Incarnation++
			f.SetListed(m)
		}, 0, LossEndReplaced},
		"stopped gracefully": {func(f *Fleet, m []Member) {
			m[2].Draining = true
			recordHeartbeats(f, start, m[2])
		}, func(f *Fleet, m []Member) { f.SetListed(m[:2]) }, 0, LossEndStopped},
		"its term is over": {func(f *Fleet, m []Member) {
			f.RecordHeartbeat(now, Heartbeat{Member: m[2], Term: 5}, true)
		}, func(f *Fleet, m []Member) { recordHeartbeats(f, now, m[2]) }, 7, LossEndTermOver},
		"not watched":               {nil, func(*Fleet, []Member) {}, 0, LossEndNotWatched},
		"no entry, and not watched": {nil, func(f *Fleet, m []Member) { f.SetListed(m[:2]) }, 0, LossEndNotWatched},
	} {
		t.Run(name, func(t *testing.T) {
			f, members := newFleet(2, "a")
			recordHeartbeats(f, start, members[1:]...)
			if c.before != nil {
				c.before(f, members)
			}
			lost := f.View(now, c.term).Lost
			require.NotEmpty(t, lost)
			c.after(f, members)
			require.Equal(t, c.want, f.WhyNotLost(now, lost[len(lost)-1]))
		})
	}
}

// Members exchange heartbeats with the highest-ranked ones only. A member that is not among these
// does not take the others, which it rarely hears, to be lost.
func TestMembersThatSendNoHeartbeatsCountAsLost(t *testing.T) {
	f, members := newFleet(8, "a")
	f.self.Weight = 300 // below the others
	now := start.Add(HeartbeatTimeout(9))
	recordHeartbeats(f, start, members[1:]...)
	recordHeartbeats(f, now, members[1:4]...)
	v := f.View(now, 0)
	require.False(t, v.Candidate)
	require.Len(t, v.Lost, 5)
	require.Empty(t, v.WatchedLost())
	recordHeartbeats(f, now.Add(HeartbeatTimeout(9)), members[2:5]...)
	v = f.View(now.Add(HeartbeatTimeout(9)), 0)
	require.Len(t, v.WatchedLost(), 1, "the highest-ranked one is lost")
	require.Equal(t, "vm1", v.WatchedLost()[0].VM)
}

// The end of its entry and time are no proof that a member has ended.
func TestLossEndsWithoutProof(t *testing.T) {
	f, members := newFleet(2, "a")
	recordHeartbeats(f, start, members[1:]...)
	f.SetListed(members[:2])
	for _, passed := range []time.Duration{time.Second, 20 * time.Second, time.Hour} {
		lost := f.View(start.Add(passed), 0).Lost
		require.NotEmpty(t, lost)
		require.Equal(t, "vm2", lost[len(lost)-1].VM, "after %v", passed)
	}
}
