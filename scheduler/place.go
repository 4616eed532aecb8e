package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// Offer enters a job, all its tasks or none. The notices tell of tasks that are
// known to have ended. A failure has the verdict NotRun, but for a resumed job.
func (s *Scheduler) Offer(now time.Time, offered Job) ([]Notice, *verdict.Error) {
	if waiting := s.waiting.Load(); waiting+int64(len(offered.Tasks)) > int64(s.config.MaxWaiting) && !offered.Resumed {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded, "%d tasks are waiting", waiting).WithRetryAfter(verdict.MinRetryAfter)
	}
	if !offered.Resumed && !s.fits(offered.Service, offered.Size) {
		return nil, verdict.Errorf(verdict.NotRun, verdict.CodeNeverFits,
			"no upstream of service %s has %d thousandths of a core, %d MB and %d accelerators",
			offered.Service, offered.Size.MilliCPU, offered.Size.MemoryMB, offered.Size.Accelerators).WithRetryAfter(verdict.MinRetryAfter)
	}
	model := s.models.get(offered.Queue, offered.Estimate)
	notices, waiting, failure := s.queueOf(offered.ID).offer(now, offered, model)
	if failure != nil {
		return nil, failure
	}
	s.waiting.Add(int64(waiting))
	if offered.Resumed {
		s.sweep.Store(int64(now.Sub(s.start)))
		s.claimOrphans(now, offered.ID)
	}
	return notices, nil
}

// fits tells whether an upstream of the service is large enough when it is
// empty.
func (s *Scheduler) fits(service string, size Size) bool {
	for _, shard := range s.upstreams {
		shard.mu.Lock()
		for _, u := range shard.known {
			if u.Service == service && u.listed && !u.Missing && size.FitsIn(u.Size) {
				shard.mu.Unlock()
				return true
			}
		}
		shard.mu.Unlock()
	}
	return false
}

// Start orders an upstream to run a task.
type Start struct {
	Upstream Upstream
	Token    int64
	Run      Run
	// ProcessStart is the start of the process for which the order is meant, in ms since
	// 1970; 0 where it is not known.
	ProcessStart int64
	Spec         string
	// Item is what the task works on.
	Item []byte
	// Until is the time on the upstream's clock, in ms, after which the order
	// has no effect.
	Until int64
	// Waited is the time since the caller sent the job, Expected the expected
	// run time there, Left the time left until the answer is late.
	Waited, Expected, Left time.Duration
	// Free is what remains free on the upstream.
	Free Size
}

// considered is the number of jobs, the first of as many shards, that are tried
// where the first of all fits nowhere.
const considered = 3

// Place binds waiting tasks to upstreams with room.
func (s *Scheduler) Place(now time.Time) []Start {
	var starts []Start
	for s.Dispatching() && s.waiting.Load() > 0 {
		start, ok := s.placeNext(now)
		if !ok {
			return starts
		}
		starts = append(starts, start)
	}
	return starts
}

// placeNext places the task that comes first among those that fit somewhere.
func (s *Scheduler) placeNext(now time.Time) (Start, bool) {
	var tried [shardCount]bool
	for range considered {
		at := s.firstShard(now, &tried)
		if at < 0 {
			return Start{}, false
		}
		tried[at] = true
		q := s.queues[at]
		c, ok := q.pop()
		if !ok {
			continue
		}
		if start, ok := s.bind(now, c); ok {
			s.waiting.Add(-1)
			q.markStarted(c.job.ID)
			return start, true
		}
		q.unpop(c)
	}
	return Start{}, false
}

// firstShard returns the shard with the first job of those that were not tried,
// or -1.
func (s *Scheduler) firstShard(now time.Time, tried *[shardCount]bool) int {
	at, first := -1, noScore
	for i, q := range s.queues {
		if tried[i] {
			continue
		}
		q.refresh(now)
		if top := q.first(); top < first {
			at, first = i, top
		}
	}
	return at
}

// bind reserves room for a task on the upstream that suits it best.
func (s *Scheduler) bind(now time.Time, c candidate) (Start, bool) {
	for range considered {
		name, ok := s.choose(now, c)
		if !ok {
			return Start{}, false
		}
		if start, ok := s.reserve(now, c, name); ok {
			return start, true
		}
	}
	return Start{}, false
}

// maxScanned is the number of upstreams with room that are compared for a task: the
// best of 32 is among the best 3 % of all, at a cost that does not grow with the
// fleet.
const maxScanned = 32

// choose returns the upstream with the least cost for a task. Shards that publish
// nothing cheaper than what was found are passed over without their lock; among
// equals of several shards the first that is met is taken, so that the load moves on
// with each decision.
func (s *Scheduler) choose(now time.Time, c candidate) (name string, ok bool) {
	best := noScore
	scanned := 0
	from := int(s.turn.Add(1))
	for i := range upstreamShards {
		at := (from + i) % upstreamShards
		if s.outlines[at].hopeless(c.job.Size.MilliCPU, best) {
			continue
		}
		shard := s.upstreams[at]
		shard.mu.Lock()
		for _, u := range shard.all {
			if u.Service != c.job.Service || !c.job.Size.FitsIn(u.room()) {
				continue
			}
			scanned++
			if cost := u.cost(); cost < best && suits(now, u, c) {
				best, name = cost, u.Name
			}
			if scanned >= maxScanned {
				break
			}
		}
		shard.mu.Unlock()
		if scanned >= maxScanned {
			break
		}
	}
	return name, best < noScore
}

