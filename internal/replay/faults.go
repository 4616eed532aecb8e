package replay

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// fault is a sequence of steps that are executed during a load.
type fault struct {
	name string
	// probeAfter is the index of the step after which the probe streams start.
	probeAfter int
	steps      []step
}

// step is one action of a fault, such as killing a VM.
type step struct {
	// at is the time of the step as a fraction of the load's duration.
	at   float64
	name string
	run  func(*testbed) error
}

// faults lists the faults in the order in which they run. The victim is the VM
// that owns the probed keys. The victim and its neighbour are VMs of the first data
// centre.
var faults = []fault{
	// The control run without a fault. Its results show the effect of the machine alone.
	{"none", 0, []step{{.3, "nothing", noFault}}},
	{"owner-killed", 0, []step{{.3, "kill victim", killVictim}}},
	{"owner-killed-and-back", 0, []step{{.3, "kill victim", killVictim}, {.5, "restart victim", restartVictim}}},
	{"owner-frozen", 0, []step{{.3, "freeze victim", freezeVictim}, {.6, "resume victim", resumeVictim}}},
	{"cut", 0, []step{{.3, "partition data centres", cutDataCentres}, {.6, "heal", healAll}}},
	{"cut-with-resets", 0, []step{{.3, "partition data centres and reset connections", resetDataCentres}, {.6, "heal", healAll}}},
	{"owner-unheard", 0, []step{{.3, "cut outbound traffic of victim", cutVictimOutbound}, {.6, "heal", healAll}}},
	{"joins-and-leaves", 1, []step{
		{.2, "join", joinVM}, {.4, "drain victim", drainVictim}, {.5, "join", joinVM}, {.7, "drain neighbour", drainNeighbour},
	}},
	{"planned-stop", 0, []step{{.4, "drain victim", drainVictim}}},
	{"upstream-answers-lost", 0, []step{{.3, "lose answers", loseAnswers}, {.5, "recover", recoverUpstreams}}},
	{"upstream-answers-late", 0, []step{{.3, "delay answers", delayAnswers}, {.6, "recover", recoverUpstreams}}},
	{"upstream-slow", 0, []step{{.3, "slow upstreams", slowUpstreams}, {.6, "recover", recoverUpstreams}}},
	{"upstream-refusing", 0, []step{{.3, "refuse tasks", refuseTasks}, {.6, "recover", recoverUpstreams}}},
	{"upstream-failing", 0, []step{{.3, "fail tasks", failTasks}, {.6, "recover", recoverUpstreams}}},
	{"upstream-leaving", 0, []step{{.3, "mark upstreams as leaving", markUpstreamsLeaving}}},
	{"platform-down", 0, []step{{.2, "cut platform", cutPlatform}, {.7, "heal", healAll}}},
	{"list-wrong", 0, []step{
		{.2, "list victim as gone", listVictimGone}, {.5, "kill neighbour, still listed as live", killNeighbour},
	}},
	{"owner-and-neighbour-killed", 1, []step{{.3, "kill neighbour", killNeighbour}, {.3, "kill victim", killVictim}}},
	{"owner-killed-platform-down", 1, []step{
		{.2, "cut platform", cutPlatform}, {.3, "kill victim", killVictim}, {.8, "heal", healAll},
	}},
	{"owner-killed-in-cut", 1, []step{
		{.2, "partition data centres", cutDataCentres}, {.3, "kill victim", killVictim}, {.6, "heal", healAll},
	}},
	{"owner-frozen-listed-gone", 0, []step{
		{.2, "freeze victim", freezeVictim}, {.3, "list victim as gone", listVictimGone}, {.6, "resume victim", resumeVictim},
	}},
	{"join-platform-down", 2, []step{
		{.2, "cut platform", cutPlatform}, {.3, "join", joinVM}, {.5, "kill victim", killVictim}, {.8, "heal", healAll},
	}},
	{"owner-killed-answers-lost", 1, []step{
		{.3, "lose answers", loseAnswers}, {.4, "kill victim", killVictim}, {.5, "recover", recoverUpstreams},
	}},
}

// faultSeconds is the default duration of the load under each fault, in seconds.
const faultSeconds = 1.0

// maxConcurrentFaults is the number of faults that run concurrently, each on its own
// cluster.
const maxConcurrentFaults = 2

// runFaults replays a load under each fault, each on its own cluster.
func runFaults(ctx context.Context, options Options) (*Report, error) {
	reports := make([]*FaultReport, len(faults))
	var g errgroup.Group
	g.SetLimit(maxConcurrentFaults)
	for i := range faults {
		if options.Fault != "" && options.Fault != faults[i].name {
			continue
		}
		g.Go(func() (err error) {
			reports[i], err = runFault(ctx, &faults[i], int64(i), options)
			return errors.Wrap(err, faults[i].name)
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	report := &Report{}
	for _, r := range reports {
		if r != nil {
			report.addFault(r)
		}
	}
	if len(report.Faults) == 0 {
		return nil, errors.Newf("unknown fault %q", options.Fault)
	}
	return report, nil
}

// addFault appends the report of a fault and adds its counts to the totals.
func (r *Report) addFault(f *FaultReport) {
	r.Faults = append(r.Faults, *f)
	r.Jobs += f.Jobs
	r.Tasks += f.Tasks
	r.Complete += f.Complete
	r.Failed += f.Failed
	r.MayHaveRun += f.MayHaveRun
	r.StartsTwice += f.StartsTwice
	r.PartialAnswers += f.PartialAnswers
	r.FalseNotRun += f.FalseNotRun
}

// seedStride is the difference between the trace seeds of consecutive suite seeds. It
// exceeds the number of faults, so no two runs share a trace seed or keys.
const seedStride = 1000

// runFault replays a load under one fault.
func runFault(ctx context.Context, f *fault, index int64, options Options) (*FaultReport, error) {
	dir, remove, err := logDir(options.LogDir, f.name)
	if err != nil {
		return nil, err
	}
	defer remove()
	tb, err := newTestbed(ctx, dir, options.Seed*seedStride+index, options.Seconds)
	if err != nil {
		return nil, err
	}
	report, err := tb.run(ctx, f)
	if err != nil {
		tb.cluster.stop()
		return nil, err
	}
	report.Name, report.Seed = f.name, tb.seed
	return report, nil
}

// logDir creates the directory for the logs of a fault. If parent is empty, the
// directory is temporary and remove deletes it.
func logDir(parent, name string) (dir string, remove func(), err error) {
	if parent == "" {
		dir, err = os.MkdirTemp("", "mustardstep-replay-")
		return dir, func() { os.RemoveAll(dir) }, err
	}
	dir = filepath.Join(parent, name)
	return dir, func() {}, os.MkdirAll(dir, 0o755)
}

// runSteps executes the steps of a fault, each at its time.
func (tb *testbed) runSteps(f *fault) error {
	for _, step := range f.steps {
		time.Sleep(time.Until(tb.stepTime(step)))
		start := time.Now()
		if err := step.run(tb); err != nil {
			return errors.Wrap(err, step.name)
		}
		tb.events = append(tb.events, faultEvent{step.name, start, time.Now()})
	}
	return nil
}

func (tb *testbed) stepTime(step step) time.Time {
	return tb.startedAt.Add(time.Duration(step.at * float64(tb.loadDuration())))
}
