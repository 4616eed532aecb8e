package boundedhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

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
