// Package httpfront is the HTTP server for callers, operators and the platform's
// load balancer. It decodes requests into submission.Request values and encodes
// answers as status codes and JSON. How a submission runs is up to the Backend.
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
	"github.com/mustardstep/mustardstep/internal/boundedhttp"
	"github.com/mustardstep/mustardstep/internal/panics"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Backend processes the requests of a Server. It must be safe for concurrent
// use. Its contexts are not cancelled when the Server shuts down.
type Backend interface {
	// Catalog returns the services in force.
	Catalog() *catalog.Catalog
	// Submit runs a submission and returns its answer.
	Submit(ctx context.Context, request *submission.Request) submission.Answer
	// SubmitInvalid submits a request that is invalid under the catalog in force
	// here, and returns its answer. Only the owner of the submission can set the
	// verdict: an attempt with the same key may have run under another catalog.
	SubmitInvalid(ctx context.Context, request *submission.Request) submission.Answer
	// Cancel cancels a submission, or returns the reason why it cannot.
	Cancel(ctx context.Context, id submission.ID) *verdict.Error
	// Ready returns nil if this VM accepts calls, or the reason why it does not.
	Ready() error
}

// Config holds the settings of a Server.
type Config struct {
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// MaxHeader is the maximum size of the request line and headers, in bytes.
	MaxHeader int
	// MaxTasks returns the maximum number of tasks of one job. Operators can
	// change it at run time.
	MaxTasks func() int
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// ReadTimeout limits the time to receive a request, headers and body.
	ReadTimeout time.Duration
	// WriteTimeout limits the time to send a response.
	WriteTimeout time.Duration
	// IdleTimeout limits the time that a connection stays open without a request.
	IdleTimeout time.Duration
	// Vars are served as JSON at /debug/vars.
	Vars *expvar.Map
	// WriteMetrics writes counters and latency histograms as text for /metrics.
	// If nil, /metrics is not served.
	WriteMetrics func(w io.Writer)
	// Operators handles the paths under /v1/operators. If nil, they are not
	// served.
	Operators fasthttp.RequestHandler
	// Limits are those of the process on its clients; nil sets none but those above.
	Limits *boundedhttp.Limits
	// Log receives connection errors, at level debug.
	Log *slog.Logger
}

// Server is an HTTP server.
type Server struct {
	config  Config
	backend Backend
	server  *fasthttp.Server
}

// New returns a Server that does not listen yet.
func New(config Config, backend Backend) *Server {
	if config.Limits == nil {
		config.Limits = boundedhttp.New(boundedhttp.Config{ProgressTimeout: config.ReadTimeout})
	}
	s := &Server{config: config, backend: backend}
	s.server = &fasthttp.Server{
		Handler:        s.handle,
		ErrorHandler:   handleReadError,
		ReadBufferSize: config.MaxHeader,
		// The limits close connections whose goroutines may still run for a moment.
		Concurrency:           2 * config.MaxConns,
		ReadTimeout:           config.ReadTimeout,
		WriteTimeout:          config.WriteTimeout,
		IdleTimeout:           config.IdleTimeout,
		Logger:                slog.NewLogLogger(config.Log.Handler(), slog.LevelDebug),
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	config.Limits.Configure(s.server, func(c *fasthttp.RequestCtx) {
		writeError(c, fasthttp.StatusRequestHeaderFieldsTooLarge, "", verdict.Errorf(verdict.NotRun, verdict.CodeTooLarge, "the request has too many headers"))
	}, func(c *fasthttp.RequestCtx) {
		writeError(c, fasthttp.StatusServiceUnavailable, keyOf(c), bodyError(c, boundedhttp.ErrBudget))
	})
	return s
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.server.Serve(s.config.Limits.Listen(listener, "callers", 1, s.config.MaxConns))
}

// Shutdown closes the listener and waits for requests in progress until ctx is
// done.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }

func (s *Server) handle(c *fasthttp.RequestCtx) {
	defer panics.Recover(s.config.Log, func(err error) {
		c.ResetBody()
		writeError(c, fasthttp.StatusInternalServerError, "", verdict.Errorf(verdict.MayHaveRun, verdict.CodeInternal, "%v", err))
	}, slog.String("path", string(c.Path())))
	path, failure := splitPath(c)
	if failure != nil {
		writeError(c, statusOf(failure), "", failure)
		return
	}
	switch {
	case len(path) == 5 && path[0] == "v1" && path[1] == "services" && path[3] == "calls":
		if allowMethods(c, fasthttp.MethodPost) {
			s.handleCall(c, path[2], path[4])
		}
	case len(path) == 3 && path[0] == "v1" && path[1] == "submissions":
		if allowMethods(c, fasthttp.MethodDelete) {
			s.handleCancel(c, path[2])
		}
	case len(path) == 3 && path[0] == "v1" && path[1] == "operators" && s.config.Operators != nil:
		s.config.Operators(c)
	case len(path) == 1 && path[0] == "healthz":
		if allowMethods(c, fasthttp.MethodGet, fasthttp.MethodHead) {
			c.SetBodyString("ok\n")
		}
	case len(path) == 1 && path[0] == "readyz":
		if allowMethods(c, fasthttp.MethodGet, fasthttp.MethodHead) {
			s.handleReady(c)
		}
	case len(path) == 2 && path[0] == "debug" && path[1] == "vars":
		if allowMethods(c, fasthttp.MethodGet, fasthttp.MethodHead) {
			c.SetContentType("application/json")
			c.SetBodyString(s.config.Vars.String())
		}
	case len(path) == 1 && path[0] == "metrics" && s.config.WriteMetrics != nil:
		if allowMethods(c, fasthttp.MethodGet, fasthttp.MethodHead) {
			s.config.WriteMetrics(c)
			s.config.Limits.WriteMetrics(c)
		}
	default:
		writeError(c, fasthttp.StatusNotFound, "", verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, "the path does not exist"))
	}
}

// splitPath returns the decoded segments of the request path. It splits before
// it decodes, so that a segment may contain an encoded slash.
func splitPath(c *fasthttp.RequestCtx) ([]string, *verdict.Error) {
	elements := strings.Split(strings.TrimPrefix(string(c.URI().PathOriginal()), "/"), "/")
	for i, element := range elements {
		decoded, err := url.PathUnescape(element)
		if err != nil {
			return nil, malformed("the path is invalid: %v", err)
		}
		elements[i] = decoded
	}
	return elements, nil
}

// allowMethods reports whether the method is one of methods. If it is not, it
// writes an error response.
func allowMethods(c *fasthttp.RequestCtx, methods ...string) bool {
	for _, method := range methods {
		if string(c.Method()) == method {
			return true
		}
	}
	allowed := strings.Join(methods, ", ")
	c.Response.Header.Set(fasthttp.HeaderAllow, allowed)
	writeError(c, fasthttp.StatusMethodNotAllowed, "", malformed("the method is not allowed; use %s", allowed))
	return false
}

func (s *Server) handleReady(c *fasthttp.RequestCtx) {
	if err := s.backend.Ready(); err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ready\n")
}

func malformed(format string, args ...any) *verdict.Error {
	return verdict.Errorf(verdict.NotRun, verdict.CodeMalformed, format, args...)
}
