package node

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
)

// A VM that has registered since this one started claims an upstream, is heard by nobody and has lost
// the store. After 3 s nothing tells of it but the roster.
func TestUnknownDispatcherIsForgottenAfterItsClaim(t *testing.T) {
	c := newCluster(t, 1, 1, time.Millisecond)
	n := c.dispatcher()
	c.wait("the roster was read", func() bool { return n.roster.known() })
	c.putRoster("vm9")
	c.wait("the claim is noticed", func() bool {
		c.upstreams.renew(c.upstreams.byName["u0"], n.term.current()+1) // above that of a term begun meanwhile
		return n.scheduler.PeerLoss() != scheduler.PeersHeard
	})
	c.wait("vm9 is lost", func() bool { return n.scheduler.PeerLoss() == scheduler.PeerLost })
}
