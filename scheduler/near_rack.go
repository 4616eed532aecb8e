package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/locality"
)

// chooseRack chooses the rack for all tasks of a job with SameRack: the one that can take all of
// them first, if that is soon enough. Otherwise the tasks are placed in any rack. decided is false
// if the job waits.
func (s *Scheduler) chooseRack(now time.Time, c *candidate) (p place, decided bool) {
	racks := s.index.Racks(c.job.Service)
	from := int(s.nextShard.Add(1))
	var best *locality.Group
	bestWait, bestSeen := locality.Never, uint64(0)
	for i := range min(len(racks), maxRacks) {
		g := s.index.Find(c.job.Service, racks[(from+i)%len(racks)])
		if g == nil {
			continue
		}
		seen := g.Changes()
		if wait := s.rackWait(now, c, g); wait < bestWait {
			best, bestWait, bestSeen = g, wait, seen
		}
		if bestWait == 0 {
			break
		}
	}
	if best == nil {
		c.group.spread = true
		return place{}, true
	}
	q := locality.Question{Near: seconds(c.expected), NearWait: bestWait, Waited: c.parkedFor(now), Left: c.targetAt.Sub(now), Recheck: TickInterval, Contended: s.contended(c)}
	if any := s.chooseSuiting(now, c); any.name != "" {
		q.Away = seconds(c.expected * c.job.Constraints.factor())
	}
	switch d := s.decide(q); d.Action {
	case locality.PlaceNear:
		c.group.rack = best.Label()
	case locality.PlaceAway:
		c.group.spread = true
	case locality.Wait:
		return place{wait: &parking{group: best, seen: bestSeen, until: now.Add(d.Limit)}}, false
	default:
		required := s.requiredGroup(c)
		return place{wait: s.waitForRequired(now, c, required, required.Changes())}, false
	}
	return place{}, true
}

// rackWait returns the expected time until a rack has capacity for all tasks of a job that wait,
// or locality.Never.
func (s *Scheduler) rackWait(now time.Time, c *candidate, g *locality.Group) time.Duration {
	var waits []time.Duration
	rule, size, slots := s.leaseRule(), c.job.Size, 0
	s.visit(g, func(u *upstream) bool {
		if !u.canServe(now, c, rule) {
			return true
		}
		total := u.Size.count(size)
		if limit := c.job.maxPerUpstream(); limit > 0 {
			total = min(total, limit-u.otherTasks(c))
		}
		total = min(total, c.tasks)
		slots += total
		free, n := u.freeSize(), 0
		for ; n < total && n < free.count(size); n++ {
			waits = append(waits, 0)
		}
		if n == total {
			return true
		}
		for _, end := range u.runEnds(now) {
			free = free.plus(end.size)
			for ; n < total && n < free.count(size); n++ {
				waits = append(waits, end.after)
			}
		}
		return true
	})
	if len(waits) < c.tasks {
		return locality.Never
	}
	slices.Sort(waits)
	wait := waits[c.tasks-1]
	if wait > 0 {
		wait += g.Waiting() / time.Duration(max(slots, 1))
	}
	return wait
}
