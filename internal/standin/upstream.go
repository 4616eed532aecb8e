// Package standin provides stand-ins for the systems around mustardstep: upstreams
// that simulate tasks, and the platform's store. Both support fault injection.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/upstream"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/scheduler/schedulertest"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	// stopTimeout bounds the shutdown of a server and a request to a stand-in.
	stopTimeout = time.Second
	// leaseMax is the longest lease that a stand-in upstream grants.
	leaseMax = time.Second
	// taskMilliCPU is the CPU size of a slot, and of a task that declares none.
	taskMilliCPU = 1000
)

// Upstream simulates an upstream on one VM. It implements node.UpstreamClient and is
// safe for concurrent use.
type Upstream struct {
	vm       api.VM
	platform string // address of the platform stand-in; empty if none
	speed    float64
	taskTime time.Duration // default run time of a task at speed 1
	// OnStart and OnCompletion, if set, are called for every run with mu held. They
	// must be set before the upstream serves requests.
	OnStart      func(run scheduler.Run, token int64, used scheduler.Size)
	OnCompletion func(run scheduler.Run, kind scheduler.CompletionKind)

	mu        sync.Mutex // guards the fields below
	downUntil time.Time  // requests get no response until then
	model     *schedulertest.Upstream
	fault     api.UpstreamFault
	token     int64 // of the start that is being executed
	starts    []api.StartEntry
	specs     map[scheduler.Run]api.TaskSpec // by active run
	changed   chan struct{}                  // closed and replaced by wakeWaiters
}

// NewUpstream returns an upstream whose simulated process starts now.
func NewUpstream(vm api.VM, platform string, speed float64, taskTime time.Duration) *Upstream {
	u := &Upstream{
		vm: vm, platform: platform, speed: speed, taskTime: taskTime,
		specs: map[scheduler.Run]api.TaskSpec{}, changed: make(chan struct{}),
	}
	u.model = schedulertest.New(time.Now(), scheduler.Upstream{Name: vm.Name}, leaseMax)
	u.model.Speed = speed
	u.model.OnStart = u.recordStart
	u.model.Result = u.result
	u.model.OnCompletion = func(_ time.Time, run scheduler.Run, kind scheduler.CompletionKind) {
		delete(u.specs, run)
		if u.OnCompletion != nil {
			u.OnCompletion(run, kind)
		}
	}
	return u
}

func (u *Upstream) recordStart(_ time.Time, run scheduler.Run) {
	u.starts = append(u.starts, api.StartEntry{
		Upstream: u.vm.Name, Submission: u.specs[run].Submission, Task: run.Index, AtUS: time.Now().UnixMicro(),
	})
	if u.OnStart != nil {
		u.OnStart(run, u.token, u.model.Used)
	}
}

func (u *Upstream) result(run scheduler.Run) []byte {
	result, err := json.Marshal(api.StandinResult{Submission: u.specs[run].Submission, Task: run.Index, Upstream: u.vm.Name})
	if err != nil {
		return nil // the suites count a missing result as a partial answer
	}
	return result
}

// wakeWaiters wakes waiting polls and CompleteRuns. The caller holds mu.
func (u *Upstream) wakeWaiters() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// Start implements node.UpstreamClient.
func (u *Upstream) Start(_ context.Context, start scheduler.Start) (scheduler.OrderResult, int64, error) {
	fault := u.currentFault()
	result, clock := u.start(start, fault)
	time.Sleep(answerDelay(fault))
	if result == scheduler.OrderUnanswered {
		return result, clock, errDown
	}
	if fault.Mode == api.UpstreamAnswersLost {
		return scheduler.OrderUnanswered, 0, errors.New("injected fault: response lost")
	}
	return result, clock, nil
}

