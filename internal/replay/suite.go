package replay

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Options are the settings of a suite.
type Options struct {
	Seed int64
	// Seconds is the length of the load; 0 takes the suite's own.
	Seconds float64
	// Fault is the one fault that the suite of faults runs; empty runs all.
	Fault string
	// LogDir keeps the logs of the processes; empty keeps none.
	LogDir string
	// Trace is the file of a trace that replaces the generated one; empty
	// generates.
	Trace string
	// Baselines are the policies that a dispatch suite compares with.
	Baselines []string
	// Deployment is the service whose calls a dispatch suite generates.
	Deployment string
}

// ErrInvariantViolated is returned with the report of a suite that found an invariant
// violation.
var ErrInvariantViolated = errors.New("an invariant was violated")

// DefaultSeconds is the length of a load for which none is given.
const DefaultSeconds = 5

// suite is a set of replays that one command runs.
type suite struct {
	run func(context.Context, Options) (*Report, error)
	// seconds is the length of the load for which none is given.
	seconds float64
}

// suites are the suites by name.
var suites = map[string]suite{
	"thin":          {runThin, DefaultSeconds},
	"faults":        {runFaults, faultSeconds},
	"steady":        {runSteady, DefaultSeconds},
	"burst":         {runBurst, DefaultSeconds},
	"skew":          {runSkew, DefaultSeconds},
	"cancel":        {runCancel, DefaultSeconds},
	"badupstreams":  {runBadUpstreams, DefaultSeconds},
	"config":        {runConfig, DefaultSeconds},
	"config-sizes":  {runConfigSizes, DefaultSeconds},
	"config-spread": {runConfigSpread, DefaultSeconds},
}

// RunSuite runs a suite on processes of its own.
func RunSuite(ctx context.Context, name string, options Options) (*Report, error) {
	suite, known := suites[name]
	if !known {
		return nil, errors.Newf("unknown suite %q", name)
	}
	begin := time.Now()
	options.Seconds = cmp.Or(options.Seconds, suite.seconds)
	report, err := suite.run(ctx, options)
	if err != nil {
		return nil, err
	}
	report.Suite, report.Seed = name, options.Seed
	report.ElapsedMS = time.Since(begin).Milliseconds()
	if report.hasViolations() {
		return report, ErrInvariantViolated
	}
	return report, nil
}

// thinScenario is a moderate load on two data centres without faults.
var thinScenario = scenario{
	layout: Layout{
		DataCentres: []string{"casablanca", "rabat"}, VMs: 2, Upstreams: 6, Slots: 8,
		Speeds: []float64{1, 0.75, 0.5, 0.25},
	},
	workload: Workload{Callers: 40}, utilization: 0.3,
}

// runThin sends the load through the whole path.
func runThin(ctx context.Context, o Options) (*Report, error) {
	jobs, err := thinScenario.jobs(o)
	if err != nil {
		return nil, err
	}
	return thinScenario.replay(ctx, jobs)
}
