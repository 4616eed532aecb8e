// Package replay runs test suites, fault injection, soak tests and benchmarks against
// real daemon processes and evaluates the results.
package replay

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// traceFormat and traceVersion are written to the header line of a trace.
const (
	traceFormat  = "mustardstep-trace"
	traceVersion = 1
)

// maxTraceLine is the maximum length of a line, in bytes.
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

// ReadTrace reads a trace written by WriteTrace. Errors include the line number.
func ReadTrace(r io.Reader) ([]TraceJob, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxTraceLine)
	var header TraceHeader
	if !scanner.Scan() || json.Unmarshal(scanner.Bytes(), &header) != nil || header.Format != traceFormat {
		return nil, errors.Newf("line 1: not a %s file", traceFormat)
	}
	if header.Version != traceVersion {
		return nil, errors.Newf("line 1: version %d is not supported; this release reads version %d", header.Version, traceVersion)
	}
	var jobs []TraceJob
	for line := 2; scanner.Scan(); line++ {
		var job TraceJob
		if err := json.Unmarshal(scanner.Bytes(), &job); err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		if len(job.Tasks) == 0 || job.Key == "" || job.Caller == "" {
			return nil, errors.Newf("line %d: a job must have a caller, a key and at least one task", line)
		}
		jobs = append(jobs, job)
	}
	return jobs, scanner.Err()
}
