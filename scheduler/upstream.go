package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/health"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/locality"
)

// Upstream describes a VM that runs tasks of one service.
type Upstream struct {
	// Name identifies the upstream, also after its process was replaced; Address is
	// its host:port.
	Name, Address, Service, DataCentre string
	Size                               Size
	// Rack is one of Labels, or empty if the rack is unknown.
	Rack   string
	Labels []string
	// LabelProblem describes labels that were ignored, for the log.
	LabelProblem string
	// Draining means that the upstream gets no new tasks, except as Notice allows.
	Draining bool
	// Notice is the departure notice of a draining upstream; nil if there is none.
	Notice *DepartureNotice
	// Ignored tells which part of the upstream's entry is invalid and was ignored, for the
	// log; empty if none.
	Ignored string
	// Missing means that the platform no longer lists the upstream. It gets no new
	// tasks but may still have active runs.
	Missing bool
	// Evacuated means that operators have evacuated the data centre. The upstream gets no new tasks
	// and counts in all other respects.
	Evacuated bool
	// ColdLeft is the time for which the upstream remains slow after its start, as of its entry.
	// ColdUntil is the time at which that ends; zero if the upstream is not cold.
	ColdLeft  time.Duration
	ColdUntil time.Time
	// ListedAt is when this VM first listed the upstream; zero if that was before every term.
	ListedAt time.Time
}

// runState is what the scheduler knows about a run.
type runState uint8

const (
	runOrdered  runState = iota // the start order is pending
	runUnknown                  // the start order was not answered
	runRejected                 // the upstream has had a run of the task with this number or a higher one
	runStarted                  // the upstream has confirmed the run
	runStopping                 // a stop order is pending
)

// run is a run that occupies capacity of an upstream.
type run struct {
	Run
	size            Size
	state           runState
	orderedAt       time.Time
	answeredAt      time.Time // when the start order, later the stop order, was answered
	pendingUntil    time.Time // when the run is over if a later process has executed the unanswered start order
	stopAnswered    bool      // the stop order was answered
	validUntil      int64     // by the upstream's clock, in ms: the start order has no effect later
	expected        float64   // run time at speed 1, in seconds, with factor
	factor          float64   // by which the run time is longer away from the job's data or group
	limited         bool      // the number of the job's tasks per upstream is limited
	firstHere       bool      // no earlier run of the task was known on the upstream
	estimate        time.Duration
	model           *queueModel
	percent         int
	progressAt      time.Time // time of the last change of percent
	unneeded        bool      // its job no longer needs the outcome
	adopted         bool
	atMostOnce      bool      // the task must not start again
	returnAt        time.Time // when the run must be over in a split; zero if its caller never returns
	confirmed       bool      // the upstream has reported that the run started
	crash           *crash    // set if the process that may have executed the order may have crashed
	queue           string
	isolation       isolation
	processReplaced bool  // the upstream's process was replaced after the order
	processStart    int64 // of the process that got the order, in ms since 1970; 0 if unknown
	stallReported   bool  // the stall was recorded as a failure of the upstream
}

// absentOutcome returns the outcome of a run that is over without a completion.
func (r *run) absentOutcome() runOutcome {
	if r.confirmed || r.processReplaced && r.state != runRejected {
		return outcomeLost
	}
	return outcomeNoEffect
}

// finishedRun is a run that is over, with or without a listed completion.
type finishedRun struct {
	run        Run
	upstream   string
	outcome    runOutcome
	result     []byte
	completion CompletionRef // set if a listed completion must be delivered
	loss       loss          // set for runs in Actions.Lost
}

func (f *finishedRun) ref() runRef { return runRef{f.upstream, f.run.Attempt} }

