package boundedhttp

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/ingresslimit"
	"github.com/valyala/fasthttp"
)

const (
	// defaultMemory is the memory in bytes from which the budget is derived if the settings do not
	// tell that of the machine.
	defaultMemory = 512 << 20
	// budgetShare is the share of the memory for what is received, decoded and sent. The
	// collector lets garbage of about the same size exist.
	budgetShare = 4
	// connectionShare is the share of the memory for connections, connectionBytes what one takes:
	// buffers of 8 KB each for reading and writing, the stack, and headers.
	connectionShare = 4
	connectionBytes = 32 << 10
	// descriptorShare is the share of the descriptors for connections of clients. The rest is
	// for peers, upstreams, the store and files.
	descriptorShare = 2
	// runtimeShare is the part of the memory, in eighths, up to which the runtime collects
	// garbage as usual. The rest is for the program's code and memory outside of the runtime.
	runtimeShare = 6
	// MaxHeaderFields is the limit on header fields of a request. Each takes about 70 bytes.
	MaxHeaderFields = 128
	// maxPipelined is the limit on requests of a connection that were received together. The
	// connection is closed after the last.
	maxPipelined = 64
	// fieldBytes is an estimate of what a field of a body takes while it is decoded. An empty
	// step of a job counts as two fields and takes 120 bytes, up to three times that while its
	// slice grows; an object with one field counts as three and takes a map of 400 bytes.
	fieldBytes = 400
	// firstRead is the size of the first buffer for a body of unknown length or a long one.
	firstRead = 4 << 10
	// smallAnswer is the size of an answer that is sent although the budget is exhausted, such as a
	// refusal.
	smallAnswer = 1 << 10
	// logInterval is the minimum time between two log lines.
	logInterval = 10 * time.Second
	// RetryAfter is the wait that a client is told when the budget is exhausted.
	RetryAfter = time.Second
)

// Reasons for which a body is not read or not decoded.
var (
	// ErrBudget: the budget is exhausted.
	ErrBudget = errors.New("this VM has no memory for the request")
	// ErrTooLarge: the body exceeds the limit.
	ErrTooLarge = errors.New("the request body exceeds the limit")
	// ErrTooManyFields: the body has too many fields.
	ErrTooManyFields = errors.New("the request body has too many fields")
)

// Config holds the limits of a process.
type Config struct {
	// Memory is the memory of the machine in bytes, Descriptors the number of descriptors that
	// the process may open; 0 if it is not known.
	Memory      int64
	Descriptors int
	// MaxFields is the maximum number of fields and elements of a body.
	MaxFields int
	// ProgressTimeout limits the time in which a client sends no byte of a body, or takes none of
	// an answer.
	ProgressTimeout time.Duration
	// Log receives a line about the actions of the limits, at most every ten seconds.
	Log *slog.Logger
}

// Limits holds the limits of all listeners of a process. It is safe for concurrent use.
type Limits struct {
	config   Config
	limiter  *ingresslimit.Limiter
	maxConns int

	mu       sync.Mutex // guards the fields below
	groups   map[string]*ingresslimit.Group
	reported time.Time
	counted  map[ingresslimit.Reason]uint64 // at the last line
}

// New returns limits without listeners. Without the number of descriptors it uses the limit of
// the process.
func New(config Config) *Limits {
	if config.Descriptors <= 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			config.Descriptors = int(min(limit.Cur, 1<<20))
		}
	}
	memory := config.Memory
	if memory <= 0 {
		memory = defaultMemory
	}
	maxConns := config.Descriptors / descriptorShare
	if config.Memory > 0 {
		maxConns = min(maxConns, int(config.Memory/connectionShare/connectionBytes))
	}
	return &Limits{
		config: config, limiter: ingresslimit.New(memory / budgetShare), maxConns: max(maxConns, 1),
		groups: map[string]*ingresslimit.Group{}, counted: map[ingresslimit.Reason]uint64{},
	}
}

// RuntimeMemory returns the limit to be set for the runtime, or 0 if the memory is not known.
func (l *Limits) RuntimeMemory() int64 { return l.config.Memory / 8 * runtimeShare }

