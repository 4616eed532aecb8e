package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClaimWait checks that two dispatchers that do not hear each other take upstreams
// from each other ever more seldom, and that nothing is waited for without a rival.
func TestClaimWait(t *testing.T) {
	for tries := range maxTries + 1 {
		require.Equal(t, fencedKnown, claimWait(true, false, tries))
		require.Equal(t, fencedAlone, claimWait(false, false, tries))
		require.Equal(t, fencedRetry, claimWait(false, true, tries))
	}
	var total time.Duration
	for tries := range maxTries {
		wait := claimWait(true, true, tries)
		require.Equal(t, fencedKnown<<tries, wait)
		total += wait
	}
	require.Greater(t, total, 6*time.Second, "at most six takings in six seconds")
	require.Equal(t, fencedRetry, claimWait(true, true, maxTries))
}
