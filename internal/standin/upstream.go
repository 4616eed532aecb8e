// Package standin holds small stand-ins for the systems around mustardstep:
// upstreams that pretend to run tasks, and the platform's services.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// stopTimeout bounds the wait for requests when a stand-in stops.
const stopTimeout = time.Second

// upstream pretends to run the tasks of one VM.
type upstream struct {
	name  string
	speed float64 // relative to the fastest
	slots int
	time  time.Duration // run time at speed 1 of a task that names none

	mu      sync.Mutex // guards the fields below
	fault   api.UpstreamFault
	running int
	starts  []api.StartEntry
	stops   map[taskName]chan struct{} // closed to stop a task
}

// start notes the start of a task, or refuses it where no slot is free.
func (u *upstream) start(task *api.TaskRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.slots {
		return false
	}
	u.running++
	u.starts = append(u.starts, api.StartEntry{
		Upstream: u.name, Submission: task.Submission, Task: task.Task, AtUS: time.Now().UnixMicro(),
	})
	return true
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *upstream) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/v1/tasks":
		if c.IsDelete() {
			u.stop(c)
			return
		}
		u.run(c)
	case "/standin/fault":
		u.setFault(c)
	case "/standin/starts":
		u.mu.Lock()
		defer u.mu.Unlock()
		writeJSON(c, fasthttp.StatusOK, api.StartLog{Starts: u.starts})
	default:
		c.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (u *upstream) run(c *fasthttp.RequestCtx) {
	var task api.TaskRequest
	if err := json.Unmarshal(c.PostBody(), &task); err != nil {
		writeJSON(c, fasthttp.StatusBadRequest, api.TaskResponse{Error: err.Error()})
		return
	}
	fault := u.currentFault()
	if refused := refusal(fault.Mode); refused != nil {
		writeJSON(c, fasthttp.StatusServiceUnavailable, refused)
		return
	}
	if !u.start(&task) {
		writeJSON(c, fasthttp.StatusServiceUnavailable, api.TaskResponse{Error: "no free slot"})
		return
	}
	whole := fault.Mode == api.UpstreamFailing || u.sleep(&task, u.runTime(&task, fault))
	u.end()
	if !whole {
		writeJSON(c, fasthttp.StatusInternalServerError, api.TaskResponse{Started: true, Error: "stopped"})
		return
	}
	time.Sleep(lateness(fault))
	u.answer(c, &task, fault.Mode)
}

// answer ends the request of a task that ran.
func (u *upstream) answer(c *fasthttp.RequestCtx, task *api.TaskRequest, mode api.UpstreamMode) {
	switch mode {
	case api.UpstreamAnswersLost:
		closeUnanswered(c)
		return
	case api.UpstreamFailing:
		writeJSON(c, fasthttp.StatusInternalServerError, api.TaskResponse{Started: true, Error: "failed by a fault"})
		return
	}
	result, err := json.Marshal(api.StandinResult{Submission: task.Submission, Task: task.Task, Upstream: u.name})
	if err != nil {
		writeJSON(c, fasthttp.StatusInternalServerError, api.TaskResponse{Started: true, Error: err.Error()})
		return
	}
	writeJSON(c, fasthttp.StatusOK, api.TaskResponse{Started: true, Result: result})
}

func (u *upstream) runTime(task *api.TaskRequest, fault api.UpstreamFault) time.Duration {
	var own api.StandinTask
	// An item of another form takes the default time.
	_ = json.Unmarshal(task.Item, &own)
	base := u.time
	if own.RunUS > 0 {
		base = time.Duration(own.RunUS) * time.Microsecond
	}
	if fault.Mode == api.UpstreamSlow {
		base = time.Duration(float64(base) * fault.Factor)
	}
	return time.Duration(float64(base) / u.speed)
}

// RunUpstreams serves the configured number of upstreams until the context
// ends, and registers them at the platform stand-in.
func RunUpstreams(ctx context.Context, s settings.Standin) error {
	host, _, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return errors.Wrap(err, "-listen")
	}
	speeds, err := parseSpeeds(s.Speeds)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for i := range s.Count {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return err
		}
		u := &upstream{
			name:  fmt.Sprintf("%s-%s-%02d", s.DataCentre, s.Service, i),
			speed: speeds[i%len(speeds)], slots: s.Slots, time: s.TaskTime,
		}
		vm := api.VM{
			Name: u.name, Role: api.RoleUpstream, DataCentre: s.DataCentre, Address: listener.Addr().String(),
			State: api.VMLive, Service: s.Service, Slots: s.Slots,
		}
		if err := RegisterVM(s.Platform, vm); err != nil {
			return err
		}
		g.Go(func() error { return serve(ctx, listener, u.handle) })
	}
	return g.Wait()
}

func parseSpeeds(texts []string) ([]float64, error) {
	speeds := make([]float64, len(texts))
	for i, text := range texts {
		speed, err := strconv.ParseFloat(text, 64)
		if err != nil || speed <= 0 || speed > 1 {
			return nil, errors.Newf("-speeds: %q is not above 0 and at most 1", text)
		}
		speeds[i] = speed
	}
	return speeds, nil
}

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		// Requests that outlast the timeout end with the process.
		_ = server.ShutdownWithContext(ctx)
		// A server that has not begun to accept does not know its listener yet.
		_ = listener.Close()
	})
	defer stop()
	return server.Serve(listener)
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
