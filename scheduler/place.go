package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/locality"
	"github.com/mustardstep/mustardstep/verdict"
)

// Offer accepts a job with all its tasks, or rejects it. The notices of the actions report
// tasks that are known to have finished. A rejection has the verdict NotRun unless the
// job is resumed.
func (s *Scheduler) Offer(now time.Time, offered Job) (Actions, *verdict.Error) {
	var a Actions
	if waiting := s.waiting.Load(); waiting+int64(len(offered.Tasks)) > int64(s.config.MaxWaiting) && !offered.Resumed {
		return a, verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded, "the queue is full: %d tasks are waiting", waiting).WithRetryAfter(verdict.MinRetryAfter)
	}
	if failure := s.refusedByEvacuation(&offered); failure != nil {
		return a, failure
	}
	if failure := offered.checkConstraints(); failure != nil {
		return a, failure
	}
	if !offered.Resumed && !s.fits(&offered) {
		if label := offered.label(); label != "" {
			return a, verdict.Errorf(verdict.NotRun, verdict.CodeNeverFits,
				"no upstream of service %s with the label %q has %d milli-CPU, %d MB of memory and %d accelerators",
				offered.Service, label, offered.Size.MilliCPU, offered.Size.MemoryMB, offered.Size.Accelerators).WithRetryAfter(verdict.MinRetryAfter)
		}
		return a, verdict.Errorf(verdict.NotRun, verdict.CodeNeverFits,
			"no upstream of service %s has %d milli-CPU, %d MB of memory and %d accelerators",
			offered.Service, offered.Size.MilliCPU, offered.Size.MemoryMB, offered.Size.Accelerators).WithRetryAfter(verdict.MinRetryAfter)
	}
	offered.returnAt = s.returnTime(offered.Sent)
	model := s.models.get(offered.Queue, offered.Estimate)
	term := s.termState(s.token.Load())
	if failure := s.admit(now, &offered, model.expected(offered.Estimate), term); failure != nil {
		return a, failure
	}
	notices, waiting, failure := s.jobShardFor(offered.ID).offer(now, offered, model, term)
	if failure != nil {
		return a, failure
	}
	a.Notices = notices
	s.waiting.Add(int64(waiting))
	if offered.Resumed {
		s.lastResume.Store(int64(now.Sub(s.start)))
	}
	s.updateReturn(offered.ID)
	for _, found := range s.jobShardFor(offered.ID).otherRuns(offered.ID) {
		if _, orphan := s.upstreamShardFor(found.upstream).find(found); orphan {
			s.adopt(now, found, &a)
		}
	}
	return a, nil
}

// fits reports whether an upstream of the service has the label that the job requires, and is
// large enough for a task when it is idle.
func (s *Scheduler) fits(j *Job) bool {
	return s.anyUpstream(func(u *upstream) bool { return u.fits(j) })
}

// fits reports whether the upstream has the label that the job requires, and is large enough for a
// task when it is idle.
func (u *upstream) fits(j *Job) bool {
	return u.Service == j.Service && u.listed && !u.Missing && j.Size.FitsIn(u.Size) && j.allows(&u.Upstream)
}

