package replay

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/routing"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Configuration of the cluster and the load.
const (
	soakDataCentres      = 2
	soakService          = "rota-desk"
	soakHost             = "soak.example"
	soakPathPrefix       = "/alerts/"
	soakUpstreamMilliCPU = 16_000 // capacity of an upstream
	soakTaskMilliCPU     = 6_800  // demand of a task
	soakLease            = time.Second
	soakEntryInterval    = time.Second // between writes of an upstream's entry
	soakCallerDeadline   = 3 * time.Second
	soakRetryDelay       = 1300 * time.Millisecond // between the attempts of a caller
	soakMeanTaskTime     = 60 * time.Millisecond
	soakMeanArrival      = 30 * time.Millisecond // mean time between jobs
	soakRecoveryTime     = 5 * time.Second       // between the last fault and the final check
	soakFinalJobs        = 40                    // jobs of the final check
	soakReadyTimeout     = 15 * time.Second
	soakGraceSeconds     = 6 // grace period of a stopping process
	// soakSignalDelay is the process age from which signals are expected to be handled.
	// A signal that arrives before the handlers are installed kills the process.
	soakSignalDelay = time.Second
)

// SoakOptions are the settings of a soak test.
type SoakOptions struct {
	Seed           int64
	Seconds        float64
	VMs, Upstreams int
	LogDir         string // directory for process logs; empty discards them
	Daemon         string // executable of the daemons; empty for the running one
	// RetryTimeout is how long a job without an answer is retried; 0 means twice the
	// caller's deadline.
	RetryTimeout time.Duration
}

// soakTest is a cluster under random faults.
type soakTest struct {
	options   SoakOptions
	rng       *rand.Rand // for the faults; used by one goroutine
	dir       string
	checker   *soakChecker
	links     *links
	hellos    hellos
	store     *standin.FaultyStore
	vms       []*soakVM
	upstreams []*soakUpstream
	startedAt time.Time

	deadly deadlyJobs

	mu             sync.Mutex // guards the fields below
	events         []string
	disturbances   int       // active faults that may hide changes of the store
	disturbedUntil time.Time // end of the last one
}

// soakVM is an entry VM and its process.
type soakVM struct {
	name, dataCentre          string
	callerAddr, readinessAddr string
	peerAddr                  string // advertised to other VMs; a relay listens on it
	listenAddr                string // on which the process accepts peers
	relays                    []*relay
	metricsPort               string
	settingsPath              string

	mu       sync.Mutex // guards the fields below; held while the process is replaced
	process  *process
	stopping *process // last process that was sent SIGTERM; holds its addresses until it exits
}

// RunSoak runs a cluster of real daemon processes under random faults. It checks the
// dispatcher's invariants on what callers and upstreams observe, and returns
// ErrInvariantViolated with the report if one was violated.
func RunSoak(ctx context.Context, o SoakOptions) (*SoakReport, error) {
	o.RetryTimeout = cmp.Or(o.RetryTimeout, 2*soakCallerDeadline)
	s := &soakTest{
		options: o, rng: rand.New(rand.NewPCG(uint64(o.Seed), 1)), dir: o.LogDir, links: newLinks(),
		store: standin.NewFaultyStore(store.NewMemory()), startedAt: time.Now(), deadly: deadlyJobs{ids: map[string]bool{}},
	}
	if s.dir == "" {
		dir, err := os.MkdirTemp("", "mustardstep-soak-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		s.dir = dir
	}
	runLog, err := os.Create(filepath.Join(s.dir, "runs.log"))
	if err != nil {
		return nil, err
	}
	defer runLog.Close()
	s.checker = newSoakChecker(runLog)
	servingCtx, stop := context.WithCancel(ctx)
	defer stop()
	g, servingCtx := errgroup.WithContext(servingCtx)
	err = s.start(servingCtx, g)
	if err == nil {
		s.runWithFaults(ctx, servingCtx, g)
	}
	s.stopAll()
	stop()
	err = errors.Join(err, g.Wait())
	if err != nil {
		return nil, err
	}
	s.checker.checkFinalState()
	report := &SoakReport{Seed: o.Seed, Seconds: o.Seconds, FaultEvents: s.events}
	report.Jobs, report.Starts, report.Answers, report.Violations = s.checker.report()
	if len(report.Violations) > 0 {
		return report, ErrInvariantViolated
	}
	return report, nil
}

// runWithFaults injects faults under load, heals all of them, and checks that the
// cluster then serves new jobs.
func (s *soakTest) runWithFaults(ctx, servingCtx context.Context, g *errgroup.Group) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { s.load(loadCtx) })
	end := time.Now().Add(time.Duration(s.options.Seconds * float64(time.Second)))
	var pending sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		s.injectFault(ctx, &pending)
		wait.For(ctx, s.randomMillis(80, 700))
	}
	pending.Wait()
	s.healAll()
	wait.For(ctx, soakRecoveryTime)
	stopLoad()
	load.Wait()
	s.submitFinalJobs(ctx)
}

func (s *soakTest) start(ctx context.Context, g *errgroup.Group) error {
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.Go(func() error { return standin.ServeStore(ctx, storeListener, s.store) })
	key, value, err := platform.ConfigurationEntry(1, []routing.Queue{{
		Name: "alerts", Host: soakHost, Prefix: soakPathPrefix, Service: soakService, MaxAttempts: 3,
		Timeout: soakCallerDeadline, Stretch: 4, Slack: time.Second,
	}})
	if err != nil {
		return err
	}
	s.store.Memory.Set(key, value)
	for i := range s.options.Upstreams {
		if err := s.addUpstream(ctx, g, i); err != nil {
			return err
		}
	}
	for i := range s.options.VMs {
		if err := s.addVM(i, storeListener.Addr().String()); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := s.spawn(v); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := awaitHTTP(ctx, v.readinessAddr, "/v1/readiness"); err != nil {
			return err
		}
	}
	return nil
}

