package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/locality"
)

const (
	// maxMembers is the number of upstreams of a group that a search visits. It exceeds the
	// racks; a search for a common label begins at another member each time.
	maxMembers = 1024
	// maxRacks is the number of racks that are compared for a job with SameRack.
	maxRacks = 32
)

// groupState is the part of a job's state that depends on where its tasks have been placed.
type groupState struct {
	// rack is that of the first task of a job with SameRack; spread means that its tasks are
	// placed in any rack.
	rack   string
	spread bool
}

// constrainedTask is the part of a candidate that is used for jobs with constraints, and for jobs
// that have been parked.
type constrainedTask struct {
	tasks       int // number of waiting tasks of the job, including this one
	group       groupState
	parkedSince time.Time // as in job
}

// nearLabel returns the label of the upstreams that are near for a task, or an empty string if
// none is nearer than others.
func (c *candidate) nearLabel() string {
	k := c.job.Constraints
	switch {
	case k == nil:
		return ""
	case k.Rack != "":
		return k.Rack
	case k.SameRack && !c.group.spread:
		return c.group.rack
	}
	return ""
}

// kindOn returns whether an upstream is near for a task, and the factor of its run time there.
func (c *candidate) kindOn(u *Upstream) (locality.Kind, float64) {
	k := c.job.Constraints
	if k == nil || k.Rack == "" && !k.SameRack {
		return locality.Unconstrained, 1
	}
	far := k.Rack != "" && !u.hasLabel(k.Rack) || k.SameRack && (c.group.spread || c.group.rack != "" && u.Rack != c.group.rack)
	if far {
		return locality.Away, k.factor()
	}
	return locality.Near, 1
}

// factor returns the run time of a task away from its data or group, relative to that near it.
func (k *Constraints) factor() float64 {
	if k == nil {
		return 1
	}
	return max(k.SpreadFactor, 1)
}

// seconds converts a number of seconds, of which infinity is the longest time.
func seconds(s float64) time.Duration {
	if s >= float64(math.MaxInt64)/float64(time.Second) {
		return locality.Never
	}
	return time.Duration(s * float64(time.Second))
}

// bindConstrained reserves capacity for a task of a job with constraints, near its data or group
// or elsewhere. If it must wait for certain upstreams, w tells for which; if w is nil, it waits in
// the queue.
func (s *Scheduler) bindConstrained(now time.Time, c candidate) (start Start, w *parking, ok bool) {
	if s.isTooLate(now, c) {
		return Start{}, nil, false
	}
	for range maxTried {
		p := s.choosePlace(now, &c)
		if p.name == "" {
			return Start{}, p.wait, false
		}
		if start, ok := s.reserve(now, c, p.name); ok {
			start.Placement.Reason, start.Placement.Waited = p.reason, c.parkedFor(now)
			return start, nil, true
		}
	}
	return Start{}, nil, false
}

// parkedFor returns the time for which the job has waited for a near place.
func (c *candidate) parkedFor(now time.Time) time.Duration {
	if c.parkedSince.IsZero() {
		return 0
	}
	return now.Sub(c.parkedSince)
}

// place is the result of choosePlace: an upstream, or the wait.
type place struct {
	name   string
	reason locality.Reason
	wait   *parking
}

// choosePlace returns the upstream for a task of a job with constraints, or what it waits for.
func (s *Scheduler) choosePlace(now time.Time, c *candidate) place {
	k := c.job.Constraints
	required := s.requiredGroup(c)
	seen := required.Changes() // before the search
	if k.SameRack && k.Rack == "" && c.group == (groupState{}) && c.tasks > 1 {
		if p, decided := s.chooseRack(now, c); !decided {
			return p
		}
	}
	label := c.nearLabel()
	if label == "" {
		away := s.chooseSuiting(now, c)
		if away.name == "" {
			return place{wait: s.waitForRequired(now, c, required, seen)}
		}
		reason := locality.ReasonNone
		if k.SameRack && c.group.spread {
			reason = locality.ReasonNoNear
		}
		return place{name: away.name, reason: reason}
	}
	var near found
	nearWait, nearSeen := locality.Never, uint64(0)
	group := s.index.Find(c.job.Service, label)
	if group != nil {
		nearSeen = group.Changes()
		near, nearWait = s.searchGroup(now, c, group)
	}
	if nearWait == 0 && near.cost <= k.factor()*s.leastCost() {
		return place{name: near.name, reason: locality.ReasonNearFree} // none elsewhere is faster
	}
	away := s.chooseSuiting(now, c)
	q := locality.Question{
		Near: seconds(c.expected * near.cost), NearWait: nearWait,
		Waited: c.parkedFor(now), Left: c.targetAt.Sub(now), Recheck: TickInterval, Contended: s.contended(c),
	}
	if away.name != "" {
		q.Away = seconds(c.expected * away.cost)
	}
	d := s.decide(q)
	switch d.Action {
	case locality.PlaceNear:
		return place{name: near.name, reason: d.Reason}
	case locality.PlaceAway:
		return place{name: away.name, reason: d.Reason}
	case locality.Wait:
		return place{wait: &parking{group: group, seen: nearSeen, until: now.Add(d.Limit)}}
	default:
		return place{wait: s.waitForRequired(now, c, required, seen)}
	}
}

