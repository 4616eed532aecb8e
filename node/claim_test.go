package node

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// claimByOther lets the only upstream refuse the token of a node.
func claimByOther(t *testing.T, n *Node) {
	poll, ok := n.scheduler.ImmediatePoll(time.Now(), "u1")
	require.True(t, ok)
	n.apply(n.scheduler.HandlePollResult(time.Now(), poll, scheduler.PollFenced, scheduler.PollReport{}))
}

// A VM that has joined, and of which no heard VM knows, claims an upstream.
func TestClaimOfUnknownDispatcherGoesUnnoticed(t *testing.T) {
	n := newDispatcher(t)
	now := time.Now()
	n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: fleet.Member{VM: "vm1", Incarnation: 1}}, true)
	n.updateTerm(now)
	require.Equal(t, scheduler.PeersHeard, n.scheduler.PeerLoss())
	claimByOther(t, n)
	n.updateTerm(now)
	require.Equal(t, scheduler.PeerSilent, n.scheduler.PeerLoss())
	later := now.Add(rivalTimeout + time.Millisecond)
	n.fleet.RecordHeartbeat(later, fleet.Heartbeat{Member: fleet.Member{VM: "vm1", Incarnation: 1}, Token: n.term.current() + 1}, true)
	n.updateTerm(later)
	require.Equal(t, scheduler.PeersHeard, n.scheduler.PeerLoss(), "a VM that is heard knows the token")
}

// The VM of a dispatcher that claims an upstream is heard.
func TestClaimOfKnownDispatcherCountsAsSilence(t *testing.T) {
	n := newDispatcher(t)
	now := time.Now()
	n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: fleet.Member{VM: "vm1", Incarnation: 1}, Token: n.term.current() + 1}, true)
	claimByOther(t, n)
	n.updateTerm(now)
	require.Equal(t, scheduler.PeersHeard, n.scheduler.PeerLoss())
}
