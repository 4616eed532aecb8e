package scheduler

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// shardBounds holds bounds on the upstreams of a shard, as of the last change or tick.
type shardBounds struct {
	maxFreeCPU atomic.Int64  // most free CPU of any upstream, in thousandths of a core
	minCost    atomic.Uint64 // math.Float64bits of the lowest cost
}

// excludes reports whether the bounds rule out that an upstream of the shard has at
// least milliCPU free, in thousandths of a core, and costs less than cost.
func (b *shardBounds) excludes(milliCPU int, cost float64) bool {
	return int(b.maxFreeCPU.Load()) < milliCPU || math.Float64frombits(b.minCost.Load()) >= cost
}

// upstreamShard holds the upstreams whose names hash to it.
type upstreamShard struct {
	bounds *shardBounds

	mu     sync.Mutex // guards the fields below
	byName map[string]*upstream
	all    []*upstream // sorted by name
	// leftPlaced holds upstream.placed of upstreams that were removed and may return, by name.
	leftPlaced map[string]placedJobs
}

// add inserts a new upstream. The caller holds mu.
func (s *upstreamShard) add(u *upstream) {
	s.byName[u.Name] = u
	u.placed = s.leftPlaced[u.Name]
	delete(s.leftPlaced, u.Name)
	at, _ := slices.BinarySearchFunc(s.all, u, compareNames)
	s.all = slices.Insert(s.all, at, u)
}

// remove deletes an upstream. The caller holds mu.
func (s *upstreamShard) remove(u *upstream) {
	delete(s.byName, u.Name)
	s.keepPlaced(u.Name, u.placed)
	if at, found := slices.BinarySearchFunc(s.all, u, compareNames); found {
		s.all = slices.Delete(s.all, at, at+1)
	}
}

func compareNames(a, b *upstream) int { return strings.Compare(a.Name, b.Name) }

// recomputeBounds publishes the exact bounds of the shard. The caller holds mu.
func (s *upstreamShard) recomputeBounds() {
	maxFree, minCost := 0, noScore
	for _, u := range s.all {
		if u.canGetRuns() {
			maxFree = max(maxFree, u.freeSize().MilliCPU)
			minCost = min(minCost, u.cost())
		}
	}
	s.bounds.maxFreeCPU.Store(int64(maxFree))
	s.bounds.minCost.Store(math.Float64bits(minCost))
}

// noteReserved updates the published free CPU after a reservation on an upstream
// that had freeBefore free, in thousandths of a core. The caller holds mu.
func (s *upstreamShard) noteReserved(freeBefore int) {
	published := int(s.bounds.maxFreeCPU.Load())
	if freeBefore < published {
		return
	}
	maxFree := 0
	for _, u := range s.all {
		if u.canGetRuns() {
			maxFree = max(maxFree, u.freeSize().MilliCPU)
			if maxFree >= published {
				break
			}
		}
	}
	s.bounds.maxFreeCPU.Store(int64(maxFree))
}

// noteReleased widens the published bounds to include an upstream whose free CPU
// may have grown or whose cost may have fallen. The next tick makes them exact.
// The caller holds mu.
func (s *upstreamShard) noteReleased(u *upstream) {
	if u.canGetRuns() {
		s.bounds.maxFreeCPU.Store(max(s.bounds.maxFreeCPU.Load(), int64(u.freeSize().MilliCPU)))
		s.bounds.minCost.Store(math.Float64bits(min(math.Float64frombits(s.bounds.minCost.Load()), u.cost())))
	}
}

// beginTerm drops the run state of an earlier term. All listed upstreams must be
// claimed again.
func (s *upstreamShard) beginTerm(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.byName {
		u.claimed, u.fenced, u.retryAt, u.pollFailures = false, false, time.Time{}, 0
		for _, o := range u.orphans {
			if u.orphanSince == nil {
				u.orphanSince = map[Run]time.Time{}
			}
			u.orphanSince[o.Run] = o.since
		}
		u.runs, u.orphans, u.used = map[Task]*run{}, map[Task]orphan{}, Size{}
		u.lastSeen, u.lastAcked, u.undelivered = 0, 0, map[int64]struct{}{}
		u.lastPoll, u.idleSince = now, now
		u.leaseEnd, u.isolation, u.heldUntil = time.Time{}, isolatedNot, time.Time{}
	}
}