// leastCost returns a lower bound of the cost of all upstreams.
func (s *Scheduler) leastCost() float64 {
	least := noScore
	for i := range s.bounds {
		least = min(least, math.Float64frombits(s.bounds[i].minCost.Load()))
	}
	return least
}

// requiredGroup returns the group of the upstreams that a task may use: those with the label that
// it requires, or all.
func (s *Scheduler) requiredGroup(c *candidate) *locality.Group {
	if label := c.job.label(); label != "" {
		if g := s.index.Find(c.job.Service, label); g != nil {
			return g
		}
	}
	return s.anyGroup
}

// waitForRequired returns the wait of a task for which no upstream has capacity that it may use.
// If others have capacity, the job must not hold up those behind it.
func (s *Scheduler) waitForRequired(now time.Time, c *candidate, required *locality.Group, seen uint64) *parking {
	if c.job.label() == "" && c.job.maxPerUpstream() == 0 {
		return nil
	}
	free := *c.job
	free.Constraints = nil
	unconstrained := *c
	unconstrained.job = &free
	if _, ok := s.choose(now, unconstrained); !ok {
		return nil
	}
	return &parking{group: required, seen: seen, until: now.Add(requiredRecheck)}
}

// requiredRecheck is the time after which a task that waits for upstreams it may use is tried
// again although their capacity has not changed: an upstream becomes usable without a change when
// a delay has passed.
const requiredRecheck = 100 * time.Millisecond

// found is an upstream with free capacity for a task. cost is its cost multiplied by the factor
// of the run time there.
type found struct {
	name string
	cost float64
}

// consider replaces the upstream if the given one suits the task and costs less. The caller holds
// mu of the shard.
func (f *found) consider(now time.Time, u *upstream, c *candidate, rule leaseRule) bool {
	if u.Service != c.job.Service || !c.job.Size.FitsIn(u.freeSize()) || !suits(now, u, *c, rule) {
		return false
	}
	_, factor := c.kindOn(&u.Upstream)
	if cost := u.cost() * factor; f.name == "" || cost < f.cost {
		f.name, f.cost = u.Name, cost
	}
	return true
}

// chooseSuiting returns the upstream with the lowest cost for a task with constraints. Unlike
// choose, it counts only upstreams that suit the task, because those with free capacity may all
// be excluded by the constraints.
func (s *Scheduler) chooseSuiting(now time.Time, c *candidate) found {
	best, rule, scanned := found{cost: noScore}, s.leaseRule(), 0
	if label := c.job.label(); label != "" {
		if g := s.index.Find(c.job.Service, label); g != nil {
			s.visit(g, func(u *upstream) bool {
				if best.consider(now, u, c, rule) {
					scanned++
				}
				return scanned < maxScanned
			})
		}
		return best
	}
	from := int(s.nextShard.Add(1))
	for i := 0; i < upstreamShardCount && scanned < maxScanned; i++ {
		at := (from + i) % upstreamShardCount
		if s.bounds[at].excludes(c.job.Size.MilliCPU, best.cost) {
			continue
		}
		shard := s.upstreamShards[at]
		shard.mu.Lock()
		for _, u := range shard.all {
			if best.consider(now, u, c, rule) {
				scanned++
			}
		}
		shard.mu.Unlock()
	}
	return best
}

// visit calls a function for the upstreams of a group, with the lock of their shard held, until
// it returns false. It begins at another one each time.
func (s *Scheduler) visit(g *locality.Group, call func(*upstream) bool) {
	members := g.Members()
	from := int(s.nextShard.Add(1))
	for i := range min(len(members), maxMembers) {
		name := members[(from+i)%len(members)]
		shard := s.upstreamShardFor(name)
		shard.mu.Lock()
		u := shard.byName[name]
		more := u == nil || call(u)
		shard.mu.Unlock()
		if !more {
			return
		}
	}
}

// canServe reports whether a task may run on the upstream once it has capacity.
func (u *upstream) canServe(now time.Time, c *candidate, rule leaseRule) bool {
	return u.Service == c.job.Service && c.job.Size.FitsIn(u.Size) && u.usable(now, rule) && u.isolation == isolatedNot && !now.Before(u.heldUntil) && u.endsInTime(now, c) &&
		!slices.Contains(c.avoid, u.Name) && (c.job.Constraints == nil || c.keepsConstraints(u))
}