// upstream is the state of one upstream. The lock of its shard guards it.
type upstream struct {
	Upstream
	listed       bool // in the list passed to SetUpstreams
	claimed      bool
	fenced       bool  // claimed by another dispatcher; not polled again in this term
	processStart int64 // start time of the process, in ms since 1970; 0 if unknown

	clock   int64 // clock value in the last response, in ms
	clockAt time.Time

	runs    map[Task]*run
	orphans map[Task]orphan
	// orphanSince tells when the orphans of earlier terms were first found, until the first
	// report of this term.
	orphanSince map[Run]time.Time
	used        Size
	// isolation is that of the runs. Until heldUntil the upstream gets no other tasks than
	// suspects.
	isolation isolation
	heldUntil time.Time
	// leaseEnd is the time after which no run ordered so far is active, unless a
	// lease is renewed.
	leaseEnd     time.Time
	usableFrom   time.Time // no new tasks before
	returned     serviceReturn
	startsUntil  time.Time // no new tasks from then on, if it drains
	pollFailures int       // consecutive failed polls
	retryAt      time.Time
	lastPoll     time.Time // sending time of the newest answered poll
	applying     int       // reports whose runs and completions are being applied to their jobs
	lastContact  time.Time // time of the last response
	polling      bool      // a poll is pending
	lastSeen     int64     // number of the last processed completion
	lastAcked    int64     // number up to which polls have acknowledged completions
	// undelivered holds the numbers of completions not yet delivered to their origins.
	undelivered map[int64]struct{}
	idleSince   time.Time
	// over holds the runs that have counted as over without a completion, across terms.
	over map[Run]overRun
	// placed holds the tasks that may have run here, by job, of jobs whose tasks per upstream are
	// limited or unknown, across terms.
	placed placedJobs
	groups []*locality.Group // of its labels

	health     health.Tracker
	wasEjected bool        // as of the last tick
	wasUsable  bool        // as of the last tick
	falls      *fallRecord // nil if it never fell
	leaving    bool        // its entry has said since its last report that it leaves or moves
	model      speedModel
}

// clockNow estimates the current value of the upstream's clock, in ms.
func (u *upstream) clockNow(now time.Time) int64 {
	return u.clock + now.Sub(u.clockAt).Milliseconds()
}

// usable reports whether new tasks may be placed on the upstream. Orphans prevent it,
// because their size is unknown.
func (u *upstream) usable(now time.Time, rule leaseRule) bool {
	return u.listed && u.claimed && !now.Before(u.usableFrom) && u.takesTasks(now) && !u.Missing && u.pollFailures < suspectFailures && len(u.orphans) == 0 &&
		!u.fenced && u.acceptsAfterReturn(now) && u.health.UsableSlots(now, len(u.runs)+1) > len(u.runs) && !u.hasUnwantedRun() &&
		u.leaseLength(now, startWindow, rule) >= minLease
}

// hasUnwantedRun reports whether a run is active whose caller may have gone: an orphan, since
// only its origin knows, or one that is not needed. Renewed leases and start orders would
// prolong it, unless it has answered a stop.
func (u *upstream) hasUnwantedRun() bool {
	for _, o := range u.orphans {
		if !o.stopAnswered {
			return true
		}
	}
	for _, r := range u.runs {
		if r.unneeded && !r.stopAnswered {
			return true
		}
	}
	return false
}

// freeSize returns the free capacity.
func (u *upstream) freeSize() Size { return u.Size.minus(u.used) }

// stop returns an order to stop a run.
func (u *upstream) stop(token int64, run Run, reason string) Stop {
	return Stop{Upstream: u.Upstream, Token: token, Run: run, ProcessStart: u.processStart, Reason: reason}
}

// release removes a run and frees its capacity.
func (u *upstream) release(now time.Time, r *run) {
	if u.runs[r.Task] != r {
		return
	}
	delete(u.runs, r.Task)
	u.used = u.used.minus(r.size)
	if len(u.runs) == 0 {
		u.isolation = isolatedNot
		u.idleSince = now
	}
	u.noteGroupChange()
}

// polledAt returns the sending time of the newest answered poll, or the zero time
// if the upstream is not claimed, or if jobs do not know yet what it has reported.
func (u *upstream) polledAt() time.Time {
	if !u.claimed || u.applying > 0 {
		return time.Time{}
	}
	return u.lastPoll
}

