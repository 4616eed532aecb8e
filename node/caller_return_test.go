package node

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/stretchr/testify/require"
)

func newNodeWithReturn(callerReturn time.Duration, log *bytes.Buffer) *Node {
	return New(Config{VM: "vm0", Incarnation: 1, DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease, CallerReturn: callerReturn},
		Dependencies{Log: slog.New(slog.NewTextHandler(log, nil)), Metrics: NewMetrics()})
}

// The time that the rule of splits needs grows with the number of VMs.
func TestMinCallerReturn(t *testing.T) {
	const documented = 1300 * time.Millisecond
	for members, want := range map[int]time.Duration{
		1: 1055 * time.Millisecond, 20: 1055 * time.Millisecond, 32: 1295 * time.Millisecond, 40: 1455 * time.Millisecond, 300: 2255 * time.Millisecond,
	} {
		needed := minCallerReturn(fleet.HeartbeatTimeout(members))
		require.InDelta(t, want, needed, float64(time.Millisecond), "%d VMs", members)
		require.Equal(t, members <= 32, needed <= documented, "%d VMs", members)
	}
}

// A fleet grows beyond the size for which callers return late enough.
func TestFleetOutgrowsReturnOfCallersInSilence(t *testing.T) {
	const tooLong = "callers may send jobs again before their runs are over"
	var log, metrics bytes.Buffer
	n := newNodeWithReturn(1300*time.Millisecond, &log)
	now := time.Now()
	n.updateTerm(now)
	require.NotContains(t, log.String(), tooLong)
	for i := 1; i < 40; i++ {
		n.fleet.AddMembers([]fleet.Member{{VM: fmt.Sprintf("vm%d", i), Incarnation: 1, DataCentre: "a"}})
		n.updateTerm(now)
	}
	require.Equal(t, 1, strings.Count(log.String(), tooLong), "one line")
	require.Contains(t, log.String(), "caller_return_ms=1300 needed_ms=")
	n.metrics.Write(&metrics)
	require.Contains(t, metrics.String(), "mustardstep_caller_return_seconds 1.3\n")
	require.Regexp(t, `mustardstep_caller_return_needed_seconds 1\.45`, metrics.String())
}

// A node whose callers are taken never to return says so when it starts.
func TestRuleOfSplitsIsOffInSilence(t *testing.T) {
	for callerReturn, warns := range map[time.Duration]bool{0: true, 1300 * time.Millisecond: false} {
		var log bytes.Buffer
		newNodeWithReturn(callerReturn, &log).reportCallerReturn()
		require.Equal(t, warns, strings.Contains(log.String(), "level=WARN"))
	}
}
