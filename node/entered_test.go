package node

import (
	"context"
	"testing"
	"time"

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
