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

// The system of a soak and its load.
const (
	soakDataCentres  = 2
	soakService      = "rota-desk"
	soakHost         = "soak.example"
	soakQueue        = "/alerts/"
	soakCapacity     = 16_000 // thousandths of a core of an upstream
	soakTask         = 6_800  // the same of a task
	soakLease        = time.Second
	soakBeat         = time.Second     // between two entries of an upstream
	soakDeadline     = 3 * time.Second // for which a caller waits
	soakResend       = 1300 * time.Millisecond
	soakMeanTask     = 60 * time.Millisecond
	soakGap          = 30 * time.Millisecond // mean time between two jobs
	soakSettle       = 5 * time.Second       // after the last fault, before the last check
	soakLastJobs     = 40
	soakReadyTimeout = 15 * time.Second
	soakGraceS       = 6
	// soakReceives is the time after its start from which a process takes signals:
	// before it has told the system so, they end it.
	soakReceives = time.Second
)

// SoakOptions are the settings of a soak.
type SoakOptions struct {
	Seed           int64
	Seconds        float64
	VMs, Upstreams int
	LogDir         string // keeps the logs of the processes; empty keeps none
	// RetryTimeout is the time for which a job without an answer is sent again; 0 takes
	// twice the caller's deadline.
	RetryTimeout time.Duration
}

// soak is a running system with random faults.
type soak struct {
	options   SoakOptions
	rng       *rand.Rand // of the faults; used by one goroutine
	dir       string
	judge     *soakJudge
	links     *links
	hellos    hellos
	store     *standin.FaultyStore
	vms       []*soakVM
	upstreams []*soakUpstream
	begin     time.Time

	mu   sync.Mutex // guards the field below
	acts []string
}

// soakVM is an entry VM and the process on it.
type soakVM struct {
	name, dataCentre string
	callers, ready   string
	peers, listen    string // address for other VMs, and where the process accepts
	relays           []*relay
	metrics          string // port
	settings         string // path

	mu      sync.Mutex // guards the fields below; held while the process is replaced
	process *process
	ending  *process // that was told to stop last; its addresses are free once it is gone
}

// soakUpstream is a stand-in and its entry.
type soakUpstream struct {
	*standin.Upstream
	entry scheduler.Upstream

	mu     sync.Mutex // guards the field below
	hidden bool       // it writes no entries
}

// RunSoak runs the daemons of the platform as processes, strikes them with random
// faults, and checks the promises from what callers and upstreams see. Its error is
// ErrInvariantViolated where one was broken.
func RunSoak(ctx context.Context, o SoakOptions) (*SoakReport, error) {
	o.RetryTimeout = cmp.Or(o.RetryTimeout, 2*soakDeadline)
	s := &soak{
		options: o, rng: rand.New(rand.NewPCG(uint64(o.Seed), 1)), dir: o.LogDir, judge: newSoakJudge(), links: newLinks(),
		store: standin.NewFaultyStore(store.NewMemory()), begin: time.Now(),
	}
	if s.dir == "" {
		dir, err := os.MkdirTemp("", "mustardstep-soak-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		s.dir = dir
	}
	serving, stop := context.WithCancel(ctx)
	defer stop()
	g, serving := errgroup.WithContext(serving)
	err := s.start(serving, g)
	if err == nil {
		s.strike(ctx, serving, g)
	}
	s.stopAll()
	stop()
	err = errors.Join(err, g.Wait())
	if err != nil {
		return nil, err
	}
	s.judge.finish()
	report := &SoakReport{Seed: o.Seed, Seconds: o.Seconds, FaultEvents: s.acts}
	report.Jobs, report.Starts, report.Answers, report.Violations = s.judge.report()
	if len(report.Violations) > 0 {
		return report, ErrInvariantViolated
	}
	return report, nil
}

// strike runs the load and the faults, heals everything, and checks that new jobs
// are served.
func (s *soak) strike(ctx, serving context.Context, g *errgroup.Group) {
	loading, endLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { s.load(loading) })
	end := time.Now().Add(time.Duration(s.options.Seconds * float64(time.Second)))
	var acts sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		s.act(ctx, &acts)
		wait.For(ctx, s.between(80, 700))
	}
	acts.Wait()
	s.heal()
	wait.For(ctx, soakSettle)
	endLoad()
	load.Wait()
	s.lastJobs(ctx)
}

