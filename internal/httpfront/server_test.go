package httpfront

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/examples"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/boundedhttp"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// backend records the requests that it receives.
type backend struct {
	catalog *catalog.Catalog
	ready   error
	answer  func(context.Context, *submission.Request) submission.Answer

	mu        sync.Mutex // guards the fields below
	submitted []*submission.Request
	invalid   []*submission.Request
	cancelled []submission.ID
}

func (b *backend) Catalog() *catalog.Catalog { return b.catalog }
func (b *backend) Ready() error              { return b.ready }

func (b *backend) Submit(ctx context.Context, r *submission.Request) submission.Answer {
	b.mu.Lock()
	b.submitted = append(b.submitted, r)
	b.mu.Unlock()
	return b.answer(ctx, r)
}

func (b *backend) SubmitInvalid(_ context.Context, r *submission.Request) submission.Answer {
	b.mu.Lock()
	b.invalid = append(b.invalid, r)
	b.mu.Unlock()
	failure := verdict.Errorf(verdict.NotRun, verdict.CodeUnknownCall, "the owner says so")
	return submission.Answer{Outcome: submission.Outcome{Failure: failure}, Owner: "vm1"}
}

func (b *backend) Cancel(_ context.Context, id submission.ID) *verdict.Error {
	b.mu.Lock()
	b.cancelled = append(b.cancelled, id)
	b.mu.Unlock()
	return nil
}

var testConfig = Config{
	MaxBody: 1 << 16, MaxHeader: 4096, MaxTasks: func() int { return 3 }, MaxConns: 100,
	ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute,
	Vars: new(expvar.Map).Init(), Log: slog.New(slog.DiscardHandler),
}

// serve starts a Server on an in-memory listener.
func serve(t *testing.T, config Config) (*Server, *backend, *fasthttputil.InmemoryListener) {
	services, err := catalog.Parse(examples.RotaDesk)
	require.NoError(t, err)
	b := &backend{catalog: services, answer: func(context.Context, *submission.Request) submission.Answer {
		return submission.Answer{Outcome: submission.Outcome{Results: [][]byte{[]byte(`1`), []byte(`"b"`)}}, Owner: "vm0"}
	}}
	server := New(config, b)
	listener := fasthttputil.NewInmemoryListener()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		require.NoError(t, <-served)
	})
	return server, b, listener
}

// exchange sends raw bytes and reads one response.
func exchange(t *testing.T, listener *fasthttputil.InmemoryListener, raw string) *fasthttp.Response {
	conn, err := listener.Dial()
	require.NoError(t, err)
	defer conn.Close()
	go conn.Write([]byte(raw)) // the server may respond before it has read everything
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(conn)))
	return response
}

// request formats an HTTP request.
func request(method, path, body string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, strings.Join(append(headers, ""), "\r\n"), len(body), body)
}

func decode(t *testing.T, response *fasthttp.Response) api.CallResponse {
	var answer api.CallResponse
	require.NoError(t, json.Unmarshal(response.Body(), &answer), "%s", response.Body())
	require.Equal(t, answer.Verdict.String(), string(response.Header.Peek(api.HeaderVerdict)))
	return answer
}

const (
	alertPath = "/v1/services/rota-desk/calls/heat-alert"
	swapPath  = "/v1/services/rota-desk/calls/shift-swap"
	alert     = `{"gallery":"east","figures":[{},{}]}`
	caller    = "Mustardstep-Caller: museum"
	key       = "Idempotency-Key: k1"
)

