package node

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// readOnlyStore is a store that refuses all changes.
type readOnlyStore struct{ store.Store }

// Commit implements store.Store.
func (readOnlyStore) Commit(context.Context, store.Txn) (int64, error) { return 0, store.ErrRefused }

// A VM whose writes the store refuses dispatches, although a process that starts in a later split
// cannot learn of it.
func TestVMThatIsNotOnRosterDispatches(t *testing.T) {
	c := newCluster(t, 0, 1, time.Millisecond)
	n := c.startWith("vm0", readOnlyStore{c.store})
	c.wait("the roster was read", func() bool { return n.roster.known() })
	require.Never(t, n.scheduler.Dispatching, startupGraceAlone+time.Second, 10*time.Millisecond)
}

// rosterlessStore is a store that refuses current listings of the roster.
type rosterlessStore struct{ store.Store }

// Range implements store.Store.
func (s rosterlessStore) Range(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
	if strings.HasPrefix(prefix, "roster/") {
		return store.Page{}, store.ErrRefused
	}
	return s.Store.Range(ctx, prefix, after, stale)
}

// Two VMs start together while the store refuses current listings. Each takes the other one for a
// member that has named the lost ones.
func TestVMsThatStartTogetherTakeThemselvesForAlone(t *testing.T) {
	c := newCluster(t, 0, 1, time.Millisecond)
	c.putRoster("vm9")
	c.startWith("vm0", rosterlessStore{c.store})
	c.startWith("vm1", rosterlessStore{c.store})
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		for _, n := range c.nodes {
			if n.scheduler.Dispatching() {
				require.Equal(t, scheduler.PeerLost, n.scheduler.PeerLoss(), "vm9 may dispatch")
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// The entry of a VM cannot be read by a process that starts during a split.
func TestVMWithOddRosterEntryIsNotLost(t *testing.T) {
	c := newCluster(t, 0, 1, time.Millisecond)
	c.store.Set("roster/vm9", []byte(`{`))
	n := c.start("vm0")
	c.dispatcher()
	require.Equal(t, scheduler.PeerLost, n.scheduler.PeerLoss())
}

// A VM that is alone begins no term before it has read the roster. Nothing told why.
func TestVMWithoutRosterWaitsInSilence(t *testing.T) {
	var log bytes.Buffer
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease, RosterPrefix: "roster/"},
		Dependencies{Store: rosterlessStore{store.NewMemory()}, Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: NewMetrics(), Decoder: testDecoder{}})
	ctx, cancel := context.WithTimeout(t.Context(), 2*storeRetryDelay+100*time.Millisecond)
	defer cancel()
	require.NoError(t, n.rosterLoop(ctx))
	require.Equal(t, 1, strings.Count(log.String(), "the roster cannot be read"), "one line for all attempts")
	require.Contains(t, log.String(), store.ErrRefused.Error())
}
