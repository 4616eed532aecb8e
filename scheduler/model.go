package scheduler

import (
	"math"
	"sync"
	"time"
)

// The model of a run time is log(run time) = log(base time of the queue) -
// log(speed of the upstream) + noise. Every successful run updates both terms.
const (
	// The weight of a new observation is 1/(n+prior), but at least the floor. For a
	// queue, n is the number of earlier observations; for a speed, it includes the
	// new one.
	queuePrior = 2
	queueFloor = 0.01
	speedPrior = 1
	speedFloor = 0.05
	// minRunTime keeps logarithms finite, in seconds.
	minRunTime = 1e-3
	// declaredWeight is the weight of the declared run time in the expected run
	// time, on a logarithmic scale; the queue's mean has the rest. Declared run
	// times are off by 40 %, about as much as the work itself varies.
	declaredWeight = 0.5
)

// queueModel estimates the run times of one queue. It is safe for concurrent use.
type queueModel struct {
	mu       sync.Mutex // guards the fields below
	logTime  float64    // log of the mean run time at speed 1, in seconds
	logRatio float64    // log of the mean ratio of actual to declared run time
	samples  int
}

func newQueueModel(declared time.Duration) *queueModel {
	return &queueModel{logTime: math.Log(max(declared.Seconds(), minRunTime))}
}

// expected returns the expected run time at speed 1, in seconds, for a declared
// run time.
func (q *queueModel) expected(declared time.Duration) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if declared <= 0 {
		return math.Exp(q.logTime)
	}
	corrected := math.Log(max(declared.Seconds(), minRunTime)) + q.logRatio
	return math.Exp(declaredWeight*corrected + (1-declaredWeight)*q.logTime)
}

// observe updates the model with a run time at speed 1, in seconds.
func (q *queueModel) observe(declared time.Duration, work float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	weight := max(1/float64(q.samples+queuePrior), queueFloor)
	q.samples++
	log := math.Log(max(work, minRunTime))
	q.logTime += weight * (log - q.logTime)
	if declared > 0 {
		q.logRatio += weight * (log - math.Log(max(declared.Seconds(), minRunTime)) - q.logRatio)
	}
}

// speedModel estimates the speed of one upstream; its zero value has speed 1. The
// lock of the upstream's shard guards it.
type speedModel struct {
	logSpeed float64
	slowness float64 // 1/speed - 1, so that the zero value means speed 1
	samples  int
}

func (m *speedModel) speed() float64 { return 1 / m.slowdown() }

// slowdown returns the run time on the upstream relative to that at speed 1.
func (m *speedModel) slowdown() float64 { return 1 + m.slowness }

// observe updates the model with the expected run time of a task at speed 1 and
// its actual run time, in seconds.
func (m *speedModel) observe(expected, took float64) {
	m.samples++
	weight := max(1/float64(m.samples+speedPrior), speedFloor)
	observed := math.Log(max(expected, minRunTime)) - math.Log(max(took, minRunTime))
	m.logSpeed += weight * (observed - m.logSpeed)
	m.slowness = math.Exp(-m.logSpeed) - 1
}
