package scheduler

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outline is what a shard publishes of its upstreams, as of the last change or tick.
type outline struct {
	room  atomic.Int64  // the most that is free on one of them, in thousandths of a core
	least atomic.Uint64 // bits of the least cost
}

// hopeless tells whether no upstream of the shard has the room, in thousandths of a
// core, at less than a cost.
func (o *outline) hopeless(room int, cost float64) bool {
	return int(o.room.Load()) < room || math.Float64frombits(o.least.Load()) >= cost
}

// upstreamShard holds the upstreams whose names hash to it.
type upstreamShard struct {
	outline *outline

	mu    sync.Mutex // guards the fields below
	known map[string]*upstream
	all   []*upstream // the same, by name
}

// add enters a new upstream. The caller holds mu.
func (s *upstreamShard) add(u *upstream) {
	s.known[u.Name] = u
	at, _ := slices.BinarySearchFunc(s.all, u, byName)
	s.all = slices.Insert(s.all, at, u)
}

// remove forgets an upstream. The caller holds mu.
func (s *upstreamShard) remove(u *upstream) {
	delete(s.known, u.Name)
	if at, found := slices.BinarySearchFunc(s.all, u, byName); found {
		s.all = slices.Delete(s.all, at, at+1)
	}
}

func byName(a, b *upstream) int { return strings.Compare(a.Name, b.Name) }

// measure publishes the outline of the shard. The caller holds mu.
func (s *upstreamShard) measure() {
	most, least := 0, noScore
	for _, u := range s.all {
		if u.listed && u.claimed {
			most = max(most, u.room().MilliCPU)
			least = min(least, u.cost())
		}
	}
	s.outline.room.Store(int64(most))
	s.outline.least.Store(math.Float64bits(least))
}

// shrunk publishes the room of the shard after that of one upstream, before in
// thousandths of a core, has become less. The caller holds mu.
func (s *upstreamShard) shrunk(before int) {
	published := int(s.outline.room.Load())
	if before < published {
		return
	}
	most := 0
	for _, u := range s.all {
		if u.listed && u.claimed {
			most = max(most, u.room().MilliCPU)
			if most >= published {
				break
			}
		}
	}
	s.outline.room.Store(int64(most))
}

// widen publishes that an upstream may have more room or a lower cost than the
// outline says; the next tick narrows it. The caller holds mu.
func (s *upstreamShard) widen(u *upstream) {
	if u.listed && u.claimed {
		s.outline.room.Store(max(s.outline.room.Load(), int64(u.room().MilliCPU)))
		s.outline.least.Store(math.Float64bits(min(math.Float64frombits(s.outline.least.Load()), u.cost())))
	}
}

// begin forgets what an earlier term knew of runs; the listed upstreams are to
// be claimed anew.
func (s *upstreamShard) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.known {
		u.claimed, u.fenced, u.retry, u.failures = false, false, time.Time{}, 0
		u.runs, u.orphans, u.used = map[Task]*run{}, map[Task]orphan{}, Size{}
		u.seen, u.acked, u.undelivered = 0, 0, map[int64]struct{}{}
		u.newest, u.idle = now, now
		u.bound = time.Time{}
	}
}
