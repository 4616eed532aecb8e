package dispatch

import (
	"math"

	"github.com/mustardstep/mustardstep/catalog"
)

// outlook is a snapshot of the capacity, from which the wait for a faster slot
// is estimated. It is immutable.
type outlook struct {
	// usable is the number of slots.
	usable int
	// upstreams and those of them that are ejected.
	upstreams, ejected int
	// sizes are the different sizes of the upstreams.
	sizes []catalog.Size
	// levels are the buckets that have slots, the fastest first.
	levels []level
	// demand is the work that arrives per second in each class and those above
	// it, in the unit of the rates.
	demand [classCount]float64
}

// level is a bucket of speed.
type level struct {
	bucket int
	speed  float64
	// rate is the summed speed of the slots at least as fast: the work that
	// they end per second when all are busy.
	rate float64
}

// The rate at which the slots of a level can shorten the queue is theirs less a
// part of the demand, since tasks that arrive later take some of them; at least
// minSpare of theirs.
const (
	demandShare = 0.7
	minSpare    = 0.05
)

// accepts tells whether a task of a call should take a slot of a bucket now
// rather than wait for a faster one. There are ahead tasks to place, itself
// included; offset is what was learnt of the upstream for this call alone.
func (o *outlook) accepts(call *callModel, class catalog.Priority, bucket int, offset float64, ahead int) bool {
	base := call.base()
	now := base / speedOfBucket[bucket] * math.Exp(offset)
	for i := range o.levels {
		l := &o.levels[i]
		if l.bucket >= bucket {
			return true
		}
		spare := max(l.rate-demandShare*o.demand[class], minSpare*l.rate)
		wait := float64(ahead) * base / spare
		if wait+base/l.speed < now {
			return false
		}
	}
	return true
}

// maxEjected is the greatest share of the upstreams that is ejected at once. If
// more fail, the fault is likely to lie elsewhere.
const maxEjected = 0.5

// spare tells whether one more upstream may be ejected.
func (o *outlook) spare() bool {
	return float64(o.ejected+1) <= maxEjected*float64(o.upstreams)
}

// fits tells whether a task of a size can run on an upstream. An upstream whose
// size is not known takes any.
func (o *outlook) fits(size catalog.Size) bool {
	for _, has := range o.sizes {
		if has == (catalog.Size{}) || (size.MilliCPU <= has.MilliCPU &&
			size.MemoryMB <= has.MemoryMB && size.Accelerators <= has.Accelerators) {
			return true
		}
	}
	return false
}
