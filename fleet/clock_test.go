package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A member's clock is slewed, or runs at another rate, while its heartbeats arrive in time.
func TestMemberWithSlewedClockCountsAsSilent(t *testing.T) {
	for name, clock := range map[string]func(at time.Duration) time.Duration{
		"slewed": func(at time.Duration) time.Duration { return at - min(at, 10*time.Second)/20 },
		"slow":   func(at time.Duration) time.Duration { return at * 998 / 1000 },
	} {
		t.Run(name, func(t *testing.T) {
			f, members := newFleet(1, "a")
			for at := time.Duration(0); at < 10*time.Minute; at += MinHeartbeatInterval {
				now := start.Add(at)
				f.RecordHeartbeat(now, Heartbeat{Member: members[1], Clock: time.Hour + clock(at)}, true)
				require.True(t, f.Reachable(now, members[1].VM), "after %v", at)
				require.Equal(t, SilenceNone, f.View(now, 0).Silence, "after %v", at)
			}
		})
	}
}

// A draining dispatcher has removed its entry, and dispatches until it hears another one.
func TestDrainingDispatcherThatIsCutOffCountsAsGone(t *testing.T) {
	f, members := newFleet(1, "a")
	f.SetListed(nil)
	leaving := members[1]
	leaving.Draining = true
	f.RecordHeartbeat(start, Heartbeat{Member: leaving, Term: 5}, true)
	require.Equal(t, SilenceLong, f.View(start.Add(f.Timeout()), 7).Silence)
}

// The VM of a dispatcher gets a new process.
func TestRestartHidesListOfFormerDispatcher(t *testing.T) {
	f, members := newFleet(1, "a")
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 2, UpstreamsDigest: 7}, true)
	again := members[1]
	again.Incarnation++
	f.RecordHeartbeat(start.Add(50*time.Millisecond), Heartbeat{Member: again}, true)
	require.False(t, f.DispatchersListed(start.Add(-10*time.Second), 8))
}

// With a dispatcher in each data centre, the others list other upstreams.
func TestDispatcherOfOtherScopeKeepsListInDoubt(t *testing.T) {
	f, members := newFleet(1, "a")
	f.RecordDivision()
	f.RecordHeartbeat(start, Heartbeat{Member: members[1], Term: 5, UpstreamsDigest: 7}, true)
	f.RecordHeartbeat(start, Heartbeat{Member: member(2, "b"), Term: 6, UpstreamsDigest: 8}, true)
	require.True(t, f.DispatchersListed(start.Add(-time.Second), 7))
}
