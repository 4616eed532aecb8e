package daemon

import (
	"testing"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/stretchr/testify/require"
)

// TestStopDoesNotWaitForAChange begins a planned stop while a change is tried
// against a platform that is down.
func TestStopDoesNotWaitForAChange(t *testing.T) {
	d := newTestDaemon(t, "vm0", closedAddress(t))
	quota := "5"
	answered := make(chan *api.ChangeResponse, 1)
	go func() {
		answered <- d.Change(t.Context(), &api.ChangeRequest{
			ID: "c1", Author: "me", Edits: []api.ConfigurationEdit{{Key: "quotas/a", After: &quota}},
		})
	}()
	d.beginDrain()
	require.Equal(t, api.ChangeUnavailable, (<-answered).Outcome, "nothing can have been written")
}
