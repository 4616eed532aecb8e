package daemon

import (
	"context"
	"flag"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/stretchr/testify/require"
)

// newTestDaemon returns a daemon that accepts peers at a loopback address and
// whose platform refuses connections.
func newTestDaemon(t *testing.T, vm string) *Daemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	var s settings.DaemonProgram
	flags := flag.NewFlagSet(vm, flag.ContinueOnError)
	binder := settings.NewBinder(flags)
	s.Bind(binder)
	require.NoError(t, flags.Parse([]string{
		"-vm", vm, "-data-centre", "rabat", "-peer-listen", listener.Addr().String(), "-platform", closed.Addr().String(),
	}))
	require.NoError(t, binder.Resolve(func(string) (string, bool) { return "", false }))
	d, err := New(s, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- d.peers.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-served)
	})
	return d
}

// TestListComesFromPeersWhileThePlatformIsDown starts a VM that has no list
// beside one that holds it.
func TestListComesFromPeersWhileThePlatformIsDown(t *testing.T) {
	holder, fresh := newTestDaemon(t, "vm0"), newTestDaemon(t, "vm1")
	self := holder.node.View().Self
	fresh.node.Members().Heard(time.Now(), membership.Member{
		VM: self.VM, Incarnation: self.Incarnation, DataCentre: self.DataCentre, Address: self.Address,
	})
	require.Nil(t, fresh.readDirectory(t.Context(), nil), "nobody holds a list")
	list := &api.VMList{Tag: "t", VMs: []api.VM{{Name: "u1", Role: api.RoleUpstream, DataCentre: "rabat", State: api.VMLive}}}
	holder.list.Store(list)
	require.Equal(t, list, fresh.readDirectory(t.Context(), nil))
	require.Equal(t, list, fresh.list.Load(), "it is passed on")
	require.Equal(t, list, fresh.readDirectory(t.Context(), list), "a list that is held stays")
}
