package standin

import (
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/valyala/fasthttp"
)

// setFault sets the fault that a request names.
func (u *upstream) setFault(c *fasthttp.RequestCtx) {
	var fault api.UpstreamFault
	if err := json.Unmarshal(c.PostBody(), &fault); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = fault
}

func (u *upstream) currentFault() api.UpstreamFault {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fault
}

// refusal returns the answer of an upstream that takes no tasks, or nil.
func refusal(mode api.UpstreamMode) *api.TaskResponse {
	switch mode {
	case api.UpstreamRefusing:
		return &api.TaskResponse{Error: "refused by a fault"}
	case api.UpstreamLeaving:
		return &api.TaskResponse{Error: "leaving", Leaving: true}
	default:
		return nil
	}
}

// closeUnanswered closes the connection of a request without an answer.
func closeUnanswered(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { conn.Close() })
}

// SetUpstreamFault sets the fault of the stand-in upstream at address.
func SetUpstreamFault(address string, fault api.UpstreamFault) error {
	return post(address, "/standin/fault", fault)
}

// SetPlatformFaults switches the faults of the platform stand-in at address.
func SetPlatformFaults(address string, faults api.PlatformFaults) error {
	return post(address, "/standin/faults", faults)
}

// post sends a value to a stand-in.
func post(address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, stopTimeout); err != nil {
		return errors.Wrapf(err, "%s%s", address, path)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("%s%s: status %d", address, path, response.StatusCode())
	}
	return nil
}

// lateness returns the wait between the end of a task and its answer.
func lateness(fault api.UpstreamFault) time.Duration {
	if fault.Mode != api.UpstreamAnswersLate {
		return 0
	}
	return time.Duration(fault.DelayMS) * time.Millisecond
}
