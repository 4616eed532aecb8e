package scheduler

import (
	"math"
	"time"

	"github.com/mustardstep/mustardstep/locality"
)

// maxFasterVisited is the number of upstreams that are visited in search of one that a task may
// wait for. The search ends at the first one found.
const maxFasterVisited = 64

// maxFasterWaiting is the number of tasks above which no more wait for faster upstreams. Each is
// decided again every 20 ms, and most of a long queue would wait in vain.
const maxFasterWaiting = 128

// fasterSoon returns the wait of a task that would be late on the best free upstream, and that is
// expected to be in time on one that is about to be free; nil if the task need not wait. The slow
// upstream is left to the tasks behind it, of which some are in time there. The wait is decided
// anew whenever capacity may have become free, and ends as soon as the task cannot be in time.
func (s *Scheduler) fasterSoon(now time.Time, c *candidate) *parking {
	left := c.targetAt.Sub(now)
	if s.fasterGroup.WaitingTasks() >= maxFasterWaiting || left <= 0 || seconds(c.expected*math.Float64frombits(s.slowest.Load())) <= left {
		return nil // it is late in any case, or in time on any upstream
	}
	seen := s.fasterGroup.Changes()
	name, ok := s.choose(now, *c)
	if !ok || seconds(c.expected*s.slowdownOf(name)) <= left {
		return nil
	}
	rule, visited := s.leaseRule(), 0
	from := int(s.nextShard.Add(1))
	for i := 0; i < upstreamShardCount && visited < maxFasterVisited; i++ {
		shard := s.upstreamShards[(from+i)%upstreamShardCount]
		shard.mu.Lock()
		for _, u := range shard.all {
			visited++
			longest := left - seconds(c.expected*u.model.slowdown()) - TickInterval
			if longest <= 0 || !u.canServe(now, c, rule) || u.fitsAfter(now, c.job.Size, 1) > longest {
				continue
			}
			shard.mu.Unlock()
			return &parking{group: s.fasterGroup, seen: seen, until: now.Add(TickInterval)}
		}
		shard.mu.Unlock()
	}
	return nil
}

// slowdownOf returns the slowdown of an upstream, infinite if it is gone.
func (s *Scheduler) slowdownOf(name string) float64 {
	shard := s.upstreamShardFor(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if u := shard.byName[name]; u != nil {
		return u.model.slowdown()
	}
	return math.Inf(1)
}

// noteWait records in a start order that the task has waited, if it is one of a job without
// constraints.
func (c *candidate) noteWait(now time.Time, start *Start) {
	if c.job.Constraints == nil && c.constrainedTask != nil {
		start.Placement.Reason, start.Placement.Waited = locality.ReasonFaster, c.parkedFor(now)
	}
}
