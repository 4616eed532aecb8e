package standin

import (
	"context"
	"io"
	"log"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/valyala/fasthttp"
)

const (
	// relistenTimeout bounds the attempts to listen on an address again.
	relistenTimeout = 5 * time.Second
	// relistenDelay is the delay between two of them.
	relistenDelay = 10 * time.Millisecond
)

// Process serves a stand-in on one address and can end like a process that crashes: all
// its connections are closed and new ones are refused until it starts again.
type Process struct {
	address string
	handler fasthttp.RequestHandler

	mu        sync.Mutex // guards the fields below
	listener  *trackingListener
	downUntil time.Time
}

// trackingListener remembers its open connections.
type trackingListener struct {
	net.Listener

	mu    sync.Mutex // guards the field below
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

// closeAll closes the listener and its connections. Their peers see that; no error matters.
func (l *trackingListener) closeAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

// NewProcess returns a process that serves on a listener once Run is called.
func NewProcess(listener net.Listener, handler fasthttp.RequestHandler) *Process {
	return &Process{address: listener.Addr().String(), handler: handler, listener: &trackingListener{Listener: listener}}
}

// Run serves until the context ends, with an interruption after each crash.
func (p *Process) Run(ctx context.Context) error {
	for {
		p.mu.Lock()
		listener := p.listener
		p.mu.Unlock()
		// The errors of connections that a crash closes are not worth a log line.
		server := &fasthttp.Server{Handler: p.handler, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: log.New(io.Discard, "", 0)}
		if err := serveWith(ctx, listener, server); err != nil && ctx.Err() == nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
		p.mu.Lock()
		down := time.Until(p.downUntil)
		p.mu.Unlock()
		if !wait.For(ctx, down) {
			return nil
		}
		next, err := p.listen(ctx)
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.listener = &trackingListener{Listener: next}
		p.mu.Unlock()
	}
}

// listen listens on the address again. A child process of this program holds the listener that was
// closed from its fork until it executes its own program.
func (p *Process) listen(ctx context.Context) (net.Listener, error) {
	for end := time.Now().Add(relistenTimeout); ; {
		listener, err := net.Listen("tcp", p.address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) || !wait.For(ctx, relistenDelay) {
			return listener, err
		}
	}
}

// Crash ends the process for the given time. It has no effect while the process is down.
func (p *Process) Crash(down time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.downUntil) {
		return
	}
	p.downUntil = time.Now().Add(down)
	p.listener.closeAll()
}
