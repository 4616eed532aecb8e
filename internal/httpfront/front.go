// Package httpfront serves callers, operators and the platform's balancer over
// HTTP. It turns requests into submission.Request values and answers into
// status codes and JSON; it decides nothing about how a submission runs.
package httpfront

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Backend runs what the front accepts. It is called concurrently. The contexts
// that it gets outlive a shutdown of the front.
type Backend interface {
	// Catalog returns the services in force.
	Catalog() *catalog.Catalog
	// Submit runs a submission and returns its end.
	Submit(ctx context.Context, request *submission.Request) submission.Answer
	// Refuse answers a request that the catalog in force here refuses. An
	// attempt under the same key may have run while another catalog was in
	// force, which only the owner of the submission can tell.
	Refuse(ctx context.Context, request *submission.Request) submission.Answer
	// Cancel stops a submission. A failure says why it could not.
	Cancel(ctx context.Context, id submission.ID) *verdict.Error
	// Ready returns the reason why this VM takes no calls, or nil.
	Ready() error
}

// Config holds the settings of a Server.
type Config struct {
	// MaxBody is the largest body of a call, in bytes.
	MaxBody int
	// MaxHeader is the largest head of a request, in bytes.
	MaxHeader int
	// MaxTasks returns the most tasks of one job, which operators may change.
	MaxTasks func() int
	// MaxConns is the most connections at once.
	MaxConns int
	// ReadTimeout bounds the time to receive a request, head and body.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time to send an answer.
	WriteTimeout time.Duration
	// IdleTimeout bounds the time without a request on a connection.
	IdleTimeout time.Duration
	// Vars are shown at /debug/vars.
	Vars *expvar.Map
	// WriteMetrics prints counters and latency histograms as text, at /metrics; nil
	// nil, /metrics is not served.
	WriteMetrics func(w io.Writer)
	// Operators serves paths under /v1/operators; nil serves none.
	Operators fasthttp.RequestHandler
	// Log receives the faults of connections, at level debug.
	Log *slog.Logger
}

// Server is the HTTP server.
type Server struct {
	config  Config
	backend Backend
	server  *fasthttp.Server
}

// New returns a Server that does not listen yet.
func New(config Config, backend Backend) *Server {
	f := &Server{config: config, backend: backend}
	f.server = &fasthttp.Server{
		Handler:                      f.handle,
		ErrorHandler:                 refuseUnreadable,
		MaxRequestBodySize:           config.MaxBody,
		ReadBufferSize:               config.MaxHeader,
		Concurrency:                  config.MaxConns,
		ReadTimeout:                  config.ReadTimeout,
		WriteTimeout:                 config.WriteTimeout,
		IdleTimeout:                  config.IdleTimeout,
		Logger:                       slog.NewLogLogger(config.Log.Handler(), slog.LevelDebug),
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
	}
	return f
}

// Serve accepts requests until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.server.Serve(listener) }

// Shutdown stops accepting and waits for the requests in progress until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }

func (s *Server) handle(c *fasthttp.RequestCtx) {
	path, failure := splitPath(c)
	if failure != nil {
		refuse(c, statusOf(failure), "", failure)
		return
	}
	switch {
	case len(path) == 5 && path[0] == "v1" && path[1] == "services" && path[3] == "calls":
		if allow(c, fasthttp.MethodPost) {
			s.call(c, path[2], path[4])
		}
	case len(path) == 3 && path[0] == "v1" && path[1] == "submissions":
		if allow(c, fasthttp.MethodDelete) {
			s.cancel(c, path[2])
		}
	case len(path) == 3 && path[0] == "v1" && path[1] == "operators" && s.config.Operators != nil:
		s.config.Operators(c)
	case len(path) == 1 && path[0] == "healthz":
		if allow(c, fasthttp.MethodGet, fasthttp.MethodHead) {
			c.SetBodyString("ok\n")
		}
	case len(path) == 1 && path[0] == "readyz":
		if allow(c, fasthttp.MethodGet, fasthttp.MethodHead) {
			s.ready(c)
		}
	case len(path) == 2 && path[0] == "debug" && path[1] == "vars":
		if allow(c, fasthttp.MethodGet, fasthttp.MethodHead) {
			c.SetContentType("application/json")
			c.SetBodyString(s.config.Vars.String())
		}
	case len(path) == 1 && path[0] == "metrics" && s.config.WriteMetrics != nil:
		if allow(c, fasthttp.MethodGet, fasthttp.MethodHead) {
			s.config.WriteMetrics(c)
		}
	default:
		refuse(c, fasthttp.StatusNotFound, "", verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "no such path"))
	}
}

// splitPath returns the decoded elements of the request's path. It splits
// before it decodes, so that an element may hold an encoded slash.
func splitPath(c *fasthttp.RequestCtx) ([]string, *verdict.Error) {
	elements := strings.Split(strings.TrimPrefix(string(c.URI().PathOriginal()), "/"), "/")
	for i, element := range elements {
		decoded, err := url.PathUnescape(element)
		if err != nil {
			return nil, malformed("the path is not valid: %v", err)
		}
		elements[i] = decoded
	}
	return elements, nil
}

// allow refuses any other method than the given ones.
func allow(c *fasthttp.RequestCtx, methods ...string) bool {
	for _, method := range methods {
		if string(c.Method()) == method {
			return true
		}
	}
	allowed := strings.Join(methods, ", ")
	c.Response.Header.Set(fasthttp.HeaderAllow, allowed)
	refuse(c, fasthttp.StatusMethodNotAllowed, "", malformed("use %s", allowed))
	return false
}

func (s *Server) ready(c *fasthttp.RequestCtx) {
	if err := s.backend.Ready(); err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ready\n")
}

func malformed(format string, args ...any) *verdict.Error {
	return verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, format, args...)
}
