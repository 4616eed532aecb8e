package dispatch

// outlook is a snapshot of the capacity, from which the wait for a faster slot
// is estimated. It is immutable.
type outlook struct {
	// usable is the number of slots.
	usable int
	// levels are the buckets that have slots, the fastest first.
	levels []level
}

// level is a bucket of speed.
type level struct {
	bucket int
	speed  float64
	// rate is the summed speed of the slots at least as fast: the work that
	// they end per second when all are busy.
	rate float64
}

// waitWeight makes up for tasks that arrive later and go first.
const waitWeight = 1.2

// accepts tells whether a task of a call should take a slot of a bucket now
// rather than wait for a faster one. There are ahead tasks to place, itself
// included.
func (o *outlook) accepts(call *callModel, bucket, ahead int) bool {
	base := call.base()
	now := base / speedOfBucket[bucket]
	for i := range o.levels {
		l := &o.levels[i]
		if l.bucket >= bucket {
			return true
		}
		wait := waitWeight * float64(ahead) * base / l.rate
		if wait+base/l.speed < now {
			return false
		}
	}
	return true
}
