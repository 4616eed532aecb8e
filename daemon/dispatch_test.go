package daemon

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/internal/vmlist"
	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener := listen(t)
	listener.Close()
	return listener.Addr().String()
}

// serveStandin runs a server until the end of the test and returns its address.
func serveStandin(t *testing.T, serve func(context.Context, net.Listener) error) string {
	listener := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

const services = `
version: 1
services:
  rota-desk:
    calls:
      heat-alert:
        idempotent: true
        deadline: 20s
        parameters: {type: object}
        tasks: {for_each: figures, duration: 20ms}
`

// newTestDaemon returns a daemon that is not running yet and uses the platform at
// the given address.
func newTestDaemon(t *testing.T, vm, platform string, args ...string) *Daemon {
	file := filepath.Join(t.TempDir(), "services.yaml")
	require.NoError(t, os.WriteFile(file, []byte(services), 0o600))
	var s settings.DaemonProgram
	flags := flag.NewFlagSet(vm, flag.ContinueOnError)
	binder := settings.NewBinder(flags)
	s.Bind(binder)
	require.NoError(t, flags.Parse(append([]string{
		"-vm", vm, "-data-centre", "rabat", "-http-listen", closedAddress(t), "-peer-listen", closedAddress(t),
		"-platform", platform, "-schema-file", file, "-drain-delay", "0s", "-config-start-wait", "100ms",
	}, args...)))
	require.NoError(t, binder.Resolve(func(string) (string, bool) { return "", false }))
	d, err := New(s, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return d
}

// runDaemon runs a daemon until stop is called or the test ends.
func runDaemon(t *testing.T, d *Daemon) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			require.NoError(t, <-done)
		}
	}
	t.Cleanup(stop)
	return stop
}

func awaitReady(t *testing.T, d *Daemon) {
	for d.Ready() != nil {
		time.Sleep(5 * time.Millisecond)
	}
}

// startUpstreams serves stand-in upstreams and lists them in the store.
func startUpstreams(t *testing.T, memory store.Store, count int) []*standin.Upstream {
	var all []*standin.Upstream
	for i := range count {
		vm := api.VM{
			Name: fmt.Sprintf("u%d", i), Role: api.RoleUpstream, DataCentre: "rabat", State: api.VMLive, Service: "rota-desk", Slots: 4,
		}
		u := standin.NewUpstream(vm, "", 1, 20*time.Millisecond)
		vm.Address = serveStandin(t, u.Serve)
		require.NoError(t, vmlist.Put(t.Context(), memory, vm))
		all = append(all, u)
	}
	return all
}

func heatAlert(key string, tasks int) *submission.Request {
	parameters, err := json.Marshal(map[string]any{"figures": make([]int, tasks)})
	if err != nil {
		panic(err) // the value is always valid
	}
	return &submission.Request{
		ID: submission.ID{Caller: "museum", Key: key}, Service: "rota-desk", Call: "heat-alert",
		Parameters: parameters, Deadline: time.Now().Add(20 * time.Second),
	}
}

// TestCallsSurviveDispatcherStopAndPlatformOutage submits calls to two daemons
// while the one that dispatches is stopped gracefully, and to a third that starts
// during an outage of the platform. No call may fail.
func TestCallsSurviveDispatcherStopAndPlatformOutage(t *testing.T) {
	faulty := standin.NewFaultyStore(store.NewMemory())
	platform := serveStandin(t, func(ctx context.Context, l net.Listener) error { return standin.ServeStore(ctx, l, faulty) })
	startUpstreams(t, faulty, 3)
	first := newTestDaemon(t, "vm0", platform, "-dispatch-weight", "2000")
	stopFirst := runDaemon(t, first)
	awaitReady(t, first)
	seed := "vm0=rabat/" + first.settings.Network.PeerListen
	second := newTestDaemon(t, "vm1", platform, "-seeds", seed)
	runDaemon(t, second)
	awaitReady(t, second)
	for i, d := range []*Daemon{first, second} {
		for k := range 5 {
			answer := d.Submit(t.Context(), heatAlert(fmt.Sprintf("a%d-%d", i, k), 10))
			require.Nil(t, answer.Outcome.Failure)
			require.Len(t, answer.Outcome.Results, 10)
			for task, result := range answer.Outcome.Results {
				var own api.StandinResult
				require.NoError(t, json.Unmarshal(result, &own))
				require.Equal(t, task, own.Task)
				require.Equal(t, fmt.Sprintf("museum/a%d-%d", i, k), own.Submission)
			}
		}
	}
	again := second.Submit(t.Context(), heatAlert("a0-0", 10))
	require.Nil(t, again.Outcome.Failure)
	require.Len(t, again.Outcome.Results, 10)

	// A new dispatcher must have known the upstreams for lapsedRetention before it
	// can rule out runs on upstreams that it does not know.
	time.Sleep(lapsedRetention)
	running := make(chan submission.Answer, 20)
	for k := range cap(running) {
		go func() { running <- second.Submit(t.Context(), heatAlert(fmt.Sprintf("b%d", k), 10)) }()
	}
	stopFirst()
	for range cap(running) {
		answer := <-running
		require.Nil(t, answer.Outcome.Failure, "a graceful stop of the dispatcher must fail no call")
		require.Len(t, answer.Outcome.Results, 10)
	}

	require.NoError(t, faulty.SetFaults(api.PlatformFaults{Down: true}))
	third := newTestDaemon(t, "vm2", platform, "-seeds", "vm1=rabat/"+second.settings.Network.PeerListen, "-dispatch-weight", "3000")
	runDaemon(t, third)
	awaitReady(t, third)
	for third.dispatch.Ready() != nil || !isDispatching(third) {
		time.Sleep(5 * time.Millisecond)
	}
	answer := third.Submit(t.Context(), heatAlert("c", 10))
	require.Nil(t, answer.Outcome.Failure, "the list of upstreams comes from a peer")
}

