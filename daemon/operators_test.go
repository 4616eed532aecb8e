package daemon

import (
	"testing"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/stretchr/testify/require"
)

// TestDrainAbortsPendingChange drains the VM while it retries a change against a
// platform that is down. The change must end as unavailable instead of delaying
// the drain until its timeout.
func TestDrainAbortsPendingChange(t *testing.T) {
	d := newTestDaemon(t, "vm0", closedAddress(t))
	quota := "5"
	answered := make(chan *api.ChangeResponse, 1)
	go func() {
		answered <- d.Change(t.Context(), &api.ChangeRequest{
			ID: "c1", Author: "me", Edits: []api.ConfigurationEdit{{Key: "quotas/a", After: &quota}},
		})
	}()
	d.beginDrain()
	require.Equal(t, api.ChangeUnavailable, (<-answered).Outcome, "the change cannot have been written")
}