func TestInvalidRequests(t *testing.T) {
	tests := []struct {
		name   string
		raw    string
		status int
		code   verdict.Code
	}{
		{"no caller", request("POST", alertPath, alert, key), 400, verdict.CodeMalformed},
		{"two callers", request("POST", alertPath, alert, caller, caller), 400, verdict.CodeMalformed},
		{"caller too long", request("POST", alertPath, alert, caller+strings.Repeat("x", 200)), 400, verdict.CodeMalformed},
		{"two keys", request("POST", alertPath, alert, caller, key, key), 400, verdict.CodeMalformed},
		{"key too long", request("POST", alertPath, alert, caller, key+strings.Repeat("x", 256)), 400, verdict.CodeMalformed},
		{"key not ASCII", request("POST", alertPath, alert, caller, "Idempotency-Key: clé"), 400, verdict.CodeMalformed},
		{"no key on a call that is not idempotent", request("POST", swapPath, `{"from":"a","to":"b","shift":"c"}`, caller), 400, verdict.CodeKeyRequired},
		{"unknown service", request("POST", "/v1/services/none/calls/heat-alert", alert, caller), 404, verdict.CodeUnknownCall},
		{"unknown call", request("POST", "/v1/services/rota-desk/calls/none", alert, caller), 404, verdict.CodeUnknownCall},
		{"wrong path", request("POST", "/v1/service", alert, caller, key), 404, verdict.CodeMalformed},
		{"path with an extra segment", request("POST", alertPath+"/x", alert, caller, key), 404, verdict.CodeMalformed},
		{"wrong method on a call", request("PUT", alertPath, alert, caller, key), 405, verdict.CodeMalformed},
		{"wrong method on a submission", request("POST", "/v1/submissions/k1", "", caller), 405, verdict.CodeMalformed},
		{"invalid percent-encoding", request("POST", "/v1/services/rota-desk/calls/heat%zzalert", alert, caller, key), 400, verdict.CodeMalformed},
		{"empty body", request("POST", alertPath, "", caller, key), 400, verdict.CodeMalformed},
		{"bad JSON", request("POST", alertPath, `{"gallery":`, caller, key), 400, verdict.CodeMalformed},
		{"two JSON values", request("POST", alertPath, alert+alert, caller, key), 400, verdict.CodeMalformed},
		{"parameters of another type", request("POST", alertPath, `{"gallery":7,"figures":[{}]}`, caller), 422, verdict.CodeInvalidParameters},
		{"parameter missing", request("POST", alertPath, `{"gallery":"east"}`, caller), 422, verdict.CodeInvalidParameters},
		{"unknown parameter", request("POST", alertPath, `{"gallery":"e","figures":[{}],"x":1}`, caller), 422, verdict.CodeInvalidParameters},
		{"no elements", request("POST", alertPath, `{"gallery":"e","figures":[]}`, caller), 422, verdict.CodeInvalidParameters},
		{"not an object", request("POST", alertPath, `[]`, caller), 422, verdict.CodeInvalidParameters},
		{"too many tasks", request("POST", alertPath, `{"gallery":"e","figures":[{},{},{},{}]}`, caller), 413, verdict.CodeTooLarge},
		{"body too large", request("POST", alertPath, `"`+strings.Repeat("x", 1<<16)+`"`, caller, key), 413, verdict.CodeTooLarge},
		{"headers too large", request("POST", alertPath, alert, caller, "X-Pad: "+strings.Repeat("x", 8192)), 431, verdict.CodeTooLarge},
		{"timeout not a number", request("POST", alertPath, alert, caller, key, "Mustardstep-Timeout-Ms: soon"), 400, verdict.CodeMalformed},
		{"timeout negative", request("POST", alertPath, alert, caller, key, "Mustardstep-Timeout-Ms: -1"), 400, verdict.CodeMalformed},
		{"timeout zero", request("POST", alertPath, alert, caller, key, "Mustardstep-Timeout-Ms: 0"), 400, verdict.CodeMalformed},
		{"timeout that overflows", request("POST", alertPath, alert, caller, key, "Mustardstep-Timeout-Ms: 9223372036854775807"), 400, verdict.CodeMalformed},
		{"not HTTP", "hello\r\n\r\n", 400, verdict.CodeMalformed},
		{"bad content length", "POST " + alertPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", 400, verdict.CodeMalformed},
		{"cancel without a caller", request("DELETE", "/v1/submissions/k1", ""), 400, verdict.CodeMalformed},
		{"cancel without a key", request("DELETE", "/v1/submissions/", "", caller), 400, verdict.CodeMalformed},
		{"cancel with a bad key", request("DELETE", "/v1/submissions/%00", "", caller), 400, verdict.CodeMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, b, listener := serve(t, testConfig)
			response := exchange(t, listener, test.raw)
			require.Equal(t, test.status, response.StatusCode(), "%s", response.Body())
			answer := decode(t, response)
			require.Equal(t, verdict.NotRun, answer.Verdict)
			require.Equal(t, test.code, answer.Code)
			require.NotEmpty(t, answer.Reason)
			require.Empty(t, b.submitted)
			require.Empty(t, b.invalid)
			require.Empty(t, b.cancelled)
		})
	}
}

// A submission with the same key may have run under another catalog, so the
// verdict on an invalid request with a key must come from its owner.
func TestOwnerDecidesOnInvalidRequestWithKey(t *testing.T) {
	for name, raw := range map[string]string{
		"unknown call":       request("POST", "/v1/services/rota-desk/calls/none", alert, caller, key),
		"invalid parameters": request("POST", alertPath, `{"gallery":7,"figures":[{}]}`, caller, key),
		"too many tasks":     request("POST", alertPath, `{"gallery":"e","figures":[{},{},{},{}]}`, caller, key),
	} {
		t.Run(name, func(t *testing.T) {
			_, b, listener := serve(t, testConfig)
			answer := decode(t, exchange(t, listener, raw))
			require.Equal(t, "vm1", answer.Owner)
			require.Empty(t, b.submitted)
			require.Len(t, b.invalid, 1)
			require.WithinRange(t, b.invalid[0].Deadline, time.Now(), time.Now().Add(time.Hour))
		})
	}
}

