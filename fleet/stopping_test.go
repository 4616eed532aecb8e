package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A VM has registered after this one has read the roster. It announces its stop and gives up its entry in
// the list of members, but dispatches its pending requests if it is cut off. An older reading of the
// roster does not show that it has left it.
func TestDrainingMemberThatRegisteredAfterReadingOfRosterIsTakenForGone(t *testing.T) {
	f, members := newFleet(1, "a")
	recordHeartbeats(f, start, members[1])
	f.SetRoster(members)
	joined := member(2, "a")
	recordHeartbeats(f, start, members[1], joined)
	f.SetListed(append(members, joined))

	joined.Draining = true
	recordHeartbeats(f, start, members[1], joined)
	f.SetListed(members)
	now := start.Add(HeartbeatTimeout(3))
	recordHeartbeats(f, now, members[1])
	require.Equal(t, SilenceLong, f.View(now, 0).Silence, "vm2 may dispatch")

	f.SetRoster(append(members, joined))
	require.Equal(t, SilenceLong, f.View(now, 0).Silence, "vm2 is still on the roster")
	f.SetRoster(members)
	require.Equal(t, SilenceNone, f.View(now, 0).Silence, "vm2 has stopped")
}
