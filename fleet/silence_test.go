package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSilence(t *testing.T) {
	timeout := HeartbeatTimeout(3)
	lapsed := func(f *Fleet, members []Member) { f.SetListed(members[:2]) }
	for name, c := range map[string]struct {
		change func(*Fleet, []Member)
		age    time.Duration // of the last heartbeat of vm2
		want   Silence
	}{
		"heard recently":                 {nil, timeout / 2, SilenceNone},
		"heartbeat misses":               {nil, timeout * 3 / 4, SilenceShort},
		"timeout":                        {nil, timeout, SilenceLong},
		"no longer listed":               {lapsed, timeout, SilenceLong},
		"not listed and silent for long": {lapsed, time.Hour, SilenceLong},
		"stopped gracefully": {func(f *Fleet, members []Member) {
			members[2].Draining = true
			recordHeartbeats(f, start, members[2])
			f.SetListed(members[:2])
		}, timeout, SilenceNone},
		"replaced and heard": {func(f *Fleet, members []Member) {
			members[2].Incarnation++
			recordHeartbeats(f, start.Add(timeout), members[2])
		}, timeout, SilenceNone},
		"another process at its address": {func(f *Fleet, members []Member) {
			other := member(3, "a")
			other.Address = members[2].Address
			f.AddMembers([]Member{other})
			recordHeartbeats(f, start.Add(timeout), other)
		}, timeout, SilenceNone},
		"an older process at its address": {func(f *Fleet, members []Member) {
			other := member(3, "a")
			other.Address, other.Incarnation = members[2].Address, 1
			f.AddMembers([]Member{other})
			recordHeartbeats(f, start.Add(timeout), other)
		}, timeout, SilenceLong},
		"does not hear this member": {func(f *Fleet, members []Member) {
			f.RecordHeartbeat(start, Heartbeat{Member: members[2]}, false)
		}, 0, SilenceLong},
		"never heard": {func(f *Fleet, members []Member) {
			f.SetListed(append(members, member(3, "a")))
		}, 0, SilenceLong},
		"never heard and no longer listed": {func(f *Fleet, members []Member) {
			f.SetListed(append(members, member(3, "a")))
			f.SetListed(members)
			recordHeartbeats(f, start, members[2])
		}, 0, SilenceLong},
	} {
		t.Run(name, func(t *testing.T) {
			f, members := newFleet(2, "a")
			recordHeartbeats(f, start, members[1:]...)
			if c.change != nil {
				c.change(f, members)
			}
			now := start.Add(c.age)
			recordHeartbeats(f, now, members[1])
			require.Equal(t, c.want, f.View(now, 0).Silence)
		})
	}
}

// A member that hears another one in one direction only counts it as silent before that one
// counts it as unreachable and dispatches.
func TestMemberIsSilentBeforeItDispatches(t *testing.T) {
	for _, others := range []int{1, 19, 40, 79, 199} {
		t.Run(fmt.Sprint(others), func(t *testing.T) { testMemberIsSilent(t, others) })
	}
}

func testMemberIsSilent(t *testing.T, others int) {
	first, members := newFleet(others, "a")
	interval := HeartbeatInterval(others + 1)
	second := New(members[1])
	second.SetListed(members)
	recordHeartbeats(first, start, members[1])
	recordHeartbeats(second, start, members[0])
	for now := start; ; now = now.Add(10 * time.Millisecond) {
		// The first member receives heartbeats and no responses; it is not received.
		if answered := second.Reachable(now, "vm0"); now.Sub(start)%interval == 0 {
			first.RecordHeartbeat(now, Heartbeat{Member: members[1]}, answered)
		}
		if !second.Reachable(now.Add(-interval), "vm0") {
			require.Equal(t, SilenceLong, first.View(now, 0).Silence)
			return
		}
	}
}

func TestDispatchersListed(t *testing.T) {
	f, members := newFleet(2, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 5, UpstreamsDigest: 7}, true)
	f.RecordHeartbeat(start, Heartbeat{Member: members[2], UpstreamsDigest: 8}, true)
	before := start.Add(-time.Second)
	require.True(t, f.DispatchersListed(before, 7))
	require.False(t, f.DispatchersListed(before, 8), "a dispatcher has listed other upstreams")
	require.False(t, f.DispatchersListed(before, 0), "no upstream is listed here")
	f.RecordHeartbeat(start.Add(1), Heartbeat{Member: members[1], UpstreamsDigest: 8}, true)
	require.False(t, f.DispatchersListed(before, 8), "what counts is the list of its term")
	require.True(t, f.DispatchersListed(start.Add(time.Second), 8), "its term is long over")
}

func TestDispatchersRevision(t *testing.T) {
	f, members := newFleet(2, "a")
	before := start.Add(-time.Second)
	require.Zero(t, f.DispatchersRevision(before), "none has dispatched")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 5, UpstreamsRevision: 7}, true)
	f.RecordHeartbeat(start, Heartbeat{Member: members[2], UpstreamsRevision: 3}, true)
	require.EqualValues(t, 7, f.DispatchersRevision(before))
	f.RecordHeartbeat(start, Heartbeat{Member: members[2], Term: 6, UpstreamsRevision: 4}, true)
	f.RecordHeartbeat(start.Add(1), Heartbeat{Member: members[1], UpstreamsRevision: 9}, true)
	require.EqualValues(t, 4, f.DispatchersRevision(before), "the lowest in a term")
	require.Zero(t, f.DispatchersRevision(start.Add(time.Second)), "the terms are long over")
}

// A dispatcher is replaced by its next process, which dispatches before it lists an upstream of the
// former one.
func TestListOfDispatcherIsForgottenWhenItsNextProcessDispatches(t *testing.T) {
	f, members := newFleet(2, "a")
	before := start.Add(-time.Second)
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 5, UpstreamsDigest: 7, UpstreamsRevision: 3}, true)
	next := members[1]
	next.Incarnation++
	f.RecordHeartbeat(start.Add(time.Second), Heartbeat{Member: next, Term: 6, UpstreamsDigest: 8, UpstreamsRevision: 4}, true)
	require.False(t, f.DispatchersListed(before, 8), "the former process has listed another upstream")
	require.EqualValues(t, 3, f.DispatchersRevision(before))
	require.True(t, f.DispatchersListed(start.Add(time.Millisecond), 8), "the term of the former process is long over")
	require.EqualValues(t, 4, f.DispatchersRevision(start.Add(time.Millisecond)))
}
