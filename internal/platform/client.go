package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Client is a Store and Directory over HTTP.
type Client struct {
	address string
	timeout time.Duration
	http    *fasthttp.Client
}

// errDial marks a request that was never sent.
var errDial = errors.New("dial")

// NewClient returns a client of the platform at host:port. The timeout bounds
// each call; a watch adds its wait.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{address: address, timeout: timeout, http: &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, timeout)
			return conn, errors.Mark(err, errDial)
		},
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}}
}

// Range implements Store.
func (c *Client) Range(ctx context.Context, prefix string) (*api.RangeResponse, error) {
	query := url.Values{"prefix": {prefix}}
	return call[api.RangeResponse](ctx, c, fasthttp.MethodGet, "/v1/kv?"+query.Encode(), nil, c.timeout)
}

// Txn implements Store.
func (c *Client) Txn(ctx context.Context, request *api.TxnRequest) (*api.TxnResponse, error) {
	return call[api.TxnResponse](ctx, c, fasthttp.MethodPost, "/v1/kv/txn", request, c.timeout)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (*api.WatchResponse, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return call[api.WatchResponse](ctx, c, fasthttp.MethodGet, "/v1/kv/watch?"+query.Encode(), nil, c.timeout+wait)
}

// VMs implements Directory.
func (c *Client) VMs(ctx context.Context, dataCentre, tag string) (*api.VMList, error) {
	query := url.Values{"data_centre": {dataCentre}, "tag": {tag}}
	return call[api.VMList](ctx, c, fasthttp.MethodGet, "/v1/vms?"+query.Encode(), nil, c.timeout)
}

// call sends one request and decodes its answer.
func call[T any](ctx context.Context, c *Client, method, path string, body any, timeout time.Duration) (*T, error) {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			fasthttp.ReleaseRequest(request)
			return nil, verdict.Errorf(verdict.NotRun, verdict.CodeInternal, "encode: %v", err)
		}
		request.SetBodyRaw(encoded)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	done := make(chan result, 1)
	go func() { done <- c.do(request, timeout) }()
	var r result
	select {
	case r = <-done:
	case <-ctx.Done():
		// The request ends by its timeout.
		return nil, verdict.Errorf(verdict.MayHaveRun, verdict.CodeDeadline, "platform: %v", ctx.Err())
	}
	if r.err != nil {
		v := verdict.MayHaveRun
		if errors.Is(r.err, errDial) {
			v = verdict.NotRun
		}
		return nil, verdict.Errorf(v, verdict.CodeUnreachable, "platform: %v", r.err)
	}
	if r.status != fasthttp.StatusOK {
		return nil, statusFailure(r.status, r.body)
	}
	value := new(T)
	if err := json.Unmarshal(r.body, value); err != nil {
		return nil, verdict.Errorf(verdict.MayHaveRun, verdict.CodeMalformed, "platform: bad answer: %v", err)
	}
	return value, nil
}

// result is the end of a request.
type result struct {
	status int
	body   []byte
	err    error
}

// do sends a request, which it releases, and waits for its answer.
func (c *Client) do(request *fasthttp.Request, timeout time.Duration) result {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return result{err: err}
	}
	return result{status: response.StatusCode(), body: append([]byte(nil), response.Body()...)}
}

// statusFailure judges an answer that is no success. A 4xx refused the request
// before it took effect; any other status may hide a write.
func statusFailure(status int, body []byte) error {
	v, code := verdict.MayHaveRun, verdict.CodeUnreachable
	if status >= 400 && status < 500 {
		v, code = verdict.NotRun, verdict.CodeMalformed
	}
	if status == fasthttp.StatusRequestEntityTooLarge {
		code = verdict.CodeTooLarge
	}
	return verdict.Errorf(v, code, "platform: status %d: %s", status, body)
}
