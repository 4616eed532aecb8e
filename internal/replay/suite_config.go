package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/store"
	"github.com/valyala/fasthttp"
)

const (
	// idleTime is the duration of the idle cost measurement.
	idleTime = 10 * time.Second
	// operatorPause is the mean pause of an operator between changes, and its pause before
	// a retry.
	operatorPause = 200 * time.Millisecond
	// agreementTimeout bounds the wait until all VMs have the same configuration.
	agreementTimeout = 10 * time.Second
	operatorCount    = 6
)

// Default durations of the load.
const (
	configLoadTime = 10 * time.Second
	spreadLoadTime = 5 * time.Second
)

// loadDuration returns the duration of the load.
func loadDuration(options Options, fallback time.Duration) time.Duration {
	if options.Seconds == 0 {
		return fallback
	}
	return time.Duration(options.Seconds * float64(time.Second))
}

// configRun is a running configuration suite.
type configRun struct {
	*cluster
	random *rand.Rand

	mu             sync.Mutex // guards the fields below
	accepted       []acceptedChange
	conflicts      int
	notReady       int
	neverRestarted []string // HTTP addresses of the VMs that are not restarted
}

func newConfigRun(ctx context.Context, layout Layout, seed int64) (*configRun, error) {
	c, err := startCluster(ctx, layout)
	if err != nil {
		return nil, err
	}
	return &configRun{cluster: c, random: rand.New(rand.NewPCG(uint64(seed), 0))}, nil
}

// runConfig runs concurrent operators while the platform's store fails and daemons
// restart.
func runConfig(ctx context.Context, options Options) (*Report, error) {
	dir, remove, err := logDir(options.LogDir, "config")
	if err != nil {
		return nil, err
	}
	defer remove()
	r, err := newConfigRun(ctx, Layout{
		DataCentres: []string{"casablanca", "rabat", "braga"}, VMs: 3, Upstreams: 1, Slots: 8, Speeds: []float64{1}, Dir: dir,
	}, options.Seed)
	if err != nil {
		return nil, err
	}
	report, err := r.measure(ctx, options)
	return report, errors.Join(err, r.stop())
}

func (r *configRun) measure(ctx context.Context, options Options) (*Report, error) {
	idle, err := r.measureIdle(ctx, idleTime)
	if err != nil {
		return nil, err
	}
	// injectFaults restarts VMs 0 and 1.
	r.neverRestarted = append([]string(nil), r.httpAddrs[2:]...)
	if err := r.runOperators(ctx, loadDuration(options, configLoadTime), r.injectFaults); err != nil {
		return nil, err
	}
	final, err := r.awaitAgreement(ctx)
	if err != nil {
		return nil, err
	}
	lost, err := r.countLostChanges(ctx, final)
	if err != nil {
		return nil, err
	}
	time.Sleep(logFlushDelay)
	logs, err := r.readLogs()
	if err != nil {
		return nil, err
	}
	p50, p99 := propagationTimes(r.accepted, logs)
	accepted, reverts := len(r.accepted), countReverts(logs)
	return &Report{
		ChangesAccepted: &accepted, ChangesConflicting: &r.conflicts, ChangesLost: &lost, Reverts: &reverts,
		NotReady: &r.notReady, InForceMSP50: &p50, InForceMSP99: &p99, Idle: idle,
		StoreCallsPerS: &idle.StoreCallsPerS, ControlBytesPerNodeS: &idle.BytesPerNodeS,
	}, nil
}

// runOperators runs concurrent operators for the given time, together with readiness
// probes and, if not nil, injectFaults.
func (r *configRun) runOperators(ctx context.Context, length time.Duration, injectFaults func(context.Context, time.Duration) error) error {
	ctx, cancel := context.WithTimeout(ctx, length+agreementTimeout)
	defer cancel()
	loadCtx, stop := context.WithTimeout(ctx, length)
	defer stop()
	var wg sync.WaitGroup
	for i := range operatorCount {
		o := newOperator(r, i, rand.New(rand.NewPCG(r.random.Uint64(), uint64(i))))
		wg.Go(func() { o.makeChanges(ctx, loadCtx) })
	}
	wg.Go(func() { r.probeReadiness(loadCtx) })
	var err error
	if injectFaults != nil {
		err = injectFaults(ctx, length)
	}
	wg.Wait()
	return err
}

