package operators

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Client is a client of the operators' API. It tries its addresses in turn and
// prefers the one that last responded to a query. It is not safe for concurrent
// use.
type Client struct {
	addresses []string
	timeout   time.Duration
	http      *fasthttp.Client
}

// NewClient returns a Client for daemons at addresses of the form host:port.
// timeout limits each request.
func NewClient(addresses []string, timeout time.Duration) *Client {
	return &Client{addresses: addresses, timeout: timeout, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}}
}

// Configuration returns the configuration in force on the responding daemon.
func (c *Client) Configuration() (*api.Configuration, error) {
	return get[api.Configuration](c, pathConfiguration)
}

// History returns the retained accepted changes, newest first.
func (c *Client) History() (*api.HistoryResponse, error) {
	return get[api.HistoryResponse](c, pathHistory)
}

// Status returns the state of every VM.
func (c *Client) Status() (*api.StatusReport, error) {
	return get[api.StatusReport](c, pathStatus)
}

// Explain returns the state of a submission and its tasks.
func (c *Client) Explain(caller, key string) (*api.Explanation, error) {
	query := url.Values{"caller": {caller}, "key": {key}}
	return get[api.Explanation](c, pathExplain+"?"+query.Encode())
}

// Change submits a change. If a daemon does not respond, does not know the outcome
// or cannot reach the store, the next one is tried with the same change ID, so that
// the change is applied at most once. An error means that no daemon returned a valid
// response.
func (c *Client) Change(request *api.ChangeRequest) (*api.ChangeResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	var errs []error
	var last *api.ChangeResponse
	for _, address := range c.addresses {
		status, answer, err := c.do(address, fasthttp.MethodPost, pathChanges, body)
		if err == nil {
			response := new(api.ChangeResponse)
			if err = json.Unmarshal(answer, response); err == nil {
				if response.Outcome != api.ChangeUnknown && response.Outcome != api.ChangeUnavailable {
					return response, nil
				}
				last = lessCertain(last, response)
			} else {
				err = responseError(status, answer)
			}
		}
		if err != nil {
			errs = append(errs, errors.Wrap(err, address))
		}
		request.Retry = true
		if body, err = json.Marshal(request); err != nil {
			return nil, err
		}
	}
	if last != nil && (last.Outcome == api.ChangeUnknown || len(errs) == 0) {
		return last, nil
	}
	if last != nil {
		// One daemon did not apply the change; another, which did not respond, may
		// have.
		last.Outcome = api.ChangeUnknown
		return last, nil
	}
	return nil, errors.Join(errs...)
}

// lessCertain returns the response with the less certain outcome: ChangeUnknown is
// less certain than ChangeUnavailable. a may be nil.
func lessCertain(a, b *api.ChangeResponse) *api.ChangeResponse {
	if a != nil && a.Outcome == api.ChangeUnknown {
		return a
	}
	return b
}

func get[T any](c *Client, path string) (*T, error) {
	var errs []error
	for i, address := range c.addresses {
		status, body, err := c.do(address, fasthttp.MethodGet, path, nil)
		if err == nil && status != fasthttp.StatusOK {
			err = responseError(status, body)
		}
		value := new(T)
		if err == nil {
			err = json.Unmarshal(body, value)
		}
		if err == nil {
			// Later requests start with the daemon that responded.
			c.addresses[0], c.addresses[i] = c.addresses[i], c.addresses[0]
			return value, nil
		}
		errs = append(errs, errors.Wrap(err, address))
	}
	return nil, verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "no daemon responded: %v", errors.Join(errs...))
}

func (c *Client) do(address, method, path string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBodyRaw(body)
	if err := c.http.DoTimeout(request, response, c.timeout); err != nil {
		return 0, nil, err
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}
