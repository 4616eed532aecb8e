package scheduler

import (
	"math"
	"sync"
	"time"
)

// The logarithm of a run time is that of its queue's base time, less that of
// the upstream's speed, plus noise. Both are learnt from every task that ends.
const (
	// A new observation weighs 1/(n+prior), at least the floor.
	queuePrior = 2
	queueFloor = 0.01
	speedPrior = 1
	speedFloor = 0.05
	// minRunTime keeps logarithms finite, in seconds.
	minRunTime = 1e-3
	// declaredWeight is the share of the declared run time in the expectation,
	// on a logarithmic scale; the rest is the queue's mean. Declarations are off
	// by 40 % on the users' sheets, about as much as the work itself varies.
	declaredWeight = 0.5
)

// queueModel is what was learnt of one queue. It is safe for concurrent use.
type queueModel struct {
	mu      sync.Mutex // guards the fields below
	logTime float64    // of the mean run time at speed 1, in seconds
	logRate float64    // of the mean of run time to declared time
	samples int
}

func newQueueModel(declared time.Duration) *queueModel {
	return &queueModel{logTime: math.Log(max(declared.Seconds(), minRunTime))}
}

// expected returns the run time at speed 1 that a declared time stands for, in
// seconds.
func (q *queueModel) expected(declared time.Duration) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if declared <= 0 {
		return math.Exp(q.logTime)
	}
	corrected := math.Log(max(declared.Seconds(), minRunTime)) + q.logRate
	return math.Exp(declaredWeight*corrected + (1-declaredWeight)*q.logTime)
}

// observe learns from a run time at speed 1, in seconds.
func (q *queueModel) observe(declared time.Duration, work float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	weight := max(1/float64(q.samples+queuePrior), queueFloor)
	q.samples++
	log := math.Log(max(work, minRunTime))
	q.logTime += weight * (log - q.logTime)
	if declared > 0 {
		q.logRate += weight * (log - math.Log(max(declared.Seconds(), minRunTime)) - q.logRate)
	}
}

// speedModel is what was learnt of one upstream; its zero value has speed 1.
// The lock of the upstream's shard guards it.
type speedModel struct {
	logSpeed float64
	slowness float64 // the inverse of the speed, less 1
	samples  int
}

func (m *speedModel) speed() float64 { return 1 / m.slowdown() }

// slowdown returns the run time there of a task that takes one second at speed 1.
func (m *speedModel) slowdown() float64 { return 1 + m.slowness }

// observe learns from a task that was expected to take some time at speed 1 and
// took another, in seconds.
func (m *speedModel) observe(expected, took float64) {
	m.samples++
	weight := max(1/float64(m.samples+speedPrior), speedFloor)
	observed := math.Log(max(expected, minRunTime)) - math.Log(max(took, minRunTime))
	m.logSpeed += weight * (observed - m.logSpeed)
	m.slowness = math.Exp(-m.logSpeed) - 1
}
