package replay

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
)

// warmUpSeconds is the initial part of a trace, in which the daemons learn run times.
// Its jobs run but are not measured.
const warmUpSeconds = 2

// policyMustardstep is the name of the real scheduler's policy in reports.
const policyMustardstep = "mustardstep"

// scenario is a workload on a system, optionally with faults.
type scenario struct {
	layout   Layout
	workload Workload
	// utilization is the offered work divided by the summed speed of all slots.
	utilization float64
	// injectFaults runs concurrently with the load. Nil means no faults.
	injectFaults func(ctx context.Context, c *cluster) error
}

// meanTaskUS is the mean run time of a generated task, in microseconds.
const meanTaskUS = 100_000

// dispatchScenarios holds the scenario of each dispatch suite by name.
var dispatchScenarios = map[string]scenario{
	"steady": {layout: dispatchLayout, workload: Workload{Callers: 200}, utilization: 0.6},
	"burst": {layout: dispatchLayout, utilization: 0.95,
		workload: Workload{Callers: 200, BurstFactor: 3, BurstFrom: 0.5, BurstTo: 0.6}},
	"skew":         {layout: dispatchLayout, workload: Workload{Callers: 200, Skew: 0.4}, utilization: 0.5},
	"badupstreams": {layout: dispatchLayout, workload: Workload{Callers: 200}, utilization: 0.5, injectFaults: injectUpstreamFaults},
	"cancel": {layout: dispatchLayout, utilization: 0.8,
		workload: Workload{Callers: 200, CancelShare: 0.3}},
}

// dispatchLayout has the size of the current system of the rota-desk deployment: 8 entry
// VMs and 48 upstreams of 8 slots in four data centres.
var dispatchLayout = Layout{
	DataCentres: []string{"casablanca", "rabat", "fes", "marrakech"}, VMs: 2, Upstreams: 12, Slots: 8,
	Speeds: []float64{1, 0.75, 0.5, 0.25},
}

func runSteady(ctx context.Context, o Options) (*Report, error) { return runDispatch(ctx, "steady", o) }
func runBurst(ctx context.Context, o Options) (*Report, error)  { return runDispatch(ctx, "burst", o) }
func runSkew(ctx context.Context, o Options) (*Report, error)   { return runDispatch(ctx, "skew", o) }
func runCancel(ctx context.Context, o Options) (*Report, error) { return runDispatch(ctx, "cancel", o) }

func runBadUpstreams(ctx context.Context, o Options) (*Report, error) {
	return runDispatch(ctx, "badupstreams", o)
}

// injectUpstreamFaults injects faults after the warm-up: in each data centre, one
// upstream fails every task, one is slow, and one leaves.
func injectUpstreamFaults(ctx context.Context, c *cluster) error {
	select {
	case <-time.After(warmUpSeconds * time.Second):
	case <-ctx.Done():
		return nil
	}
	faults := []api.UpstreamFault{
		{Mode: api.UpstreamFailing}, {Mode: api.UpstreamSlow, Factor: 4}, {Mode: api.UpstreamLeaving},
	}
	var errs []error
	for i, vm := range c.upstreams {
		if at := i % c.layout.Upstreams; at < len(faults) {
			errs = append(errs, standin.SetUpstreamFault(vm.Address, faults[at]))
		}
	}
	return errors.Join(errs...)
}

// GenerateSuite returns the generated trace of a dispatch suite.
func GenerateSuite(suite string, o Options) ([]TraceJob, error) {
	s, known := dispatchScenarios[suite]
	if !known {
		return nil, errors.Newf("%q is not a dispatch suite", suite)
	}
	return s.generate(o), nil
}

func (s *scenario) generate(o Options) []TraceJob {
	workload := s.workload
	workload.Seed, workload.Service = o.Seed, o.Deployment
	workload.Seconds = warmUpSeconds + o.Seconds
	workload.MeanTaskUS = meanTaskUS
	workload.TasksPerSecond = s.utilization * s.layout.slotSpeeds().Sum() * 1e6 / meanTaskUS
	return Generate(workload)
}

func (s *scenario) jobs(o Options) ([]TraceJob, error) {
	if o.Trace == "" {
		return s.generate(o), nil
	}
	file, err := os.Open(o.Trace)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	jobs, err := ReadTrace(file)
	return jobs, errors.Wrap(err, o.Trace)
}

