package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPatienceFollowsTheRoundTrips(t *testing.T) {
	var r roundTrip
	require.Equal(t, maxPatience, r.patience())
	for range 50 {
		r.observe(2 * time.Millisecond)
	}
	require.Equal(t, minPatience, r.patience())
	for range 50 {
		r.observe(40 * time.Millisecond)
		r.observe(10 * time.Millisecond)
	}
	require.Greater(t, r.patience(), 60*time.Millisecond)
	for range 1000 {
		r.lost()
	}
	require.Equal(t, maxPatience, r.patience())
}
