package dispatch

import (
	"math"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/health"
)

// slots are the slots of one upstream that this VM may use. The lock of the
// shard guards all fields but shard, loan and the offsets.
type slots struct {
	shard    *slotShard
	loan     *taken // nil where the slots are this VM's own
	upstream *Upstream
	limit    int // tasks that may run at once
	used     int
	closed   bool      // takes no more tasks
	left     time.Time // end of the time for which its own leaving notice holds
	allowed  int       // of limit, by its health
	health   health.Tracker
	model    speedModel

	bucket     int
	listed     bool // whether it is in the list of its bucket
	next, prev *slots
}

// free returns the number of tasks that may start now.
func (s *slots) free() int {
	if s.upstream.Leaving || s.closed {
		return 0
	}
	return min(s.limit, s.allowed) - s.used
}

// rank returns the bucket of the slots. Failures in a row put an upstream
// behind others, so that one that fails fast does not attract tasks.
func (s *slots) rank() int {
	const penalty = 2 * bucketsPerOctave
	return min(bucketOf(s.model.speed())+penalty*s.health.Penalty(), bucketCount-1)
}

// offset returns the deviation for a call, as a logarithm of the run time.
func (s *slots) offset(c *callModel) float64 { return s.model.offset(c).load() }

// expected returns the expected run time of a call, in seconds.
func (s *slots) expected(c *callModel) float64 {
	return math.Exp(c.logTime.load() - s.model.logSpeed + s.offset(c))
}

// slotShard holds the slots of some upstreams of one service.
type slotShard struct {
	best atomic.Int32 // the fastest bucket with a free slot, or bucketCount
	_    cacheLine

	mu       sync.Mutex // guards the fields below and every store of best
	known    map[string]*slots
	buckets  [bucketCount]slotList
	nonEmpty uint64 // bit b is set where buckets[b] is not empty
}

// slotList is a ring of slots that have room, in order of their last use.
type slotList struct{ head *slots }

func newSlotShard() *slotShard {
	s := &slotShard{known: map[string]*slots{}}
	s.best.Store(bucketCount)
	return s
}

// offer is a slot that was taken and is offered to the queues.
type offer struct {
	slots    *slots
	upstream *Upstream
	bucket   int
}

// take uses a free slot of the fastest upstream. ok is false where none is
// free.
func (s *slotShard) take() (o offer, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nonEmpty == 0 {
		return offer{}, false
	}
	bucket := bits.TrailingZeros64(s.nonEmpty)
	chosen := s.buckets[bucket].head
	chosen.used++
	s.relist(chosen)
	return offer{chosen, chosen.upstream, bucket}, true
}

// put gives a slot back without a result.
func (s *slotShard) put(chosen *slots) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen.used--
	s.relist(chosen)
}

// observe gives a slot back and learns from the task that ended.
func (s *slotShard) observe(now time.Time, chosen *slots, call *callModel, seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen.used--
	chosen.model.observe(call, seconds)
	chosen.health.Succeed(now)
	chosen.allowed = chosen.health.Allowance(now, chosen.limit)
	s.relist(chosen)
}

// fail gives a slot back after a task that failed or was refused. It returns
// whether the upstream was ejected by it; spare tells whether one may be.
func (s *slotShard) fail(now time.Time, chosen *slots, submission uint64, spare bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen.used--
	before := chosen.health.Ejected()
	chosen.health.Fail(now, submission, spare)
	chosen.allowed = chosen.health.Allowance(now, chosen.limit)
	s.relist(chosen)
	return chosen.health.Ejected() && !before
}

// relist moves slots to the list where they belong, behind the others. The
// caller holds mu.
func (s *slotShard) relist(c *slots) {
	s.unlist(c)
	if c.free() > 0 {
		c.bucket = c.rank()
		s.list(c)
	}
	s.best.Store(int32(bits.TrailingZeros64(s.nonEmpty)))
}

func (s *slotShard) list(c *slots) {
	list := &s.buckets[c.bucket]
	if list.head == nil {
		c.next, c.prev = c, c
		list.head = c
		s.nonEmpty |= 1 << c.bucket
	} else {
		c.next, c.prev = list.head, list.head.prev
		c.prev.next, c.next.prev = c, c
	}
	c.listed = true
}

func (s *slotShard) unlist(c *slots) {
	if !c.listed {
		return
	}
	list := &s.buckets[c.bucket]
	if c.next == c {
		list.head = nil
		s.nonEmpty &^= 1 << c.bucket
	} else {
		c.prev.next, c.next.prev = c.next, c.prev
		if list.head == c {
			list.head = c.next
		}
	}
	c.next, c.prev, c.listed = nil, nil, false
}

// set takes a new or changed upstream.
func (s *slotShard) set(now time.Time, u *Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.known[u.Name]
	if c == nil {
		c = &slots{shard: s}
		s.known[u.Name] = c
	}
	if now.Before(c.left) {
		u.Leaving = true // the list lags behind the upstream's own notice
	}
	c.upstream, c.limit = u, u.Slots
	c.allowed = c.health.Allowance(now, c.limit)
	s.relist(c)
}

// leave enters that an upstream announced that it takes no more tasks.
func (s *slotShard) leave(now time.Time, c *slots) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.left = now.Add(leaveTime)
	leaving := *c.upstream
	leaving.Leaving = true
	c.upstream = &leaving
	s.relist(c)
}

// leaveTime is the time for which an upstream's own notice outweighs the list.
const leaveTime = time.Minute

// retain drops the upstreams that are not kept. Those that run tasks take no
// more and go once the last has ended.
func (s *slotShard) retain(kept map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, c := range s.known {
		if kept[name] || c.loan != nil {
			continue
		}
		gone := *c.upstream
		gone.Leaving = true
		c.upstream = &gone
		s.relist(c)
		if c.used == 0 {
			delete(s.known, name)
		}
	}
}

// census counts the upstreams of a pool and its slots.
type census struct {
	capacity                   [bucketCount]float64 // summed speed by bucket
	usable, upstreams, ejected int
	sizes                      []catalog.Size // each once
}

// survey adds the slots of the shard and lists ejected upstreams whose next
// probe is due.
func (s *slotShard) survey(now time.Time, sum *census) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.known {
		if c.upstream.Leaving || c.closed {
			continue
		}
		sum.usable += c.limit
		sum.upstreams++
		if !slices.Contains(sum.sizes, c.upstream.Size) {
			sum.sizes = append(sum.sizes, c.upstream.Size)
		}
		if c.health.Ejected() {
			sum.ejected++
			c.allowed = c.health.Allowance(now, c.limit)
			s.relist(c)
			continue
		}
		sum.capacity[c.rank()] += c.model.speed() * float64(c.limit)
	}
}
