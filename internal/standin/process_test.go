package standin

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func TestCrashedProcessRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	p := NewProcess(listener, func(c *fasthttp.RequestCtx) {})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	idle, err := net.Dial("tcp", address)
	require.NoError(t, err)
	status, _, err := fasthttp.Get(nil, "http://"+address)
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusOK, status)

	p.Crash(200 * time.Millisecond)
	_, err = idle.Read(make([]byte, 1))
	require.Error(t, err, "the idle connection is closed")
	_, err = net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Eventually(t, func() bool {
		_, _, err := fasthttp.Get(nil, "http://"+address)
		return err == nil
	}, time.Minute, 10*time.Millisecond)
	stop()
	require.NoError(t, <-ended)
}

// TestProcessStartsAgainBesideFork checks the start while another process holds the closed listener.
func TestProcessStartsAgainBesideFork(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	held, err := listener.(*net.TCPListener).File()
	require.NoError(t, err)
	p := NewProcess(listener, func(c *fasthttp.RequestCtx) {})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	p.Crash(0)
	time.Sleep(5 * relistenDelay)
	require.NoError(t, held.Close())
	require.Eventually(t, func() bool {
		_, _, err := fasthttp.GetTimeout(nil, "http://"+address, time.Second)
		return err == nil
	}, time.Minute, 10*time.Millisecond)
	stop()
	require.NoError(t, <-ended)
}