func (u *Upstream) start(start scheduler.Start, fault api.UpstreamFault) (scheduler.OrderResult, int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	clock := u.model.Clock(now)
	if now.Before(u.downUntil) {
		return scheduler.OrderUnanswered, clock
	}
	if start.Upstream.Name != u.vm.Name || start.ProcessStart != 0 && start.ProcessStart != u.model.ProcessStart() {
		return scheduler.OrderOtherProcess, clock
	}
	if fault.Mode == api.UpstreamRefusing || fault.Mode == api.UpstreamLeaving {
		return scheduler.OrderUnhealthy, clock
	}
	var spec api.TaskSpec
	if err := json.Unmarshal([]byte(start.Spec), &spec); err != nil {
		return scheduler.OrderRejected, clock
	}
	u.model.Advance(now)
	size := scheduler.Size{MilliCPU: taskMilliCPU, MemoryMB: int(spec.MemoryMB)}
	if spec.MilliCPU > 0 {
		size.MilliCPU = int(spec.MilliCPU)
	}
	if u.vm.Slots > 0 && !u.model.HasRun(start.Run.Task) && u.model.Used.MilliCPU+size.MilliCPU > u.vm.Slots*taskMilliCPU {
		return u.rejectForRoom(now, start)
	}
	u.token = start.Token
	_, present := u.specs[start.Run]
	if !present {
		u.specs[start.Run] = spec
	}
	result, clock := u.model.Start(now, start, size, u.runTime(start.Item, &spec, fault))
	if result != scheduler.OrderDone && !present {
		delete(u.specs, start.Run)
	}
	u.wakeWaiters()
	return result, clock
}

// rejectForRoom rejects a start that does not fit. Unless it is fenced or late, it raises
// the token and renews the lease. The caller holds mu.
func (u *Upstream) rejectForRoom(now time.Time, start scheduler.Start) (scheduler.OrderResult, int64) {
	clock := u.model.Clock(now)
	if start.Until < clock {
		return scheduler.OrderLate, clock
	}
	result, _ := u.model.Poll(now, scheduler.Poll{Token: start.Token, Until: start.Until})
	if result == scheduler.PollFenced {
		return scheduler.OrderFenced, clock
	}
	return scheduler.OrderNoRoom, clock
}

// SetClockRate sets the rate of the upstream's clock relative to real time. It must be
// called before the upstream serves requests.
func (u *Upstream) SetClockRate(rate float64) { u.model.ClockRate = rate }

// Stop implements node.UpstreamClient.
func (u *Upstream) Stop(_ context.Context, stop scheduler.Stop) (scheduler.OrderResult, int64, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if stop.Upstream.Name != u.vm.Name {
		return scheduler.OrderOtherProcess, u.model.Clock(time.Now()), nil
	}
	result, clock := u.model.Stop(time.Now(), stop)
	u.wakeWaiters()
	return result, clock, nil
}

// Poll implements node.UpstreamClient.
func (u *Upstream) Poll(ctx context.Context, poll scheduler.Poll) (scheduler.PollResult, scheduler.PollReport, error) {
	if poll.Upstream.Name != u.vm.Name {
		return scheduler.PollOtherProcess, scheduler.PollReport{}, nil
	}
	deadline := time.Now().Add(poll.Wait)
	lastProcessStart := int64(0)
	for {
		u.mu.Lock()
		now := time.Now()
		if processStart := u.model.ProcessStart(); lastProcessStart != 0 && lastProcessStart != processStart {
			u.mu.Unlock()
			return scheduler.PollUnanswered, scheduler.PollReport{}, errors.New("upstream restarted during the poll")
		} else if poll.ProcessStart != 0 && poll.ProcessStart != processStart {
			u.mu.Unlock()
			return scheduler.PollOtherProcess, scheduler.PollReport{}, nil
		} else {
			lastProcessStart = processStart
		}
		result, report := u.model.Poll(now, poll)
		next, running := u.model.NextCompletion(now)
		changed := u.changed
		u.mu.Unlock()
		if hasCompletionAfter(report, poll.Seen) || result != scheduler.PollAnswered || !now.Before(deadline) {
			return result, report, nil
		}
		if !running || deadline.Before(next) {
			next = deadline
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return scheduler.PollUnanswered, scheduler.PollReport{}, ctx.Err()
		}
		poll.Until = 0 // the first iteration has renewed the lease
	}
}