func TestNotReadyVerdict(t *testing.T) {
	for _, test := range []struct {
		name    string
		headers []string
		verdict verdict.Verdict
	}{
		{"key of the caller", []string{caller, key}, verdict.MayHaveRun},
		{"no key", []string{caller}, verdict.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, b, listener := serve(t, testConfig)
			b.ready = errors.New("draining")
			response := exchange(t, listener, request("POST", alertPath, alert, test.headers...))
			require.Equal(t, 503, response.StatusCode())
			require.Equal(t, "1", string(response.Header.Peek("Retry-After")))
			answer := decode(t, response)
			require.Equal(t, test.verdict, answer.Verdict)
			require.Equal(t, verdict.CodeNotReady, answer.Code)
			require.Empty(t, b.submitted)
		})
	}
}

// A refusal for lack of memory must not deny an earlier attempt with the caller's key.
func TestExhaustedBudgetVerdict(t *testing.T) {
	for headers, want := range map[string]verdict.Verdict{caller: verdict.NotRun, caller + "\r\n" + key: verdict.MayHaveRun} {
		config := testConfig
		config.Limits = boundedhttp.New(boundedhttp.Config{Memory: 64, Descriptors: 100, ProgressTimeout: time.Minute})
		_, b, listener := serve(t, config)
		response := exchange(t, listener, request("POST", alertPath, alert, headers))
		require.Equal(t, 503, response.StatusCode())
		require.Equal(t, "1", string(response.Header.Peek("Retry-After")))
		require.Equal(t, want, decode(t, response).Verdict)
		require.Empty(t, b.submitted)
	}
}

func TestCompleteAnswer(t *testing.T) {
	_, b, listener := serve(t, testConfig)
	response := exchange(t, listener, request("POST", alertPath, alert, caller, key, "Mustardstep-Timeout-Ms: 60000"))
	require.Equal(t, 200, response.StatusCode())
	require.JSONEq(t, `{"verdict":"complete","key":"k1","results":[1,"b"],"code":"none","owner":"vm0"}`, string(response.Body()))
	require.Equal(t, "complete", string(response.Header.Peek(api.HeaderVerdict)))
	require.Equal(t, "k1", string(response.Header.Peek(api.HeaderIdempotencyKey)))
	require.Len(t, b.submitted, 1)
	require.Equal(t, submission.ID{Caller: "museum", Key: "k1"}, b.submitted[0].ID)
	require.False(t, b.submitted[0].FreshKey)
	require.JSONEq(t, alert, string(b.submitted[0].Parameters))
	// The caller's timeout is limited to the call's deadline of 20 s.
	require.False(t, b.submitted[0].Deadline.After(time.Now().Add(20*time.Second)))
}

func TestKeyIsGeneratedForIdempotentCalls(t *testing.T) {
	_, b, listener := serve(t, testConfig)
	first := decode(t, exchange(t, listener, request("POST", alertPath, alert, caller)))
	second := decode(t, exchange(t, listener, request("POST", alertPath, alert, caller)))
	require.NotEmpty(t, first.Key)
	require.NotEqual(t, first.Key, second.Key)
	require.Equal(t, first.Key, b.submitted[0].ID.Key)
	require.True(t, b.submitted[0].FreshKey)
}

func TestFailureStatuses(t *testing.T) {
	for code, status := range map[verdict.Code]int{
		verdict.CodeKeyReused: 422, verdict.CodeNeverFits: 422, verdict.CodeOverloaded: 429, verdict.CodeQuota: 429,
		verdict.CodeDeadline: 504, verdict.CodeUpstreamFailed: 502, verdict.CodeCancelled: 409, verdict.CodeExpired: 409,
		verdict.CodeInternal: 500, verdict.CodeUnreachable: 503, verdict.CodeNoUpstream: 503, verdict.CodeUncovered: 503,
	} {
		t.Run(code.String(), func(t *testing.T) {
			_, b, listener := serve(t, testConfig)
			b.answer = func(context.Context, *submission.Request) submission.Answer {
				failure := verdict.Errorf(verdict.Ran, code, "reason").WithRetryAfter(1200 * time.Millisecond)
				return submission.Answer{Outcome: submission.Outcome{Failure: failure}}
			}
			response := exchange(t, listener, request("POST", alertPath, alert, caller, key))
			require.Equal(t, status, response.StatusCode())
			require.Equal(t, "2", string(response.Header.Peek("Retry-After")), "whole seconds, rounded up")
			answer := decode(t, response)
			require.Equal(t, verdict.Ran, answer.Verdict)
			require.Equal(t, int64(1200), answer.RetryAfterMS)
		})
	}
}