// shardState is the state of the listed upstreams of a shard.
type shardState struct {
	// All have answered a poll sent at oldestPoll or later. latestStart is the latest start
	// time of their processes.
	oldestPoll, latestStart time.Time
	// size and free are the CPU of all upstreams and what is free of it, in thousandths of a
	// core.
	size, free int
	// allHeld means that no other dispatcher can have started runs on them.
	allHeld bool
	// capacity is the work per second of the usable upstreams, as package overload counts it.
	capacity float64
}

// tick expires leases and stops stalled runs and orphans that no job has adopted in
// time.
func (s *upstreamShard) tick(now time.Time, scheduler *Scheduler, a *Actions) shardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := shardState{oldestPoll: now, allHeld: true}
	watched := scheduler.watchesIdle()
	margin := time.Duration(0)
	if scheduler.HasUnreachablePeers() {
		margin = peerRenewalTime
	}
	rule := scheduler.leaseRule()
	for _, u := range slices.Clone(s.all) {
		usable := u.usable(now, rule)
		if usable != u.wasUsable {
			u.wasUsable = usable
			u.noteGroupChange()
		}
		if usable {
			state.capacity += float64(u.Size.MilliCPU) * u.model.speed() * 1000
		}
		a.coverage.count(u)
		a.lacking.count(u, now, watched)
		if u.listed {
			state.oldestPoll = earlier(state.oldestPoll, u.polledAt())
			state.latestStart = later(state.latestStart, u.startTime())
			state.size += u.Size.MilliCPU
			state.free += max(u.freeSize().MilliCPU, 0)
			state.allHeld = state.allHeld && u.isHeld(now, watched)
		}
		if !u.leaseEnd.IsZero() && now.After(u.leaseEnd.Add(margin)) && len(u.runs)+len(u.orphans) > 0 {
			u.loseAll(now, margin, a)
		}
		for task, o := range u.orphans {
			if !o.stopping && !u.fenced && now.Sub(o.foundAt) > orphanTimeout {
				o.stopping = true
				u.orphans[task] = o
				a.Stops = append(a.Stops, u.stop(scheduler.token.Load(), o.Run, "no job has adopted the run"))
			}
		}
		u.expireOver(now)
		u.placed.expire(now)
		u.checkStalls(now, scheduler, a)
		u.checkProbation(now, scheduler, a)
		if !u.listed && len(u.runs)+len(u.orphans) == 0 && !u.polling {
			s.remove(u)
		}
	}
	for name, placed := range s.leftPlaced {
		if placed.expire(now); len(placed) == 0 {
			delete(s.leftPlaced, name)
		}
	}
	s.recomputeBounds()
	return state
}

// startTime returns the start time of the process. It is computed from the
// process's clock, which counts from its start; a slow clock makes the process
// appear younger.
func (u *upstream) startTime() time.Time {
	return u.clockAt.Add(-time.Duration(u.clock) * time.Millisecond)
}

// A run is stalled if its percentage has not changed for stallFactor times its
// expected run time, and for at least minStall. Polls report the percentage every
// maxPollWait.
const (
	stallFactor = 1.0
	minStall    = 800 * time.Millisecond
)

// checkStalls stops stalled runs and records a failure of the upstream for each.
// The caller holds mu of the shard.
func (u *upstream) checkStalls(now time.Time, scheduler *Scheduler, a *Actions) {
	if u.pollFailures > 0 {
		return
	}
	for _, r := range u.runs {
		if r.state != runStarted || r.unneeded {
			continue
		}
		timeout := max(minStall, time.Duration(stallFactor*r.expected*u.model.slowdown()*float64(time.Second)))
		if now.Sub(r.progressAt) <= timeout || u.lastPoll.Sub(r.progressAt) <= timeout/2 {
			continue // still within the timeout, or no later poll has confirmed the stall
		}
		if r.stallReported {
			continue
		}
		r.stallReported = true
		u.health.RecordFailure(now, rendezvous.Hash(r.Job), true)
		u.noteFailedRun(now)
		if r.atMostOnce {
			continue // may still complete; a stop would abandon its job
		}
		r.state, r.stopAnswered, r.unneeded = runStopping, false, false
		a.Stops = append(a.Stops, u.stop(scheduler.token.Load(), r.Run, "no progress"))
	}
}

