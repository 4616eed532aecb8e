//go:build crowd

package crowdtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/examples"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/routing"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	// memoryMB is the memory of the machine that the processes under test are told, and the bound
	// on their resident memory. It lies below that of the smallest VM (144 MB), so that a crowd
	// of 150 MB exceeds it.
	memoryMB = 128
	// maxFDs is the limit on descriptors that the processes run with, fdBound the number that they
	// may use: some must be left for peers, upstreams and the store.
	maxFDs  = 1000
	fdBound = 900
	// patience bounds waits for something that must happen; it is generous because the machine
	// may be slow.
	patience = time.Minute
)

// daemonPath is the executable under test, built without the race detector, which would
// multiply its memory.
var daemonPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowdtest-")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "mustardstepd")
	build := exec.Command("go", "build", "-o", daemonPath, "../../cmd/mustardstepd")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, output))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// system is one process under test with the stand-ins that it needs.
type system struct {
	t   *testing.T
	pid int
	// callers and readiness are the addresses for callers and for the load balancer, metrics
	// the one that serves counters.
	callers, readiness, metrics string
	// route and noRoute are paths for callers, readyPath and metricsPath those at the other addresses.
	route, noRoute, readyPath, metricsPath string
	// headers are those that a request at the route needs, each with its line end.
	headers string
	// maxBody is the greatest legal size of a body, maxHeader that of the headers, in bytes.
	maxBody, maxHeader int
	// submit submits an ordinary job. It reports whether the job has succeeded, and whether the
	// answer says that no task has started.
	submit func(id int) (succeeded, notRun bool)
	// starts returns how many tasks of a job have started.
	starts func(id int) int
	exited chan struct{}
}

// programs are the two ways to run the daemon.
var programs = map[string]func(*testing.T) *system{"serve": startServe, "node": startNode}

// run starts the daemon with the limits above and waits until it is ready.
func (s *system) run(env []string, args ...string) *system {
	t := s.t
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	cmd := exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, maxFDs), daemonPath}, args...)...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, cmd.Start())
	s.pid, s.exited = cmd.Process.Pid, make(chan struct{})
	go func() {
		defer close(s.exited)
		_ = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-s.exited
		log.Close()
		if text, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("end of the log: %s", text[max(0, len(text)-2000):])
		}
	})
	require.Eventually(t, func() bool { return s.get(s.readiness, s.readyPath) == http.StatusOK }, patience, 20*time.Millisecond, "not ready")
	return s
}

// get returns the status of a GET request on a new connection, or 0 without an answer.
func (s *system) get(address, path string) int {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// usage returns a value of /proc/PID/status in MB.
func (s *system) usage(name string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid))
	require.NoError(s.t, err)
	_, after, found := strings.Cut(string(text), name+":")
	require.True(s.t, found, "%s: the process has exited", name)
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	require.NoError(s.t, err)
	return kb / 1024
}

func (s *system) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid))
	require.NoError(s.t, err)
	return len(entries)
}

