package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRoster(t *testing.T) {
	later := func(m Member) Member { m.Incarnation++; return m }
	for name, c := range map[string]struct {
		change func(f *Fleet, members []Member)
		want   Silence
	}{
		"named only":                {func(f *Fleet, members []Member) { f.SetRoster(members[2:]) }, SilenceLong},
		"named, then removed":       {func(f *Fleet, members []Member) { f.SetRoster(members[2:]); f.SetRoster(nil) }, SilenceNone},
		"known from others":         {func(f *Fleet, members []Member) { f.SetRoster(nil); f.AddMembers(members[2:]) }, SilenceLong},
		"known from others, read":   {func(f *Fleet, members []Member) { f.AddMembers(members[2:]); f.SetRoster(nil) }, SilenceNone},
		"listed, never named":       {func(f *Fleet, members []Member) { f.SetListed(members); f.SetRoster(nil) }, SilenceLong},
		"named without description": {func(f *Fleet, members []Member) { f.SetRoster(members[2:]); f.SetRoster([]Member{{VM: "vm2"}}) }, SilenceLong},
		"later process registered": {func(f *Fleet, members []Member) {
			f.SetRoster(members[2:])
			f.SetRoster([]Member{later(members[2])})
		}, SilenceLong},
		"later process heard": {func(f *Fleet, members []Member) {
			f.SetRoster(members[2:])
			recordHeartbeats(f, start, later(members[2]))
		}, SilenceNone},
		"drains": {func(f *Fleet, members []Member) {
			f.SetRoster(members[2:])
			members[2].Draining = true
			recordHeartbeats(f, start.Add(-HeartbeatTimeout(3)), members[2])
		}, SilenceLong},
		"drains, then removed": {func(f *Fleet, members []Member) {
			f.SetRoster(members[2:])
			members[2].Draining = true
			recordHeartbeats(f, start.Add(-HeartbeatTimeout(3)), members[2])
			f.SetRoster(nil)
		}, SilenceNone},
		"removed and heard again": {func(f *Fleet, members []Member) {
			f.SetRoster(members[2:])
			f.SetRoster(nil)
			recordHeartbeats(f, start.Add(-HeartbeatTimeout(3)), members[2])
		}, SilenceLong},
	} {
		t.Run(name, func(t *testing.T) {
			f, members := newFleet(1, "a")
			members = append(members, member(2, "a"))
			recordHeartbeats(f, start, members[1])
			c.change(f, members)
			require.Equal(t, c.want, f.View(start, 0).Silence)
		})
	}
}

// Heartbeats become rarer with the number of members. Those that have terminated long ago and are
// known from the roster must not count.
func TestRosterSlowsHeartbeats(t *testing.T) {
	f, _ := newFleet(1, "a")
	var former []Member
	for i := range 200 {
		former = append(former, member(10+i, "a"))
	}
	f.SetRoster(former)
	require.Equal(t, 2, f.ScopeSize())
	recordHeartbeats(f, start, former[0])
	require.Equal(t, 3, f.ScopeSize())
}