// SetListCompleteSince sets the time before which upstreams may have run tasks that
// are missing from the list; the zero time means that none are missing.
func (s *Scheduler) SetListCompleteSince(since time.Time) {
	complete := int64(0)
	if !since.IsZero() {
		complete = max(int64(since.Sub(s.start)), 1)
	}
	s.listCompleteSince.Store(complete)
}

// SetUpstreams sets the upstreams to claim and returns the names of new ones. partial
// means that upstreams exist that are not in the list. An upstream that is no longer
// listed gets no new tasks, and its active runs are followed until they complete.
func (s *Scheduler) SetUpstreams(now time.Time, list []Upstream, partial bool) (added []string) {
	s.partialList.Store(partial)
	sizes := map[string]int{}
	for _, entry := range list {
		sizes[entry.Service]++
	}
	s.serviceSizes.Store(&sizes)
	listed := map[string]bool{}
	for _, entry := range list {
		listed[entry.Name] = true
		indexed := s.isIndexed(&entry)
		var groups []*locality.Group
		if !indexed {
			groups = s.indexEntry(nil, &entry)
		}
		var before *Upstream
		shard := s.upstreamShardFor(entry.Name)
		shard.mu.Lock()
		u := shard.byName[entry.Name]
		if u != nil && indexed {
			groups = u.groups
		} else if u != nil && u.groups != nil {
			former := u.Upstream
			before = &former
		}
		if u == nil {
			u = &upstream{Upstream: entry, runs: map[Task]*run{}, orphans: map[Task]orphan{}, undelivered: map[int64]struct{}{}, lastPoll: now, idleSince: now}
			// While the list is in doubt, the entries from before the term are not new to the others.
			termStart := s.start.Add(time.Duration(s.termStart.Load()))
			if s.Dispatching() && (!s.listIsDoubtful(s.token.Load()) || entry.ListedAt.After(termStart)) {
				u.usableFrom = now.Add(s.config.JoinDelay)
			}
			shard.add(u)
			added = append(added, entry.Name)
		}
		if u.Address != entry.Address {
			u.claimed, u.retryAt = false, time.Time{}
		}
		if u.Missing && !entry.Missing {
			u.retryAt = time.Time{}
		}
		if u.Draining != entry.Draining || u.Evacuated != entry.Evacuated || u.Missing != entry.Missing || u.Size != entry.Size {
			u.noteGroupChange()
		}
		u.noteEvacuation(now, &entry)
		u.setEntry(entry, s.config.DrainTime)
		u.listed, u.groups = true, groups
		shard.mu.Unlock()
		s.indexEntry(before, nil)
	}
	for _, shard := range s.upstreamShards {
		var gone []Upstream
		shard.mu.Lock()
		for name, u := range shard.byName {
			if !listed[name] {
				u.listed = false
				if u.groups != nil {
					gone = append(gone, u.Upstream)
					u.groups = nil
				}
			}
		}
		shard.mu.Unlock()
		for i := range gone {
			s.indexEntry(&gone[i], nil)
		}
	}
	return added
}

// UpstreamSummary describes an upstream for operators.
type UpstreamSummary struct {
	Upstream
	Claimed, Ejected bool
	Running          int
	Speed            float64
	// LastContact is the time of the last response.
	LastContact time.Time
}

// Summaries returns a summary of every upstream, in no particular order.
func (s *Scheduler) Summaries() []UpstreamSummary {
	var all []UpstreamSummary
	for _, shard := range s.upstreamShards {
		shard.mu.Lock()
		for _, u := range shard.byName {
			all = append(all, UpstreamSummary{u.Upstream, u.claimed, u.health.Ejected(), len(u.runs), u.model.speed(), u.lastContact})
		}
		shard.mu.Unlock()
	}
	return all
}

// FencedUpstreams returns the number of listed upstreams that another dispatcher
// has claimed in this term.
func (s *Scheduler) FencedUpstreams() int {
	n := 0
	for _, shard := range s.upstreamShards {
		shard.mu.Lock()
		for _, u := range shard.byName {
			if u.fenced && u.listed {
				n++
			}
		}
		shard.mu.Unlock()
	}
	return n
}
