package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/configstore"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// fleet connects the configSyncers of several VMs without a network.
type fleet struct {
	store     *standin.FaultyStore
	endpoints []endpoint
	notify    bool

	mu          sync.Mutex // guards the fields below
	vms         map[string]*configSyncer
	stop        map[string]context.CancelFunc
	partitioned map[string]bool
	access      map[string]*refusableStore // of each VM to the store
}

// refusableStore is a VM's access to the store, which may refuse it.
type refusableStore struct {
	store.Store
	refuses atomic.Bool
}

func (s *refusableStore) Range(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
	if s.refuses.Load() {
		return store.Page{}, store.ErrRefused
	}
	return s.Store.Range(ctx, prefix, after, stale)
}

func (s *refusableStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if s.refuses.Load() {
		return nil, 0, store.ErrRefused
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func newFleet(dataCentres, vms int, notify bool) *fleet {
	f := &fleet{
		store: standin.NewFaultyStore(store.NewMemory()), notify: notify,
		vms: map[string]*configSyncer{}, stop: map[string]context.CancelFunc{}, partitioned: map[string]bool{}, access: map[string]*refusableStore{},
	}
	for dc := range dataCentres {
		for i := range vms {
			name := fmt.Sprintf("vm%d-%d", dc, i)
			f.endpoints = append(f.endpoints, endpoint{VM: name, DataCentre: fmt.Sprintf("dc%d", dc), Address: name})
		}
	}
	return f
}

func (f *fleet) call(from endpoint) func(context.Context, string, wire.Message, wire.Message) error {
	return func(ctx context.Context, address string, request, response wire.Message) error {
		f.mu.Lock()
		to, blocked := f.vms[address], f.partitioned[address] || f.partitioned[from.VM]
		f.mu.Unlock()
		if to == nil || blocked {
			return errors.New("unreachable")
		}
		hello := &wire.Hello{VM: from.VM, DataCentre: from.DataCentre, Address: from.Address}
		*response.(*wire.ConfigurationResponse) = *to.handle(ctx, hello, request.(*wire.ConfigurationRequest)).(*wire.ConfigurationResponse)
		return nil
	}
}

// startVM starts a VM whose initial configuration has one entry.
func (f *fleet) startVM(p endpoint) *configSyncer {
	s := settings.DaemonProgram{}
	s.Configuration = settings.Configuration{
		Interval: time.Second, Watchers: 1, Notify: f.notify, StartWait: 10 * time.Second, CommitTimeout: 5 * time.Second,
	}
	s.Network.PeerTimeout, s.Platform.WatchWait = time.Second, 10*time.Second
	access := &refusableStore{Store: f.store}
	f.access[p.VM] = access
	c := newConfigSyncer(configurationDeps{
		self: p, settings: s, log: slog.New(slog.NewTextHandler(io.Discard, nil)), call: f.call(p),
		endpoints: func() []endpoint { return append([]endpoint(nil), f.endpoints...) }, apply: func(*configuration.State) {},
		store: configstore.New(store.NewRateLimited(access, store.NewRateLimiter(store.RateLimiterConfig{
			Rate: 20, Burst: 40, BackoffMin: 100 * time.Millisecond, BackoffMax: 5 * time.Second,
		}))),
	}, configuration.New(0, []configuration.Entry{{Key: "quotas/file", Value: "1"}}))
	ctx, cancel := context.WithCancel(context.Background())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[p.VM], f.stop[p.VM] = c, cancel
	go func() { _ = c.run(ctx) }()
	return c
}

func (f *fleet) startAll() {
	for _, p := range f.endpoints {
		f.startVM(p)
	}
	f.settle(3 * time.Second)
}

func (f *fleet) stopVM(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop[vm]()
	delete(f.vms, vm)
}

func (f *fleet) stopAll() {
	for _, p := range f.endpoints {
		f.stopVM(p.VM)
	}
	synctest.Wait()
}

// settle advances the fake clock and waits until every goroutine is blocked.
func (f *fleet) settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// watching returns the number of VMs that watch the store.
func (f *fleet) watching() (count int) {
	for _, c := range f.vms {
		if c.watching.Load() {
			count++
		}
	}
	return count
}

// setQuota commits a change of one entry on a VM and returns its revision.
func (f *fleet) setQuota(t *testing.T, vm, value string) int64 {
	c := f.vms[vm]
	edit := configuration.Edit{Key: "quotas/x", After: &value}
	if before, found := c.table.Current().Get(edit.Key); found {
		edit.Before = &before
	}
	revision, err := c.commit(context.Background(), &configuration.Change{
		ID: value, Base: c.table.Current().Revision(), Edits: []configuration.Edit{edit},
	}, false)
	require.NoError(t, err)
	return revision
}

func (f *fleet) requireRevision(t *testing.T, revision int64) {
	for name, c := range f.vms {
		require.Equal(t, revision, c.table.Current().Revision(), name)
	}
}

var configSyncTests = map[string]func(*testing.T, *fleet){
	"a change reaches every VM": func(t *testing.T, f *fleet) {
		f.startAll()
		require.Equal(t, 3, f.watching(), "one VM of each data centre watches")
		revision := f.setQuota(t, "vm0-0", "5")
		f.settle(4 * time.Second)
		f.requireRevision(t, revision)
		file, _ := f.vms["vm1-1"].table.Current().Get("quotas/file")
		require.Equal(t, "1", file, "the first change keeps the services file")
	},
	"the next VM in rank takes over the watch": func(t *testing.T, f *fleet) {
		f.startAll()
		for _, p := range f.endpoints {
			if f.vms[p.VM].watching.Load() {
				f.stopVM(p.VM)
				f.settle(15 * time.Second)
				require.Equal(t, 3, f.watching())
				f.startVM(p)
			}
		}
		f.settle(30 * time.Second)
		require.Equal(t, 3, f.watching(), "only the highest-ranked VMs watch once they are back")
	},
	// The others did not watch in the place of a VM that answers them and that the store refuses.
	"a change reaches every VM while the store refuses those that watch": func(t *testing.T, f *fleet) {
		f.startAll()
		for vm, c := range f.vms {
			f.access[vm].refuses.Store(c.watching.Load())
		}
		f.settle(15 * time.Second) // the watches that wait end
		require.Equal(t, 6, f.watching(), "the next in rank as well")
		// The others learn of a change from the store only.
		f.mu.Lock()
		f.partitioned["vm2-1"] = true
		f.mu.Unlock()
		f.access["vm2-1"].refuses.Store(false)
		revision := f.setQuota(t, "vm2-1", "5")
		f.settle(3 * time.Second)
		f.requireRevision(t, revision)
		for vm := range f.vms {
			f.access[vm].refuses.Store(false)
		}
		f.mu.Lock()
		f.partitioned["vm2-1"] = false
		f.mu.Unlock()
		f.settle(time.Minute)
		require.Equal(t, 3, f.watching())
	},
	"a VM starts from its peers while the store is down": func(t *testing.T, f *fleet) {
		f.startAll()
		revision := f.setQuota(t, "vm0-0", "5")
		f.settle(4 * time.Second)
		require.NoError(t, f.store.SetFaults(api.PlatformFaults{Down: true}))
		for _, p := range f.endpoints {
			f.stopVM(p.VM)
			c := f.startVM(p)
			f.settle(3 * time.Second)
			require.True(t, c.synced.Load())
			require.Equal(t, revision, c.table.Current().Revision())
		}
	},
	"a stale read of the store is not applied": func(t *testing.T, f *fleet) {
		f.startAll()
		f.setQuota(t, "vm0-0", "5")
		require.NoError(t, f.store.SetFaults(api.PlatformFaults{Stale: true}))
		revision := f.setQuota(t, "vm0-0", "6")
		f.stopVM("vm1-0")
		f.startVM(f.endpoints[3]) // vm1-0
		f.settle(5 * time.Second)
		f.requireRevision(t, revision)
	},
	"a partitioned VM catches up and does not restore its old state": func(t *testing.T, f *fleet) {
		f.startAll()
		f.setQuota(t, "vm0-0", "5")
		f.settle(4 * time.Second)
		f.mu.Lock()
		f.partitioned["vm2-1"] = true
		f.mu.Unlock()
		revision := f.setQuota(t, "vm0-0", "6")
		f.settle(4 * time.Second)
		f.mu.Lock()
		f.partitioned["vm2-1"] = false
		f.mu.Unlock()
		f.settle(15 * time.Second)
		f.requireRevision(t, revision)
	},
	"without peers and store the services file is used after the start wait": func(t *testing.T, f *fleet) {
		require.NoError(t, f.store.SetFaults(api.PlatformFaults{Down: true}))
		f.endpoints = f.endpoints[:1]
		c := f.startVM(f.endpoints[0])
		f.settle(8 * time.Second)
		require.False(t, c.synced.Load())
		f.settle(5 * time.Second)
		require.True(t, c.synced.Load())
		require.Zero(t, c.table.Current().Revision())
	},
	"calls to a store that is down are rate limited": func(t *testing.T, f *fleet) {
		f.startAll()
		require.NoError(t, f.store.SetFaults(api.PlatformFaults{Down: true}))
		f.settle(time.Minute)
		before := f.store.Calls()
		f.settle(10 * time.Minute)
		perSecond := float64(f.store.Calls()-before) / 600
		require.Less(t, perSecond, 3*0.5, "calls per second of three data centres")
	},
}

func TestConfigSync(t *testing.T) {
	for _, notify := range []bool{true, false} {
		for name, check := range configSyncTests {
			t.Run(fmt.Sprintf("notify=%v/%s", notify, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(3, 3, notify)
					defer f.stopAll()
					check(t, f)
				})
			})
		}
	}
}