// Listen returns a listener whose connections are limited: to the given share of all, and to max
// unless it is 0. The shares of all listeners of a process must not add up to more than 1.
func (l *Limits) Listen(inner net.Listener, name string, share float64, max int) net.Listener {
	conns := int(share * float64(l.maxConns))
	if max > 0 {
		conns = min(conns, max)
	}
	if conns < 1 {
		conns = 1
	}
	group := l.limiter.NewGroup(conns)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[name] = group
	return &listener{inner, l, group}
}

// acted counts an action and reports it.
func (l *Limits) acted(r ingresslimit.Reason) {
	l.limiter.Count(r)
	l.report()
}

// report logs the actions since the last line, at most one line in logInterval. Those that come
// later are in the next line.
func (l *Limits) report() {
	if l.config.Log == nil {
		return
	}
	l.mu.Lock()
	if now := time.Now(); now.Sub(l.reported) < logInterval {
		l.mu.Unlock()
		return
	} else {
		l.reported = now
	}
	var attributes []any
	for _, r := range ingresslimit.Reasons() {
		n := l.limiter.Counts(r)
		if n > l.counted[r] {
			attributes = append(attributes, slog.Uint64(r.String(), n-l.counted[r]))
		}
		l.counted[r] = n
	}
	for name, g := range l.groups {
		attributes = append(attributes, slog.Int64("open_"+name, g.Open()))
	}
	l.mu.Unlock()
	l.config.Log.Warn("clients exceed the limits", append(attributes, slog.Int64("used_bytes", l.limiter.Used()), slog.Int64("budget_bytes", l.limiter.Budget()))...)
}

// WriteMetrics writes the counters and gauges as text.
func (l *Limits) WriteMetrics(w io.Writer) {
	for _, r := range ingresslimit.Reasons() {
		fmt.Fprintf(w, "mustardstep_ingress_limited_total{reason=%q} %d\n", r, l.limiter.Counts(r))
	}
	fmt.Fprintf(w, "mustardstep_ingress_budget_bytes %d\n", l.limiter.Budget())
	fmt.Fprintf(w, "mustardstep_ingress_used_bytes %d\n", l.limiter.Used())
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, g := range l.groups {
		fmt.Fprintf(w, "mustardstep_ingress_connections{listener=%q} %d\n", name, g.Open())
	}
}

// Configure sets what the limits need on a server: handlers are called before a body is
// received, except for its first byte, and read it with ReadBody.
func (l *Limits) Configure(server *fasthttp.Server, tooManyFields, exhausted fasthttp.RequestHandler) {
	next := server.Handler
	server.Handler = func(c *fasthttp.RequestCtx) { l.handle(c, next, tooManyFields, exhausted) }
	server.StreamRequestBody = true
	server.MaxRequestBodySize = 1
	server.DisablePreParseMultipartForm = true
	server.HeaderReceived = func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
		if header.Len() > MaxHeaderFields {
			// Don't wait for the body of a request that will be refused.
			return fasthttp.RequestConfig{ReadTimeout: time.Nanosecond}
		}
		return fasthttp.RequestConfig{}
	}
}

// handle serves a request under the limits. It closes the connection after a request whose body was
// not read to its end.
func (l *Limits) handle(c *fasthttp.RequestCtx, next, tooManyFields, exhausted fasthttp.RequestHandler) {
	conn := connOf(c)
	if conn == nil {
		next(c)
		closeIfUnread(c, nil)
		return
	}
	conn.requests++
	conn.answer, conn.accepted = false, false
	if !c.Request.IsBodyStream() || c.Request.Header.ContentLength() == 0 {
		conn.beginServing()
	}
	if c.Request.Header.Len() > MaxHeaderFields {
		l.acted(ingresslimit.TooManyFields)
		tooManyFields(c)
		c.SetConnectionClose()
	} else {
		next(c)
	}
	closeIfUnread(c, conn)
	if conn.requests >= maxPipelined {
		l.acted(ingresslimit.TooManyPipelined)
		c.SetConnectionClose()
		conn.linger.Store(true)
	}
	size := len(c.Response.Body())
	if conn.accepted || size <= smallAnswer {
		conn.forceHold(size)
	} else if !conn.hold(size) {
		c.Response.Reset()
		exhausted(c)
		c.SetConnectionClose()
	}
	conn.answer = true
}