func (s *soak) start(ctx context.Context, g *errgroup.Group) error {
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.Go(func() error { return standin.ServeStore(ctx, storeListener, s.store) })
	key, value, err := platform.ConfigurationEntry(1, []routing.Queue{{
		Name: "alerts", Host: soakHost, Prefix: soakQueue, Service: soakService, MaxAttempts: 3,
		Timeout: soakDeadline, Stretch: 4, Slack: time.Second,
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
		if err := awaitHTTP(ctx, v.ready, "/v1/readiness"); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) addUpstream(ctx context.Context, g *errgroup.Group, i int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &soakUpstream{entry: scheduler.Upstream{
		Name: fmt.Sprintf("u%02d", i), Address: listener.Addr().String(), Service: soakService,
		DataCentre: fmt.Sprintf("dc%d", i%soakDataCentres), Size: scheduler.Size{MilliCPU: soakCapacity, MemoryMB: 32_768},
	}}
	u.Upstream = standin.NewUpstream(api.VM{Name: u.entry.Name}, "", []float64{0.6, 1, 1}[i%3], soakMeanTask)
	u.OnStart = func(run scheduler.Run, used scheduler.Size) { s.judge.started(u.entry.Name, u.entry.Size, run, used) }
	u.OnCompletion = func(run scheduler.Run, how scheduler.CompletionKind) { s.judge.ended(u.entry.Name, run, how) }
	s.upstreams = append(s.upstreams, u)
	g.Go(func() error {
		return u.ServeHandler(ctx, listener, func(c *fasthttp.RequestCtx) { platform.ServeUpstream(ctx, u.entry.Name, u.Upstream, c) })
	})
	g.Go(func() error { return u.CompleteRuns(ctx) })
	g.Go(func() error { return s.beat(ctx, u) })
	return nil
}

// beat writes the entry of an upstream again and again, as upstreams do.
func (s *soak) beat(ctx context.Context, u *soakUpstream) error {
	for beat := 1; ctx.Err() == nil; beat++ {
		u.mu.Lock()
		entry, hidden := u.entry, u.hidden
		u.mu.Unlock()
		key, value, err := platform.UpstreamEntry(entry, beat)
		if err != nil {
			return err
		}
		if hidden {
			s.store.Memory.Delete(key)
		} else {
			s.store.Memory.Set(key, value)
		}
		wait.For(ctx, soakBeat)
	}
	return nil
}

func (s *soak) addVM(i int, storeAddress string) error {
	host := fmt.Sprintf("127.0.1.%d", i+1)
	addresses, err := freeAddresses(6)
	if err != nil {
		return err
	}
	port := func(at int) string { _, p, _ := net.SplitHostPort(addresses[at]); return p }
	v := &soakVM{
		name: fmt.Sprintf("vm%d", i), dataCentre: fmt.Sprintf("dc%d", i%soakDataCentres),
		callers: net.JoinHostPort(host, port(0)), ready: net.JoinHostPort(host, port(1)),
		listen: addresses[3], metrics: port(5), settings: filepath.Join(s.dir, fmt.Sprintf("vm%d.toml", i)),
	}
	peerPort := 0
	if _, err := fmt.Sscan(port(2), &peerPort); err != nil {
		return err
	}
	v.peers = net.JoinHostPort(host, port(2))
	v.relays = []*relay{
		{name: v.name, address: v.peers, target: v.listen, links: s.links, identify: s.hellos.identify},
		{name: platformName, address: addresses[4], target: storeAddress, links: s.links, identify: identifyAs(v.name)},
	}
	var file platform.Settings
	file.VM, file.Zone, file.IP, file.PeerPorts = v.name, v.dataCentre, host, []int{peerPort, peerPort + 1}
	file.Listen.Callers, file.Listen.Readiness = v.callers, v.ready
	file.Limits.CPUShare, file.Limits.LinkMbps = 1, 1000
	file.Bounds.LeaseMaxMS, file.Bounds.GraceS = soakLease.Milliseconds(), soakGraceS
	file.Store.Address = addresses[4]
	text, err := file.Encode()
	if err != nil {
		return err
	}
	s.vms = append(s.vms, v)
	return os.WriteFile(v.settings, text, 0o600)
}

// spawn starts the process of a VM that has none, once the last one is gone. Its
// relays open before.
func (s *soak) spawn(v *soakVM) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	if v.ending != nil {
		<-v.ending.exited
	}
	s.note("start %s", v.name)
	for _, r := range v.relays {
		if err := r.open(); err != nil {
			return err
		}
	}
	var err error
	v.process, err = startProcessEnv(v.name, s.dir, []string{platform.SettingsEnv + "=" + v.settings},
		"node", "-peer-listen", v.listen, "-metrics-port", v.metrics, "-log-level", "info")
	return err
}

func (s *soak) stopAll() {
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

// note keeps what was done, with its time, for the report.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acts = append(s.acts, fmt.Sprintf("%7.3f ", time.Since(s.begin).Seconds())+fmt.Sprintf(format, args...))
}

// between draws a number of milliseconds.
func (s *soak) between(least, most int) time.Duration {
	return time.Duration(least+s.rng.IntN(most-least+1)) * time.Millisecond
}