// hasCompletionAfter reports whether a report lists a completion with a number above
// seen.
func hasCompletionAfter(report scheduler.PollReport, seen int64) bool {
	return len(report.Completions) > 0 && report.Completions[len(report.Completions)-1].Number > seen
}

// runTime returns the run time of a task at speed 1.
func (u *Upstream) runTime(item []byte, spec *api.TaskSpec, fault api.UpstreamFault) time.Duration {
	if fault.Mode == api.UpstreamFailing {
		return 0
	}
	var task api.StandinTask
	if len(item) == 0 {
		item = spec.Parameters
	}
	// An item of another format falls back to the default run time.
	_ = json.Unmarshal(item, &task)
	if task.RunUS > 0 {
		return time.Duration(task.RunUS) * time.Microsecond
	}
	return u.taskTime
}

func (u *Upstream) handle(ctx context.Context, c *fasthttp.RequestCtx) {
	if upstream.Serve(ctx, u, c) {
		return
	}
	switch string(c.Path()) {
	case "/standin/fault":
		u.setFault(c)
	case "/standin/starts":
		writeJSON(c, fasthttp.StatusOK, api.StartLog{Starts: u.Starts()})
	default:
		c.Error("no such path", fasthttp.StatusNotFound)
	}
}

// Serve serves the upstream on a listener until the context ends.
func (u *Upstream) Serve(ctx context.Context, listener net.Listener) error {
	return serve(ctx, listener, func(c *fasthttp.RequestCtx) { u.handle(ctx, c) })
}

// ServeHandler serves the upstream on a listener through another protocol's handler
// until the context ends.
func (u *Upstream) ServeHandler(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	return serve(ctx, listener, handler)
}

// CompleteRuns completes runs when their work is done or their lease expires, without
// waiting for a request. It returns when the context ends.
func (u *Upstream) CompleteRuns(ctx context.Context) error {
	for ctx.Err() == nil {
		u.mu.Lock()
		now := time.Now()
		u.model.Advance(now)
		next, running := u.model.NextCompletion(now)
		changed := u.changed
		u.mu.Unlock()
		if !running {
			next = now.Add(time.Hour) // a start, stop or crash closes changed
		}
		timer := time.NewTimer(max(next.Sub(now), time.Millisecond))
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// Starts returns all starts so far, in order of time.
func (u *Upstream) Starts() []api.StartEntry {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.starts)
}

// RunUpstreams serves the configured number of upstreams, registered at the platform
// stand-in, until the context ends.
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
		vm := api.VM{
			Name: fmt.Sprintf("%s-%s-%02d", s.DataCentre, s.Service, i), Role: api.RoleUpstream, DataCentre: s.DataCentre,
			Address: listener.Addr().String(), State: api.VMLive, Service: s.Service, Slots: s.Slots,
		}
		u := NewUpstream(vm, s.Platform, speeds[i%len(speeds)], s.TaskTime)
		if err := RegisterVM(s.Platform, vm); err != nil {
			return err
		}
		g.Go(func() error { return u.Serve(ctx, listener) })
	}
	return g.Wait()
}

func parseSpeeds(texts []string) ([]float64, error) {
	speeds := make([]float64, len(texts))
	for i, text := range texts {
		speed, err := strconv.ParseFloat(text, 64)
		if err != nil || speed <= 0 || speed > 1 {
			return nil, errors.Newf("-speeds: %q is not a number above 0 and at most 1", text)
		}
		speeds[i] = speed
	}
	return speeds, nil
}

// serve runs an HTTP server until the context ends, then shuts it down.
func serve(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	return serveWith(ctx, listener, &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true})
}

// serveWith runs the given HTTP server until the context ends, then shuts it down.
func serveWith(ctx context.Context, listener net.Listener, server *fasthttp.Server) error {
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		// Requests that exceed the timeout are terminated when the process exits.
		_ = server.ShutdownWithContext(ctx)
		// ShutdownWithContext does not close the listener of a server that has not
		// yet called Accept.
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
