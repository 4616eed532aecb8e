package boundedhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/ingresslimit"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const maxBody = 100_000

// serve starts a server under limits that answers with the length of the body, or with the error.
func serve(t *testing.T, config Config) (*Limits, string) {
	l := New(config)
	answer := func(status int) fasthttp.RequestHandler {
		return func(c *fasthttp.RequestCtx) { c.Error("", status) }
	}
	server := &fasthttp.Server{ReadTimeout: time.Minute, Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/none" {
			c.Error("no route", 404)
			return
		}
		if string(c.Path()) == "/big" { // more than the sockets hold
			c.SetBody(make([]byte, 16<<20))
			return
		}
		body, err := l.ReadBody(c, maxBody)
		if err != nil {
			c.Error(err.Error(), 400)
			return
		}
		fmt.Fprint(c, len(body))
	}}
	l.Configure(server, answer(431), answer(503))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l.Listen(listener, "test", 1, 0)) }()
	t.Cleanup(func() {
		listener.Close()
		require.NoError(t, <-served)
	})
	return l, listener.Addr().String()
}

// exchange sends a request and returns the status and the body of the answer, and whether the
// connection goes on.
func exchange(t *testing.T, address, request string) (status int, body string, keepAlive bool) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	var response fasthttp.Response
	require.NoError(t, response.Read(bufio.NewReader(conn)))
	return response.StatusCode(), string(response.Body()), !response.ConnectionClose()
}

func TestBodies(t *testing.T) {
	l, address := serve(t, Config{Memory: 4 << 20, MaxFields: 100, ProgressTimeout: time.Minute})
	post := func(path, headers, body string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body
	}
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	const chunked = "Transfer-Encoding: chunked\r\n"
	text := strings.Repeat("x", maxBody)
	for _, c := range []struct {
		name, request string
		status        int
		body          string
		keepAlive     bool
	}{
		{"empty", post("/", length(0), ""), 200, "0", true},
		{"small", post("/", length(3), "abc"), 200, "3", true},
		{"greatest", post("/", length(maxBody), text), 200, "100000", true},
		{"greatest in a chunk", post("/", chunked, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", maxBody, text)), 200, "100000", true},
		{"too large", post("/", length(maxBody+1), ""+"x"), 400, ErrTooLarge.Error(), false},
		{"chunk too large", post("/", chunked, fmt.Sprintf("%x\r\n%sx\r\n", maxBody+1, text)), 400, ErrTooLarge.Error(), false},
		{"many fields", post("/", length(200), strings.Repeat("[,", 100)), 400, ErrTooManyFields.Error(), true},
		{"commas in strings", post("/", length(202), `"`+strings.Repeat(`,\"`, 66)+`,,"`), 200, "202", true},
		{"no route, before the body is sent", post("/none", length(maxBody), "x"), 404, "no route", false},
		{"many headers", post("/", strings.Repeat("a:\r\n", 200)+length(3), "abc"), 431, "", false},
	} {
		status, body, keepAlive := exchange(t, address, c.request)
		require.Equal(t, c.status, status, c.name)
		if c.body != "" {
			require.Equal(t, c.body, body, c.name)
		}
		require.Equal(t, c.keepAlive, keepAlive, c.name)
	}
	var metrics strings.Builder
	l.WriteMetrics(&metrics)
	require.Contains(t, metrics.String(), `mustardstep_ingress_limited_total{reason="too_large"} 2`)
	require.Eventually(t, func() bool { return l.limiter.Used() == 0 }, 10*time.Second, time.Millisecond, "shares of the budget are not returned")
}

// The budget must not outlive the requests, and its end must be answered.
func TestBudgetIsExhausted(t *testing.T) {
	l, address := serve(t, Config{Memory: 4 * 60_000, ProgressTimeout: time.Minute})
	status, body, _ := exchange(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("x", maxBody)))
	require.Equal(t, 400, status)
	require.Equal(t, ErrBudget.Error(), body)
	status, body, _ = exchange(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	require.Equal(t, 200, status)
	require.Equal(t, "3", body)
	require.Eventually(t, func() bool { return l.limiter.Used() == 0 }, 10*time.Second, time.Millisecond)
}

// A client that sends nothing more, or reads nothing, kept its connection.
func TestConnectionWithoutProgressIsClosed(t *testing.T) {
	_, address := serve(t, Config{Memory: 64 << 20, ProgressTimeout: 50 * time.Millisecond})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "HTTP/1.1 400")
}

// A client that takes nothing of its answers kept its connection without end.
func TestConnectionThatDoesNotReadIsClosed(t *testing.T) {
	l, address := serve(t, Config{Memory: 128 << 20, ProgressTimeout: 50 * time.Millisecond})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /big HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return l.limiter.Counts(ingresslimit.NoProgress) == 1 }, 10*time.Second, time.Millisecond)
}

func TestPipelinedRequestsAreLimited(t *testing.T) {
	_, address := serve(t, Config{Memory: 64 << 20, ProgressTimeout: time.Minute})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, strings.Repeat("GET /none HTTP/1.1\r\nHost: x\r\n\r\n", maxPipelined+20))
	require.NoError(t, err)
	answers, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, maxPipelined, strings.Count(string(answers), "HTTP/1.1 404"))
}

// fullListener has no descriptor for the first connection.
type fullListener struct{ errs []error }

func (l *fullListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}
func (*fullListener) Close() error   { return nil }
func (*fullListener) Addr() net.Addr { return nil }

// The process ended when it had no descriptor for a connection.
func TestLackOfDescriptorsEndsListener(t *testing.T) {
	l := New(Config{})
	lack := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	_, err := l.Listen(&fullListener{[]error{lack, syscall.ECONNABORTED, net.ErrClosed}}, "test", 1, 0).Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	require.EqualValues(t, 1, l.limiter.Counts(ingresslimit.NoDescriptor))
}

// A connection that waits for its answer must not be closed, whatever else happens.
func TestWaitingCallerIsKept(t *testing.T) {
	l := New(Config{Descriptors: 2, Memory: 1 << 20, ProgressTimeout: time.Millisecond})
	entered, proceed := make(chan struct{}), make(chan struct{})
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		_, err := l.ReadBody(c, maxBody)
		require.NoError(t, err)
		close(entered)
		<-proceed
	}}
	l.Configure(server, func(*fasthttp.RequestCtx) {}, func(*fasthttp.RequestCtx) {})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go server.Serve(l.Listen(inner, "test", 1, 0))
	defer inner.Close()
	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	require.NoError(t, err)
	<-entered
	for range 3 { // above the limit of one connection
		other, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			continue // reset already
		}
		_, err = io.ReadAll(other)
		require.Error(t, err, "not reset")
		other.Close()
	}
	close(proceed)
	var response fasthttp.Response
	require.NoError(t, response.Read(bufio.NewReader(conn)))
	require.Equal(t, 200, response.StatusCode())
}
