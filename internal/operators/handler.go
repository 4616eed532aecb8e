// Package operators serves operators over HTTP and is their client. It decides
// nothing about the configuration.
package operators

import (
	"context"
	"encoding/json"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

// Paths of the operators' requests.
const (
	pathConfiguration = "/v1/operators/configuration"
	pathChanges       = "/v1/operators/changes"
	pathHistory       = "/v1/operators/history"
	pathStatus        = "/v1/operators/status"
	pathExplain       = "/v1/operators/explain"
)

// Backend answers operators. It is called concurrently.
type Backend interface {
	// Configuration returns the state in force on this VM.
	Configuration() *api.Configuration
	// Change makes a change, all or nothing.
	Change(ctx context.Context, request *api.ChangeRequest) *api.ChangeResponse
	// History returns the accepted changes that are kept.
	History(ctx context.Context) (*api.HistoryResponse, error)
	// Status asks every VM for its state.
	Status(ctx context.Context) *api.StatusReport
	// Explain tells what became of the tasks of a submission.
	Explain(ctx context.Context, id submission.ID) *api.Explanation
}

// Handler returns the handler of all paths under /v1/operators.
func Handler(backend Backend) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		// A request's own context is reused for later requests, so that
		// nothing that may outlive this one may hold on to it.
		ctx := context.Background()
		method := fasthttp.MethodGet
		switch path := string(c.Path()); path {
		case pathChanges:
			method = fasthttp.MethodPost
		case pathConfiguration, pathHistory, pathStatus, pathExplain:
		default:
			refuse(c, fasthttp.StatusNotFound, "no such path")
			return
		}
		if string(c.Method()) != method {
			c.Response.Header.Set(fasthttp.HeaderAllow, method)
			refuse(c, fasthttp.StatusMethodNotAllowed, "use "+method)
			return
		}
		serve(ctx, c, backend)
	}
}

func serve(ctx context.Context, c *fasthttp.RequestCtx, backend Backend) {
	switch string(c.Path()) {
	case pathConfiguration:
		write(c, fasthttp.StatusOK, backend.Configuration())
	case pathStatus:
		write(c, fasthttp.StatusOK, backend.Status(ctx))
	case pathExplain:
		args := c.QueryArgs()
		id := submission.ID{Caller: string(args.Peek("caller")), Key: string(args.Peek("key"))}
		if id.Caller == "" || id.Key == "" {
			refuse(c, fasthttp.StatusBadRequest, "name a caller and a key")
			return
		}
		write(c, fasthttp.StatusOK, backend.Explain(ctx, id))
	case pathHistory:
		history, err := backend.History(ctx)
		if err != nil {
			refuse(c, fasthttp.StatusServiceUnavailable, err.Error())
			return
		}
		write(c, fasthttp.StatusOK, history)
	case pathChanges:
		var request api.ChangeRequest
		if err := json.Unmarshal(c.PostBody(), &request); err != nil {
			refuse(c, fasthttp.StatusBadRequest, "the body is no change: "+err.Error())
			return
		}
		response := backend.Change(ctx, &request)
		write(c, statusOf(response.Outcome), response)
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

func refuse(c *fasthttp.RequestCtx, status int, reason string) {
	write(c, status, &api.ChangeResponse{Outcome: api.ChangeInvalid, Reason: reason})
}

func write(c *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(body)
}

// failure returns the reason of an answer that is no success.
func failure(status int, body []byte) error {
	var response api.ChangeResponse
	reason := string(body)
	if json.Unmarshal(body, &response) == nil && response.Reason != "" {
		reason = response.Reason
	}
	return verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable, "status %d: %s", status, reason)
}
