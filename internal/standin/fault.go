package standin

import (
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/valyala/fasthttp"
)

// setFault handles POST /standin/fault.
func (u *Upstream) setFault(c *fasthttp.RequestCtx) {
	var fault api.UpstreamFault
	err := json.Unmarshal(c.PostBody(), &fault)
	if err == nil {
		err = u.SetFault(fault)
	}
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// SetFault replaces the fault of the upstream and updates its registration. In mode
// UpstreamLeaving, the upstream is registered as leaving.
func (u *Upstream) SetFault(fault api.UpstreamFault) error {
	u.mu.Lock()
	u.fault = fault
	u.model.Speed = u.speed
	if fault.Mode == api.UpstreamSlow {
		u.model.Speed = u.speed / fault.Factor
	}
	u.model.Fail = fault.Mode == api.UpstreamFailing
	vm := u.vm
	u.mu.Unlock()
	if fault.Mode == api.UpstreamLeaving {
		vm.State = api.VMLeaving
	}
	return RegisterVM(u.platform, vm)
}

func (u *Upstream) currentFault() api.UpstreamFault {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fault
}

// SetUpstreamFault replaces the fault of the stand-in upstream at address.
func SetUpstreamFault(address string, fault api.UpstreamFault) error {
	return post(address, "/standin/fault", fault)
}

// SetPlatformFaults replaces the faults of the platform stand-in at address.
func SetPlatformFaults(address string, faults api.PlatformFaults) error {
	return post(address, "/standin/faults", faults)
}

// post sends a value as JSON to a stand-in.
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

// answerDelay returns the delay of the response to a start.
func answerDelay(fault api.UpstreamFault) time.Duration {
	if fault.Mode != api.UpstreamAnswersLate {
		return 0
	}
	return time.Duration(fault.DelayMS) * time.Millisecond
}

// Crash simulates a crash and immediate restart of the upstream process. All runs are
// lost.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.model.Restart(time.Now())
	u.wakeWaiters()
}

// CrashFor simulates a crash after which no process runs for the given time. It returns
// the completions that no dispatcher has acknowledged, and whether a process ran; otherwise
// it has no effect. Callers close the upstream's connections afterwards.
func (u *Upstream) CrashFor(down time.Duration) (lost []scheduler.Completion, crashed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if now.Before(u.downUntil) {
		return nil, false
	}
	u.downUntil = now.Add(down)
	_, report := u.model.Poll(now, scheduler.Poll{Token: math.MaxInt64}) // Restart resets the token
	u.model.Restart(now)
	u.wakeWaiters()
	return report.Completions, true
}

// errDown is the error of a request to an upstream without a process.
var errDown = errors.New("injected fault: the process has ended")
