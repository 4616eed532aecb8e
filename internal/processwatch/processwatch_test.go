package processwatch

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// server accepts connections until it is stopped.
type server struct {
	listener net.Listener
	conns    chan net.Conn
}

func serve(t *testing.T) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{listener, make(chan net.Conn, 10)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- conn
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return s
}

func watch(t *testing.T, s *server) <-chan error {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	result := make(chan error, 1)
	go func() { result <- Watch(ctx, s.listener.Addr().String()) }()
	return result
}

func TestEndOfProcessIsDetected(t *testing.T) {
	s := serve(t)
	result := watch(t, s)
	conn := <-s.conns
	require.NoError(t, s.listener.Close())
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-result, ErrRefused)
}

func TestRefusedConnectionAloneIsNoEnd(t *testing.T) {
	s := serve(t)
	result := watch(t, s)
	conn := <-s.conns
	require.NoError(t, s.listener.Close()) // refuses new connections, keeps the others
	select {
	case err := <-result:
		t.Fatal("the open connection shows that the process lives", err)
	default:
	}
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-result, ErrRefused)
}

func TestClosedConnectionAloneIsNoEnd(t *testing.T) {
	s := serve(t)
	result := watch(t, s)
	require.NoError(t, (<-s.conns).Close())
	conn := <-s.conns // connects again
	require.NoError(t, s.listener.Close())
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-result, ErrRefused)
}
