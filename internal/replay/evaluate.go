package replay

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
)

// roundTrip is the part of the ideal that the network takes.
const roundTrip = time.Millisecond

// Ratios are kept in thousandths.
const (
	ratioScale = 1000
	maxRatio   = 10_000_000
)

// evaluate compares the outcomes of a replay with the upstreams' start logs.
func evaluate(report *Report, outcomes []outcome, notRunAnswers []notRunAnswer, starts []api.StartEntry, speedSum float64) {
	ratios := hdrhistogram.New(1, maxRatio, 3)
	for _, o := range outcomes {
		report.Jobs++
		report.Tasks += len(o.job.Tasks)
		if o.failure != nil {
			report.Failed++
			if o.failure.Verdict == verdict.MayHaveRun {
				report.MayHaveRun++
			}
			continue
		}
		report.Complete++
		if o.partial {
			report.PartialAnswers++
		}
		ratio := float64(o.response) / float64(ideal(o.job, speedSum))
		// A ratio above the histogram's range is entered at its end.
		_ = ratios.RecordValue(min(int64(ratio*ratioScale), maxRatio))
	}
	report.StartsTwice = startsTwice(starts)
	report.FalseNotRun = falseNotRun(notRunAnswers, starts)
	report.RatioMean = ratios.Mean() / ratioScale
	report.RatioP50 = quantile(ratios, 50)
	report.RatioP90 = quantile(ratios, 90)
	report.RatioP99 = quantile(ratios, 99)
	report.RatioP999 = quantile(ratios, 99.9)
	report.RatioMax = quantile(ratios, 100)
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / ratioScale
}

// ideal returns the response time of a job that has the system for itself: the
// longer of its longest task on the fastest upstream and its work spread over
// the summed speed of all slots, and one round trip.
func ideal(job *TraceJob, speedSum float64) time.Duration {
	var longest, total int64
	for _, task := range job.Tasks {
		longest = max(longest, task.RunUS)
		total += task.RunUS
	}
	us := max(float64(longest), float64(total)/speedSum)
	return time.Duration(us*float64(time.Microsecond)) + roundTrip
}

// startsTwice counts the tasks with more than one start.
func startsTwice(starts []api.StartEntry) int {
	counts := map[string]int{}
	twice := 0
	for _, start := range starts {
		task := fmt.Sprintf("%s/%d", start.Submission, start.Task)
		counts[task]++
		if counts[task] == 2 {
			twice++
		}
	}
	return twice
}

// falseNotRun counts the answers "not run" that came after a start of their
// submission.
func falseNotRun(answers []notRunAnswer, starts []api.StartEntry) int {
	firstStart := map[string]int64{}
	for _, start := range starts {
		if at, known := firstStart[start.Submission]; !known || start.AtUS < at {
			firstStart[start.Submission] = start.AtUS
		}
	}
	count := 0
	for _, d := range answers {
		if at, started := firstStart[d.submission]; started && at < d.at.UnixMicro() {
			count++
		}
	}
	return count
}

// hasViolations tells whether a promise was hasViolations.
func (r *Report) hasViolations() bool {
	broken := r.StartsTwice > 0 || r.PartialAnswers > 0 || r.FalseNotRun > 0 || r.hasConfigViolations()
	for i := range r.Faults {
		broken = broken || r.Faults[i].hasViolations()
	}
	return broken
}
