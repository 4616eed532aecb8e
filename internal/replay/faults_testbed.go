package replay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/client"
	"github.com/mustardstep/mustardstep/internal/api"
	"golang.org/x/sync/errgroup"
)

// faultLayout is the cluster on which a fault runs.
var faultLayout = Layout{
	DataCentres: []string{"casablanca", "rabat"}, VMs: 3, Upstreams: 4, Slots: 32,
	Speeds: []float64{1, 0.75, 0.5}, Relays: true,
	DaemonArgs: []string{
		"-platform-list-interval", "100ms", "-drain-timeout", "5s", "-heartbeat", "50ms", "-fence", "400ms",
	},
}

// Parameters of the load under faults.
const (
	faultMeanTaskUS  = 40_000
	faultUtilization = 0.4
	faultCallers     = 20
)

// testbed is a running cluster with its load and the record of the injected fault.
// The steps of a fault run sequentially.
type testbed struct {
	ctx       context.Context
	seed      int64
	seconds   float64
	rng       *rand.Rand
	cluster   *cluster
	load      *faultLoad
	streams   []*probeStream
	victim    *vm
	affected  map[*vm]bool      // VMs that were killed or drained
	vmNames   map[string]string // VM names by address for callers
	startedAt time.Time
	events    []faultEvent
	starting  errgroup.Group // daemons that are starting
	stopping  sync.WaitGroup // daemons that are draining

	mu    sync.Mutex // guards stops
	stops []plannedStop
}

func newTestbed(ctx context.Context, dir string, seed int64, seconds float64) (*testbed, error) {
	layout := faultLayout
	layout.Dir = dir
	c, err := startCluster(ctx, layout)
	if err != nil {
		return nil, err
	}
	tb := &testbed{
		ctx: ctx, seed: seed, seconds: seconds, rng: rand.New(rand.NewPCG(uint64(seed), 1)), cluster: c,
		load:     &faultLoad{balancer: &balancer{}, attempts: &attempts{}, clients: map[string]*client.Client{}},
		affected: map[*vm]bool{}, vmNames: map[string]string{},
	}
	for _, v := range c.vms {
		tb.load.balancer.add(v.httpAddr)
		tb.vmNames[v.httpAddr] = v.name
	}
	tb.victim = tb.localVMs()[tb.rng.IntN(layout.VMs)]
	tb.prepareProbes()
	return tb, nil
}

func (tb *testbed) loadDuration() time.Duration {
	return time.Duration(tb.seconds * float64(time.Second))
}

// localVMs returns the VMs of the first data centre, which has the victim.
func (tb *testbed) localVMs() []*vm {
	var vms []*vm
	for _, v := range tb.cluster.vms {
		if v.dataCentre == faultLayout.DataCentres[0] {
			vms = append(vms, v)
		}
	}
	return vms
}

// neighbour returns a VM of the victim's data centre that was neither killed nor
// drained.
func (tb *testbed) neighbour() (*vm, error) {
	for _, v := range tb.localVMs() {
		if v != tb.victim && !tb.affected[v] {
			return v, nil
		}
	}
	return nil, errors.New("no VM besides the victim is running in its data centre")
}

// run runs the load, the probes and the fault concurrently and checks the results.
func (tb *testbed) run(ctx context.Context, f *fault) (*FaultReport, error) {
	jobs := Generate(Workload{
		Seed: tb.seed, Seconds: tb.seconds, MeanTaskUS: faultMeanTaskUS, Callers: faultCallers,
		TasksPerSecond: faultUtilization * tb.cluster.speedSum() * 1e6 / faultMeanTaskUS,
	})
	var outcomes []outcome
	var probesEnd time.Time
	var g errgroup.Group
	tb.startedAt = time.Now()
	g.Go(func() error {
		outcomes = tb.load.replay(ctx, jobs, tb.loadDuration(), tb.rng)
		return nil
	})
	g.Go(func() error {
		probesEnd = tb.probe(f)
		return nil
	})
	g.Go(func() error { return tb.runSteps(f) })
	if err := g.Wait(); err != nil {
		return nil, err
	}
	starts, err := tb.shutdown()
	if err != nil {
		return nil, err
	}
	history := faultHistory{
		startedAt: tb.startedAt, vmNames: tb.vmNames, events: tb.events, jobs: jobs, outcomes: outcomes,
		attempts: tb.load.attempts.list(), starts: starts, stops: tb.stops,
	}
	report := history.check()
	tb.reportAvailability(&report, tb.events[f.probeAfter], probesEnd)
	return &report, nil
}

// shutdown stops the daemons, collects the start logs, and stops the other processes.
func (tb *testbed) shutdown() ([]api.StartEntry, error) {
	tb.cluster.links.healAll()
	err := tb.starting.Wait()
	for _, v := range tb.cluster.vms {
		if v.process != nil {
			tb.drain(v)
		}
	}
	tb.stopping.Wait()
	starts, startsErr := tb.cluster.starts()
	return starts, errors.Join(err, startsErr, tb.cluster.stop())
}
