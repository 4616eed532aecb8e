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

// faultLayout is the system that the faults strike.
var faultLayout = Layout{
	DataCentres: []string{"casablanca", "rabat"}, VMs: 3, Upstreams: 4, Slots: 32,
	Speeds: []float64{1, 0.75, 0.5}, Relays: true,
	DaemonArgs: []string{
		"-platform-list-interval", "100ms", "-drain-timeout", "5s", "-heartbeat", "50ms", "-fence", "400ms",
	},
}

// The load under faults.
const (
	faultMeanTaskUS  = 40_000
	faultUtilization = 0.4
	faultCallers     = 20
)

// testbed is a running system, the load on it and what was done to it. Its
// steps run one after the other.
type testbed struct {
	ctx     context.Context
	seed    int64
	seconds float64
	rng     *rand.Rand
	cluster *cluster
	load    *faultLoad
	streams []*probeStream
	victim  *vm
	struck  map[*vm]bool      // VMs that were killed or drained
	names   map[string]string // VM names by address for callers
	begin   time.Time
	acts    []faultEvent
	started errgroup.Group // daemons that are starting
	stopped sync.WaitGroup // daemons that are draining

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
	s := &testbed{
		ctx: ctx, seed: seed, seconds: seconds, rng: rand.New(rand.NewPCG(uint64(seed), 1)), cluster: c,
		load:   &faultLoad{balancer: &balancer{}, attempts: &attempts{}, clients: map[string]*client.Client{}},
		struck: map[*vm]bool{}, names: map[string]string{},
	}
	for _, v := range c.vms {
		s.load.balancer.add(v.httpAddr)
		s.names[v.httpAddr] = v.name
	}
	s.victim = s.home()[s.rng.IntN(layout.VMs)]
	s.prepareProbes()
	return s, nil
}

// length returns the length of the load.
func (s *testbed) length() time.Duration { return time.Duration(s.seconds * float64(time.Second)) }

// home returns the VMs of the data centre that is struck.
func (s *testbed) home() []*vm {
	var home []*vm
	for _, v := range s.cluster.vms {
		if v.dataCentre == faultLayout.DataCentres[0] {
			home = append(home, v)
		}
	}
	return home
}

// neighbour returns the running VM that is struck beside the victim.
func (s *testbed) neighbour() (*vm, error) {
	for _, v := range s.home() {
		if v != s.victim && !s.struck[v] {
			return v, nil
		}
	}
	return nil, errors.New("no neighbour is left")
}

// play runs the load and the fault and judges what came of them.
func (s *testbed) play(ctx context.Context, f *fault) (*FaultReport, error) {
	jobs := Generate(Workload{
		Seed: s.seed, Seconds: s.seconds, MeanTaskUS: faultMeanTaskUS, Callers: faultCallers,
		TasksPerSecond: faultUtilization * s.cluster.speedSum() * 1e6 / faultMeanTaskUS,
	})
	var outcomes []outcome
	var end time.Time
	var g errgroup.Group
	s.begin = time.Now()
	g.Go(func() error {
		outcomes = s.load.replay(ctx, jobs, s.length(), s.rng)
		return nil
	})
	g.Go(func() error {
		end = s.probe(f)
		return nil
	})
	g.Go(func() error { return s.timeline(f) })
	if err := g.Wait(); err != nil {
		return nil, err
	}
	starts, err := s.finish()
	if err != nil {
		return nil, err
	}
	e := faultHistory{
		begin: s.begin, names: s.names, acts: s.acts, jobs: jobs, outcomes: outcomes,
		attempts: s.load.attempts.list(), starts: starts, stops: s.stops,
	}
	report := e.report()
	s.judgeProbes(&report, s.acts[f.probed], end)
	return &report, nil
}

// finish stops the daemons, then collects the start logs, then stops the rest.
func (s *testbed) finish() ([]api.StartEntry, error) {
	s.cluster.links.healAll()
	err := s.started.Wait()
	for _, v := range s.cluster.vms {
		if v.process != nil {
			s.drain(v)
		}
	}
	s.stopped.Wait()
	starts, startsErr := s.cluster.starts()
	return starts, errors.Join(err, startsErr, s.cluster.stop())
}
