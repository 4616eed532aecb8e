package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

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
