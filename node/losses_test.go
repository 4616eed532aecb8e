package node

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// The end of a split names neither the VM that no longer counts nor the reason.
func TestSplitEndsWithoutReason(t *testing.T) {
	var log, metrics bytes.Buffer
	n := New(Config{VM: "vm0", Incarnation: 1, DataCentre: "a", PeerAddress: "127.0.0.1:1", Weight: 800, LeaseMax: testLease, CallerReturn: 1300 * time.Millisecond},
		Dependencies{Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: NewMetrics(), Decoder: testDecoder{}, Upstreams: silentUpstreams{}})
	splits := logging.NewSplitLog(n.log)
	now := time.Now()
	other := fleet.Heartbeat{Member: fleet.Member{VM: "vm1", Incarnation: 2, DataCentre: "a", Weight: 400}}
	n.fleet.RecordHeartbeat(now, other, true)
	n.updateTerm(now)
	n.replaceUpstreams([]store.Item{{Key: "u1", Value: []byte(`{"Name":"u1","Service":"rota","Size":{"MilliCPU":16000,"MemoryMB":1000}}`), Revision: 1}}, 1, "test")
	n.startTerm(now, n.view.Load(), "test")
	step := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			n.updateTerm(now)
			n.scheduler.Tick(now)
			n.logSplit(now, splits)
		}
	}
	step(time.Second)
	require.Contains(t, log.String(), `msg="member lost" vm=vm0 member=vm1 why="not heard" unheard_ms=`)
	require.Contains(t, log.String(), `msg="split: other VMs may dispatch" vm=vm0 lost=1 fenced=0 silent=0 failing=0 unclaimed=1`)
	require.Contains(t, log.String(), "members=vm1")
	n.metrics.Write(&metrics)
	require.Contains(t, metrics.String(), "mustardstep_members_lost 1")
	require.Contains(t, metrics.String(), "mustardstep_split_level 2")

	other.Member.Incarnation++
	n.fleet.RecordHeartbeat(now, other, true)
	step(40 * time.Millisecond)
	require.Contains(t, log.String(), `msg="member no longer counts as lost" vm=vm0 member=vm1 why="later process"`)
	require.Contains(t, log.String(), `msg="the split is over" vm=vm0 why="no VM is lost" members="later process"`)
	metrics.Reset()
	n.metrics.Write(&metrics)
	require.Contains(t, metrics.String(), "mustardstep_members_lost 0")
	require.Contains(t, metrics.String(), `mustardstep_splits_ended_total{reason="no VM is lost"} 1`)
}
