package locality

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// A wait that is wrong makes an answer late, or costs more than the run elsewhere.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		q    Question
		want Decision
	}{
		"near capacity is free":         {Question{Near: 100 * ms, Away: 200 * ms, Left: 60 * ms}, Decision{PlaceNear, ReasonNearFree, 0}},
		"only near capacity is free":    {Question{Near: 100 * ms, Left: 60 * ms}, Decision{PlaceNear, ReasonNearFree, 0}},
		"the near upstream is slow":     {Question{Near: 300 * ms, Away: 200 * ms, Left: time.Second}, Decision{PlaceAway, ReasonAwayFaster, 0}},
		"the rack has gone":             {Question{Near: Never, Away: 200 * ms, NearWait: Never}, Decision{PlaceAway, ReasonNoNear, 0}},
		"nothing is free":               {Question{Near: 100 * ms, NearWait: 10 * ms}, Decision{Queue, ReasonNothingFree, 0}},
		"nothing is free, rack is gone": {Question{Near: Never, NearWait: Never}, Decision{Queue, ReasonNothingFree, 0}},
		"a short wait":                  {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 50 * ms, Left: time.Second}, Decision{Wait, ReasonWorthWaiting, 100 * ms}},
		"a wait as long as the loss":    {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 100 * ms, Left: time.Second}, Decision{PlaceAway, ReasonWaitTooLong, 0}},
		"it has waited before":          {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 50 * ms, Waited: 60 * ms, Left: time.Second}, Decision{PlaceAway, ReasonWaitTooLong, 0}},
		"no loss elsewhere":             {Question{Near: 100 * ms, Away: 100 * ms, NearWait: ms, Left: time.Second}, Decision{PlaceAway, ReasonWaitTooLong, 0}},
		"the target limits the wait":    {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 10 * ms, Left: 260 * ms, Recheck: 20 * ms}, Decision{Wait, ReasonWorthWaiting, 40 * ms}},
		"it is late if it waits":        {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 50 * ms, Left: 260 * ms, Recheck: 20 * ms}, Decision{PlaceAway, ReasonTarget, 0}},
		"the wait ends now":             {Question{Near: 100 * ms, Away: 200 * ms, NearWait: ms, Left: 210 * ms, Recheck: 20 * ms}, Decision{PlaceAway, ReasonTarget, 0}},
		"others wait":                   {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 300 * ms, Left: time.Second, Contended: true}, Decision{Wait, ReasonWorthWaiting, 800 * ms}},
		"others wait, it is in time":    {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 50 * ms, Left: 160 * ms, Contended: true}, Decision{Wait, ReasonWorthWaiting, 800 * ms}},
		"others wait, it is late near":  {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 150 * ms, Left: 220 * ms, Contended: true}, Decision{PlaceAway, ReasonTarget, 0}},
		"it is late elsewhere":          {Question{Near: 100 * ms, Away: 200 * ms, NearWait: 50 * ms, Left: 160 * ms, Recheck: 20 * ms}, Decision{Wait, ReasonWorthWaiting, 100 * ms}},
	} {
		if got := Decide(c.q); got.Action != c.want.Action || got.Reason != c.want.Reason || c.want.Action == Wait && got != c.want {
			t.Errorf("%s: %+v, expected %+v", name, got, c.want)
		}
	}
	require.Equal(t, "it would be late if it waited", ReasonTarget.String())
}

// A group that lists an upstream that has left it lets tasks wait for nothing.
func TestIndexFollowsEntries(t *testing.T) {
	x := NewIndex()
	rng := rand.New(rand.NewPCG(1, 1))
	present := map[string]string{} // rack by name
	remove := func(name string) {
		if rack, ok := present[name]; ok {
			x.Remove("s", name, rack, []string{"a", rack})
			delete(present, name)
		}
	}
	for range 2000 {
		name, rack := fmt.Sprint("u", rng.IntN(30)), fmt.Sprint("r", rng.IntN(4))
		remove(name)
		if rng.IntN(3) > 0 {
			x.Add("s", name, rack, []string{"a", rack})
			present[name] = rack
		}
		want := map[string][]string{}
		for name, rack := range present {
			want[rack] = append(want[rack], name)
		}
		require.Len(t, x.Racks("s"), len(want))
		for rack, names := range want {
			require.ElementsMatch(t, names, x.Find("s", rack).Members())
		}
	}
	for name := range present {
		remove(name)
	}
	require.Nil(t, x.Find("s", "a"))
	require.Empty(t, x.Racks("s"))
	require.Nil(t, x.Find("s", ""), "the group of the racks is internal")
	require.Nil(t, x.Find("other", "a"))
}

// A task that waits for a rack is not woken if a change of the rack is lost.
func TestChangesAreCounted(t *testing.T) {
	x := NewIndex()
	g := x.Add("s", "u1", "r1", []string{"r1"})[0]
	before := g.Changes()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 100 {
				g.NoteChange()
				g.AddWaiting(1, ms)
				g.Members()
			}
		})
	}
	wg.Wait()
	require.Equal(t, before+400, g.Changes())
	require.Equal(t, 400*ms, g.Waiting())
	require.Equal(t, 400, g.WaitingTasks())
	x.Remove("s", "u1", "r1", []string{"r1"})
	require.Equal(t, before+401, g.Changes(), "the rack has gone")
}

// BenchmarkIndex measures the memory of the index, in racks of 20 with two kinds, after a search
// of each group.
func BenchmarkIndex(b *testing.B) {
	const upstreams = 20_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := NewIndex()
		for i := range upstreams {
			rack := fmt.Sprint("r1-", i/20)
			x.Add("s", fmt.Sprint("upstream-", i), rack, []string{fmt.Sprint("k", i%2), rack})
		}
		for _, label := range append(x.Racks("s"), "k0", "k1") {
			x.Find("s", label).Members()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/upstreams, "bytes/upstream")
		runtime.KeepAlive(x)
	}
}