func (s *soakTest) addUpstream(ctx context.Context, g *errgroup.Group, i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &soakUpstream{entry: scheduler.Upstream{
		Name: fmt.Sprintf("u%02d", i), Address: listener.Addr().String(), Service: soakService,
		DataCentre: fmt.Sprintf("dc%d", i%soakDataCentres), Size: scheduler.Size{MilliCPU: soakUpstreamMilliCPU, MemoryMB: 32_768},
	}}
	u.largest = u.entry.Size
	u.Upstream = standin.NewUpstream(api.VM{Name: u.entry.Name}, "", []float64{0.6, 1, 1}[i%3], soakMeanTaskTime)
	u.SetClockRate([]float64{1, 0.98}[i%2])
	u.OnStart = func(run scheduler.Run, token int64, used scheduler.Size) {
		s.recordStart(u, run, token, used)
	}
	u.OnCompletion = func(run scheduler.Run, kind scheduler.CompletionKind) {
		s.checker.recordCompletion(u.entry.Name, run, kind)
	}
	s.upstreams = append(s.upstreams, u)
	name := u.entry.Name
	u.process = standin.NewProcess(listener, func(c *fasthttp.RequestCtx) { platform.ServeUpstream(ctx, name, u.Upstream, c) })
	g.Go(func() error { return u.process.Run(ctx) })
	g.Go(func() error { return u.CompleteRuns(ctx) })
	g.Go(func() error { return s.publishEntry(ctx, u) })
	return nil
}

// publishEntry rewrites the entry of an upstream periodically, as real upstreams do.
func (s *soakTest) publishEntry(ctx context.Context, u *soakUpstream) error {
	for version := 1; ctx.Err() == nil; version++ {
		var entry scheduler.Upstream
		var unregistered bool
		u.update(func() { entry, unregistered = u.entry, u.unregistered })
		key, value, err := platform.UpstreamEntry(entry, version)
		if err != nil {
			return err
		}
		if unregistered {
			s.store.Memory.Delete(key)
		} else {
			s.store.Memory.Set(key, value)
		}
		wait.For(ctx, soakEntryInterval)
	}
	return nil
}

func (s *soakTest) addVM(i int, storeAddr string) error {
	host := fmt.Sprintf("127.0.1.%d", i+1)
	addresses, err := freeAddresses(6)
	if err != nil {
		return err
	}
	port := func(index int) string { _, p, _ := net.SplitHostPort(addresses[index]); return p }
	v := &soakVM{
		name: fmt.Sprintf("vm%d", i), dataCentre: fmt.Sprintf("dc%d", i%soakDataCentres),
		callerAddr: net.JoinHostPort(host, port(0)), readinessAddr: net.JoinHostPort(host, port(1)),
		listenAddr: addresses[3], metricsPort: port(5), settingsPath: filepath.Join(s.dir, fmt.Sprintf("vm%d.toml", i)),
	}
	peerPort := 0
	if _, err := fmt.Sscan(port(2), &peerPort); err != nil {
		return err
	}
	v.peerAddr = net.JoinHostPort(host, port(2))
	v.relays = []*relay{
		{name: v.name, address: v.peerAddr, target: v.listenAddr, links: s.links, identify: s.hellos.identify},
		{name: platformName, address: addresses[4], target: storeAddr, links: s.links, identify: identifyAs(v.name)},
	}
	var file platform.Settings
	file.VM, file.Zone, file.IP, file.PeerPorts = v.name, v.dataCentre, host, []int{peerPort, peerPort + 1}
	file.Listen.Callers, file.Listen.Readiness = v.callerAddr, v.readinessAddr
	file.Limits.CPUShare, file.Limits.LinkMbps = 1, 1000
	file.Bounds.LeaseMaxMS, file.Bounds.GraceS = soakLease.Milliseconds(), soakGraceSeconds
	file.Store.Address = addresses[4]
	text, err := file.Encode()
	if err != nil {
		return err
	}
	s.vms = append(s.vms, v)
	return os.WriteFile(v.settingsPath, text, 0o600)
}

// spawn starts the process of a VM unless it has one. It first waits for the previous
// process to exit and opens the relays.
func (s *soakTest) spawn(v *soakVM) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	if v.stopping != nil {
		<-v.stopping.exited
	}
	s.recordEvent("start %s", v.name)
	for _, r := range v.relays {
		if err := r.open(); err != nil {
			return err
		}
	}
	var err error
	v.process, err = startExecutable(s.options.Daemon, v.name, s.dir, []string{platform.SettingsEnv + "=" + v.settingsPath},
		"node", "-peer-listen", v.listenAddr, "-metrics-port", v.metricsPort, "-log-level", "info")
	return err
}

func (s *soakTest) stopAll() {
	for _, v := range s.vms {
		v.mu.Lock()
		if v.process != nil {
			v.process.kill()
		}
		v.mu.Unlock()
		for _, r := range v.relays {
			r.close()
		}
	}
}

// recordEvent adds a line with the elapsed time to the report.
func (s *soakTest) recordEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// randomMillis returns a random duration from low to high milliseconds, inclusive.
func (s *soakTest) randomMillis(low, high int) time.Duration {
	return time.Duration(low+s.rng.IntN(high-low+1)) * time.Millisecond
}
