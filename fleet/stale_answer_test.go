package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Messages pass from the second member to the first one only. A heartbeat says that the second
// one hears the first, just before it no longer counts it as reachable and dispatches.
func TestStaleAnswerHidesLossOfMember(t *testing.T) {
	first, members := newFleet(1, "a")
	second := New(members[1])
	second.SetListed(members)
	recordHeartbeats(first, start, members[1])
	recordHeartbeats(second, start, members[0])
	now := start.Add(second.Timeout())
	last := now.Add(-10 * time.Millisecond)
	first.RecordHeartbeat(last, Heartbeat{Member: members[1], ContactAge: second.ContactAge(last, "vm0")}, second.Reachable(last, "vm0"))
	require.False(t, second.Reachable(now, "vm0"))
	require.NotEqual(t, SilenceNone, first.View(now, 0).Silence)
}
