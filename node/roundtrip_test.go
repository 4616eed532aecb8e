package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTimeoutFollowsRoundTrips(t *testing.T) {
	var r rttEstimator
	require.Equal(t, maxTimeout, r.timeout())
	for range 50 {
		r.observe(2 * time.Millisecond)
	}
	require.Equal(t, minTimeout, r.timeout())
	for range 50 {
		r.observe(40 * time.Millisecond)
		r.observe(10 * time.Millisecond)
	}
	require.Greater(t, r.timeout(), 60*time.Millisecond)
	for range 1000 {
		r.observeTimeout()
	}
	require.Equal(t, maxTimeout, r.timeout())
}
