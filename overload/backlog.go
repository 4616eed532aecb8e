// Package overload decides which jobs a dispatcher rejects while capacity is short.
//
// Work is the product of milli-CPU and expected run time at speed 1, in milli-CPU
// milliseconds. The package reads no clock: times are given as durations since an origin
// that the caller chooses. All types are safe for concurrent use.
package overload

import (
	"sync/atomic"
	"time"
)

const (
	// slotLength is the resolution of the estimate. It is a quarter of the shortest target
	// time that matters, 100 ms.
	slotLength = 25 * time.Millisecond
	// slotCount slots cover 3.2 s, about the longest target time of a sub-second task.
	slotCount = 128
	// farSlot counts work that is due later than the slots cover, lateSlot work that goes
	// after all work that can be in time.
	farSlot  = slotCount
	lateSlot = slotCount + 1
)

// Backlog sums the waiting work by the time at which it is due. Its zero value is empty.
type Backlog struct {
	slots [slotCount + 2]atomic.Int64
	total atomic.Int64
	now   atomic.Int64 // as of the last update
}

// Slot returns the slot that counts work due at a time. late means that the work goes after
// all other work.
func (b *Backlog) Slot(due time.Duration, late bool) int {
	now := time.Duration(b.now.Load())
	switch {
	case late:
		return lateSlot
	case due-now >= (slotCount-1)*slotLength:
		return farSlot
	default:
		return slotOf(max(due, now))
	}
}

func slotOf(at time.Duration) int { return int(at/slotLength) % slotCount }

// Add adds work, or subtracts it if it is negative.
func (b *Backlog) Add(slot int, work int64) {
	b.slots[slot].Add(work)
	b.total.Add(work)
}

// Total returns the sum of all work.
func (b *Backlog) Total() int64 { return b.total.Load() }

// Ahead returns the work that goes before work due at a time.
func (b *Backlog) Ahead(now, due time.Duration) int64 {
	last := min(int((due-now)/slotLength), slotCount-1)
	sum := int64(0)
	for i := 0; i <= last; i++ {
		sum += b.slots[(slotOf(now)+i)%slotCount].Load()
	}
	if last == slotCount-1 {
		sum += b.slots[farSlot].Load()
	}
	return max(sum, 0)
}
