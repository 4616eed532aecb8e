package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// maxBody is the largest result that the client under test accepts, in bytes.
const maxBody = 4096

// faultServer is a real server on loopback that answers every request in one
// way, good or bad.
type faultServer struct {
	address  string
	requests atomic.Int64
}

// newFaultServer serves until the test ends. answer gets the connection after
// a whole request was read; the connection stays open where keep is true.
func newFaultServer(t *testing.T, answer func(conn net.Conn) (keep bool)) *faultServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &faultServer{address: listener.Addr().String()}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *faultServer) serve(conn net.Conn, answer func(net.Conn) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if !answer(conn) {
			return
		}
	}
}

// write answers with raw bytes and closes.
func write(raw string) func(net.Conn) bool {
	return func(conn net.Conn) bool {
		io.WriteString(conn, raw)
		return false
	}
}

// respond answers with a status and a body and keeps the connection.
func respond(status int, body string) func(net.Conn) bool {
	return func(conn net.Conn) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		return true
	}
}

func newTestClient() *Client {
	return NewClient(Config{DialTimeout: 5 * time.Second, MaxConns: 4, MaxBody: maxBody})
}

func testTask(timeoutMS int64) *api.TaskRequest {
	return &api.TaskRequest{Submission: "museum/k", Task: 1, Tasks: 2, Service: "rota-desk", Call: "touch-up", TimeoutMS: timeoutMS}
}

// longMS is a deadline that no case reaches, in milliseconds.
const longMS = 60_000

func TestVerdictOfEachAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		answer  func(net.Conn) bool
		verdict verdict.Verdict
		code    verdict.Code
	}{
		"closed before the answer":    {write(""), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"half a header":               {write("HTTP/1.1 200 OK\r\nContent-Le"), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"half a body":                 {write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"started\":true"), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"no HTTP":                     {write("\x00\x01 garbage\r\n\r\n"), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"no JSON":                     {respond(200, "<html>"), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"empty body":                  {respond(200, ""), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"JSON of another kind":        {respond(200, `["started"]`), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"success that denies a start": {respond(200, `{"started":false,"result":1}`), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"refused":                     {respond(503, `{"started":false}`), verdict.NotRun, verdict.CodeUpstreamFailed},
		"refused after a start":       {respond(503, `{"started":true}`), verdict.Ran, verdict.CodeUpstreamFailed},
		"refused by a balancer":       {respond(503, "no healthy host"), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"failed after the start":      {respond(500, `{"started":true,"error":"x"}`), verdict.Ran, verdict.CodeUpstreamFailed},
		"failed without a word":       {respond(500, `{}`), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"bad gateway":                 {respond(502, `{"started":false}`), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
		"huge body":                   {respond(200, `{"started":true,"result":"`+strings.Repeat("x", 2*maxBody)+`"}`), verdict.MayHaveRun, verdict.CodeUpstreamFailed},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFaultServer(t, c.answer)
			result := newTestClient().Run(server.address, testTask(longMS))
			require.NotNil(t, result.Failure)
			require.Equal(t, c.verdict, result.Failure.Verdict, result.Failure.Reason)
			require.Equal(t, c.code, result.Failure.Code)
			require.Nil(t, result.Value)
			require.EqualValues(t, 1, server.requests.Load(), "a task must be sent once")
		})
	}
}

func TestSuccess(t *testing.T) {
	for name, c := range map[string]struct{ body, value string }{
		"result":         {`{"started":true,"result":{"a":[1]}}`, `{"a":[1]}`},
		"no result":      {`{"started":true}`, `null`},
		"unknown fields": {`{"started":true,"result":1,"later":{}}`, `1`},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFaultServer(t, respond(200, c.body))
			result := newTestClient().Run(server.address, testTask(longMS))
			require.Nil(t, result.Failure)
			require.JSONEq(t, c.value, string(result.Value))
		})
	}
}

func TestLeavingIsReported(t *testing.T) {
	server := newFaultServer(t, respond(503, `{"started":false,"leaving":true}`))
	result := newTestClient().Run(server.address, testTask(longMS))
	require.Equal(t, verdict.NotRun, result.Failure.Verdict)
	require.True(t, result.Leaving)
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	failure := newTestClient().Run(address, testTask(longMS)).Failure
	require.Equal(t, verdict.NotRun, failure.Verdict, failure.Reason)
	require.Equal(t, verdict.CodeUnreachable, failure.Code)
}

func TestAnswerAfterTheDeadlineMayHaveRun(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	server := newFaultServer(t, func(conn net.Conn) bool {
		<-release
		return respond(200, `{"started":true}`)(conn)
	})
	failure := newTestClient().Run(server.address, testTask(20)).Failure
	require.Equal(t, verdict.MayHaveRun, failure.Verdict, failure.Reason)
}

func TestRedirectIsNotFollowed(t *testing.T) {
	elsewhere := newFaultServer(t, respond(200, `{"started":true}`))
	server := newFaultServer(t, write("HTTP/1.1 307 x\r\nLocation: http://"+elsewhere.address+"/v1/tasks\r\nContent-Length: 0\r\n\r\n"))
	failure := newTestClient().Run(server.address, testTask(longMS)).Failure
	require.Equal(t, verdict.MayHaveRun, failure.Verdict, failure.Reason)
	require.Zero(t, elsewhere.requests.Load())
}

// TestIdleConnectionClosedByUpstream sends a second task over a connection
// that the upstream has closed. Whatever the verdict, it is sent once at most.
func TestIdleConnectionClosedByUpstream(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := newFaultServer(t, func(conn net.Conn) bool {
		respond(200, `{"started":true}`)(conn)
		conn.Close()
		closed <- struct{}{}
		return false
	})
	client := newTestClient()
	require.Nil(t, client.Run(server.address, testTask(longMS)).Failure)
	<-closed
	failure := client.Run(server.address, testTask(longMS)).Failure
	if failure != nil {
		require.Equal(t, verdict.MayHaveRun, failure.Verdict, failure.Reason)
	}
	require.LessOrEqual(t, server.requests.Load(), int64(2))
}
