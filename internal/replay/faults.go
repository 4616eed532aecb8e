package replay

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// fault is a sequence of steps that are taken while a load runs.
type fault struct {
	name string
	// probed is the index of the step after which the victim's keys are probed.
	probed int
	steps  []step
}

// step is one act of a fault.
type step struct {
	// at is the time of the step as a share of the load's length.
	at   float64
	name string
	run  func(*testbed) error
}

// faults are run in this order. The victim owns the keys that are probed; it
// is a VM of the first data centre, as is its neighbour.
var faults = []fault{
	// The control: what the machine itself makes of the figures.
	{"none", 0, []step{{.3, "nothing", nothing}}},
	{"owner-killed", 0, []step{{.3, "kill victim", killVictim}}},
	{"owner-killed-and-back", 0, []step{{.3, "kill victim", killVictim}, {.5, "restart victim", restartVictim}}},
	{"owner-frozen", 0, []step{{.3, "freeze victim", freezeVictim}, {.6, "wake victim", wakeVictim}}},
	{"cut", 0, []step{{.3, "cut data centres", cutDataCentres}, {.6, "heal", healAll}}},
	{"cut-with-resets", 0, []step{{.3, "reset and cut data centres", resetDataCentres}, {.6, "heal", healAll}}},
	{"owner-unheard", 0, []step{{.3, "hold back what victim sends", holdBackVictim}, {.6, "heal", healAll}}},
	{"joins-and-leaves", 1, []step{
		{.2, "join", join}, {.4, "drain victim", drainVictim}, {.5, "join", join}, {.7, "drain neighbour", drainNeighbour},
	}},
	{"planned-stop", 0, []step{{.4, "drain victim", drainVictim}}},
	{"upstream-answers-lost", 0, []step{{.3, "lose answers", loseAnswers}, {.5, "recover", recoverUpstreams}}},
	{"upstream-answers-late", 0, []step{{.3, "delay answers", delayAnswers}, {.6, "recover", recoverUpstreams}}},
	{"upstream-slow", 0, []step{{.3, "slow", slowUpstreams}, {.6, "recover", recoverUpstreams}}},
	{"upstream-refusing", 0, []step{{.3, "refuse", refuseTasks}, {.6, "recover", recoverUpstreams}}},
	{"upstream-failing", 0, []step{{.3, "fail", failTasks}, {.6, "recover", recoverUpstreams}}},
	{"upstream-leaving", 0, []step{{.3, "leave", leaveUpstreams}}},
	{"platform-down", 0, []step{{.2, "cut platform", cutPlatform}, {.7, "heal", healAll}}},
	{"list-wrong", 0, []step{
		{.2, "list victim as gone", listVictimGone}, {.5, "kill neighbour, listed as live", killNeighbour},
	}},
	{"owner-and-neighbour-killed", 1, []step{{.3, "kill neighbour", killNeighbour}, {.3, "kill victim", killVictim}}},
	{"owner-killed-platform-down", 1, []step{
		{.2, "cut platform", cutPlatform}, {.3, "kill victim", killVictim}, {.8, "heal", healAll},
	}},
	{"owner-killed-in-cut", 1, []step{
		{.2, "cut data centres", cutDataCentres}, {.3, "kill victim", killVictim}, {.6, "heal", healAll},
	}},
	{"owner-frozen-listed-gone", 0, []step{
		{.2, "freeze victim", freezeVictim}, {.3, "list victim as gone", listVictimGone}, {.6, "wake victim", wakeVictim},
	}},
	{"join-platform-down", 2, []step{
		{.2, "cut platform", cutPlatform}, {.3, "join", join}, {.5, "kill victim", killVictim}, {.8, "heal", healAll},
	}},
	{"owner-killed-answers-lost", 1, []step{
		{.3, "lose answers", loseAnswers}, {.4, "kill victim", killVictim}, {.5, "recover", recoverUpstreams},
	}},
}

// faultSeconds is the length of the load of each fault.
const faultSeconds = 1.0

// faultsAtOnce is the number of faults that run side by side, each on a system
// of its own.
const faultsAtOnce = 2

// runFaults replays a load under each fault, on processes of its own.
func runFaults(ctx context.Context, options Options) (*Report, error) {
	reports := make([]*FaultReport, len(faults))
	var g errgroup.Group
	g.SetLimit(faultsAtOnce)
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
	for _, one := range reports {
		if one != nil {
			report.addFault(one)
		}
	}
	if len(report.Faults) == 0 {
		return nil, errors.Newf("unknown fault %q", options.Fault)
	}
	return report, nil
}

// addFault enters a fault's report and adds its counts.
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

// seedStride keeps the keys of the faults of two seeds apart.
const seedStride = 1000

// runFault replays a load under one fault.
func runFault(ctx context.Context, f *fault, number int64, options Options) (*FaultReport, error) {
	dir, remove, err := logDir(options.LogDir, f.name)
	if err != nil {
		return nil, err
	}
	defer remove()
	s, err := newTestbed(ctx, dir, options.Seed*seedStride+number, options.Seconds)
	if err != nil {
		return nil, err
	}
	report, err := s.play(ctx, f)
	if err != nil {
		s.cluster.stop()
		return nil, err
	}
	report.Name, report.Seed = f.name, s.seed
	return report, nil
}

// logDir makes the directory of a fault's logs. Without a parent it is a
// temporary one that remove deletes.
func logDir(parent, name string) (dir string, remove func(), err error) {
	if parent == "" {
		dir, err = os.MkdirTemp("", "mustardstep-replay-")
		return dir, func() { os.RemoveAll(dir) }, err
	}
	dir = filepath.Join(parent, name)
	return dir, func() {}, os.MkdirAll(dir, 0o755)
}

// timeline takes the steps of a fault, each at its time.
func (s *testbed) timeline(f *fault) error {
	for _, step := range f.steps {
		time.Sleep(time.Until(s.timeOf(step)))
		at := time.Now()
		if err := step.run(s); err != nil {
			return errors.Wrap(err, step.name)
		}
		s.acts = append(s.acts, faultEvent{step.name, at, time.Now()})
	}
	return nil
}

func (s *testbed) timeOf(step step) time.Time {
	return s.begin.Add(time.Duration(step.at * float64(s.length())))
}
