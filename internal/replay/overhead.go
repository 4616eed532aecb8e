package replay

import (
	"context"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/client"
	"golang.org/x/sync/errgroup"
)

// OverheadOptions are the settings of the benchmark of a daemon's overhead.
type OverheadOptions struct {
	// Seconds is the length of each phase.
	Seconds float64
	// Tasks is the number of tasks of each job.
	Tasks int
	// InFlight is the number of jobs in flight under full load.
	InFlight int
	// Rate is the number of task starts a second that the paced phase offers.
	Rate int
	// CPUProfile receives the daemon's processor profile; empty writes none.
	CPUProfile string
}

// maxResponseUS is the end of the histograms of response times, in microseconds.
const maxResponseUS = int64(jobTimeout / time.Microsecond)

// RunOverhead measures what a daemon adds to tasks that take no time: one job
// of one task at a time, jobs at a fixed rate, and as many as the daemon takes.
func RunOverhead(ctx context.Context, o OverheadOptions) (*OverheadReport, error) {
	dir, err := os.MkdirTemp("", "mustardstep-bench-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	layout := Layout{
		DataCentres: []string{"casablanca"}, VMs: 1, Upstreams: 8, Slots: 60, Speeds: []float64{1},
		UpstreamArgs: []string{"-task-time", "0s"}, Dir: dir,
	}
	if o.CPUProfile != "" {
		layout.DaemonArgs = []string{"-cpu-profile", o.CPUProfile}
	}
	c, err := startCluster(ctx, layout)
	if err != nil {
		return nil, err
	}
	report := &OverheadReport{TasksPerJob: o.Tasks, Processors: runtime.NumCPU()}
	err = measureOverhead(ctx, c, o, report)
	return report, errors.Join(err, c.stop())
}

func measureOverhead(ctx context.Context, c *cluster, o OverheadOptions, report *OverheadReport) error {
	b := &overheadBenchmark{
		client: client.New(client.Config{Addresses: c.http, Caller: "bench"}),
		// The daemon is the last process that the cluster started.
		pid:    c.processes[len(c.processes)-1].cmd.Process.Pid,
		length: time.Duration(o.Seconds * float64(time.Second)),
	}
	for _, phase := range []struct {
		name  string
		tasks int
		run   phaseLoad
	}{
		{"single", 1, func(length time.Duration) { b.closedLoop(ctx, length, 1, 1) }},
		{"paced", o.Tasks, func(length time.Duration) { b.openLoop(ctx, length, o.Tasks, o.Rate) }},
		{"full", o.Tasks, func(length time.Duration) { b.closedLoop(ctx, length, o.Tasks, o.InFlight) }},
	} {
		result, err := b.measure(phase.name, phase.tasks, phase.run)
		if err != nil {
			return err
		}
		report.Phases = append(report.Phases, *result)
	}
	return nil
}

// overheadBenchmark makes the calls of the benchmark.
type overheadBenchmark struct {
	client *client.Client
	pid    int
	length time.Duration

	mu            sync.Mutex // guards the fields below
	responseTimes *hdrhistogram.Histogram
	failed        int
}

// phaseLoad makes calls for a time and waits for their answers.
type phaseLoad func(length time.Duration)

// warmUpDivisor is the part of a phase's length for which its load runs before
// it is measured, so that connections are open and caches filled.
const warmUpDivisor = 4

// measure runs one phase.
func (b *overheadBenchmark) measure(name string, tasks int, run phaseLoad) (*OverheadPhase, error) {
	b.reset()
	run(b.length / warmUpDivisor)
	b.reset()
	before, err := cpuTime(b.pid)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	run(b.length)
	elapsed := time.Since(begin)
	after, err := cpuTime(b.pid)
	if err != nil {
		return nil, err
	}
	jobs := int(b.responseTimes.TotalCount())
	started := float64(jobs * tasks)
	return &OverheadPhase{
		Name: name, Jobs: jobs, Failed: b.failed,
		StartsPerSecond: started / elapsed.Seconds(),
		AddedP50US:      b.responseTimes.ValueAtQuantile(50),
		AddedP99US:      b.responseTimes.ValueAtQuantile(99),
		AddedMaxUS:      b.responseTimes.Max(),
		CPUPerTaskUS:    float64((after - before).Microseconds()) / max(started, 1),
	}, nil
}

// reset forgets the calls that were made. None may be in progress.
func (b *overheadBenchmark) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responseTimes, b.failed = hdrhistogram.New(1, maxResponseUS, 3), 0
}

// closedLoop keeps a number of jobs in flight.
func (b *overheadBenchmark) closedLoop(ctx context.Context, length time.Duration, tasks, inFlight int) {
	end := time.Now().Add(length)
	var g errgroup.Group
	for range inFlight {
		g.Go(func() error {
			for time.Now().Before(end) && ctx.Err() == nil {
				b.call(ctx, tasks, time.Now())
			}
			return nil
		})
	}
	// The calls count their failures.
	_ = g.Wait()
}

// openLoop starts jobs at a fixed rate, whatever became of the earlier ones.
func (b *overheadBenchmark) openLoop(ctx context.Context, length time.Duration, tasks, rate int) {
	begin := time.Now()
	interval := time.Second * time.Duration(tasks) / time.Duration(rate)
	var g errgroup.Group
	for at := time.Duration(0); at < length && ctx.Err() == nil; at += interval {
		due := begin.Add(at)
		time.Sleep(time.Until(due))
		g.Go(func() error {
			b.call(ctx, tasks, due)
			return nil
		})
	}
	// The calls count their failures.
	_ = g.Wait()
}

// call makes one call that was due at a time.
func (b *overheadBenchmark) call(ctx context.Context, tasks int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	_, err := b.client.Call(ctx, client.Request{
		Service: serviceRotaDesk, Call: "heat-alert", Parameters: overheadParameters(tasks),
	})
	added := time.Since(due).Microseconds()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.failed++
	}
	// A time above the histogram's range is entered at its end.
	_ = b.responseTimes.RecordValue(min(added, maxResponseUS))
}

// overheadParameters returns the parameters of a job of that many tasks.
func overheadParameters(tasks int) demoAlert {
	return demoAlert{Gallery: "east", Figures: make([]demoFigure, tasks)}
}