// searchGroup returns the best upstream of a group, and the time until it has capacity: 0 if it
// has, locality.Never if that is not expected. Tasks that already wait for the group come first.
func (s *Scheduler) searchGroup(now time.Time, c *candidate, g *locality.Group) (best found, wait time.Duration) {
	rule := s.leaseRule()
	later, slots := found{cost: noScore}, 0
	wait = locality.Never
	s.visit(g, func(u *upstream) bool {
		if best.consider(now, u, c, rule) || best.name != "" || !u.canServe(now, c, rule) {
			return true
		}
		slots += u.Size.count(c.job.Size)
		if after := u.fitsAfter(now, c.job.Size, 1); after < wait {
			wait, later = after, found{u.Name, u.cost()}
		}
		return true
	})
	switch {
	case best.name != "":
		return best, 0
	case later.name == "":
		return later, locality.Never
	}
	return later, max(wait, 1) + g.Waiting()/time.Duration(max(slots, 1))
}

// settleConstrained records the placement of a task of a job with constraints.
func (s *Scheduler) settleConstrained(start Start, c candidate) {
	shard := s.jobShardFor(c.job.ID)
	spread := c.job.Constraints.SameRack && start.Placement.Kind == locality.Away
	for _, ref := range shard.noteGroup(c, start.Upstream.Rack, spread) {
		upstreams := s.upstreamShardFor(ref.upstream)
		upstreams.mu.Lock()
		if u := upstreams.byName[ref.upstream]; u != nil {
			for _, r := range u.runs {
				if r.Job == c.job.ID && r.factor < c.job.Constraints.factor() {
					r.expected *= c.job.Constraints.factor() / r.factor
					r.factor = c.job.Constraints.factor()
				}
			}
		}
		upstreams.mu.Unlock()
	}
	// The start may have left capacity for further waiting tasks.
	if g := s.index.Find(c.job.Service, start.Upstream.Rack); g != nil {
		g.NoteChange()
	}
	if label := c.job.label(); label != "" {
		s.requiredGroup(&c).NoteChange()
	}
	// A task that was woken and has not used the capacity leaves it to the next one.
	if label := c.nearLabel(); label != "" && label != start.Upstream.Rack && !c.parkedSince.IsZero() {
		if g := s.index.Find(c.job.Service, label); g != nil {
			g.NoteChange()
		}
	}
}

// noteGroup records where a task of a job with constraints has been placed. If the job has been
// spread over racks with it, it returns the other active runs, which slow down.
func (s *jobShard) noteGroup(c candidate, rack string, spread bool) (slowed []runRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.job(c.job.ID)
	if j == nil || &j.Job != c.job || !c.job.Constraints.SameRack {
		return nil
	}
	if spread && !j.group.spread {
		for _, ref := range j.current {
			if ref.upstream != "" {
				slowed = append(slowed, ref)
			}
		}
	}
	j.group.spread = j.group.spread || spread
	if j.group.rack == "" {
		j.group.rack = rack
	}
	return slowed
}

// parkTask returns a task that could not be placed, and takes its job out of the queue.
func (s *jobShard) parkTask(now time.Time, c candidate, w *parking) (requeued int) {
	_, requeued = s.putBack(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.job(c.job.ID); j != nil && &j.Job == c.job && j.heldSince.IsZero() && len(j.waiting) > 0 {
		s.park(now, j, *w)
	}
	return requeued
}

// noteRack records the rack of an adopted run.
func (s *jobShard) noteRack(job, rack string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.job(job)
	if j == nil || j.Constraints == nil || !j.Constraints.SameRack {
		return
	}
	switch j.group.rack {
	case "":
		j.group.rack = rack
	case rack:
	default:
		j.group.spread = true
	}
}

// isIndexed reports whether the index has the entry of an upstream.
func (s *Scheduler) isIndexed(entry *Upstream) bool {
	shard := s.upstreamShardFor(entry.Name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.byName[entry.Name]
	return u != nil && u.groups != nil && u.Service == entry.Service && u.Rack == entry.Rack && slices.Equal(u.Labels, entry.Labels)
}

// indexEntry updates the index for the entry of an upstream. The caller holds no lock.
func (s *Scheduler) indexEntry(before, after *Upstream) []*locality.Group {
	if before != nil {
		s.index.Remove(before.Service, before.Name, before.Rack, before.Labels)
	}
	if after == nil {
		return nil
	}
	return s.index.Add(after.Service, after.Name, after.Rack, after.Labels)
}

// noteGroupChange tells the tasks that wait for the upstream's groups that they may find capacity
// or need not wait. The caller holds mu.
func (u *upstream) noteGroupChange() {
	for _, g := range u.groups {
		g.NoteChange()
	}
}

// placeConstrained places a task of a job with constraints. parked means that the job waits for
// certain upstreams and no longer in the queue.
func (s *Scheduler) placeConstrained(now time.Time, shard *jobShard, c candidate) (start Start, placed, parked bool) {
	start, wait, bound := s.bindConstrained(now, c)
	if wait != nil {
		s.waiting.Add(int64(shard.parkTask(now, c, wait) - 1))
		return Start{}, false, true
	}
	if !s.settle(now, shard, c, start, bound) {
		return Start{}, false, false
	}
	s.settleConstrained(start, c)
	return start, true, false
}
