package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// TestPanickingHandlerEndsItsConnectionOnly guards against one request that terminates the
// process. The caller must not learn that the request has not run.
func TestPanickingHandlerEndsItsConnectionOnly(t *testing.T) {
	server := newTestTransport()
	var failed atomic.Bool
	Handle(server, func(_ context.Context, _ *wire.Hello, m *wire.CancelRequest) wire.Message {
		if !failed.Swap(true) {
			panic("unexpected state")
		}
		return &wire.SubmitResponse{Reason: "served"}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})

	client := newTestTransport()
	_, err = callPeer(t.Context(), client, listener.Addr().String())
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, verdict.MayHaveRun, failure.Verdict)
	response, err := callPeer(t.Context(), client, listener.Addr().String())
	require.NoError(t, err)
	require.Equal(t, "served", response.Reason)
}
