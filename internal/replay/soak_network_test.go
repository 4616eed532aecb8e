package replay

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// newTestPath returns an open path to a listener that accepts and holds connections.
func newTestPath(t *testing.T) *upstreamPath {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	addresses, err := freeAddresses(1)
	require.NoError(t, err)
	l := newLinks()
	p := &upstreamPath{
		relay:    &relay{name: "u0", address: addresses[0], target: listener.Addr().String(), links: l, identify: identifyAs("vm0")},
		requests: l.get("vm0", "u0"), responses: l.get("u0", "vm0"),
	}
	require.NoError(t, p.relay.open())
	t.Cleanup(p.relay.close)
	return p
}

func (p *upstreamPath) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", p.relay.address, time.Second)
}

func TestUpstreamPathRefusesOnlyWhatReachesIt(t *testing.T) {
	p := newTestPath(t)
	accepts := func() bool {
		conn, err := p.dial()
		if err != nil {
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
			return false
		}
		require.NoError(t, conn.Close())
		return true
	}
	require.True(t, accepts())
	require.NoError(t, p.setCut(cutRefuse))
	require.False(t, accepts(), "a cut that refuses")
	require.NoError(t, p.heal())
	require.True(t, accepts(), "healed")
	require.NoError(t, p.update(func() { p.down = true }))
	require.False(t, accepts(), "no process")
	require.NoError(t, p.setCut(cutBoth))
	require.True(t, accepts(), "no process, behind a silent cut")
	require.NoError(t, p.heal())
	require.False(t, accepts(), "no process, healed")
	require.NoError(t, p.update(func() { p.down = false }))
	require.True(t, accepts(), "restarted")
}

func TestResetClosesConnectionBehindCut(t *testing.T) {
	p := newTestPath(t)
	conn, err := p.dial()
	require.NoError(t, err)
	defer conn.Close()
	registered := func() bool {
		p.requests.mu.Lock()
		defer p.requests.mu.Unlock()
		return len(p.requests.closers) == 1
	}
	require.Eventually(t, registered, 5*time.Second, time.Millisecond)
	require.NoError(t, p.setCut(cutRefuse))
	p.requests.reset()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection was not closed")
}

func TestVMStoreReplacesAddressesOfUpstreams(t *testing.T) {
	memory := store.NewMemory()
	entry := scheduler.Upstream{Name: "u0", Address: "127.0.0.1:1", Service: soakService, DataCentre: "dc0", Size: scheduler.Size{MilliCPU: 1000, MemoryMB: 1}}
	key, value, err := platform.UpstreamEntry(entry, 1)
	require.NoError(t, err)
	memory.Set(key, value)
	memory.Set("other", []byte(`{"address":"127.0.0.1:1"}`))
	v := &soakVM{paths: map[string]*upstreamPath{"u0": {relay: &relay{address: "127.0.0.1:2"}}}}
	items, _, err := store.List(t.Context(), vmStore{standin.NewFaultyStore(memory), v}, "", false)
	require.NoError(t, err)
	require.Len(t, items, 2)
	seen, err := platform.Decoder{}.Upstream(items[1])
	require.NoError(t, err)
	entry.Address = "127.0.0.1:2"
	require.Equal(t, entry, seen)
	require.JSONEq(t, `{"address":"127.0.0.1:1"}`, string(items[0].Value))
}
