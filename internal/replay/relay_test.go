package replay

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newEchoRelay returns an open relay in front of an echo server.
func newEchoRelay(t *testing.T) *relay {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	addresses, err := freeAddresses(1)
	require.NoError(t, err)
	r := &relay{
		name: "b", address: addresses[0], target: server.Addr().String(), links: newLinks(), identify: identifyAs("a"),
	}
	require.NoError(t, r.open())
	t.Cleanup(r.close)
	return r
}

func dialRelay(t *testing.T, r *relay) net.Conn {
	conn, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func requireEcho(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

func TestCutLinkHoldsTrafficUntilHealed(t *testing.T) {
	for name, directions := range map[string][]direction{
		"requests": {{"a", "b"}},
		"answers":  {{"b", "a"}},
		"both":     {{"a", "b"}, {"b", "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newEchoRelay(t)
			established := dialRelay(t, r)
			requireEcho(t, established, "before")
			for _, dir := range directions {
				r.links.get(dir.from, dir.to).cut()
			}
			accepted := dialRelay(t, r) // the relay accepts it but does not dial the server
			answered := make(chan string, 2)
			for _, conn := range []net.Conn{established, accepted} {
				go func() {
					io.WriteString(conn, "during")
					got := make([]byte, len("during"))
					io.ReadFull(conn, got)
					answered <- string(got)
				}()
			}
			require.Empty(t, answered)
			for _, d := range directions {
				r.links.get(d.from, d.to).heal()
			}
			require.Equal(t, "during", <-answered)
			require.Equal(t, "during", <-answered)
		})
	}
}

func TestResetClosesConnections(t *testing.T) {
	r := newEchoRelay(t)
	conn := dialRelay(t, r)
	requireEcho(t, conn, "before")
	r.links.get("a", "b").reset()
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	requireEcho(t, dialRelay(t, r), "after")
}

func TestClosedRelayRefusesConnections(t *testing.T) {
	r := newEchoRelay(t)
	r.close()
	_, err := net.Dial("tcp", r.address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, r.open())
	requireEcho(t, dialRelay(t, r), "back")
}

// TestHiddenCloseLeavesTargetConnectionOpen checks that the target of a relay that hides
// closes neither reads the end of a connection nor fails to write to it.
func TestHiddenCloseLeavesTargetConnectionOpen(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	addresses, err := freeAddresses(1)
	require.NoError(t, err)
	r := &relay{
		name: "b", address: addresses[0], target: server.Addr().String(), links: newLinks(), identify: identifyAs("a"), hidesClose: true,
	}
	require.NoError(t, r.open())
	t.Cleanup(r.close)
	caller := dialRelay(t, r)
	conn, err := server.Accept()
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(caller, "request")
	require.NoError(t, err)
	got := make([]byte, len("request"))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.NoError(t, caller.Close())
	// More than the buffers of both connections hold: the relay reads all of it.
	_, err = conn.Write(make([]byte, 64<<20))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Read(got)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
