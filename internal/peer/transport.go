package peer

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/panics"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/tinylib/msgp/msgp"
	"golang.org/x/sync/errgroup"
)

// Error describes a failed call.
type Error struct {
	// Verdict is NotRun if the peer cannot have processed the request, otherwise
	// MayHaveRun.
	Verdict verdict.Verdict
	// Address is the peer's address.
	Address string
	Cause   error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Config holds the settings of a Transport.
type Config struct {
	// Hello identifies this process to its peers.
	Hello       wire.Hello
	DialTimeout time.Duration
	// MaxFrame is the maximum frame size, in bytes.
	MaxFrame int
	// OnHello is called with the hello of each new connection. It may be called
	// concurrently.
	OnHello func(wire.Hello)
	// OnClose is called with the peer's hello when a connection is closed after
	// the handshake. It may be nil and may be called concurrently.
	OnClose func(wire.Hello)
	// Log receives panics of handlers. It may be nil.
	Log *slog.Logger
}

type handler func(ctx context.Context, from *wire.Hello, payload []byte) (wire.Message, error)

// shardCount is the number of locks that guard the connections.
const shardCount = 16

// Transport calls peers and serves their calls. After its handlers are
// registered, it is safe for concurrent use.
type Transport struct {
	config   Config
	hello    atomic.Pointer[wire.Hello]
	handlers map[wire.Kind]handler
	shards   [shardCount]shard
	counters counters
}

// shard holds the connections to the peers whose addresses hash to it.
type shard struct {
	mu    sync.Mutex // guards links; not held while dialling
	links map[string]*link
}

// link holds the connection to an address.
type link struct {
	conn atomic.Pointer[conn] // nil before the first dial

	mu sync.Mutex // held while dialling, so that concurrent callers share one dial
}

// New returns a Transport without handlers.
func New(config Config) *Transport {
	t := &Transport{config: config, handlers: map[wire.Kind]handler{}}
	t.hello.Store(&config.Hello)
	for i := range t.shards {
		t.shards[i].links = map[string]*link{}
	}
	return t
}

// SetHello replaces the hello that is sent on new connections.
func (t *Transport) SetHello(hello wire.Hello) { t.hello.Store(&hello) }

// Disconnect closes the connection to an address because of err and fails the
// calls on it.
func (t *Transport) Disconnect(address string, err error) {
	l := t.link(address)
	if c := l.conn.Load(); c != nil {
		c.close(err)
	}
}

// notifyClosed calls OnClose for a closed connection.
func (t *Transport) notifyClosed(c *conn) {
	if t.config.OnClose != nil {
		t.config.OnClose(c.hello)
	}
}

// Handle registers the handler for a kind of request. It must be called before
// Serve.
func Handle[T any, M interface {
	*T
	wire.Message
}](t *Transport, handle func(ctx context.Context, from *wire.Hello, request M) wire.Message) {
	t.handlers[M(new(T)).Kind()] = func(ctx context.Context, from *wire.Hello, payload []byte) (wire.Message, error) {
		request := M(new(T))
		if _, err := request.UnmarshalMsg(payload); err != nil {
			return nil, err
		}
		return handle(ctx, from, request), nil
	}
}

// Serve accepts connections until ctx is done. It closes the listener.
func (t *Transport) Serve(ctx context.Context, listener net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	g.Go(func() error {
		for {
			nc, err := listener.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return errors.Wrap(err, "accept peer connection")
			}
			g.Go(func() error {
				t.serveConn(ctx, nc)
				return nil
			})
		}
	})
	return g.Wait()
}

func (t *Transport) serveConn(ctx context.Context, nc net.Conn) {
	c := newConn(nc, t.config.MaxFrame, &t.counters)
	stop := context.AfterFunc(ctx, func() { c.close(ctx.Err()) })
	defer stop()
	r := bufio.NewReaderSize(nc, bufferSize)
	first, err := readFrame(r, t.config.MaxFrame)
	if err == nil && first.kind != wire.KindHello {
		err = errors.Newf("expected a hello, got kind %d", first.kind)
	}
	if err == nil {
		_, err = c.hello.UnmarshalMsg(first.payload)
	}
	if err != nil {
		c.close(err)
		return
	}
	t.config.OnHello(c.hello)
	go c.writeLoop()
	if err := c.respond(t.hello.Load(), first.callNumber); err != nil {
		c.close(err)
		return
	}
	c.close(t.readLoop(ctx, c, r))
	t.notifyClosed(c)
}

