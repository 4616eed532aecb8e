package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// step defines how the server handles one attempt.
type step struct {
	body   string        // response body
	status int           // 0 means 200
	refuse bool          // refuse the connection
	lose   bool          // close without a response
	hang   bool          // send no response
	after  time.Duration // delay of the response
}

// server handles each attempt by the next step; the last step repeats.
type server struct {
	steps []step
	start time.Time

	mu        sync.Mutex // guards the fields below
	keys      []string
	sentAt    []time.Duration // time of each attempt since start
	addresses []string
}

func (s *server) dial(address string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.steps[min(len(s.sentAt), len(s.steps)-1)]
	s.sentAt = append(s.sentAt, time.Since(s.start))
	s.addresses = append(s.addresses, address)
	if step.refuse {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go s.answer(far, step)
	return near, nil
}

func (s *server) answer(conn net.Conn, step step) {
	defer conn.Close()
	var request fasthttp.Request
	if request.Read(bufio.NewReader(conn)) != nil {
		return
	}
	s.mu.Lock()
	s.keys = append(s.keys, string(request.Header.Peek(api.HeaderIdempotencyKey)))
	s.mu.Unlock()
	if step.hang {
		// Block until the client times out and closes the connection.
		_, _ = conn.Read(make([]byte, 1))
		return
	}
	if step.lose {
		return
	}
	time.Sleep(step.after)
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		max(step.status, fasthttp.StatusOK), len(step.body), step.body)
}

const complete = `{"verdict":"complete","key":"k","results":[1,2],"code":"none"}`

func failed(v verdict.Verdict, code verdict.Code, retryAfterMS int) step {
	return step{status: 503, body: fmt.Sprintf(`{"verdict":%q,"key":"k","code":%q,"retry_after_ms":%d}`, v, code, retryAfterMS)}
}

func TestCall(t *testing.T) {
	const backoff = 20 * time.Millisecond
	tests := []struct {
		name     string
		steps    []step
		key      string
		attempt  time.Duration // Config.AttemptTimeout
		deadline time.Duration
		at       []time.Duration // when the attempts are sent
		verdict  verdict.Verdict
		code     verdict.Code
	}{
		{name: "complete", steps: []step{{body: complete, after: time.Second}}, at: []time.Duration{0}, verdict: verdict.Complete},
		{name: "not ready, then complete", steps: []step{failed(verdict.MayHaveRun, verdict.CodeNotReady, 0), {body: complete}},
			at: []time.Duration{0, backoff}, verdict: verdict.Complete},
		{name: "back-off doubles", steps: []step{{lose: true}, {lose: true}, {lose: true}, {body: complete}},
			at: []time.Duration{0, backoff, 3 * backoff, 7 * backoff}, verdict: verdict.Complete},
		{name: "retry-after is honoured", steps: []step{failed(verdict.NotRun, verdict.CodeOverloaded, 700), {body: complete}},
			at: []time.Duration{0, 700 * time.Millisecond}, verdict: verdict.Complete},
		{name: "retry-after beyond the deadline", steps: []step{failed(verdict.NotRun, verdict.CodeQuota, 60_000)},
			at: []time.Duration{0}, verdict: verdict.NotRun, code: verdict.CodeQuota},
		{name: "lost answer, then complete", steps: []step{{lose: true}, {body: complete}},
			at: []time.Duration{0, backoff}, verdict: verdict.Complete},
		{name: "VM does not respond, then complete at the next", steps: []step{{hang: true}, {body: complete}}, attempt: time.Second,
			at: []time.Duration{0, time.Second + backoff}, verdict: verdict.Complete},
		{name: "ran", steps: []step{failed(verdict.Ran, verdict.CodeUpstreamFailed, 0)}, at: []time.Duration{0},
			verdict: verdict.Ran, code: verdict.CodeUpstreamFailed},
		{name: "may have run and uncovered", steps: []step{failed(verdict.MayHaveRun, verdict.CodeUncovered, 0)}, at: []time.Duration{0},
			verdict: verdict.MayHaveRun, code: verdict.CodeUncovered},
		{name: "invalid parameters", steps: []step{failed(verdict.NotRun, verdict.CodeInvalidParameters, 0)}, at: []time.Duration{0},
			verdict: verdict.NotRun, code: verdict.CodeInvalidParameters},
		{name: "may have run, then not run by the owner", steps: []step{failed(verdict.MayHaveRun, verdict.CodeUnreachable, 0), failed(verdict.NotRun, verdict.CodeDeadline, 0)},
			at: []time.Duration{0, backoff}, verdict: verdict.NotRun, code: verdict.CodeDeadline},
		{name: "not run does not cover an unanswered attempt", steps: []step{{lose: true}, failed(verdict.NotRun, verdict.CodeDeadline, 0)},
			at: []time.Duration{0, backoff}, verdict: verdict.MayHaveRun, code: verdict.CodeDeadline},
		{name: "refused connections", steps: []step{{refuse: true}}, deadline: 100 * time.Millisecond,
			at: []time.Duration{0, backoff, 3 * backoff}, verdict: verdict.NotRun, code: verdict.CodeUnreachable},
		{name: "refused connections with a caller's key", steps: []step{{refuse: true}}, key: "k", deadline: 30 * time.Millisecond,
			at: []time.Duration{0, backoff}, verdict: verdict.MayHaveRun, code: verdict.CodeUnreachable},
		{name: "refused connection after may have run", steps: []step{failed(verdict.MayHaveRun, verdict.CodeNotReady, 0), {refuse: true}}, deadline: 30 * time.Millisecond,
			at: []time.Duration{0, backoff}, verdict: verdict.MayHaveRun, code: verdict.CodeUnreachable},
		{name: "responses without an answer", steps: []step{{status: 502, body: "<html>"}, {body: "{}"}, {body: "null"}, {body: complete}},
			at: []time.Duration{0, backoff, 3 * backoff, 7 * backoff}, verdict: verdict.Complete},
		{name: "deadline", steps: []step{{hang: true}}, deadline: time.Second, at: []time.Duration{0},
			verdict: verdict.MayHaveRun, code: verdict.CodeUnreachable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{steps: test.steps, start: time.Now()}
				observed := 0
				c := New(Config{
					Addresses: []string{"10.0.0.1:80", "10.0.0.2:80"}, Caller: "museum", AttemptTimeout: test.attempt,
					Dial: s.dial, Observe: func(Attempt) { observed++ },
				})
				// Lets the HTTP library's goroutines for idle connections exit.
				defer time.Sleep(time.Hour)
				deadline := test.deadline
				if deadline == 0 {
					deadline = 10 * time.Second
				}
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				results, err := c.Call(ctx, Request{Service: "rota-desk", Call: "heat-alert", Key: test.key, Parameters: struct{}{}})
				s.mu.Lock()
				defer s.mu.Unlock()
				require.Equal(t, test.at, s.sentAt)
				require.Equal(t, len(test.at), observed)
				for _, key := range s.keys {
					require.Equal(t, s.keys[0], key, "every attempt uses the same key")
				}
				for i := 1; i < len(s.addresses); i++ {
					require.NotEqual(t, s.addresses[i-1], s.addresses[i], "attempts alternate between addresses")
				}
				if test.verdict == verdict.Complete {
					require.NoError(t, err)
					require.Len(t, results, 2)
					return
				}
				failure := verdict.From(err)
				require.Equal(t, test.verdict, failure.Verdict)
				require.Equal(t, test.code, failure.Code)
			})
		})
	}
}