// slotSpeeds returns the speed of every slot of the system.
func (l *Layout) slotSpeeds() SlotSpeeds {
	var speeds SlotSpeeds
	for range l.DataCentres {
		for i := range l.Upstreams {
			for range l.Slots {
				speeds = append(speeds, l.Speeds[i%len(l.Speeds)])
			}
		}
	}
	return speeds
}

// runDispatch replays the trace of a dispatch suite on real processes and compares the
// result with baselines that are simulated on the same trace.
func runDispatch(ctx context.Context, suite string, o Options) (*Report, error) {
	s := dispatchScenarios[suite]
	jobs, err := s.jobs(o)
	if err != nil {
		return nil, err
	}
	if len(jobs) == 0 {
		return nil, errors.New("the trace has no jobs")
	}
	s.layout.Service = jobs[0].Service
	report, err := s.replay(ctx, jobs)
	if err != nil {
		return nil, err
	}
	s.compareWithBaselines(report, jobs, o.Baselines)
	return report, nil
}

// compareWithBaselines adds the comparison with the clairvoyant schedule and with the
// baselines to a report.
func (s *scenario) compareWithBaselines(report *Report, jobs []TraceJob, baselines []string) {
	from := measureStart(jobs)
	if clairvoyantMean := ClairvoyantMean(jobs, s.layout.slotSpeeds(), from); clairvoyantMean > 0 {
		report.VsClairvoyantMean = report.MeanResponseMS / milliseconds(clairvoyantMean)
	}
	bestExcess := 0.0
	for _, policy := range baselines {
		outcomes := withoutWarmUp(simulateBaseline(&s.layout, policy, jobs), from)
		baseline := Report{Suite: report.Suite, Seed: report.Seed, Policy: policy}
		evaluate(&baseline, outcomes, nil, nil, s.layout.slotSpeeds().Sum())
		evaluateDispatch(&baseline, outcomes, s.layout.slotSpeeds().Sum())
		report.Baselines = append(report.Baselines, baseline)
		if excess := baseline.RatioMean - 1; bestExcess == 0 || excess < bestExcess {
			bestExcess = excess
		}
	}
	if bestExcess > 0 {
		report.VsBestBaselineExcess = (report.RatioMean - 1) / bestExcess
	}
}

// measureStart returns the arrival time, in microseconds, from which jobs are measured.
// A trace shorter than twice the warm-up is measured from its start.
func measureStart(jobs []TraceJob) int64 {
	const warmUpUS = warmUpSeconds * 1_000_000
	if jobs[len(jobs)-1].ArrivalUS < 2*warmUpUS {
		return 0
	}
	return warmUpUS
}

// replay runs the trace on real processes and evaluates it.
func (s *scenario) replay(ctx context.Context, jobs []TraceJob) (*Report, error) {
	dir, err := os.MkdirTemp("", "mustardstep-replay-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	begin := time.Now()
	layout := s.layout
	layout.Dir = dir
	layout.DaemonArgs = []string{"-log-decisions=false"}
	c, err := startCluster(ctx, layout)
	if err != nil {
		return nil, err
	}
	load := newLoadGenerator(c.httpAddrs)
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- s.injectFaultsIfSet(ctx, c) }()
	outcomes := load.replay(ctx, jobs)
	faultErr := <-faultsDone
	starts, startsErr := c.starts()
	usage, usageErr := c.readMessageCounters()
	stopErr := c.stop()
	if err := errors.Join(faultErr, startsErr, usageErr, stopErr); err != nil {
		return nil, err
	}
	report := &Report{Policy: policyMustardstep}
	evaluate(report, withoutWarmUp(outcomes, measureStart(jobs)), load.notRunAnswers, starts, c.speedSum())
	evaluateDispatch(report, withoutWarmUp(outcomes, measureStart(jobs)), c.speedSum())
	usage.evaluate(report, outcomes, load.attempts)
	report.ElapsedMS = time.Since(begin).Milliseconds()
	return report, nil
}

func (s *scenario) injectFaultsIfSet(ctx context.Context, c *cluster) error {
	if s.injectFaults == nil {
		return nil
	}
	return s.injectFaults(ctx, c)
}

// withoutWarmUp returns the outcomes of jobs that arrived at from, in microseconds, or
// later.
func withoutWarmUp(outcomes []outcome, from int64) []outcome {
	return slices.DeleteFunc(slices.Clone(outcomes), func(o outcome) bool { return o.job.ArrivalUS < from })
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