// injectFaults simulates an outage of the platform's store, with lost responses before
// it and stale reads and cut watches after it. It restarts two VMs during the outage and
// one of them again afterwards.
func (r *configRun) injectFaults(ctx context.Context, length time.Duration) error {
	defer r.setFaults(api.PlatformFaults{})
	steps := []struct {
		at float64 // fraction of length
		do func() error
	}{
		{0.15, func() error { return r.setFaults(api.PlatformFaults{LoseAnswers: 5}) }},
		{0.30, func() error { return r.setFaults(api.PlatformFaults{Down: true, LoseAnswers: 3}) }},
		{0.35, func() error { return r.restart(ctx, 0, syscall.SIGKILL) }},
		{0.45, func() error { return r.restart(ctx, 1, syscall.SIGTERM) }},
		{0.65, func() error { return r.setFaults(api.PlatformFaults{LoseAnswers: 3, Stale: true, CutWatches: true}) }},
		{0.75, func() error { return r.setFaults(api.PlatformFaults{LoseAnswers: 3}) }},
		{0.85, func() error { return r.restart(ctx, 1, syscall.SIGKILL) }},
	}
	start := time.Now()
	for _, step := range steps {
		wait := time.Until(start.Add(time.Duration(step.at * float64(length))))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return errors.New("the suite ended before all faults were injected")
		}
		if err := step.do(); err != nil {
			return err
		}
	}
	return nil
}

// restart terminates the daemon of a VM by a signal, starts it again with the same
// flags and waits until it is ready.
func (r *configRun) restart(ctx context.Context, vm int, signal syscall.Signal) error {
	name := fmt.Sprintf("vm%d", vm)
	for i, p := range r.processes {
		if p.name != name {
			continue
		}
		if signal == syscall.SIGKILL {
			p.kill()
		} else if err := p.stop(); err != nil {
			return errors.Wrap(err, name)
		}
		restarted, err := startProcess(name, r.layout.Dir, p.cmd.Args[1:]...)
		if err != nil {
			return err
		}
		r.processes[i] = restarted
		return awaitHTTP(ctx, r.httpAddrs[vm], "/readyz")
	}
	return errors.Newf("no process named %s", name)
}

// probeReadiness counts failed readiness checks of the VMs that are not restarted.
func (r *configRun) probeReadiness(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, address := range r.neverRestarted {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/readyz", time.Second)
			if err != nil || status != fasthttp.StatusOK {
				r.mu.Lock()
				r.notReady++
				r.mu.Unlock()
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *configRun) setFaults(faults api.PlatformFaults) error {
	return standin.SetPlatformFaults(r.platformAddr, faults)
}

// awaitAgreement waits until all VMs have the same configuration and it includes
// every accepted change, and returns it.
func (r *configRun) awaitAgreement(ctx context.Context) (*api.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, agreementTimeout)
	defer cancel()
	for {
		configuration, agreed := r.agreed()
		if agreed {
			return configuration, nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil, errors.Newf("the VMs did not agree on a configuration within %v", agreementTimeout)
		}
	}
}

// agreed reports whether all VMs have the same configuration and it includes every
// accepted change, and returns it.
func (r *configRun) agreed() (*api.Configuration, bool) {
	var first *api.Configuration
	for _, address := range r.httpAddrs {
		configuration, err := getJSON[api.Configuration]("http://" + address + "/v1/operators/configuration")
		if err != nil {
			return nil, false
		}
		if first == nil {
			first = configuration
		}
		if configuration.Revision != first.Revision || configuration.Fingerprint != first.Fingerprint {
			return nil, false
		}
	}
	return first, first.Revision >= r.highestAccepted()
}

func (r *configRun) highestAccepted() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	highest := int64(0)
	for _, a := range r.accepted {
		highest = max(highest, a.revision)
	}
	return highest
}

// countLostChanges counts the accepted changes that are missing from the history at
// their revision, and the entries of the final state that differ from the last accepted
// change of their key.
func (r *configRun) countLostChanges(ctx context.Context, final *api.Configuration) (int, error) {
	history, err := getJSON[api.HistoryResponse]("http://" + r.httpAddrs[0] + "/v1/operators/history")
	if err != nil {
		return 0, err
	}
	revisions := map[string]int64{}
	for _, change := range history.Changes {
		revisions[change.ID] = change.Revision
	}
	values := map[string]string{}
	for _, e := range final.Entries {
		values[e.Key] = e.Value
	}
	lost := 0
	last := map[string]acceptedChange{}
	for _, a := range r.accepted {
		if revisions[a.id] != a.revision {
			lost++
		}
		if a.revision > last[a.key].revision {
			last[a.key] = a
		}
	}
	for key, a := range last {
		if values[key] != a.value {
			lost++
		}
	}
	stored, _, err := store.List(ctx, platform.NewStore(r.platformAddr), "mustardstep/state/head", false)
	if err == nil && len(stored) == 0 {
		err = errors.New("the platform's store has no configuration")
	}
	return lost, err
}

func (r *configRun) logPath(name string) string { return filepath.Join(r.layout.Dir, name+".log") }
