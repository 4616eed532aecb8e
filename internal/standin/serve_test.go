package standin

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestServeWithCancelledContext guards against a server that never returns because
// its context ended before it began to accept connections.
func TestServeWithCancelledContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, serve(ctx, listener, func(*fasthttp.RequestCtx) {}))
	}
}
