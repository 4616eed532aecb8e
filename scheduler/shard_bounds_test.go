package scheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestShardBounds checks that the published bounds never hide free capacity or a
// lower cost, and that they are exact after each change.
func TestShardBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := &upstreamShard{bounds: &shardBounds{}, byName: map[string]*upstream{}}
	for _, name := range []string{"a", "b", "c", "d"} {
		u := &upstream{Upstream: Upstream{Name: name, Size: Size{MilliCPU: 4000}}, listed: true, claimed: name != "d"}
		u.model.slowness = rng.Float64()
		s.add(u)
	}
	s.recomputeBounds()
	for range 1000 {
		u := s.all[rng.IntN(3)]
		before := u.freeSize().MilliCPU
		if rng.IntN(2) == 0 {
			u.used.MilliCPU = min(u.used.MilliCPU+500, 4000)
			s.noteReserved(before)
		} else {
			u.used.MilliCPU = max(u.used.MilliCPU-500, 0)
			s.noteReleased(u)
		}
		most, least := 0, noScore
		for _, u := range s.all[:3] {
			most, least = max(most, u.freeSize().MilliCPU), min(least, u.cost())
		}
		require.EqualValues(t, most, s.bounds.maxFreeCPU.Load())
		require.Equal(t, least == noScore, s.bounds.excludes(0, least*2))
		require.False(t, s.bounds.excludes(most, least*1.01))
		require.True(t, s.bounds.excludes(most+1, noScore))
		require.True(t, s.bounds.excludes(0, least))
	}
}
