package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReclaimWait checks that two dispatchers that cannot reach each other take
// upstreams from each other less and less often, and that the delay stays short
// without a rival.
func TestReclaimWait(t *testing.T) {
	for reclaims := range maxReclaims + 1 {
		require.Equal(t, reclaimDelayKnownToken, reclaimWait(true, false, reclaims))
		require.Equal(t, reclaimDelayNoRival, reclaimWait(false, false, reclaims))
		require.Equal(t, reclaimDelay, reclaimWait(false, true, reclaims))
	}
	var total time.Duration
	for reclaims := range maxReclaims {
		wait := reclaimWait(true, true, reclaims)
		require.Equal(t, reclaimDelayKnownToken<<reclaims, wait)
		total += wait
	}
	require.Greater(t, total, 6*time.Second, "at most six reclaims in six seconds")
	require.Equal(t, reclaimDelay, reclaimWait(true, true, maxReclaims))
}

// A process that does not know the tokens of the one before, and starts a term in the same
// second, must not use the same token: late orders of the former process would be executed.
func TestRestartedProcessUsesTokenOfTheOneBefore(t *testing.T) {
	token := func(incarnation uint64) int64 {
		n := New(Config{VM: "vm0", Incarnation: incarnation, DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease},
			Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
		n.updateTerm(time.Now())
		n.startTerm(time.Now(), n.view.Load(), "test")
		return n.term.current()
	}
	for {
		former, next := token(1), token(2)
		if former>>tokenHashBits == next>>tokenHashBits { // not on two sides of a second's end
			require.NotEqual(t, former, next)
			return
		}
	}
}