func TestResultIsNotJSON(t *testing.T) {
	_, b, listener := serve(t, testConfig)
	b.answer = func(context.Context, *submission.Request) submission.Answer {
		return submission.Answer{Outcome: submission.Outcome{Results: [][]byte{[]byte(`{`)}}}
	}
	response := exchange(t, listener, request("POST", alertPath, alert, caller, key))
	require.Equal(t, 502, response.StatusCode())
	require.Equal(t, verdict.Ran, decode(t, response).Verdict)
}

func TestCancelDecodesTheKey(t *testing.T) {
	_, b, listener := serve(t, testConfig)
	response := exchange(t, listener, request("DELETE", "/v1/submissions/a%2Fb%20c", "", caller))
	require.Equal(t, 204, response.StatusCode())
	require.Equal(t, []submission.ID{{Caller: "museum", Key: "a/b c"}}, b.cancelled)
}

func TestShutdownWaitsForRequests(t *testing.T) {
	server, b, listener := serve(t, testConfig)
	entered, proceed := make(chan struct{}), make(chan struct{})
	b.answer = func(ctx context.Context, _ *submission.Request) submission.Answer {
		close(entered)
		<-proceed
		if ctx.Err() != nil {
			return submission.Answer{Outcome: submission.Outcome{
				Failure: verdict.Errorf(verdict.MayHaveRun, verdict.CodeDeadline, "%v", ctx.Err())}}
		}
		return submission.Answer{Outcome: submission.Outcome{Results: [][]byte{[]byte(`1`)}}}
	}
	conn, err := listener.Dial()
	require.NoError(t, err)
	_, err = conn.Write([]byte(request("POST", alertPath, alert, caller, key)))
	require.NoError(t, err)
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	// fasthttp closes the listener before it cancels the contexts of requests.
	require.Eventually(t, func() bool {
		_, err := listener.Dial()
		return err != nil
	}, time.Minute, time.Millisecond)
	close(proceed)
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(conn)))
	require.Equal(t, verdict.Complete, decode(t, response).Verdict)
	require.NoError(t, <-stopped)
}

func TestReadTimeout(t *testing.T) {
	config := testConfig
	config.ReadTimeout = 20 * time.Millisecond
	for name, start := range map[string]string{
		"head": "POST " + alertPath + " HTTP/1.1\r\nHost: x\r\n",
		"body": "POST " + alertPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			server, b, _ := serve(t, config)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte(start))
			require.NoError(t, err)
			response := &fasthttp.Response{}
			require.NoError(t, response.Read(bufio.NewReader(conn)))
			require.Equal(t, 408, response.StatusCode())
			require.Equal(t, verdict.NotRun, decode(t, response).Verdict)
			require.Empty(t, b.submitted)
			listener.Close()
			require.NoError(t, <-served)
		})
	}
}

func TestHealthAndDebugPaths(t *testing.T) {
	_, b, listener := serve(t, testConfig)
	require.Equal(t, "ok\n", string(exchange(t, listener, request("GET", "/healthz", "")).Body()))
	require.Equal(t, 200, exchange(t, listener, request("GET", "/readyz", "")).StatusCode())
	b.ready = errors.New("draining")
	require.Equal(t, 200, exchange(t, listener, request("GET", "/healthz", "")).StatusCode())
	response := exchange(t, listener, request("GET", "/readyz", ""))
	require.Equal(t, 503, response.StatusCode())
	require.Equal(t, "draining\n", string(response.Body()))
	require.JSONEq(t, "{}", string(exchange(t, listener, request("GET", "/debug/vars", "")).Body()))
}

func FuzzRead(f *testing.F) {
	f.Add("museum", "k1", "100", alert, alertPath)
	f.Add("", "", "", "", "/")
	f.Add("a\x00", "%2F", "-9223372036854775808", `{"figures":[1e999]}`, "/v1/services/%zz/calls/x")
	services, err := catalog.Parse(examples.RotaDesk)
	require.NoError(f, err)
	server := New(testConfig, &backend{catalog: services})
	f.Fuzz(func(t *testing.T, caller, key, timeout, body, path string) {
		var c fasthttp.RequestCtx
		c.Request.Header.Set(api.HeaderCaller, caller)
		c.Request.Header.Set(api.HeaderIdempotencyKey, key)
		c.Request.Header.Set(api.HeaderTimeoutMS, timeout)
		c.Request.SetRequestURI(path)
		c.Request.SetBodyString(body)
		_, _ = splitPath(&c)
		r, failure := server.parseRequest(&c, "rota-desk", "heat-alert")
		if failure != nil {
			require.Equal(t, verdict.NotRun, failure.Verdict)
			return
		}
		require.NotEmpty(t, r.ID.Caller)
		require.NotEmpty(t, r.ID.Key)
		if failure := server.validate(r, services.Lookup("rota-desk", "heat-alert")); failure != nil {
			require.Equal(t, verdict.NotRun, failure.Verdict)
		}
	})
}
