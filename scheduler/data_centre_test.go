package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNearUpstreamsMakeAnswersLate guards against starts in other data centres without need,
// and against answers that are late because of the preference. Load: all kinds at half, at
// once and at 1.4 times the rate of the deployment for 10 s, from three data centres with
// 18 upstreams each under one dispatcher.
func TestNearUpstreamsMakeAnswersLate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ load, moreLocal float64 }{{0.5, 0.2}, {1, 0.1}, {1.4, 0}} {
		local, inTime := [2]float64{}, [2]float64{}
		for preferred := range 2 {
			for seed := range uint64(3) {
				r := newUnevenReplay(t, 54, c.load, seed)
				r.near = preferred == 1
				r.run(10*time.Second, func(time.Duration) {})
				local[preferred] += float64(r.local) / float64(r.ran) / 3
				inTime[preferred] += r.share() / 3
			}
		}
		t.Logf("load %.1f: in the data centre %.3f, with the preference %.3f; in time %.3f and %.3f", c.load, local[0], local[1], inTime[0], inTime[1])
		require.GreaterOrEqual(t, local[1], local[0]+c.moreLocal)
		require.GreaterOrEqual(t, inTime[1], inTime[0]-0.01, "the plays differ by chance")
	}
}