// alive reports whether the process has not exited.
func (s *system) alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// submitUntilDone submits ordinary jobs, each again until it has succeeded, and checks that
// their answers are true.
func (s *system) submitUntilDone(first, jobs int) {
	for id := first; id < first+jobs; id++ {
		deadline, certain := time.Now().Add(patience), true
		for {
			require.True(s.t, s.alive(), "the process has exited")
			succeeded, notRun := s.submit(id)
			if succeeded {
				require.Positive(s.t, s.starts(id), "job %d has succeeded without a run", id)
				break
			}
			if certain = certain && notRun; certain {
				require.Zero(s.t, s.starts(id), "job %d was answered with not run", id)
			}
			require.True(s.t, time.Now().Before(deadline), "job %d has not succeeded within %v", id, patience)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// listen returns a listener of a stand-in and its address.
func listen(t *testing.T) (net.Listener, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener, listener.Addr().String()
}

// freeAddress returns an address for a process. The tests run alone, so no other process takes its port.
func freeAddress(t *testing.T) string {
	listener, address := listen(t)
	require.NoError(t, listener.Close())
	return address
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

func startServe(t *testing.T) *system {
	dir, callers, peers := t.TempDir(), freeAddress(t), freeAddress(t)
	storeListener, storeAddress := listen(t)
	go standin.ServeStore(t.Context(), storeListener, standin.NewFaultyStore(store.NewMemory()))
	upstreamListener, upstreamAddress := listen(t)
	vm := api.VM{Name: "u1", Role: api.RoleUpstream, DataCentre: "a", Address: upstreamAddress, State: api.VMLive, Service: "rota-desk", Slots: 8}
	upstream := standin.NewUpstream(vm, storeAddress, 1, time.Millisecond)
	go upstream.Serve(t.Context(), upstreamListener)
	require.NoError(t, standin.RegisterVM(storeAddress, vm))
	require.NoError(t, standin.RegisterVM(storeAddress, api.VM{Name: "vm0", Role: api.RoleEntry, DataCentre: "a", Address: peers, State: api.VMLive}))
	services := filepath.Join(dir, "services.yaml")
	require.NoError(t, os.WriteFile(services, examples.RotaDesk, 0o600))
	const path = "/v1/services/rota-desk/calls/heat-alert"
	s := &system{t: t, callers: callers, readiness: callers, metrics: callers,
		route: path, noRoute: "/nothing", readyPath: "/readyz", metricsPath: "/metrics",
		headers: "Host: x\r\nMustardstep-Caller: crowd\r\n", maxBody: 1_000_000, maxHeader: 8192,
		starts: func(id int) (n int) {
			for _, start := range upstream.Starts() {
				if strings.HasSuffix(start.Submission, "job-"+strconv.Itoa(id)) {
					n++
				}
			}
			return n
		},
		submit: func(id int) (succeeded, notRun bool) {
			client := http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			request, err := http.NewRequest(http.MethodPost, "http://"+callers+path, strings.NewReader(`{"gallery":"east","figures":[{}]}`))
			require.NoError(t, err)
			request.Header.Set(api.HeaderCaller, "museum")
			request.Header.Set(api.HeaderIdempotencyKey, "job-"+strconv.Itoa(id))
			response, err := client.Do(request)
			if err != nil {
				return false, false
			}
			defer response.Body.Close()
			var answer api.CallResponse
			if json.NewDecoder(response.Body).Decode(&answer) != nil {
				return false, false
			}
			return response.StatusCode == http.StatusOK && len(answer.Results) == 1, answer.Verdict.String() == "failed: not run"
		}}
	return s.run([]string{"MUSTARDSTEP_MEMORY_MB=" + strconv.Itoa(memoryMB)},
		"serve", "-vm", "vm0", "-data-centre", "a", "-http-listen", callers, "-peer-listen", peers, "-seeds", "vm0=a/"+peers,
		"-platform", storeAddress, "-schema-file", services)
}

// startCounter counts the starts of jobs.
type startCounter struct {
	mu     sync.Mutex // guards the field below
	starts map[string]int
}

func (c *startCounter) add(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[job]++
}

func (c *startCounter) of(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[job]
}

func startNode(t *testing.T) *system {
	ctx := t.Context()
	memory := store.NewMemory()
	storeListener, storeAddress := listen(t)
	serveStandin(ctx, storeListener, platform.StoreHandler(ctx, memory))
	upstreamListener, upstreamAddress := listen(t)
	upstream := standin.NewUpstream(api.VM{Name: "u1"}, "", 1, time.Millisecond)
	counter := &startCounter{starts: map[string]int{}}
	upstream.OnStart = func(run scheduler.Run, _ int64, _ scheduler.Size) { counter.add(run.Job) }
	go upstream.CompleteRuns(ctx)
	serveStandin(ctx, upstreamListener, func(c *fasthttp.RequestCtx) { platform.ServeUpstream(ctx, "u1", upstream, c) })
	key, value, err := platform.UpstreamEntry(scheduler.Upstream{
		Name: "u1", Address: upstreamAddress, Service: "svc", DataCentre: "a", Size: scheduler.Size{MilliCPU: 16_000, MemoryMB: 32_768}}, 1)
	require.NoError(t, err)
	memory.Set(key, value)
	key, value, err = platform.ConfigurationEntry(1, []routing.Queue{{
		Name: "q", Host: "desk.example", Prefix: "/q/", Service: "svc", MaxAttempts: 2, Timeout: 10 * time.Second, Stretch: 5, Slack: 5 * time.Second}})
	require.NoError(t, err)
	memory.Set(key, value)
	callers, readiness, metrics, peers := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	peerPort, err := strconv.Atoi(port(peers))
	require.NoError(t, err)
	var file platform.Settings
	file.VM, file.Zone, file.IP, file.PeerPorts = "vm0", "a", "127.0.0.1", []int{peerPort, peerPort}
	file.Listen.Callers, file.Listen.Readiness, file.Store.Address = callers, readiness, storeAddress
	file.Limits.CPUShare, file.Limits.LinkMbps, file.Limits.MemoryMB, file.Limits.MaxFDs = 1, 1000, memoryMB, maxFDs
	file.Bounds.LeaseMaxMS, file.Bounds.GraceS, file.Bounds.CallerReturnMS, file.Bounds.StopTimeoutMS = 1000, 6, 1300, 50
	text, err := file.Encode()
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	jobID := func(id int) string { return fmt.Sprintf("%016x", id) }
	s := &system{t: t, callers: callers, readiness: readiness, metrics: metrics,
		route: "/q/00000000000000ff", noRoute: "/nothing", readyPath: "/", metricsPath: "/",
		headers: "Host: desk.example\r\nX-Deadline-Ms: 10000\r\n", maxBody: 256 << 10, maxHeader: 4096,
		starts: func(id int) int { return counter.of(jobID(id)) },
		submit: func(id int) (succeeded, notRun bool) {
			answer := platform.SubmitJob(ctx, callers, platform.JobRequest{
				Host: "desk.example", Path: "/q/" + jobID(id), Spec: "{}", Tasks: 1,
				Size: scheduler.Size{MilliCPU: 500, MemoryMB: 64}, Estimate: 10 * time.Millisecond, Deadline: 10 * time.Second})
			return answer.Succeeded, answer.NotRun
		}}
	return s.run([]string{platform.SettingsEnv + "=" + path}, "node", "-metrics-port", port(metrics))
}

// serveStandin serves a stand-in until the context ends.
func serveStandin(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	context.AfterFunc(ctx, func() { listener.Close() })
	go server.Serve(listener)
}

// repeat returns the text n times between a prefix and a suffix.
func repeat(prefix, text string, n int, suffix string) []byte {
	var b bytes.Buffer
	b.WriteString(prefix)
	for range n {
		b.WriteString(text)
	}
	b.WriteString(suffix)
	return b.Bytes()
}
