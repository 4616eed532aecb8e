package replay

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/routing"
	"github.com/mustardstep/mustardstep/store"
	"golang.org/x/sync/errgroup"
)

// Configuration of the cluster and the load.
const (
	soakCallers          = "callers" // name of the callers in links
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
	soakLongPrefix       = "/repairs/"
	soakLongTimeout      = 30 * time.Second // of the queue of long jobs; their callers wait for less
	soakSeriesShare      = 5                // one draw of so many is a mix of single faults, the others are series
	soakMaxMixed         = 4                // draws of single faults in a row
	soakRecoveryTime     = 5 * time.Second  // between the last fault and the final check
	soakFinalJobs        = 40               // jobs of the final check
	soakReadyTimeout     = 15 * time.Second
	soakGraceSeconds     = 6 // grace period of a stopping process
	// soakSignalDelay is the process age from which signals are expected to be handled.
	// A signal that arrives before the handlers are installed kills the process.
	soakSignalDelay = time.Second
)

// soakDataCentres are the data centres, over which VMs and upstreams are spread in turn.
var soakDataCentres = []string{"dc0", "dc1", "dc2"}

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
	// LongInterval is the mean time between long jobs; 0 for one that suits the number of
	// upstreams.
	LongInterval time.Duration
	OnlySplits   bool // inject only splits of the VMs, one after another
	// OnlyReplacements injects only replacements of upstreams while dispatchers are halted.
	OnlyReplacements bool
	// OnlyLongSplits is the kind of long splits that are injected, one after another, instead
	// of all faults; empty for all faults.
	OnlyLongSplits string
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
	absent    absentParts // used by the goroutine that draws the faults
	startedAt time.Time

	deadly deadlyJobs

	mu             sync.Mutex // guards the fields below
	events         []string
	disturbances   int       // active faults that may hide changes of the store
	disturbedUntil time.Time // end of the last one
	evacuated      string    // data centre that is evacuated, empty if none
	evacuatedAt    time.Time
	spares         []*soakUpstream // that have not joined, or have left for longest, first
}

// RunSoak runs a cluster of real daemon processes under random faults. It checks the
// dispatcher's invariants on what callers and upstreams observe, and returns
// ErrInvariantViolated with the report if one was violated.
func RunSoak(ctx context.Context, o SoakOptions) (*SoakReport, error) {
	o.RetryTimeout = cmp.Or(o.RetryTimeout, 2*soakCallerDeadline)
	longInterval := soakLongInterval
	if o.OnlyReplacements {
		longInterval = soakBusyInterval
	}
	o.LongInterval = cmp.Or(o.LongInterval, longInterval/time.Duration(o.Upstreams))
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
	s.recordEvent("the clock of the daemons' logs is %s", s.startedAt.Format(time.RFC3339Nano))
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
	only := s.onlySeries()
	if only == nil {
		pending.Go(func() { s.evacuateDataCentres(ctx, end) })
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		if only != nil {
			s.disturbed(only(ctx))()
			wait.For(ctx, s.randomMillis(500, 2500))
			continue
		}
		if s.rng.IntN(soakSeriesShare) > 0 {
			s.injectSeries(ctx, &pending)
			wait.For(ctx, s.randomMillis(500, 3500))
			continue
		}
		for range 1 + s.rng.IntN(soakMaxMixed) {
			s.injectFault(ctx, &pending)
			wait.For(ctx, s.randomMillis(80, 700))
		}
	}
	pending.Wait()
	s.healAll()
	wait.For(ctx, soakRecoveryTime)
	stopLoad()
	load.Wait()
	s.submitFinalJobs(ctx)
}

func (s *soakTest) start(ctx context.Context, g *errgroup.Group) error {
	key, value, err := platform.ConfigurationEntry(1, []routing.Queue{{
		Name: "alerts", Host: soakHost, Prefix: soakPathPrefix, Service: soakService, MaxAttempts: 3,
		Timeout: soakCallerDeadline, Stretch: 4, Slack: time.Second,
	}, {
		Name: "long", Host: soakHost, Prefix: soakLongPrefix, Service: soakService, MaxAttempts: 4,
		Timeout: soakLongTimeout, Stretch: 1.6, Slack: 60 * time.Millisecond, Priority: 2,
	}})
	if err != nil {
		return err
	}
	s.store.Memory.Set(key, value)
	s.limitStore(ctx, g)
	for i := range s.options.Upstreams + s.options.spareCount() {
		if err := s.addUpstream(ctx, g, i); err != nil {
			return err
		}
	}
	for i := range s.options.VMs {
		if err := s.addVM(ctx, g, i); err != nil {
			return err
		}
	}
	for _, u := range s.spares {
		s.setDown(u, true)
	}
	present := s.vms[:len(s.vms)-s.absentOf(len(s.vms))]
	s.absent.vms = s.vms[len(present):]
	for _, v := range present {
		if err := s.spawn(v); err != nil {
			return err
		}
	}
	for _, v := range present {
		if err := awaitHTTP(ctx, v.readinessAddr, "/v1/readiness"); err != nil {
			return err
		}
	}
	return nil
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
		for _, p := range v.paths {
			p.relay.close()
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
