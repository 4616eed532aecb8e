package node

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/stretchr/testify/require"
)

// A VM that may have been removed from the roster, as it has lost the store and another VM, went on
// dispatching. It answers at once meanwhile, and dispatches again when the store answers it.
func TestVMThatMayHaveBeenRemovedDispatches(t *testing.T) {
	c := newCluster(t, 0, 1, time.Millisecond)
	c.putRoster("vm9")
	access := newFrozenStore(t, c.store)
	n := c.startWith("vm0", access)
	c.dispatcher()
	c.wait("its entry names vm9", func() bool {
		record := n.fleet.Record()
		return len(record.Scope) == 1 && n.roster.registration.Current(record)
	})
	access.refuses.Store(true)
	c.wait("it is barred", func() bool { return n.fleet.Self().Barred && !n.scheduler.Dispatching() })
	c.wait("it is not ready", func() bool { return n.Ready() != nil })
	answer := n.submit(t.Context(), "0000000000000001", 1, time.Hour)
	require.Equal(t, intake.NotRun, answer.Outcome)
	require.NotZero(t, answer.RetryAfter)

	access.refuses.Store(false)
	c.wait("it dispatches", func() bool { return !n.fleet.Self().Barred && n.scheduler.Dispatching() })
}

// The platform removes a VM's entry and renews its lease. The VM, which does not hear another one, took
// that for a proof that it is on the roster.
func TestVMWithoutEntryKeepsItsLease(t *testing.T) {
	c := newCluster(t, 0, 1, time.Millisecond)
	c.putRoster("vm9")
	n := c.start("vm0")
	c.dispatcher()
	c.store.Delete("vm/vm0")
	c.wait("it registers again", func() bool {
		page, err := c.store.Range(t.Context(), "vm/", "", false)
		return err == nil && len(page.Items) == 1
	})
	require.True(t, n.scheduler.Dispatching())
}
