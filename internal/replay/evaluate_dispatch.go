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

// evaluateDispatch fills in the mean response time, the worst wait and the ratio of
// urgent calls. It leaves out failed and cancelled jobs.
func evaluateDispatch(report *Report, outcomes []outcome, speedSum float64) {
	urgentRatios := hdrhistogram.New(1, maxRatio, 3)
	var total, worst time.Duration
	count := 0
	for _, o := range outcomes {
		if o.failure != nil || o.job.CancelAfterUS > 0 {
			continue
		}
		idealTime := ideal(o.job, speedSum)
		total += o.response
		count++
		worst = max(worst, o.response-idealTime)
		if isUrgent(o.job) {
			ratio := float64(o.response) / float64(idealTime)
			_ = urgentRatios.RecordValue(min(int64(ratio*ratioScale), maxRatio))
		}
	}
	if count > 0 {
		report.MeanResponseMS = milliseconds(total) / float64(count)
	}
	report.WorstWaitMS = milliseconds(worst)
	report.UrgentRatioP99 = quantile(urgentRatios, 99)
}

// messageCounters holds the message counters of one daemon or, summed, of all daemons.
type messageCounters struct {
	Frames     map[string]int64 `json:"frames_sent"`
	Starts     map[string]int64 `json:"task_starts"` // by result
	Polls      int64            `json:"upstream_looks"`
	Stops      int64            `json:"run_stops"`
	StoreCalls int64            `json:"platform_calls"`
	FrameBytes int64            `json:"frame_bytes_sent"`
}

// readMessageCounters reads and sums the counters of all daemons.
func (c *cluster) readMessageCounters() (*messageCounters, error) {
	sum := &messageCounters{Frames: map[string]int64{}, Starts: map[string]int64{}}
	for _, address := range c.httpAddrs {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/debug/vars", startTimeout)
		if err != nil {
			return nil, errors.Wrapf(err, "read counters of %s", address)
		}
		var daemon messageCounters
		if err := json.Unmarshal(body, &daemon); err != nil {
			return nil, errors.Wrapf(err, "read counters of %s", address)
		}
		sum.add(&daemon)
	}
	return sum, nil
}

func (u *messageCounters) add(other *messageCounters) {
	for kind, n := range other.Frames {
		u.Frames[kind] += n
	}
	for result, n := range other.Starts {
		u.Starts[result] += n
	}
	u.Polls += other.Polls
	u.Stops += other.Stops
	u.StoreCalls += other.StoreCalls
	u.FrameBytes += other.FrameBytes
}

// evaluate counts the wasted messages of a whole replay, including the warm-up. A
// request and its response count as two messages. For each task, one successful start
// and one poll that returns its completion are not wasted.
func (u *messageCounters) evaluate(report *Report, outcomes []outcome, attempts int) {
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
		"looks":         2 * max(u.Polls-done, 0),
		"cancels":       2 * cancels,
		"platform":      2 * u.StoreCalls,
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
		"starts": starts, "looks": u.Polls, "stops": u.Stops, "frame_bytes": u.FrameBytes,
	}
}

// usefulFrames returns how many frames of a kind are needed per job and per task. A job
// needs the forward to the owner, the start record, the offer to the dispatcher and their
// responses; a task needs its completion and the acknowledgement.
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
