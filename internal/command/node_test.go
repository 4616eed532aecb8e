package command

import (
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/stretchr/testify/require"
)

// writeNotifier sends on lines for each write.
type writeNotifier struct{ lines chan struct{} }

func (w writeNotifier) Write(b []byte) (int, error) {
	w.lines <- struct{}{}
	return len(b), nil
}

// SIGHUP must never terminate the process, not even during a shutdown. If it
// were unhandled, it would terminate the process of this test.
func TestReloadSignalDoesNotTerminateProcess(t *testing.T) {
	w := writeNotifier{make(chan struct{}, 4)}
	watchReload(receiveReload(), slog.New(slog.NewTextHandler(io.Writer(w), nil)))
	for range 2 {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case <-w.lines:
		case <-time.After(30 * time.Second):
			t.Fatal("the reload was not logged")
		}
	}
}

// A daemon whose port for other VMs is taken exits with the error instead of accepting callers.
func TestDaemonWithTakenPeerPortNeitherServesNorExits(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	s := &platform.Settings{VM: "vm0", Zone: "a", IP: "127.0.0.1", PeerPorts: []int{taken.Addr().(*net.TCPAddr).Port, 0}}
	s.Listen.Callers, s.Listen.Readiness, s.Store.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
	s.Bounds.LeaseMaxMS, s.Bounds.GraceS = 1000, 6
	done := make(chan error, 1)
	go func() {
		done <- runNode(t.Context(), s, settings.Node{}, settings.Logging{}, slog.New(slog.DiscardHandler))
	}()
	select {
	case err := <-done:
		require.ErrorContains(t, err, "listen for peers")
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon neither serves nor exits")
	}
}
