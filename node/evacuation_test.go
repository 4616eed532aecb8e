package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/evacuation"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// Every VM must learn of an evacuation and of its end: those that watch, the others, one that the
// store refuses and one that starts. A malformed key must hide no other.
func TestEvacuationReachesEveryVM(t *testing.T) {
	c := newCluster(t, 3, 1, time.Millisecond)
	c.dispatcher()
	refusing := store.NewMemory()
	refusing.SetError(store.ErrRefused)
	c.startWith("refused", refusing, c.nodes[0].config.PeerAddress)
	c.store.Set("config-evacuate/", nil)
	c.store.Set("config-evacuate/dc2", nil)
	c.start("late")
	for _, n := range c.nodes {
		c.wait(n.config.VM+" knows", func() bool { return n.evacuation.table.State().Contains("dc2") })
	}
	c.store.Delete("config-evacuate/dc2")
	for _, n := range c.nodes {
		c.wait(n.config.VM+" knows the end", func() bool { s := n.evacuation.table.State(); return s.Revision > 0 && len(s.DataCentres) == 0 })
	}
}

// moveUpstream changes the data centre of an upstream.
func (c *cluster) moveUpstream(name, dataCentre string) {
	info := c.upstreams.byName[name].Info
	info.DataCentre = dataCentre
	value, err := json.Marshal(info)
	require.NoError(c.t, err)
	c.store.Set("upstreams/"+name, value)
}

// A VM that takes over during an evacuation while the store is down must start nothing there.
func TestNextDispatcherKeepsEvacuation(t *testing.T) {
	c := newCluster(t, 3, 2, time.Millisecond)
	c.moveUpstream("u0", "dc2")
	c.store.Set("config-evacuate/dc2", nil)
	first := c.dispatcher()
	for _, n := range c.nodes {
		c.wait("known", func() bool { return n.evacuation.table.State().Contains("dc2") })
	}
	c.store.SetError(store.ErrRefused)
	first.kill()
	next := c.dispatcher()
	c.wait("the effect", func() bool { return len(evacuatedUpstreams(next.Node)) == 1 })
	c.upstreams.mu.Lock()
	c.upstreams.byName["u0"].OnStart = func(time.Time, scheduler.Run) { t.Error("a task was started on u0") }
	c.upstreams.mu.Unlock()
	require.Equal(t, intake.Succeeded, next.submit(context.Background(), "x", 4, waitTimeout).Outcome)
}

// evacuatedUpstreams returns the upstreams of a dispatcher that get no task.
func evacuatedUpstreams(n *Node) (names []string) {
	for _, u := range n.scheduler.Summaries() {
		if u.Evacuated {
			names = append(names, u.Name)
		}
	}
	return names
}

// Calls of applyUpstreams at the same time must not leave the set of the one that read it first: an
// upstream would get tasks after the bound, or none after its return, until the next change of an
// entry.
func TestOlderSetDoesNotReplaceNewerOne(t *testing.T) {
	c := newCluster(t, 1, 40, time.Millisecond)
	for i := range 40 {
		c.moveUpstream(fmt.Sprintf("u%d", i), "dc2")
	}
	n := c.dispatcher()
	c.wait("the upstreams are known", func() bool { return len(n.scheduler.Summaries()) == 40 && n.registry.hasDataCentre("dc2") })
	for i := range 3000 {
		var others sync.WaitGroup
		for range 3 {
			others.Go(func() { n.applyUpstreams(time.Now()) })
		}
		time.Sleep(rand.N(50 * time.Microsecond)) // varies the order of the calls
		state, want := evacuation.State{Revision: 1<<40 + int64(i)}, 0
		if i%2 == 0 {
			state.DataCentres, want = []string{"dc2"}, 40
		}
		n.noteEvacuations(n.evacuation.table.Replace(time.Now(), state), "test")
		others.Wait()
		require.Len(t, evacuatedUpstreams(n.Node), want, "change %d", i)
	}
}

// A call whose time is from before a pause of the process must not end the effect of an evacuation.
func TestTimeBeforePauseDoesNotDelayEvacuation(t *testing.T) {
	c := newDividedCluster(t, time.Millisecond)
	before := time.Now()
	c.evacuate()
	d := c.dispatcherOf(c.a)
	d.applyUpstreams(before)
	require.Equal(t, []string{"u0"}, evacuatedUpstreams(d.Node))
}
