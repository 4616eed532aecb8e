package node

import (
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
