package node

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/stretchr/testify/require"
)

// TestOnlyLikelyDispatchersPullUpstreams replays a change of the configuration in a data
// centre: every member learns of it at the same time. A member that is unlikely to
// dispatch soon must fetch the configuration only.
func TestOnlyLikelyDispatchersPullUpstreams(t *testing.T) {
	for _, c := range []struct {
		weight int
		pulls  bool
	}{{144, false}, {800, true}} {
		n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", Weight: c.weight, LeaseMax: testLease},
			Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
		now := time.Now()
		for i := range 3 {
			m := fleet.Member{VM: fmt.Sprintf("vm%d", i+1), Incarnation: 1, DataCentre: "a", Weight: 480}
			n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: m}, true)
		}
		n.updateTerm(now)
		require.Equal(t, c.pulls, n.shouldPullUpstreams(now))
		n.registry.recordUpdate(now)
		require.False(t, n.shouldPullUpstreams(now), "the store has answered")
	}
}
