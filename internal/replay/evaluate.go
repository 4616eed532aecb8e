package replay

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
)

// roundTrip is the network time included in the ideal response time.
const roundTrip = time.Millisecond

// Histograms hold ratios of response time to ideal in units of 1/ratioScale.
const (
	ratioScale = 1000
	maxRatio   = 10_000_000
)

// evaluate fills in the report from the outcomes of a replay and the start logs of the
// upstreams.
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
		// Ratios above the range of the histogram are recorded as its maximum.
		_ = ratios.RecordValue(min(int64(ratio*ratioScale), maxRatio))
	}
	report.StartsTwice = countStartedTwice(starts)
	report.FalseNotRun = countFalseNotRun(notRunAnswers, starts)
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

// ideal returns a lower bound of the response time of a job on an idle system: one
// round trip plus the larger of the run time of its longest task on the fastest upstream
// and its total work divided by the summed speed of all slots.
func ideal(job *TraceJob, speedSum float64) time.Duration {
	var longest, total int64
	for _, task := range job.Tasks {
		longest = max(longest, task.RunUS)
		total += task.RunUS
	}
	us := max(float64(longest), float64(total)/speedSum)
	return time.Duration(us*float64(time.Microsecond)) + roundTrip
}

// countStartedTwice counts the tasks that were started more than once.
func countStartedTwice(starts []api.StartEntry) int {
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

// countFalseNotRun counts the "not run" answers received after a task of the submission had
// started.
func countFalseNotRun(answers []notRunAnswer, starts []api.StartEntry) int {
	firstStart := map[string]int64{}
	for _, start := range starts {
		if at, known := firstStart[start.Submission]; !known || start.AtUS < at {
			firstStart[start.Submission] = start.AtUS
		}
	}
	count := 0
	for _, answer := range answers {
		if at, started := firstStart[answer.submission]; started && at < answer.at.UnixMicro() {
			count++
		}
	}
	return count
}

// hasViolations reports whether the suite found an invariant violation.
func (r *Report) hasViolations() bool {
	violated := r.StartsTwice > 0 || r.PartialAnswers > 0 || r.FalseNotRun > 0 || r.hasConfigViolations()
	for i := range r.Faults {
		violated = violated || r.Faults[i].hasViolations()
	}
	return violated
}
