package node

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// frozenStore is a VM's access to a store whose stale listings stay as they were at the start, and which
// may refuse the VM.
type frozenStore struct {
	store.Store
	refuses atomic.Bool
	stale   map[string]store.Page // by prefix
}

func newFrozenStore(t *testing.T, s store.Store) *frozenStore {
	f := &frozenStore{Store: s, stale: map[string]store.Page{}}
	for _, prefix := range []string{"config", "upstreams/"} {
		page, err := s.Range(t.Context(), prefix, "", true)
		require.NoError(t, err)
		f.stale[prefix] = page
	}
	return f
}

func (f *frozenStore) refusal() error {
	if f.refuses.Load() {
		return store.ErrRefused
	}
	return nil
}

func (f *frozenStore) Range(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
	if err := f.refusal(); err != nil {
		return store.Page{}, err
	}
	if page, present := f.stale[prefix]; present && stale {
		return page, nil
	}
	return f.Store.Range(ctx, prefix, after, stale)
}

func (f *frozenStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if err := f.refusal(); err != nil {
		return nil, 0, err
	}
	events, revision, err := f.Store.Watch(ctx, prefix, after, wait)
	if refused := f.refusal(); refused != nil { // it cuts the watches that wait
		return nil, 0, refused
	}
	return events, revision, err
}

func (f *frozenStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if err := f.refusal(); err != nil {
		return 0, err
	}
	return f.Store.Commit(ctx, txn)
}

func (f *frozenStore) KeepAlive(ctx context.Context, lease int64) error {
	if err := f.refusal(); err != nil {
		return err
	}
	return f.Store.KeepAlive(ctx, lease)
}

// frozenCluster starts VMs and returns the dispatcher, which is also the first of its data centre, and the
// access of each VM to the store.
func frozenCluster(t *testing.T, vms int) (*cluster, *testNode, map[string]*frozenStore) {
	c := newCluster(t, 0, 2, time.Millisecond)
	stores := map[string]*frozenStore{}
	for i := range vms {
		vm := fmt.Sprintf("vm%d", i)
		stores[vm] = newFrozenStore(t, c.store)
		c.startWith(vm, stores[vm])
	}
	first := c.dispatcher()
	c.wait("all know each other", func() bool { return len(first.view.Load().Reachable) == vms-1 })
	for _, n := range c.nodes {
		c.wait("the configuration", func() bool { table := n.RoutingTable(); return table != nil && table.Version == 1 })
	}
	return c, first, stores
}

// The store refuses just the VM that watched it for the others, which had a change from stale listings
// only, seconds late.
func TestConfigurationReachesNobodyWhileStoreRefusesDispatcher(t *testing.T) {
	c, first, access := frozenCluster(t, 3)
	access[first.config.VM].refuses.Store(true)
	for version := int64(2); version <= 4; version++ { // watches of the start may still wait for the first change
		c.store.Set("config", fmt.Append(nil, version))
		for _, n := range c.nodes {
			c.wait(fmt.Sprintf("version %d at %s", version, n.config.VM), func() bool { return n.RoutingTable().Version == version })
		}
	}
}

// The same for the evacuation of a data centre.
func TestEvacuationReachesNobodyWhileStoreRefusesDispatcher(t *testing.T) {
	c, first, access := frozenCluster(t, 3)
	access[first.config.VM].refuses.Store(true)
	for _, name := range []string{"dc2", "dc3", "dc4"} {
		c.store.Set("config-evacuate/"+name, nil)
		for _, n := range c.nodes {
			c.wait("the evacuation of "+name+" at "+n.config.VM, func() bool { return n.evacuation.table.State().Contains(name) })
		}
	}
}

// The store refuses the dispatcher, the only VM that read the upstreams' changes, and perhaps all that may
// dispatch next. The dispatcher went on starting tasks on an upstream that drains.
func TestDispatcherThatStoreRefusesUsesDrainingUpstream(t *testing.T) {
	for name, served := range map[string]int{"the dispatcher": 4, "all candidates": 2} {
		t.Run(name, func(t *testing.T) {
			c, first, access := frozenCluster(t, 5)
			for _, n := range c.nodes {
				lowest := first.view.Load().Reachable[4-served:]
				access[n.config.VM].refuses.Store(!slices.ContainsFunc(lowest, func(h fleet.Heartbeat) bool { return h.Member.VM == n.config.VM }))
			}
			c.putUpstream("u0", func(u *scheduler.Upstream) { u.Draining = true })
			c.wait("the dispatcher knows", func() bool {
				first.registry.mu.Lock()
				defer first.registry.mu.Unlock()
				return first.registry.entries["upstreams/u0"].upstream.Draining
			})
			for _, a := range access {
				a.refuses.Store(false)
			}
			c.wait("the dispatcher reads the changes itself", func() bool { return !first.registry.storeless.Load() })
		})
	}
}
