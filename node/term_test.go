package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReclaimWait checks that two dispatchers that do not hear each other take upstreams
// from each other ever more seldom, and that nothing is waited for without a rival.
func TestReclaimWait(t *testing.T) {
	for tries := range maxReclaims + 1 {
		require.Equal(t, reclaimDelayKnownToken, reclaimWait(true, false, tries))
		require.Equal(t, reclaimDelayNoRival, reclaimWait(false, false, tries))
		require.Equal(t, reclaimDelay, reclaimWait(false, true, tries))
	}
	var total time.Duration
	for tries := range maxReclaims {
		wait := reclaimWait(true, true, tries)
		require.Equal(t, reclaimDelayKnownToken<<tries, wait)
		total += wait
	}
	require.Greater(t, total, 6*time.Second, "at most six takings in six seconds")
	require.Equal(t, reclaimDelay, reclaimWait(true, true, maxReclaims))
}
