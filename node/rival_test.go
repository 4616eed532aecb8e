package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// In a long split the store no longer lists the lost VMs. What they may still renew is waited for as
// before, and two dispatchers take upstreams from each other as rarely.
func TestRivalIsForgottenWhenItsEntryLapses(t *testing.T) {
	n := New(Config{VM: "vm0", Incarnation: 1, DataCentre: "a", PeerAddress: "127.0.0.1:1", Weight: 400, LeaseMax: testLease, LapsedRetention: 10 * time.Second},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(), Decoder: testDecoder{}, Upstreams: silentUpstreams{}})
	t.Cleanup(n.Stop)
	now := time.Now()
	n.replaceUpstreams([]store.Item{{Key: "u1", Value: []byte(`{"Name":"u1","Service":"rota"}`), Revision: 1}}, 1, "test")
	n.startTerm(now, n.view.Load(), "test")
	other := fleet.Member{VM: "vm1", Incarnation: 1, DataCentre: "a", Address: "127.0.0.1:2"}
	n.fleet.SetListed([]fleet.Member{n.fleet.Self(), other})
	n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: other}, true)
	n.updateTerm(now)
	now = now.Add(time.Second)
	n.updateTerm(now)
	require.True(t, n.scheduler.HasUnreachablePeers())
	n.fleet.SetListed([]fleet.Member{n.fleet.Self()})
	claim := func() { // the other dispatcher claims the upstream
		poll := scheduler.Poll{Upstream: scheduler.Upstream{Name: "u1"}, Token: n.term.current()}
		n.apply(n.scheduler.HandlePollResult(now, poll, scheduler.PollFenced, scheduler.PollReport{}))
	}
	terms := map[int64]bool{}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		n.updateTerm(now)
		if token := n.term.current(); !terms[token] {
			terms[token] = true
			claim()
		}
	}
	require.Equal(t, scheduler.PeerLost, n.scheduler.PeerLoss())
	require.True(t, n.scheduler.HasUnreachablePeers())
	require.LessOrEqual(t, len(terms), 4, "terms in 10 s")
}