func isDispatching(d *Daemon) bool {
	token, claimed, _ := d.dispatch.DispatchStatus()
	return token != 0 && claimed > 0
}

// TestFailedTaskFailsItsCall submits to upstreams that fail, refuse, or lose their
// answers to starts. No task may start twice, and the verdict must match the
// fault. If the answers are lost, polls find the started tasks, and the call
// completes with their results.
func TestFailedTaskFailsItsCall(t *testing.T) {
	for name, c := range map[string]struct {
		fault    api.UpstreamMode
		verdicts []verdict.Verdict
	}{
		"failing":      {api.UpstreamFailing, []verdict.Verdict{verdict.Ran}},
		"refusing":     {api.UpstreamRefusing, []verdict.Verdict{verdict.NotRun}},
		"answers lost": {api.UpstreamAnswersLost, nil},
	} {
		t.Run(name, func(t *testing.T) {
			memory := store.NewMemory()
			faulty := standin.NewFaultyStore(memory)
			platform := serveStandin(t, func(ctx context.Context, l net.Listener) error { return standin.ServeStore(ctx, l, faulty) })
			upstreams := startUpstreams(t, memory, 2)
			for _, u := range upstreams {
				require.NoError(t, u.SetFault(api.UpstreamFault{Mode: c.fault}))
			}
			d := newTestDaemon(t, "vm0", platform)
			runDaemon(t, d)
			awaitReady(t, d)
			request := heatAlert("k", 4)
			request.Deadline = time.Now().Add(3 * time.Second)
			answer := d.Submit(t.Context(), request)
			if c.verdicts == nil {
				require.Nil(t, answer.Outcome.Failure)
				require.Len(t, answer.Outcome.Results, 4)
			} else {
				require.NotNil(t, answer.Outcome.Failure)
				require.Contains(t, c.verdicts, answer.Outcome.Failure.Verdict, answer.Outcome.Failure.Reason)
			}
			starts := map[int]int{}
			for _, u := range upstreams {
				for _, s := range u.Starts() {
					starts[s.Task]++
					require.Equal(t, 1, starts[s.Task], "task %d started twice", s.Task)
				}
			}
		})
	}
}

func TestDecodeUpstreamEntries(t *testing.T) {
	vm := api.VM{Name: "u1", Role: api.RoleUpstream, DataCentre: "rabat", Service: "rota-desk", Slots: 4, Address: "a:1", State: api.VMLive}
	decode := func(vm api.VM) (string, bool, int) {
		value, err := json.Marshal(vm)
		require.NoError(t, err)
		u, err := decoder{}.Upstream(store.Item{Key: "k", Value: value})
		if err != nil {
			return err.Error(), false, 0
		}
		return u.Name, u.Draining, u.Size.MilliCPU
	}
	name, draining, milli := decode(vm)
	require.Equal(t, "u1", name)
	require.False(t, draining)
	require.Equal(t, 4000, milli, "each slot counts as one core if the entry declares no size")
	vm.State, vm.MilliCPU = api.VMLeaving, 1500
	_, draining, milli = decode(vm)
	require.True(t, draining)
	require.Equal(t, 1500, milli)
	vm.State = api.VMGone
	text, _, _ := decode(vm)
	require.Contains(t, text, "gone")
	vm.Address = ""
	text, _, _ = decode(vm)
	require.Contains(t, text, "has no name or no address")
}