// readLoop serves requests and delivers responses until the connection fails.
func (t *Transport) readLoop(ctx context.Context, c *conn, r *bufio.Reader) error {
	for {
		f, err := readFrame(r, t.config.MaxFrame)
		if err != nil {
			return err
		}
		if f.response {
			c.deliver(f)
			continue
		}
		go t.serveCall(ctx, c, f)
	}
}

// serveCall serves a request. If its handler panics, the connection is closed, because
// the caller must not take the request for one that has not run.
func (t *Transport) serveCall(ctx context.Context, c *conn, f frame) {
	defer panics.Recover(t.config.Log, c.close, slog.String("peer", c.hello.VM), slog.Any("kind", f.kind))
	var response wire.Message
	handle := t.handlers[f.kind]
	if handle == nil {
		response = &wire.ErrorResponse{Reason: fmt.Sprintf("message kind %d is unknown to this release", f.kind)}
	} else if m, err := handle(ctx, &c.hello, f.payload); err != nil {
		response = &wire.ErrorResponse{Reason: err.Error()}
	} else {
		response = m
	}
	if err := c.respond(response, f.callNumber); err != nil {
		c.close(err)
	}
}

// Connect opens a connection to an address and exchanges hellos, unless a
// connection is open already.
func (t *Transport) Connect(ctx context.Context, address string) error {
	_, err := t.connect(ctx, address)
	return err
}

// Call sends a request to the peer at address and decodes the response. Its
// errors are of type *Error.
func (t *Transport) Call(ctx context.Context, address string, request wire.Message, response interface {
	wire.Message
	msgp.Unmarshaler
}) error {
	c, err := t.connect(ctx, address)
	if err != nil {
		return &Error{verdict.NotRun, address, err}
	}
	f, sent, err := c.call(ctx, request)
	if err != nil {
		v := verdict.NotRun
		if sent {
			v = verdict.MayHaveRun
		}
		return &Error{v, address, err}
	}
	if f.kind == wire.KindErrorResponse {
		var refusal wire.ErrorResponse
		if _, err := refusal.UnmarshalMsg(f.payload); err != nil {
			return &Error{verdict.MayHaveRun, address, err}
		}
		return &Error{verdict.NotRun, address, errors.Newf("request rejected: %s", refusal.Reason)}
	}
	if f.kind != response.Kind() {
		return &Error{verdict.MayHaveRun, address, errors.Newf("unexpected response kind %d", f.kind)}
	}
	if _, err := response.UnmarshalMsg(f.payload); err != nil {
		return &Error{verdict.MayHaveRun, address, err}
	}
	return nil
}

func (t *Transport) link(address string) *link {
	s := &t.shards[rendezvous.Hash(address)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[address]
	if l == nil {
		l = &link{}
		s.links[address] = l
	}
	return l
}

// connect returns the open connection to an address, or dials a new one.
func (t *Transport) connect(ctx context.Context, address string) (*conn, error) {
	l := t.link(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conn.Load(); c != nil && c.err() == nil {
		return c, nil
	}
	c, err := t.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l.conn.Store(c)
	return c, nil
}

func (t *Transport) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := newConn(nc, t.config.MaxFrame, &t.counters)
	go c.writeLoop()
	go func() {
		// The connection stays open after ctx is cancelled on return.
		c.close(t.readLoop(context.WithoutCancel(ctx), c, bufio.NewReaderSize(nc, bufferSize)))
	}()
	f, _, err := c.call(ctx, t.hello.Load())
	if err == nil && f.kind != wire.KindHello {
		err = errors.Newf("expected a hello, got kind %d", f.kind)
	}
	if err == nil {
		_, err = c.hello.UnmarshalMsg(f.payload)
	}
	if err != nil {
		c.close(err)
		return nil, err
	}
	t.config.OnHello(c.hello)
	go func() {
		<-c.closed
		t.notifyClosed(c)
	}()
	return c, nil
}