// closeIfUnread closes the connection after the answer if the body has not been read to its end.
func closeIfUnread(c *fasthttp.RequestCtx, conn *Conn) {
	if !c.Request.IsBodyStream() || c.Request.Header.ContentLength() == 0 || c.UserValue(bodyRead) != nil {
		return
	}
	c.SetConnectionClose()
	if conn != nil {
		conn.linger.Store(true)
	}
}

// bodyRead is the key of a user value that is set when the body has been read.
const bodyRead = "boundedhttp.bodyRead"

// connOf returns the connection of a request, or nil if it has no limits.
func connOf(c *fasthttp.RequestCtx) *Conn {
	conn := c.Conn()
	for conn != nil {
		switch wrapped := conn.(type) {
		case *Conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			conn = wrapped.NetConn()
		default:
			return nil
		}
	}
	return nil
}

// ReadBody receives the body of a request, of at most maxSize bytes, and checks the number of its
// fields, if it is to be decoded. It must be called after everything has been checked that does not
// depend on the body. Errors other than those of this package are those of the connection. From
// its return without an error the limits do not close the connection until the answer, unless the
// client does not read it. The body is valid as long as the caller needs it.
func (l *Limits) ReadBody(c *fasthttp.RequestCtx, maxSize int) ([]byte, error) {
	conn := connOf(c)
	if length := c.Request.Header.ContentLength(); length > maxSize {
		return nil, l.refuse(ingresslimit.TooLarge, ErrTooLarge)
	}
	body, err := l.receive(c, conn, maxSize)
	if err != nil {
		return nil, err
	}
	if c.Request.IsBodyStream() {
		c.SetUserValue(bodyRead, true)
	}
	fields := CountFields(body)
	if l.config.MaxFields > 0 && fields > l.config.MaxFields {
		return nil, l.refuse(ingresslimit.TooManyFields, ErrTooManyFields)
	}
	if conn == nil {
		return body, nil
	}
	if !conn.hold(len(body) + fields*fieldBytes) {
		return nil, ErrBudget
	}
	conn.accepted = true
	conn.beginServing()
	return body, nil
}

func (l *Limits) refuse(r ingresslimit.Reason, err error) error {
	l.acted(r)
	return err
}

// Decoded reduces the share of the budget of a request to what is kept until its answer.
func (l *Limits) Decoded(c *fasthttp.RequestCtx, kept int) {
	if conn := connOf(c); conn != nil {
		conn.hold(kept)
	}
}

// receive receives a body. Its buffer grows as bytes arrive, so that an announced length takes
// no memory.
func (l *Limits) receive(c *fasthttp.RequestCtx, conn *Conn, maxSize int) ([]byte, error) {
	stream := c.RequestBodyStream()
	if stream == nil {
		body := c.PostBody()
		if len(body) > maxSize {
			return nil, l.refuse(ingresslimit.TooLarge, ErrTooLarge)
		}
		return append([]byte(nil), body...), nil
	}
	if conn != nil {
		conn.receivingBody = true
		defer func() { conn.receivingBody = false }()
	}
	capacity := firstRead
	if length := c.Request.Header.ContentLength(); length >= 0 {
		capacity = min(capacity, length+1) // one more, to see the end
	}
	body := make([]byte, 0, capacity)
	for {
		if len(body) == cap(body) {
			if len(body) > maxSize {
				return nil, l.refuse(ingresslimit.TooLarge, ErrTooLarge)
			}
			larger := min(2*cap(body), maxSize+1)
			if conn != nil && !conn.hold(cap(body)+larger) {
				return nil, ErrBudget
			}
			body = append(make([]byte, 0, larger), body...)
			if conn != nil {
				conn.hold(larger)
			}
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			if length := c.Request.Header.ContentLength(); length >= 0 && len(body) < length {
				return nil, io.ErrUnexpectedEOF
			}
			if len(body) > maxSize {
				return nil, l.refuse(ingresslimit.TooLarge, ErrTooLarge)
			}
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// CountFields returns an upper bound of the number of values in a JSON text: the commas, colons and
// opening brackets outside of strings.
func CountFields(text []byte) int {
	fields, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			quoted = !quoted
		case '\\':
			if quoted {
				i++
			}
		case ',', ':', '{', '[':
			if !quoted {
				fields++
			}
		}
	}
	return fields
}
