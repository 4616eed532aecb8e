package replay

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/valyala/fasthttp"
)

// evaluateDispatch adds the figures that only dispatch suites have.
func evaluateDispatch(report *Report, outcomes []outcome, speedSum float64) {
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
	Starts     map[string]int64 `json:"task_starts"` // by result
	Looks      int64            `json:"upstream_looks"`
	Stops      int64            `json:"run_stops"`
	Platform   int64            `json:"platform_calls"`
	FrameBytes int64            `json:"frame_bytes_sent"`
}

// usage reads the counters of every daemon.
func (c *cluster) usage() (*usage, error) {
	sum := &usage{Frames: map[string]int64{}, Starts: map[string]int64{}}
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
	for result, n := range other.Starts {
		u.Starts[result] += n
	}
	u.Looks += other.Looks
	u.Stops += other.Stops
	u.Platform += other.Platform
	u.FrameBytes += other.FrameBytes
}

// evaluate counts the wasted messages of a whole replay, warm-up included. An
// exchange counts twice, for its request and its response. Of each task a start
// that was carried out and one look that brings its end are useful.
func (u *usage) evaluate(report *Report, outcomes []outcome, attempts int) {
	jobs, tasks, cancels := int64(len(outcomes)), int64(0), int64(0)
	for _, o := range outcomes {
		tasks += int64(len(o.job.Tasks))
		if o.job.CancelAfterUS > 0 {
			cancels++
		}
	}
	done, starts := u.Starts[scheduler.OrderDone.String()], int64(0)
	for _, n := range u.Starts {
		starts += n
	}
	wasted := map[string]int64{
		"resubmissions": 2 * (int64(attempts) - jobs),
		"failed_starts": 2 * (starts - done),
		"stops":         2 * u.Stops,
		"looks":         2 * max(u.Looks-done, 0),
		"cancels":       2 * cancels,
		"platform":      2 * u.Platform,
	}
	frames := int64(0)
	for kind, n := range u.Frames {
		frames += n
		perJob, perTask := usefulFrames(kind)
		n = max(n-perJob*jobs-perTask*tasks, 0)
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
		"starts": starts, "looks": u.Looks, "stops": u.Stops, "frame_bytes": u.FrameBytes,
	}
}

// usefulFrames returns how many frames of a kind are useful for each job and for
// each task: the forward to the owner, the start record, the offer to the
// dispatcher and their answers; the end of each task and its acknowledgement.
func usefulFrames(kind string) (perJob, perTask int64) {
	number, err := strconv.Atoi(kind)
	if err != nil {
		return 0, 0
	}
	switch wire.Kind(number) {
	case wire.KindSubmitRequest, wire.KindSubmitResponse, wire.KindRecordRequest, wire.KindRecordResponse,
		wire.KindOfferRequest, wire.KindOfferResponse:
		return 1, 0
	case wire.KindCompletionsRequest, wire.KindCompletionsResponse:
		return 0, 1
	default:
		return 0, 0
	}
}
