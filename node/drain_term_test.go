package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/stretchr/testify/require"
)

// A VM that drains has reported that it does not dispatch, and its entry is revoked: the others take
// it for gone. It is cut off from them, still has pending requests, and dispatches them itself.
func TestDrainingVMThatIsTakenForGoneDispatches(t *testing.T) {
	n := New(Config{VM: "vm0", Incarnation: 1, DataCentre: "a", PeerAddress: "127.0.0.1:1", Weight: 400, LeaseMax: testLease},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
	t.Cleanup(n.Stop)
	now := time.Now()
	n.started = now.Add(-time.Minute)
	other := fleet.Member{VM: "vm1", Incarnation: 1, DataCentre: "a", Address: "127.0.0.1:2", Weight: 800}
	n.fleet.SetListed([]fleet.Member{n.fleet.Self(), other})
	n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: other, Term: 7}, true)
	n.updateTerm(now)
	n.BeginDrain()
	dispatcher := fleet.New(other)
	dispatcher.SetListed([]fleet.Member{other})
	dispatcher.RecordHeartbeat(now, fleet.Heartbeat{Member: n.fleet.Self(), Term: n.termFor("vm1")}, true)
	require.Zero(t, n.termFor("vm1"))

	for range 20 { // the drain goes on for longer
		now = now.Add(100 * time.Millisecond)
		n.fleet.HeartbeatTargets(now) // not answered
		n.updateTerm(now)
	}
	gone := dispatcher.View(now, 7).Silence != fleet.SilenceLong
	require.False(t, gone && n.scheduler.Dispatching(), "vm1 takes vm0 for gone, which dispatches")
}
