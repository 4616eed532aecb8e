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
	// Seconds is the duration of the load; 0 means the default of the suite.
	Seconds float64
	// Fault is the name of the fault that the faults suite runs; empty means all.
	Fault string
	// LogDir is the directory for the logs of the processes; empty discards them.
	LogDir string
	// Trace is the trace file to replay; empty means a generated trace.
	Trace string
	// Baselines lists the baseline policies that a dispatch suite compares with.
	Baselines []string
	// Deployment is the service called in the generated trace of a dispatch suite.
	Deployment string
}

// ErrInvariantViolated is returned along with the report of a suite or soak test that
// found an invariant violation.
var ErrInvariantViolated = errors.New("an invariant was violated")

// DefaultSeconds is the default duration of the load of most suites.
const DefaultSeconds = 5

// suite is a test suite that RunSuite runs by its name.
type suite struct {
	run func(context.Context, Options) (*Report, error)
	// seconds is the default duration of the load.
	seconds float64
}

// suites holds all suites by name.
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

// RunSuite starts the processes of a suite, runs it and returns its report.
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

// runThin sends a load through the whole path, from the callers to the upstreams.
func runThin(ctx context.Context, o Options) (*Report, error) {
	jobs, err := thinScenario.jobs(o)
	if err != nil {
		return nil, err
	}
	return thinScenario.replay(ctx, jobs)
}
