package replay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/valyala/fasthttp"
)

const (
	// maxTraces is the number of broken promises that a report tells in full.
	maxTraces = 5
	// maxTraceSteps is the number of steps of one of them.
	maxTraceSteps = 40
)

// faultHistory is what is known about a fault's run when it has ended.
type faultHistory struct {
	begin    time.Time
	names    map[string]string // VM names by address for callers
	acts     []faultEvent
	jobs     []TraceJob
	outcomes []outcome
	attempts []attempt
	starts   []api.StartEntry
	stops    []plannedStop
}

// faultEvent is a step of a fault that was taken.
type faultEvent struct {
	name     string
	at, done time.Time
}

// plannedStop is a VM that was drained.
type plannedStop struct {
	address     string // for callers
	begin, exit time.Time
	err         error // exit error
}

// report judges the evidence; only the probes' figures are missing.
func (e *faultHistory) report() FaultReport {
	r := FaultReport{Jobs: len(e.jobs), Calls: len(e.outcomes), Attempts: len(e.attempts)}
	for i := range e.jobs {
		r.Tasks += len(e.jobs[i].Tasks)
	}
	failures := map[FailureCount]int{}
	for _, o := range e.outcomes {
		if o.partial {
			r.PartialAnswers++
		}
		if o.failure == nil {
			r.Complete++
			continue
		}
		r.Failed++
		failures[FailureCount{Verdict: o.failure.Verdict, Code: o.failure.Code}]++
		if o.failure.Verdict == verdict.MayHaveRun {
			r.MayHaveRun++
		}
	}
	r.Failures = countFailures(failures)
	twice, denied := e.startedTwice(), e.falselyDenied()
	r.StartsTwice, r.FalseNotRun = len(twice), len(denied)
	r.DroppedRequests = e.cutRequests()
	for _, stop := range e.stops {
		if stop.err != nil {
			r.ExitErrors = append(r.ExitErrors, fmt.Sprintf("%s: %v", e.names[stop.address], stop.err))
		}
	}
	r.Traces = e.traces(append(twice, denied...))
	return r
}

// countFailures turns the counts into a list, the most frequent first.
func countFailures(counts map[FailureCount]int) []FailureCount {
	var list []FailureCount
	for f, count := range counts {
		f.Count = count
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b FailureCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code))
	})
	return list
}

// startedTwice returns the submission of each task with more than one start.
func (e *faultHistory) startedTwice() []string {
	type task struct {
		submission string
		index      int
	}
	counts := map[task]int{}
	var twice []string
	for _, start := range e.starts {
		t := task{start.Submission, start.Task}
		counts[t]++
		if counts[t] == 2 {
			twice = append(twice, t.submission)
		}
	}
	return twice
}

// falselyDenied returns the submission of each answer "not run" that was not
// true: a task had started before the answer, or one started later although
// every attempt under the key was answered "not run".
func (e *faultHistory) falselyDenied() []string {
	first := map[string]int64{}
	for _, start := range e.starts {
		if at, known := first[start.Submission]; !known || start.AtUS < at {
			first[start.Submission] = start.AtUS
		}
	}
	open := map[string]bool{} // submissions with an attempt that was not denied
	for i := range e.attempts {
		if a := &e.attempts[i]; !a.isNotRun() {
			open[a.submission()] = true
		}
	}
	var denied []string
	for i := range e.attempts {
		a := &e.attempts[i]
		at, started := first[a.submission()]
		if a.isNotRun() && started && (at < a.Finished.UnixMicro() || !open[a.submission()]) {
			denied = append(denied, a.submission())
		}
	}
	return denied
}

// cutRequests counts the requests that a stopping VM accepted and left without
// an answer.
func (e *faultHistory) cutRequests() int {
	count := 0
	for i := range e.attempts {
		a := &e.attempts[i]
		for _, stop := range e.stops {
			if a.Address == stop.address && a.Finished.After(stop.begin) && a.Sent.Before(stop.exit) && cut(a.Err) {
				count++
			}
		}
	}
	return count
}

// cut tells whether a connection ended in place of an answer. A refused
// connection took no request, and a client that stopped waiting was not cut.
func cut(lost error) bool {
	return lost != nil && !errors.Is(lost, syscall.ECONNREFUSED) && !errors.Is(lost, fasthttp.ErrTimeout)
}

// traces tells of the first submissions which VM did what and when.
func (e *faultHistory) traces(submissions []string) []string {
	var traces []string
	for _, s := range submissions {
		if len(traces) == maxTraces {
			break
		}
		if trace := e.trace(s); !slices.Contains(traces, trace) {
			traces = append(traces, trace)
		}
	}
	return traces
}

func (e *faultHistory) trace(submission string) string {
	steps := map[time.Time]string{}
	note := func(at time.Time, format string, args ...any) {
		for steps[at] != "" {
			at = at.Add(time.Nanosecond)
		}
		steps[at] = fmt.Sprintf("%+dms ", at.Sub(e.begin).Milliseconds()) + fmt.Sprintf(format, args...)
	}
	for _, act := range e.acts {
		note(act.at, "STEP %s", act.name)
	}
	for _, start := range e.starts {
		if start.Submission == submission {
			note(time.UnixMicro(start.AtUS), "task %d starts on %s", start.Task, start.Upstream)
		}
	}
	for i := range e.attempts {
		a := &e.attempts[i]
		if a.submission() != submission {
			continue
		}
		note(a.Sent, "sent to %s", e.names[a.Address])
		note(a.Finished, "%s: %s", e.names[a.Address], describeEnd(a))
	}
	order := slices.SortedFunc(maps.Keys(steps), time.Time.Compare)
	lines := []string{submission}
	for _, at := range order[:min(len(order), maxTraceSteps)] {
		lines = append(lines, steps[at])
	}
	return strings.Join(lines, "; ")
}

func describeEnd(a *attempt) string {
	switch {
	case a.Err != nil:
		return fmt.Sprintf("no answer (%v)", a.Err)
	case a.Failure != nil:
		return a.Failure.Error()
	default:
		return "complete"
	}
}

// hasViolations tells whether a promise was hasViolations.
func (r *FaultReport) hasViolations() bool {
	return r.StartsTwice > 0 || r.PartialAnswers > 0 || r.FalseNotRun > 0 || r.DroppedRequests > 0 || len(r.ExitErrors) > 0
}