// suits tells whether a task may be placed on an upstream.
func suits(now time.Time, u *upstream, c candidate) bool {
	return u.Service == c.job.Service && c.job.Size.FitsIn(u.room()) && u.usable(now) &&
		!slices.Contains(c.avoid, u.Name) && u.runs[Task{c.job.ID, c.index}] == nil
}

// cost orders the upstreams for a task: the expected run time of a task that takes one
// second at speed 1. Each failure in a row counts like half the speed.
func (u *upstream) cost() float64 {
	return u.model.factor() * float64(uint(1)<<min(u.health.ConsecutiveFailures(), maxPenalty))
}

// maxPenalty bounds the doublings for failures in a row.
const maxPenalty = 4

// reserve takes the room for a task where it is still there.
func (s *Scheduler) reserve(now time.Time, c candidate, name string) (Start, bool) {
	shard := s.shardOf(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.known[name]
	if u == nil || !suits(now, u, c) {
		return Start{}, false
	}
	r := &run{
		Run: Run{Task{c.job.ID, c.index}, c.attempt}, size: c.job.Size, ordered: now, moved: now,
		until: u.clockNow(now) + startWindow.Milliseconds(), expected: c.expected, estimate: c.job.Estimate, model: c.model,
		once: c.job.AtMostOnce,
	}
	before := u.room().MilliCPU
	u.runs[r.Task] = r
	u.used = u.used.plus(r.size)
	u.bound = later(u.bound, s.leaseBound(now, u, startWindow))
	shard.shrunk(before)
	return Start{
		Upstream: u.Upstream, Token: s.token.Load(), Run: r.Run, ProcessStart: u.born, Spec: c.job.Spec, Item: c.job.item(c.index), Until: r.until,
		Waited:   now.Sub(c.job.Sent),
		Expected: time.Duration(c.expected * u.model.factor() * float64(time.Second)),
		Left:     c.objective.Sub(now), Free: u.room(),
	}, true
}

// Withdraw forgets a job and stops what runs of it.
func (s *Scheduler) Withdraw(now time.Time, origin string, ids []string) Actions {
	var a Actions
	for _, id := range ids {
		waiting, gone := s.queueOf(id).withdraw(func(j *Job) bool { return j.ID == id && j.Origin == origin })
		s.waiting.Add(int64(-waiting))
		if len(gone) > 0 {
			s.stopRuns(now, "the caller has left", &a, gone...)
		}
	}
	return a
}

// AbandonJobsOf forgets the jobs of a VM that is no longer heard, or of its
// incarnations before a newer one, and stops what runs of them.
func (s *Scheduler) AbandonJobsOf(now time.Time, origin string, before uint64) Actions {
	var a Actions
	var all []string
	for _, q := range s.queues {
		waiting, gone := q.withdraw(func(j *Job) bool { return j.Origin == origin && j.OriginIncarnation < before })
		s.waiting.Add(int64(-waiting))
		all = append(all, gone...)
	}
	if len(all) > 0 {
		s.stopRuns(now, "the VM that took the job is gone", &a, all...)
	}
	return a
}

// stopRuns stops the runs of some jobs.
func (s *Scheduler) stopRuns(now time.Time, why string, a *Actions, ids ...string) {
	token := s.token.Load()
	for _, shard := range s.upstreams {
		shard.mu.Lock()
		for _, u := range shard.known {
			for _, r := range u.runs {
				if !slices.Contains(ids, r.Job) || r.abandoned {
					continue
				}
				r.abandoned = true
				if r.state == runStarted {
					r.state, r.stopped = runStopping, false
					a.Stops = append(a.Stops, Stop{u.Upstream, token, r.Run, why})
				}
			}
		}
		shard.mu.Unlock()
	}
}

// claimOrphans hands runs that were found to the job that offers their tasks.
func (s *Scheduler) claimOrphans(now time.Time, id string) {
	for _, shard := range s.upstreams {
		for _, found := range shard.orphansOf(id) {
			s.adopt(now, shard, found.upstream, found.Run)
		}
	}
}

type foundRun struct {
	Run
	upstream string
}

func (s *upstreamShard) orphansOf(job string) []foundRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []foundRun
	for _, u := range s.known {
		for _, o := range u.orphans {
			if o.Job == job && !o.stopping {
				found = append(found, foundRun{o.Run, u.Name})
			}
		}
	}
	return found
}

// adopt makes an orphan a run of its job, if the job waits for its task.
func (s *Scheduler) adopt(now time.Time, shard *upstreamShard, name string, found Run) {
	owner, expected, model, ok := s.queueOf(found.Job).adopt(found)
	if !ok {
		return
	}
	s.waiting.Add(-1)
	r := &run{
		Run: found, size: owner.Size, state: runStarted, ordered: now, answered: now, moved: now,
		expected: expected, estimate: owner.Estimate, model: model, adopted: true, once: owner.AtMostOnce, confirmed: true,
	}
	if !shard.adopt(name, r) {
		s.waiting.Add(int64(s.queueOf(found.Job).disown(found)))
	}
}

// adopt turns an orphan into a run, if it is still there.
func (s *upstreamShard) adopt(name string, r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.known[name]
	if u == nil {
		return false
	}
	if o, present := u.orphans[r.Task]; !present || o.Run != r.Run {
		return false
	}
	delete(u.orphans, r.Task)
	u.runs[r.Task] = r
	u.used = u.used.plus(r.size)
	s.measure()
	return true
}
