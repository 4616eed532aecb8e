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

// OverheadOptions are the settings of the overhead benchmark.
type OverheadOptions struct {
	// Seconds is the duration of each phase.
	Seconds float64
	// Tasks is the number of tasks per job in the paced and full phases.
	Tasks int
	// InFlight is the number of concurrent jobs in the full phase.
	InFlight int
	// Rate is the number of task starts per second offered in the paced phase.
	Rate int
	// CPUProfile is the file for the CPU profile of the daemon; empty disables it.
	CPUProfile string
}

// maxResponseUS is the upper limit of the response time histogram, in microseconds.
const maxResponseUS = int64(jobTimeout / time.Microsecond)

// RunOverhead measures the overhead of a daemon with tasks that take no time, in three
// phases: single (one single-task job at a time), paced (jobs at a fixed rate) and full
// (a fixed number of concurrent jobs).
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
		client: client.New(client.Config{Addresses: c.httpAddrs, Caller: "bench"}),
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

// overheadBenchmark makes the calls of one phase after another and records their
// response times.
type overheadBenchmark struct {
	client *client.Client
	pid    int           // of the daemon
	length time.Duration // of each phase

	mu            sync.Mutex // guards the fields below
	responseTimes *hdrhistogram.Histogram
	failed        int
}

// phaseLoad makes calls for the given time and waits for their answers.
type phaseLoad func(length time.Duration)

// warmUpDivisor is the ratio of the length of a phase to that of its warm-up, which opens
// connections and fills caches before the measurement.
const warmUpDivisor = 4

// measure runs the warm-up and the measurement of one phase.
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

// reset clears the recorded calls. No call may be in progress.
func (b *overheadBenchmark) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responseTimes, b.failed = hdrhistogram.New(1, maxResponseUS, 3), 0
}

// closedLoop keeps a fixed number of jobs in flight.
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
	// The goroutines return nil; call counts failures.
	_ = g.Wait()
}

// openLoop starts jobs at a fixed rate, independent of earlier responses.
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
	// The goroutines return nil; call counts failures.
	_ = g.Wait()
}

// call makes one call and records its response time since due.
func (b *overheadBenchmark) call(ctx context.Context, tasks int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	_, err := b.client.Call(ctx, client.Request{
		Service: serviceRotaDesk, Call: "heat-alert", Parameters: overheadParameters(tasks),
	})
	responseTime := time.Since(due).Microseconds()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.failed++
	}
	// Times above the range of the histogram are recorded as its maximum.
	_ = b.responseTimes.RecordValue(min(responseTime, maxResponseUS))
}

// overheadParameters returns the parameters of a job with the given number of tasks.
func overheadParameters(tasks int) demoAlert {
	return demoAlert{Gallery: "east", Figures: make([]demoFigure, tasks)}
}
