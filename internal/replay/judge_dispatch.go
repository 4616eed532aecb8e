package replay

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/valyala/fasthttp"
)

// judgeDispatch adds the figures that only dispatch suites have.
func judgeDispatch(report *Report, outcomes []outcome, speedSum float64) {
	urgentRatios := hdrhistogram.New(1, maxRatio, 3)
	var total, worst time.Duration
	count := 0
	for _, o := range outcomes {
		if o.failure != nil || o.job.CancelAfterUS > 0 {
			continue
		}
		best := ideal(o.job, speedSum)
		total += o.response
		count++
		worst = max(worst, o.response-best)
		if urgent(o.job) {
			ratio := float64(o.response) / float64(best)
			_ = urgentRatios.RecordValue(min(int64(ratio*ratioScale), maxRatio))
		}
	}
	if count > 0 {
		report.MeanResponseMS = milliseconds(total) / float64(count)
	}
	report.WorstWaitMS = milliseconds(worst)
	report.UrgentRatioP99 = quantile(urgentRatios, 99)
}

// usage sums the counters of all daemons.
type usage struct {
	Frames     map[string]int64 `json:"frames_sent"`
	Refused    int64            `json:"task_starts_refused"`
	Cancelled  int64            `json:"task_cancels_sent"`
	Borrowed   int64            `json:"slots_borrowed"`
	Ejections  int64            `json:"upstream_ejections"`
	Platform   int64            `json:"platform_calls"`
	FrameBytes int64            `json:"frame_bytes_sent"`
}

// usage reads the counters of every daemon.
func (c *cluster) usage() (*usage, error) {
	sum := &usage{Frames: map[string]int64{}}
	for _, address := range c.http {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/debug/vars", startTimeout)
		if err != nil {
			return nil, errors.Wrapf(err, "counters of %s", address)
		}
		var one usage
		if err := json.Unmarshal(body, &one); err != nil {
			return nil, errors.Wrapf(err, "counters of %s", address)
		}
		sum.add(&one)
	}
	return sum, nil
}

func (u *usage) add(other *usage) {
	for kind, n := range other.Frames {
		u.Frames[kind] += n
	}
	u.Refused += other.Refused
	u.Cancelled += other.Cancelled
	u.Borrowed += other.Borrowed
	u.Ejections += other.Ejections
	u.Platform += other.Platform
	u.FrameBytes += other.FrameBytes
}

// judge counts the wasted messages of a whole replay, warm-up included. Each
// exchange counts twice, for its request and its response.
func (u *usage) judge(report *Report, outcomes []outcome, attempts int) {
	jobs, tasks, cancels := int64(len(outcomes)), int64(0), int64(0)
	for _, o := range outcomes {
		tasks += int64(len(o.job.Tasks))
		if o.job.CancelAfterUS > 0 {
			cancels++
		}
	}
	wasted := map[string]int64{
		"resubmissions":  2 * (int64(attempts) - jobs),
		"refused_starts": 2 * u.Refused,
		"task_cancels":   2 * u.Cancelled,
		"caller_cancels": 2 * cancels,
		"platform":       2 * u.Platform,
	}
	frames := int64(0)
	for kind, n := range u.Frames {
		frames += n
		if usefulPerJob(kind) {
			n = max(n-jobs, 0)
		}
		wasted["frame_kind_"+kind] = n
	}
	report.Wasted = map[string]int64{}
	total := int64(0)
	for kind, n := range wasted {
		total += n
		if n > 0 {
			report.Wasted[kind] = n
		}
	}
	report.WastedPerTask = float64(total) / float64(max(tasks, 1))
	report.FramesPerTask = float64(frames) / float64(max(tasks, 1))
	report.Counters = map[string]int64{
		"slots_borrowed": u.Borrowed, "upstream_ejections": u.Ejections, "frame_bytes": u.FrameBytes,
	}
}

// usefulPerJob tells whether one frame of a kind is useful for each job: the
// forward to the owner and its answer, the start record and its
// acknowledgement.
func usefulPerJob(kind string) bool {
	number, err := strconv.Atoi(kind)
	if err != nil {
		return false
	}
	switch wire.Kind(number) {
	case wire.KindSubmitRequest, wire.KindSubmitResponse, wire.KindRecordRequest, wire.KindRecordResponse:
		return true
	default:
		return false
	}
}
