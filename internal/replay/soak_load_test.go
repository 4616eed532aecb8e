package replay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBreaksAreAShareOfAttempts checks how many attempts break and when.
func TestBreaksAreAShareOfAttempts(t *testing.T) {
	const jobs = 1000
	rng := rand.New(rand.NewPCG(1, 3))
	broken := 0
	for range jobs {
		breaks := drawBreaks(rng)
		require.Len(t, breaks, soakLongAttempts)
		for _, after := range breaks {
			if after > 0 {
				broken++
				require.GreaterOrEqual(t, after, 50*time.Millisecond)
				require.LessOrEqual(t, after, 1050*time.Millisecond)
			}
		}
	}
	require.InDelta(t, jobs*soakLongAttempts/soakBreakShare, broken, jobs*soakLongAttempts/20)
}

// TestOnlyBrokenAttemptsHideTheirClose checks which attempts go through the balancer.
func TestOnlyBrokenAttemptsHideTheirClose(t *testing.T) {
	v := &soakVM{callerAddr: "caller", balancerAddr: "balancer"}
	j := soakLoadJob{patience: time.Second, breaks: []time.Duration{0, time.Millisecond}}
	for attempt, want := range []struct {
		address  string
		patience time.Duration
	}{{"caller", time.Second}, {"balancer", time.Millisecond}, {"caller", time.Second}} {
		address, patience := j.connection(attempt, v)
		require.Equal(t, want.address, address)
		require.Equal(t, want.patience, patience)
	}
}
