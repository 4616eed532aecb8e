package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A member is heard once between two splits. It still dispatches, and ends its term only when it
// hears this member in turn.
func TestMemberThatStillDispatchesCountsAsHeard(t *testing.T) {
	f, members := newFleet(1, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 2}, true)
	require.Equal(t, SilenceLong, f.View(start, 1).Silence)
}
