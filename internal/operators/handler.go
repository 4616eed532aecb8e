// Package operators implements the server and the client of the operators' HTTP
// API. The Backend implements the operations.
package operators

import (
	"context"
	"encoding/json"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Paths of the API.
const (
	pathConfiguration = "/v1/operators/configuration"
	pathChanges       = "/v1/operators/changes"
	pathHistory       = "/v1/operators/history"
	pathStatus        = "/v1/operators/status"
	pathExplain       = "/v1/operators/explain"
)

// Backend processes the requests of operators. It must be safe for concurrent
// use.
type Backend interface {
	// Configuration returns the configuration in force on this VM.
	Configuration() *api.Configuration
	// Change applies all edits of a change or none.
	Change(ctx context.Context, request *api.ChangeRequest) *api.ChangeResponse
	// History returns the retained accepted changes, newest first.
	History(ctx context.Context) (*api.HistoryResponse, error)
	// Status collects the state of every VM.
	Status(ctx context.Context) *api.StatusReport
	// Explain returns the state of a submission and its tasks.
	Explain(ctx context.Context, id submission.ID) *api.Explanation
}

// Handler returns the handler for the paths under /v1/operators.
func Handler(backend Backend) fasthttp.RequestHandler {
	return LimitedHandler(backend, func(c *fasthttp.RequestCtx) ([]byte, error) { return c.PostBody(), nil })
}

// LimitedHandler is Handler with a function that receives the body of a request under the limits
// of the server.
func LimitedHandler(backend Backend, readBody func(*fasthttp.RequestCtx) ([]byte, error)) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		// fasthttp reuses a RequestCtx for later requests. Work that outlives this
		// request must not hold it as its context.
		ctx := context.Background()
		method := fasthttp.MethodGet
		switch path := string(c.Path()); path {
		case pathChanges:
			method = fasthttp.MethodPost
		case pathConfiguration, pathHistory, pathStatus, pathExplain:
		default:
			writeError(c, fasthttp.StatusNotFound, "the path does not exist")
			return
		}
		if string(c.Method()) != method {
			c.Response.Header.Set(fasthttp.HeaderAllow, method)
			writeError(c, fasthttp.StatusMethodNotAllowed, "the method is not allowed; use "+method)
			return
		}
		serve(ctx, c, backend, readBody)
	}
}

func serve(ctx context.Context, c *fasthttp.RequestCtx, backend Backend, readBody func(*fasthttp.RequestCtx) ([]byte, error)) {
	switch string(c.Path()) {
	case pathConfiguration:
		writeJSON(c, fasthttp.StatusOK, backend.Configuration())
	case pathStatus:
		writeJSON(c, fasthttp.StatusOK, backend.Status(ctx))
	case pathExplain:
		args := c.QueryArgs()
		id := submission.ID{Caller: string(args.Peek("caller")), Key: string(args.Peek("key"))}
		if id.Caller == "" || id.Key == "" {
			writeError(c, fasthttp.StatusBadRequest, "the query parameters caller and key are required")
			return
		}
		writeJSON(c, fasthttp.StatusOK, backend.Explain(ctx, id))
	case pathHistory:
		history, err := backend.History(ctx)
		if err != nil {
			writeError(c, fasthttp.StatusServiceUnavailable, err.Error())
			return
		}
		writeJSON(c, fasthttp.StatusOK, history)
	case pathChanges:
		var request api.ChangeRequest
		body, err := readBody(c)
		if err != nil {
			// Nothing was applied; another daemon may accept the change.
			writeJSON(c, fasthttp.StatusServiceUnavailable, &api.ChangeResponse{Outcome: api.ChangeUnavailable, Reason: err.Error()})
			return
		}
		if err := json.Unmarshal(body, &request); err != nil {
			writeError(c, fasthttp.StatusBadRequest, "the body is not a valid change: "+err.Error())
			return
		}
		response := backend.Change(ctx, &request)
		writeJSON(c, statusOf(response.Outcome), response)
	}
}

func statusOf(outcome api.ChangeOutcome) int {
	switch outcome {
	case api.ChangeAccepted:
		return fasthttp.StatusOK
	case api.ChangeConflict:
		return fasthttp.StatusConflict
	case api.ChangeInvalid:
		return fasthttp.StatusUnprocessableEntity
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// writeError writes an error response. Its body is a ChangeResponse on every path;
// clients read its reason.
func writeError(c *fasthttp.RequestCtx, status int, reason string) {
	writeJSON(c, status, &api.ChangeResponse{Outcome: api.ChangeInvalid, Reason: reason})
}

func writeJSON(c *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(body)
}

// responseError returns the error for a response with an unexpected status.
func responseError(status int, body []byte) error {
	var response api.ChangeResponse
	reason := string(body)
	if json.Unmarshal(body, &response) == nil && response.Reason != "" {
		reason = response.Reason
	}
	return verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "status %d: %s", status, reason)
}
