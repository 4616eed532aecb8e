package daemon

import (
	"context"
	"net"
	"testing"

	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// TestForwardedCallIsReroutedIfItsVMStops guards against a failure of a call whose owner
// stops while it routes the call: the VM that has forwarded the call must route it again
// until the caller's deadline.
func TestForwardedCallIsReroutedIfItsVMStops(t *testing.T) {
	platform := serveStandin(t, func(ctx context.Context, l net.Listener) error {
		return standin.ServeStore(ctx, l, standin.NewFaultyStore(store.NewMemory()))
	})
	d := newTestDaemon(t, "vm0", platform)
	stopped, stop := context.WithCancel(t.Context())
	stop()
	forwarded := d.newRoute(heatAlert("forwarded", 1), 1, 0).run(stopped)
	require.True(t, forwarded.Reroute, "the deadline has not passed")

	own := d.newRoute(heatAlert("own", 1), 0, 0).run(stopped)
	require.False(t, own.Reroute, "no VM has forwarded the call")
	require.NotNil(t, own.Outcome.Failure)
}
