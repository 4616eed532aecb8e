package node

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// Members send heartbeats to the highest-ranked ones, and to the others in rotation only. In a calm
// fleet, a member of low rank must not take those that it rarely hears for lost: it would log each of
// them again and again, and keep the entries of all upstreams that have ever lapsed.
func TestMemberOfLowRankTakesOthersForLost(t *testing.T) {
	const retention = 10 * time.Second
	var log bytes.Buffer
	n := New(Config{VM: "vm0", DataCentre: "b", PeerAddress: "127.0.0.1:1", Weight: 100, LeaseMax: testLease, LapsedRetention: retention, ConfigurationKey: "config"},
		Dependencies{Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: NewMetrics(), Decoder: testDecoder{}})
	n.replaceUpstreams([]store.Item{{Key: "u1", Value: []byte(`{"Name":"u1","Service":"rota"}`), Revision: 1}}, 1, "test")
	members := []fleet.Member{n.fleet.Self()}
	for i := 1; i <= 8; i++ {
		members = append(members, fleet.Member{VM: fmt.Sprint("vm", i), Incarnation: uint64(i), DataCentre: "a", Address: fmt.Sprint("127.0.0.1:", i+1), Weight: 400})
	}
	n.fleet.SetListed(members)
	now := time.Now()
	step := func(i int) {
		for j, m := range members[1:] {
			if j < 3 || i%50 == j {
				n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: m, Term: map[bool]uint64{true: 7}[j == 0]}, true)
			}
		}
		n.updateTerm(now)
		n.applyUpstreams(now)
		now = now.Add(100 * time.Millisecond)
	}
	for i := range 50 { // all are heard once
		step(i)
	}
	log.Reset()
	n.registry.mu.Lock()
	n.markLapsed(now, "u1")
	n.registry.mu.Unlock()
	for i := range 200 {
		step(i)
	}
	require.Zero(t, strings.Count(log.String(), "member lost"))
	require.Equal(t, scheduler.PeersHeard, n.scheduler.PeerLoss())
	require.Empty(t, n.registry.entries, "the entry has lapsed for longer than the retention")
}
