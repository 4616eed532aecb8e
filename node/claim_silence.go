package node

import (
	"time"

	"github.com/mustardstep/mustardstep/fleet"
)

// claimSilence returns the silence of dispatchers that are not known here, such as one that has
// just joined. Only their claims show that they exist.
func (n *Node) claimSilence(now time.Time) fleet.Silence {
	t := &n.term
	if token := t.current(); token != 0 && n.fleet.Token() <= token && n.scheduler.FencedUpstreams() > 0 {
		t.strangerSeenAt = now
	}
	if !t.strangerSeenAt.IsZero() && now.Sub(t.strangerSeenAt) < rivalTimeout {
		return fleet.SilenceShort
	}
	return fleet.SilenceNone
}
