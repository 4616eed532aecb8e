// Package replay runs recorded traces against real daemons and judges what
// came of them.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
)

// traceFormat and traceVersion stand in the first line of a trace.
const (
	traceFormat  = "mustardstep-trace"
	traceVersion = 1
)

// maxTraceLine is the longest line of a trace, in bytes.
const maxTraceLine = 4 << 20

// WriteTrace writes a header line and one line per job.
func WriteTrace(w io.Writer, jobs []TraceJob) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(TraceHeader{Format: traceFormat, Version: traceVersion}); err != nil {
		return err
	}
	for i := range jobs {
		if err := encoder.Encode(&jobs[i]); err != nil {
			return err
		}
	}
	return nil
}

// ReadTrace reads what WriteTrace wrote. Errors name the line.
func ReadTrace(r io.Reader) ([]TraceJob, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxTraceLine)
	var header TraceHeader
	if !scanner.Scan() || json.Unmarshal(scanner.Bytes(), &header) != nil || header.Format != traceFormat {
		return nil, errors.Newf("line 1: not a %s file", traceFormat)
	}
	if header.Version != traceVersion {
		return nil, errors.Newf("line 1: version %d is not supported; this release reads %d", header.Version, traceVersion)
	}
	var jobs []TraceJob
	for line := 2; scanner.Scan(); line++ {
		var job TraceJob
		if err := json.Unmarshal(scanner.Bytes(), &job); err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		if len(job.Tasks) == 0 || job.Key == "" || job.Caller == "" {
			return nil, errors.Newf("line %d: a job needs a caller, a key and tasks", line)
		}
		jobs = append(jobs, job)
	}
	return jobs, scanner.Err()
}

// Shape describes the trace that Generate makes.
type Shape struct {
	Seed int64
	// Seconds is the length of the trace.
	Seconds float64
	// TasksPerSecond is the mean rate of task arrivals.
	TasksPerSecond float64
	// MeanTaskUS is the mean run time of a task on the fastest upstream.
	MeanTaskUS float64
	// Callers is the number of calling teams.
	Callers int
}

// jobKinds are the calls that fan out, with their share and mean size.
var jobKinds = []struct {
	call      string
	share     float64
	meanTasks float64
}{
	{"heat-alert", 0.3, 6},
	{"touch-up", 0.7, 10},
}

// Generate returns a trace of rota-desk calls: jobs arrive at random times,
// their sizes and the run times of their tasks are long-tailed.
func Generate(s Shape) []TraceJob {
	rng := rand.New(rand.NewPCG(uint64(s.Seed), 0))
	meanTasks := 0.0
	for _, kind := range jobKinds {
		meanTasks += kind.share * kind.meanTasks
	}
	rate := s.TasksPerSecond / meanTasks
	var jobs []TraceJob
	for at := rng.ExpFloat64() / rate; at < s.Seconds; at += rng.ExpFloat64() / rate {
		kind := jobKinds[0]
		if rng.Float64() > kind.share {
			kind = jobKinds[1]
		}
		job := TraceJob{
			ArrivalUS: int64(at * 1e6),
			Caller:    fmt.Sprintf("museum-%02d", rng.IntN(s.Callers)),
			Key:       fmt.Sprintf("%d-%d", s.Seed, len(jobs)),
			Service:   "rota-desk", Call: kind.call,
		}
		for range 1 + min(int(rng.ExpFloat64()*(kind.meanTasks-1)), 129) {
			job.Tasks = append(job.Tasks, TraceTask{RunUS: taskTime(rng, s.MeanTaskUS)})
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// taskTime draws a log-normal run time, cut off at twenty times the mean.
func taskTime(rng *rand.Rand, mean float64) int64 {
	const sigma = 0.8
	us := mean * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2)
	return int64(min(max(us, mean/20), mean*20))
}
