package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
)

// The model of run times: the logarithm of a task's time is that of its call's
// base time, less that of the upstream's speed, plus noise. Both are learnt at
// once from every task that ends; the declared time is only the first guess.

// Weights of the learning. A new observation weighs 1/(n+prior), at least the
// floor.
const (
	speedPrior = 4
	speedFloor = 0.02
	callPrior  = 1
	callFloor  = 0.005
	// callOffsetPrior makes an upstream deviate for one call only on evidence.
	callOffsetPrior = 16
)

// atomicFloat is a float64 that is read and changed without a lock.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

func (f *atomicFloat) add(delta float64) {
	for {
		old := f.bits.Load()
		if f.bits.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)+delta)) {
			return
		}
	}
}

// callModel is what was learnt of one call. It is safe for concurrent use.
type callModel struct {
	name    string
	number  int
	logTime atomicFloat // natural logarithm of the base time in seconds
	samples atomic.Int64
}

// base returns the expected run time, in seconds, on an upstream of speed 1.
func (c *callModel) base() float64 { return math.Exp(c.logTime.load()) }

// callModels holds the calls of one service. It is safe for concurrent use.
type callModels struct {
	byName sync.Map // string to *callModel
	count  atomic.Int64
}

// named returns the model of a call that a peer names.
func (m *callModels) named(name string) *callModel { return m.get(&catalog.Call{Name: name}) }

const defaultDeclared = 100 * time.Millisecond

func (m *callModels) get(call *catalog.Call) *callModel {
	if known, ok := m.byName.Load(call.Name); ok {
		return known.(*callModel)
	}
	declared := call.Declared
	if declared <= 0 {
		declared = defaultDeclared
	}
	fresh := &callModel{name: call.Name, number: int(m.count.Add(1)) - 1}
	fresh.logTime.store(math.Log(declared.Seconds()))
	known, _ := m.byName.LoadOrStore(call.Name, fresh)
	return known.(*callModel)
}

// speedModel is what was learnt of one upstream. The lock of its shard guards
// all but the offsets.
type speedModel struct {
	logSpeed float64
	samples  int
	offsets  [offsetCount]callOffset // by number of the call
}

// offsetCount is the number of calls of a service for which deviations are
// kept; later calls share the last one.
const offsetCount = 16

// callOffset is the deviation of an upstream for one call. The logarithm is
// read without a lock.
type callOffset struct {
	log     atomicFloat
	samples int
	// pending is the sum of count deviations that were not reported yet.
	pending float64
	count   int
}

func (m *speedModel) speed() float64 { return math.Exp(m.logSpeed) }

func (m *speedModel) offset(c *callModel) *atomicFloat {
	return &m.offsets[min(c.number, offsetCount-1)].log
}

// minSeconds keeps the logarithm of a run time finite.
const minSeconds = 1e-6

// observe learns from a task that took some seconds.
func (m *speedModel) observe(c *callModel, seconds float64) {
	offset := &m.offsets[min(c.number, offsetCount-1)]
	deviation := math.Log(max(seconds, minSeconds)) - (c.logTime.load() - m.logSpeed + offset.log.load())
	m.samples++
	offset.samples++
	m.logSpeed -= deviation * max(1/float64(m.samples+speedPrior), speedFloor)
	offset.log.add(deviation * max(1/float64(offset.samples+callOffsetPrior), speedFloor) / 2)
	m.report(c, deviation)
}

// Once a call is known, an upstream reports its deviations to the call's model
// several at once, so that threads seldom meet there.
const (
	knownSamples = 256
	reportBatch  = 16
)

// report enters a deviation in the model of the call.
func (m *speedModel) report(c *callModel, deviation float64) {
	offset := &m.offsets[min(c.number, offsetCount-1)]
	offset.pending += deviation
	offset.count++
	if offset.count < reportBatch && c.samples.Load() >= knownSamples {
		return
	}
	n := c.samples.Add(int64(offset.count))
	c.logTime.add(offset.pending * max(1/float64(n+callPrior), callFloor))
	offset.pending, offset.count = 0, 0
}

// Speeds are grouped in buckets of an eighth of an octave, the fastest first.
const (
	bucketCount      = 64
	bucketsPerOctave = 8
	// bucketOfOne is the bucket of speed 1; learnt speeds can be above.
	bucketOfOne = 16
)

func bucketOf(speed float64) int {
	bucket := bucketOfOne - int(math.Round(bucketsPerOctave*math.Log2(speed)))
	return min(max(bucket, 0), bucketCount-1)
}

// speedOfBucket is the speed in the middle of each bucket.
var speedOfBucket = func() (speeds [bucketCount]float64) {
	for bucket := range speeds {
		speeds[bucket] = math.Exp2(float64(bucketOfOne-bucket) / bucketsPerOctave)
	}
	return speeds
}()