// anyUpstream reports whether a condition holds for an upstream. It calls the condition with the
// lock of the shard held.
func (s *Scheduler) anyUpstream(holds func(*upstream) bool) bool {
	for _, shard := range s.upstreamShards {
		shard.mu.Lock()
		for _, u := range shard.byName {
			if holds(u) {
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
	// ProcessStart is the start time of the process that may execute the order, in
	// ms since 1970; 0 if unknown.
	ProcessStart int64
	Spec         string
	// Item is the input of the task.
	Item []byte
	// Until is the time by the upstream's clock, in ms, after which the order has no
	// effect.
	Until int64
	// Waited is the time since the caller sent the job, Expected the expected run
	// time on the upstream, and Left the time until the answer is late.
	Waited, Expected, Left time.Duration
	// Free is the remaining free capacity of the upstream.
	Free Size
	// Suspicion is the probability that the task has crashed an upstream. If it is not 0,
	// the task runs isolated.
	Suspicion float64
	// Origin and Submission identify the submission of the job. Basis tells why its tasks
	// could start.
	Origin     string
	Submission uint64
	Basis      StartBasis
	// Near means that the upstream is in the data centre of the origin. It is false if that is
	// unknown.
	Near bool
	// Placement tells whether the upstream is near the data or the group of the job.
	Placement locality.Placement
}

// maxTried bounds two searches: placeNext tries the first jobs of at most this many
// shards if their tasks fit nowhere and capacity is not short, and bind tries at most this many upstreams for a
// task if the reservations fail.
const maxTried = 3

// Place assigns waiting tasks to upstreams with free capacity.
func (s *Scheduler) Place(now time.Time) []Start {
	if !s.Dispatching() || s.waiting.Load() <= 0 {
		return nil
	}
	s.anyGroup.NoteChange() // capacity may have become free
	s.wakeParked(now)
	starts := s.placeSuspects(now)
	for s.Dispatching() && s.waiting.Load() > 0 {
		start, ok := s.placeNext(now)
		if !ok {
			if s.wakeParked(now) {
				continue // starts may have left capacity for further jobs that wait for the same rack
			}
			return starts
		}
		starts = append(starts, start)
	}
	return starts
}

// placeNext places the first task, in job order, that fits on an upstream.
func (s *Scheduler) placeNext(now time.Time) (Start, bool) {
	var tried [jobShardCount]bool
	for n := 0; n < s.maxTriedShards(now); n++ {
		at := s.firstShard(now, &tried)
		if at < 0 {
			return Start{}, false
		}
		tried[at] = true
		shard := s.jobShards[at]
		c, ok := shard.pop()
		if !ok {
			continue
		}
		if c.job.Constraints != nil {
			start, placed, parked := s.placeConstrained(now, shard, c)
			if placed {
				return start, true
			}
			if parked { // the next job of the shard is the first now
				tried[at] = false
				n--
			}
			continue
		}
		start, bound := s.bind(now, c)
		if s.settle(now, shard, c, start, bound) {
			return start, true
		}
	}
	return Start{}, false
}

// settle records whether capacity was reserved for a task taken from a shard. It reports
// whether the start order must be sent: the job may have been removed meanwhile.
func (s *Scheduler) settle(now time.Time, shard *jobShard, c candidate, start Start, bound bool) bool {
	var ok bool
	var requeued int
	if bound {
		ok, requeued = shard.noteStart(c, start.Upstream.Name)
	} else {
		ok, requeued = shard.putBack(c)
	}
	s.waiting.Add(int64(requeued - 1))
	if bound && ok {
		s.load.Started(workOf(1, c.job.Size, c.expected))
	}
	if bound && !ok {
		s.cancelReservation(now, start)
	}
	return bound && ok
}

// cancelReservation frees the capacity reserved for a start order that is not sent,
// because its job was removed or its term ended meanwhile.
func (s *Scheduler) cancelReservation(now time.Time, start Start) {
	shard := s.upstreamShardFor(start.Upstream.Name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.byName[start.Upstream.Name]
	if u == nil {
		return
	}
	if r := u.runs[start.Run.Task]; r != nil && r.Run == start.Run && r.state == runOrdered {
		u.release(now, r)
		u.forgetPlaced(r)
		shard.noteReleased(u)
	}
}

// firstShard returns the untried shard with the lowest score, or -1.
func (s *Scheduler) firstShard(now time.Time, tried *[jobShardCount]bool) int {
	at, first := -1, noScore
	for i, shard := range s.jobShards {
		if tried[i] {
			continue
		}
		shard.refresh(now)
		if top := shard.topScore(); top < first {
			at, first = i, top
		}
	}
	return at
}

// isTooLate reports whether the caller of a task no longer waits or, in a split, may return
// before the task could run for a useful time.
func (s *Scheduler) isTooLate(now time.Time, c candidate) bool {
	return c.expired(now) || s.splitState() != splitNone && returnsBefore(c.returnAt, now.Add(minLease))
}

// bind reserves capacity for a task on the upstream with the lowest cost.
func (s *Scheduler) bind(now time.Time, c candidate) (Start, bool) {
	if s.isTooLate(now, c) {
		return Start{}, false
	}
	for range maxTried {
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

// maxScanned is the number of upstreams with free capacity that are compared for a
// task. The best of 32 is among the best 3 % on average, and the time to choose does
// not grow with the number of upstreams.
const maxScanned = 32

// choose returns the upstream with the lowest cost for a task. It skips a shard,
// without locking it, if the bounds show no better upstream. Of upstreams with equal
// cost it takes the first it meets. Each call begins at the next shard, which
// distributes the load.
func (s *Scheduler) choose(now time.Time, c candidate) (name string, ok bool) {
	best, rule, short := noScore, s.leaseRule(), s.load.Short(now.Sub(s.start))
	near := c.nearness(now)
	scanned := 0
	from := int(s.nextShard.Add(1))
	for i := range upstreamShardCount {
		at := (from + i) % upstreamShardCount
		if s.bounds[at].excludes(c.job.Size.MilliCPU, best) {
			continue
		}
		shard := s.upstreamShards[at]
		shard.mu.Lock()
		for _, u := range shard.all {
			if u.Service != c.job.Service || u.Evacuated || !c.job.Size.FitsIn(u.freeSize()) || !u.accepts(now, c.isolation) || short && c.isLateOnlyThere(now, u) {
				continue
			}
			scanned++
			cost := u.cost()
			if near.dataCentre != "" {
				cost *= near.factor(u)
			}
			if cost < best && suits(now, u, c, rule) {
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

// suits reports whether a task may be placed on an upstream.
func suits(now time.Time, u *upstream, c candidate, rule leaseRule) bool {
	if rule == leaseEnds && returnsBefore(c.returnAt, u.leaseEnd) {
		return false // the lease of other runs would outlive the return of the task's caller
	}
	return u.Service == c.job.Service && c.job.Size.FitsIn(u.freeSize()) && u.usable(now, rule) && u.endsInTime(now, &c) && u.trustedWith(&c) && u.accepts(now, c.isolation) &&
		!slices.Contains(c.avoid, u.Name) && u.runs[Task{c.job.ID, c.index}] == nil && (c.job.Constraints == nil || c.keepsConstraints(u))
}

// cost is the value by which upstreams are compared: the slowdown, doubled for each
// consecutive failure and while the upstream drains, and greater on probation.
func (u *upstream) cost() float64 {
	cost := u.model.slowdown() * float64(uint(1)<<min(u.health.ConsecutiveFailures(), maxCostDoublings))
	if u.Draining {
		cost *= drainingCost
	}
	if u.onProbation() {
		cost *= probationCost
	}
	return cost
}

// maxCostDoublings is the maximum number of doublings in cost.
const maxCostDoublings = 4

// reserve reserves capacity for a task if the upstream still suits it.
func (s *Scheduler) reserve(now time.Time, c candidate, name string) (Start, bool) {
	shard := s.upstreamShardFor(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.byName[name]
	rule := s.leaseRule()
	if u == nil || !suits(now, u, c, rule) {
		return Start{}, false
	}
	window := u.startWindow(now, u.leaseLength(now, startWindow, rule))
	if rule == leaseEnds && !c.returnAt.IsZero() {
		window = min(window, c.returnAt.Sub(now))
	}
	kind, factor := c.kindOn(&u.Upstream)
	r := &run{
		Run: Run{Task{c.job.ID, c.index}, c.attempt}, factor: factor, size: c.job.Size, orderedAt: now, progressAt: now,
		validUntil: u.clockNow(now) + window.Milliseconds(), expected: c.expected * factor, estimate: c.job.Estimate, model: c.model,
		atMostOnce: c.job.AtMostOnce, returnAt: c.returnAt, processStart: u.processStart,
		queue: c.job.Queue, isolation: c.isolation,
	}
	if c.job.maxPerUpstream() > 0 {
		r.limited, r.firstHere = true, u.notePlaced(r.Task, c.deadline.Add(attemptRetention))
	}
	before := u.freeSize().MilliCPU
	u.runs[r.Task] = r
	u.used = u.used.plus(r.size)
	u.isolation = c.isolation
	u.leaseEnd = later(u.leaseEnd, s.leaseEnd(now, u, window))
	shard.noteReserved(before)
	return Start{
		Upstream: u.Upstream, Token: s.token.Load(), Run: r.Run, ProcessStart: u.processStart, Spec: c.job.Spec, Item: c.job.item(c.index), Until: r.validUntil,
		Waited:   now.Sub(c.job.Sent),
		Expected: time.Duration(r.expected * u.model.slowdown() * float64(time.Second)),
		Left:     c.targetAt.Sub(now), Free: u.freeSize(), Suspicion: c.suspicion,
		Origin: c.job.Origin, Submission: c.job.Submission, Basis: c.basis, Near: u.DataCentre == c.job.DataCentre && u.DataCentre != "",
		Placement: locality.Placement{Kind: kind},
	}, true
}

// Withdraw removes a submission of a job and stops its runs. Another submission of the same
// job goes on.
func (s *Scheduler) Withdraw(now time.Time, origin, job string, submission uint64) Actions {
	var a Actions
	waiting, removed := s.jobShardFor(job).withdrawSubmission(origin, job, submission)
	s.waiting.Add(int64(-waiting))
	if removed {
		s.stopRuns(now, "the origin has withdrawn the job", &a, job)
	}
	return a
}

// AbandonJobsOf removes the jobs that incarnations of an origin before the given one
// have offered, and stops their runs. It is used for origins that have become unreachable
// or have restarted.
func (s *Scheduler) AbandonJobsOf(now time.Time, origin string, before uint64) Actions {
	var a Actions
	var all []string
	for _, shard := range s.jobShards {
		waiting, removed := shard.withdraw(func(j *Job) bool { return j.Origin == origin && j.OriginIncarnation < before })
		s.waiting.Add(int64(-waiting))
		all = append(all, removed...)
	}
	if len(all) > 0 {
		s.stopRuns(now, "the origin is unreachable or has restarted", &a, all...)
	}
	return a
}

// stopRuns stops the runs of the given jobs. A run whose start order is pending is
// marked as unneeded; HandleStartResult stops it if the order is confirmed.
func (s *Scheduler) stopRuns(now time.Time, reason string, a *Actions, ids ...string) {
	token := s.token.Load()
	for _, shard := range s.upstreamShards {
		shard.mu.Lock()
		for _, u := range shard.byName {
			for _, r := range u.runs {
				if !slices.Contains(ids, r.Job) || r.unneeded {
					continue
				}
				r.unneeded = true
				if r.state == runStarted {
					r.state, r.stopAnswered = runStopping, false
					a.Stops = append(a.Stops, u.stop(token, r.Run, reason))
				}
			}
		}
		shard.mu.Unlock()
	}
}

// foundRun is a run that an upstream reports and that this dispatcher does not track
// yet.
type foundRun struct {
	Run
	upstream string
}

func (f foundRun) ref() runRef { return runRef{f.upstream, f.Attempt} }
