package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// putRoster writes the entry of a VM that has registered earlier.
func (c *cluster) putRoster(vm string) {
	value, err := json.Marshal(toWire(fleet.Member{VM: vm, Incarnation: 1, DataCentre: "dc", Address: freeAddress(c.t), Weight: 400}))
	require.NoError(c.t, err)
	c.store.Set("roster/"+vm, value)
}

// A VM starts during a split in which the others have lost the store as well, so that their
// entries have lapsed. It does not know of them, and of no upstream that they use.
func TestVMThatStartsInSplitTakesItselfForAlone(t *testing.T) {
	c := newCluster(t, 0, 1, time.Millisecond)
	c.putRoster("vm9")
	n := c.start("vm0")
	c.dispatcher()
	require.Equal(t, scheduler.PeerLost, n.scheduler.PeerLoss())
	c.wait("upstreams may be missing from the list", func() bool { return n.scheduler.SplitReport().Lacking.Partial })

	_, err := c.store.Commit(context.Background(), store.Txn{Deletes: []string{"roster/vm9"}})
	require.NoError(t, err)
	c.wait("vm9 was removed", func() bool { return n.scheduler.PeerLoss() == scheduler.PeersHeard })
	c.wait("no upstream is missing", func() bool { return !n.scheduler.SplitReport().Lacking.Partial })
}

// A VM whose list is that of a peer has not read the roster yet.
func TestDispatcherStartsWithoutRoster(t *testing.T) {
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease, RosterPrefix: "roster/"},
		Dependencies{Store: store.NewMemory(), Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(), Decoder: testDecoder{}})
	now := time.Now()
	n.started = now.Add(-time.Minute)
	n.replaceUpstreams(nil, 1, "test")
	canStart := func() bool { v := n.fleet.View(now, 0); return n.canStartTerm(now, &v) }
	require.False(t, canStart())
	_, err := n.readRoster(t.Context())
	require.NoError(t, err)
	require.False(t, canStart(), "it is not on the roster")
	n.roster.noteEntered(1)
	require.True(t, canStart())
}

// A VM that has stopped gracefully is known to be gone, also if nobody has heard its last heartbeat.
func TestGracefulStopLeavesRoster(t *testing.T) {
	c := newCluster(t, 2, 1, time.Millisecond)
	first := c.dispatcher()
	entries := func() int {
		items, _, err := store.List(context.Background(), c.store, "roster/", false)
		require.NoError(t, err)
		return len(items)
	}
	c.wait("both are on the roster", func() bool { return entries() == 2 })
	first.stop()
	<-first.stopped
	require.Equal(t, 1, entries())
	c.otherThan(first).kill()
	require.Equal(t, 1, entries(), "a killed process stays on it")
}

// An entry that can be read but does not describe its VM is odd: it names the VM, and neither removes
// it nor describes another one.
func TestOddRosterEntryRemovesVM(t *testing.T) {
	for _, odd := range []string{`{}`, `null`, `{"vm":"vm7"}`, `{`} {
		t.Run(odd, func(t *testing.T) {
			c := newCluster(t, 0, 1, time.Millisecond)
			c.putRoster("vm9")
			n := New(Config{VM: "vm0", DataCentre: "dc", PeerAddress: "127.0.0.1:1", LeaseMax: testLease, RosterPrefix: "roster/"},
				Dependencies{Store: c.store, Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(), Decoder: testDecoder{}})
			readRoster := func() error { _, err := n.readRoster(t.Context()); return err }
			require.NoError(t, readRoster())
			c.store.Set("roster/vm9", []byte(odd))
			require.NoError(t, readRoster())
			lost := n.fleet.View(time.Now(), 0).Lost
			require.Len(t, lost, 1)
			require.Equal(t, "vm9", lost[0].VM)
		})
	}
}

// Operators have removed a VM that was cut off, or the store was restored from a copy without its
// entry. The VM registers again.
func TestVMThatWasRemovedIsNeverOnRosterAgain(t *testing.T) {
	c := newCluster(t, 1, 1, time.Millisecond)
	n := c.dispatcher()
	entries := func(prefix string) int {
		items, _, err := store.List(context.Background(), c.store, prefix, false)
		require.NoError(t, err)
		return len(items)
	}
	c.wait("it is on the roster", func() bool { return entries("roster/") == 1 })
	_, err := c.store.Commit(context.Background(), store.Txn{Deletes: []string{"roster/vm0", "vm/vm0"}})
	require.NoError(t, err)
	require.NoError(t, n.renew(context.Background(), new(int64))) // its lease has ended
	require.Equal(t, 1, entries("vm/"))
	require.Equal(t, 1, entries("roster/"))
}

// busyStore is a store that refuses the first deletion.
type busyStore struct {
	store.Store
	refused chan struct{}
}

// Commit implements store.Store.
func (s *busyStore) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	if len(txn.Deletes) > 0 {
		select {
		case <-s.refused:
		default:
			close(s.refused)
			return 0, store.ErrRefused
		}
	}
	return s.Store.Commit(ctx, txn)
}

// The store refuses a call at a graceful stop, as it does beyond its limits. Each process that starts
// later would count the VM as lost.
func TestRefusedCallAtGracefulStopLeavesVMOnRoster(t *testing.T) {
	c := newCluster(t, 1, 1, time.Millisecond)
	c.dispatcher()
	n := c.startWith("vm1", &busyStore{c.store, make(chan struct{})})
	c.dispatcher()
	c.wait("it is on the roster", func() bool { return n.roster.ownRevision() != 0 })
	n.stop()
	<-n.stopped
	items, _, err := store.List(context.Background(), c.store, "roster/", false)
	require.NoError(t, err)
	require.Len(t, items, 1)
}

// The last VM of a fleet dispatches until its process ends, and leaves no runs. VMs of other names that
// are started later would count it as lost for good.
func TestLastVMThatStopsStaysOnRoster(t *testing.T) {
	c := newCluster(t, 1, 1, time.Millisecond)
	n := c.dispatcher()
	c.wait("it is on the roster", func() bool { return n.roster.ownRevision() != 0 })
	n.stop()
	<-n.stopped
	items, _, err := store.List(context.Background(), c.store, "roster/", false)
	require.NoError(t, err)
	require.Empty(t, items)
}

// A VM has gone for good, as all processes were killed. The processes that start
// afterwards took the fleet for split until operators removed the VM from the roster: every job was
// given up before its caller could return.
func TestVMThatIsGoneForGoodSplitsFleetForever(t *testing.T) {
	c := newCluster(t, 0, 2, time.Millisecond)
	c.store.Set("roster/vm9", []byte(`{"VM":"vm9","Incarnation":1,"DataCentre":"dc","Address":"`+freeAddress(t)+`","Weight":400,"Removable":true,"Scope":["vm0"],"Neighbours":["vm0"]}`))
	n := c.start("vm0")
	c.dispatcher()
	require.Equal(t, scheduler.PeerLost, n.scheduler.PeerLoss())
	c.wait("upstreams may be missing from the list", func() bool { return n.scheduler.SplitReport().Lacking.Partial })
	c.wait("the VM has gone", func() bool { return n.scheduler.PeerLoss() == scheduler.PeersHeard })
	c.wait("no upstream is missing", func() bool { return !n.scheduler.SplitReport().Lacking.Partial })
	items, _, err := store.List(context.Background(), c.store, "roster/", false)
	require.NoError(t, err)
	require.Len(t, items, 1)
}
