package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// Load pattern: a job of two tasks of 1 s every 300 ms for 15 s, at six upstreams with room for two
// tasks each. From 4 s to 9 s a third of the upstreams is evacuated, which leaves capacity for 8
// tasks at a load of 6.7. Each task must start once, within its target time of 1.66 s, and none there.
func TestEvacuationUnderLoad(t *testing.T) {
	names := []string{"u1", "u2", "u3", "u4", "u5", "u6"}
	b := newTestHarness(t, names...)
	began, offered := b.now, 0
	evacuate := func(on bool) {
		var list []scheduler.Upstream
		for _, name := range names {
			info := b.upstreams[name].Info
			info.Evacuated = on && name <= "u2"
			list = append(list, info)
		}
		b.scheduler.SetUpstreams(b.now, list, false)
	}
	returned := 0
	for b.now.Sub(began) < 17*time.Second {
		elapsed := b.now.Sub(began)
		switch elapsed {
		case 4 * time.Second:
			evacuate(true)
		case 9 * time.Second:
			evacuate(false)
		}
		if elapsed%(300*time.Millisecond) == 0 && elapsed < 15*time.Second {
			b.offer(b.job(fmt.Sprint("j", offered), 0, 1))
			offered++
		}
		for _, start := range b.place() {
			there := slices.Contains(names[:2], start.Upstream.Name)
			require.False(t, there && elapsed >= 4*time.Second && elapsed < 9*time.Second, "%v at %v", start.Run, elapsed)
			require.Less(t, start.Waited, 660*time.Millisecond, "%v at %v", start.Run, elapsed)
			if there && elapsed >= 9*time.Second {
				returned++
			}
		}
		b.advance(10 * time.Millisecond)
		b.pollAll()
	}
	require.Len(t, b.starts, 2*offered)
	require.Len(t, b.notices, 2*offered, "each task is done")
	require.NotZero(t, returned, "the upstreams are used again")
}
