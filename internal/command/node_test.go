package command

import (
	"io"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"time"

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
