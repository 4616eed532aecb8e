package scheduler

import (
	"math"
	"time"

	"github.com/mustardstep/mustardstep/runtimes"
)

// The model of a run time is log(run time) = log(base time of the queue) -
// log(speed of the upstream) + noise. Every successful run updates both terms.
const (
	// speedFloor is the least weight of an observation in the speed of an upstream.
	speedFloor = 0.05
	// minRunTime keeps logarithms finite, in seconds.
	minRunTime = 1e-3
)

// queueModel estimates the run times of one queue. It is safe for concurrent use.
type queueModel struct{ runTimes *runtimes.Distribution }

func newQueueModel(declared time.Duration) *queueModel {
	return &queueModel{runtimes.New(declared)}
}

// expected returns the expected run time at speed 1, in seconds, for a declared
// run time.
func (q *queueModel) expected(declared time.Duration) float64 { return q.runTimes.Expected(declared) }

// quantile returns the run time at speed 1, in seconds, that a share p of the tasks with a
// declared run time does not exceed.
func (q *queueModel) quantile(declared time.Duration, p float64) float64 {
	return q.runTimes.Quantile(declared, p)
}

// observe updates the model with a run time at speed 1, in seconds.
func (q *queueModel) observe(declared time.Duration, work float64) {
	q.runTimes.Observe(declared, work)
}

// speedModel estimates the speed of one upstream; its zero value has speed 1. The
// lock of the upstream's shard guards it.
type speedModel struct {
	logSpeed runtimes.Location
	slowness float64 // 1/speed - 1, so that the zero value means speed 1
}

func (m *speedModel) speed() float64 { return 1 / m.slowdown() }

// slowdown returns the run time on the upstream relative to that at speed 1.
func (m *speedModel) slowdown() float64 { return 1 + m.slowness }

// observe updates the model with the expected run time of a task at speed 1 and
// its actual run time, in seconds.
func (m *speedModel) observe(expected, took float64) {
	m.logSpeed.Observe(math.Log(max(expected, minRunTime))-math.Log(max(took, minRunTime)), speedFloor)
	m.slowness = math.Exp(-m.logSpeed.Value()) - 1
}
