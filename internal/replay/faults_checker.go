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
	// maxTimelines is the maximum number of timelines in a report.
	maxTimelines = 5
	// maxTimelineEvents is the maximum number of events in a timeline.
	maxTimelineEvents = 40
)

// faultHistory holds everything recorded while a load ran under a fault.
type faultHistory struct {
	startedAt time.Time
	vmNames   map[string]string // VM names by address for callers
	events    []faultEvent
	jobs      []TraceJob
	outcomes  []outcome
	attempts  []attempt
	starts    []api.StartEntry
	stops     []plannedStop
}

// faultEvent is an executed step of a fault.
type faultEvent struct {
	name       string
	start, end time.Time
}

// plannedStop is the drain of a VM.
type plannedStop struct {
	address             string // for callers
	startedAt, exitedAt time.Time
	err                 error // exit error
}

// check counts the results and the invariant violations. The caller adds the probe
// results.
func (h *faultHistory) check() FaultReport {
	r := FaultReport{Jobs: len(h.jobs), Calls: len(h.outcomes), Attempts: len(h.attempts)}
	for i := range h.jobs {
		r.Tasks += len(h.jobs[i].Tasks)
	}
	failures := map[FailureCount]int{}
	for _, o := range h.outcomes {
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
	twice, falseNotRun := h.startedTwice(), h.falseNotRun()
	r.StartsTwice, r.FalseNotRun = len(twice), len(falseNotRun)
	r.DroppedRequests = h.droppedRequests()
	for _, stop := range h.stops {
		if stop.err != nil {
			r.ExitErrors = append(r.ExitErrors, fmt.Sprintf("%s: %v", h.vmNames[stop.address], stop.err))
		}
	}
	r.Traces = h.timelines(append(twice, falseNotRun...))
	return r
}

// countFailures returns the counts as a list, most frequent first.
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
func (h *faultHistory) startedTwice() []string {
	type task struct {
		submission string
		index      int
	}
	counts := map[task]int{}
	var twice []string
	for _, start := range h.starts {
		t := task{start.Submission, start.Task}
		counts[t]++
		if counts[t] == 2 {
			twice = append(twice, t.submission)
		}
	}
	return twice
}

// falseNotRun returns the submission of each false "not run" answer. The answer is
// false if a task had started before it, or if a task started later although every
// attempt under the key was answered "not run".
func (h *faultHistory) falseNotRun() []string {
	firstStart := map[string]int64{}
	for _, start := range h.starts {
		if at, known := firstStart[start.Submission]; !known || start.AtUS < at {
			firstStart[start.Submission] = start.AtUS
		}
	}
	mayHaveRun := map[string]bool{} // submissions with an attempt not answered "not run"
	for i := range h.attempts {
		if a := &h.attempts[i]; !a.isNotRun() {
			mayHaveRun[a.submission()] = true
		}
	}
	var falseAnswers []string
	for i := range h.attempts {
		a := &h.attempts[i]
		startUS, started := firstStart[a.submission()]
		if a.isNotRun() && started && (startUS < a.Finished.UnixMicro() || !mayHaveRun[a.submission()]) {
			falseAnswers = append(falseAnswers, a.submission())
		}
	}
	return falseAnswers
}

// droppedRequests counts the requests that a stopping VM accepted and left without
// an answer.
func (h *faultHistory) droppedRequests() int {
	count := 0
	for i := range h.attempts {
		a := &h.attempts[i]
		for _, stop := range h.stops {
			if a.Address == stop.address && a.Finished.After(stop.startedAt) && a.Sent.Before(stop.exitedAt) && connectionLost(a.Err) {
				count++
			}
		}
	}
	return count
}

// connectionLost reports whether the connection broke before an answer. A refused
// connection accepted no request, and a timeout is the client's own decision, so neither
// counts.
func connectionLost(err error) bool {
	return err != nil && !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, fasthttp.ErrTimeout)
}

// timelines returns the timelines of the first maxTimelines distinct submissions.
func (h *faultHistory) timelines(submissions []string) []string {
	var timelines []string
	for _, s := range submissions {
		if len(timelines) == maxTimelines {
			break
		}
		if timeline := h.timeline(s); !slices.Contains(timelines, timeline) {
			timelines = append(timelines, timeline)
		}
	}
	return timelines
}

// timeline returns the timeline of a submission: its events and the steps of the fault in
// order of time.
func (h *faultHistory) timeline(submission string) string {
	events := map[time.Time]string{}
	add := func(at time.Time, format string, args ...any) {
		for events[at] != "" {
			at = at.Add(time.Nanosecond)
		}
		events[at] = fmt.Sprintf("%+dms ", at.Sub(h.startedAt).Milliseconds()) + fmt.Sprintf(format, args...)
	}
	for _, event := range h.events {
		add(event.start, "fault step: %s", event.name)
	}
	for _, start := range h.starts {
		if start.Submission == submission {
			add(time.UnixMicro(start.AtUS), "task %d started on %s", start.Task, start.Upstream)
		}
	}
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.submission() != submission {
			continue
		}
		add(a.Sent, "sent to %s", h.vmNames[a.Address])
		add(a.Finished, "result from %s: %s", h.vmNames[a.Address], describeResult(a))
	}
	times := slices.SortedFunc(maps.Keys(events), time.Time.Compare)
	lines := []string{submission}
	for _, at := range times[:min(len(times), maxTimelineEvents)] {
		lines = append(lines, events[at])
	}
	return strings.Join(lines, "; ")
}

func describeResult(a *attempt) string {
	switch {
	case a.Err != nil:
		return fmt.Sprintf("no answer (%v)", a.Err)
	case a.Failure != nil:
		return a.Failure.Error()
	default:
		return "complete"
	}
}

// hasViolations reports whether an invariant was violated.
func (r *FaultReport) hasViolations() bool {
	return r.StartsTwice > 0 || r.PartialAnswers > 0 || r.FalseNotRun > 0 || r.DroppedRequests > 0 || len(r.ExitErrors) > 0
}
