// Package scheduler places the tasks of jobs on upstreams, for the one
// dispatcher that has claimed these upstreams.
//
// The package imports no network package and reads no clock: every method takes
// the current time and returns the messages to send as Actions. The VM that took
// a job from its caller, its origin, offers the job to the dispatcher. Jobs are
// sharded by id and upstreams by name. Each shard has its own lock, and no
// goroutine holds the locks of two shards.
//
// An order tells an upstream to start or to stop a run. The upstream rejects every
// order whose fencing token is lower than the highest it has seen. A dispatcher
// therefore claims an upstream by polling it with its own token: the response lists
// the running and the completed runs, and orders of an earlier dispatcher have no
// effect from then on.
//
// When the dispatcher changes, origins offer their unfinished jobs again; these
// jobs are resumed. A run that an upstream reports and that this dispatcher has not
// started is an orphan until a job adopts it or it is over. Only a dispatcher that has the
// job of every run of an upstream renews their lease, so that a run ends soon after
// its origin or its caller has gone.
//
// A run occupies capacity of its upstream until it is known to be over: the
// upstream lists its completion, a poll that was sent after the run's last order was
// answered or has expired does not list it as running, the upstream's process was
// replaced, or the lease of all runs of the upstream has expired.
package scheduler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/locality"
	"github.com/mustardstep/mustardstep/overload"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// LeaseMax is the longest lease that an upstream grants, by its own clock.
	LeaseMax time.Duration
	// MaxWaiting is the maximum number of waiting tasks.
	MaxWaiting int
	// RetainCompletions must be set if jobs with AtMostOnce are offered. Completions
	// that match no job then stay listed at their upstreams for CompletionRetention.
	// It requires upstreams at which a waiting poll ends with a completion above
	// Poll.Seen. If it ended with one above Poll.Acked, it would return at once as
	// long as a completion is retained.
	RetainCompletions bool
	// CallerReturn is the shortest time from the arrival of a job at its origin until its
	// caller may send it to another VM although the origin has not answered. 0 means that
	// callers never do.
	CallerReturn time.Duration
	// JoinDelay is the time for which an upstream that joins during a term gets no tasks, so that
	// the VMs that may dispatch next list it before.
	JoinDelay time.Duration
	// DrainTime is the time for which an upstream must go on serving after its entry reports
	// that it drains. 0 means that it is unknown; a draining upstream then gets no tasks.
	DrainTime time.Duration
}

// Timing of the upstream protocol.
const (
	// lease is the lease that a poll requests for all runs of an upstream. It is
	// well below the platform's limit of 1 s, so that the capacity held by a
	// failed dispatcher is soon free.
	lease = 500 * time.Millisecond
	// maxPollWait is the longest time that a poll waits for a completion. Two
	// polls fit into one lease.
	maxPollWait = 200 * time.Millisecond
	// lossyPollWait replaces maxPollWait while responses are being lost: a lost
	// poll hides completions until it times out.
	lossyPollWait = 100 * time.Millisecond
	// lossWindow is the time for which lossyPollWait applies after a lost response.
	lossWindow = 2 * time.Second
	// startWindow is the time within which a start order must arrive; the
	// upstream rejects a later one.
	startWindow = 400 * time.Millisecond
	// clockError is the maximum relative error of an upstream's clock. The
	// platform documents 2 %.
	clockError = 0.02
	// leaseMargin allows for network and timer delays in addition to clockError.
	leaseMargin = 50 * time.Millisecond
	// orphanTimeout is the time within which origins must offer the jobs of
	// orphaned runs again. It covers the heartbeat that announces the term and a round trip.
	// Until then, the lease of the other runs of the upstream is not renewed either.
	orphanTimeout = 200 * time.Millisecond
	// peerRenewalTime is the time for which runs may outlive the lease that this
	// dispatcher renewed, because their origin has offered the job to another dispatcher,
	// and this one has not heard of it yet: the time until the other one adopts the runs,
	// the lease that it renews, and a margin.
	peerRenewalTime = orphanTimeout + lease + 200*time.Millisecond
	// minPollBackoff is the delay after the second consecutive failed poll. It
	// doubles with each further failure up to maxPollBackoff, so that an
	// upstream that is gone costs little, or up to maxMissingPollBackoff if the platform does not
	// list it either.
	minPollBackoff        = 100 * time.Millisecond
	maxPollBackoff        = 800 * time.Millisecond
	maxMissingPollBackoff = 10 * time.Second
	maxBackoffDoublings   = 7
	// suspectFailures is the number of consecutive failed polls after which an
	// upstream gets no new tasks. A single poll can get lost.
	suspectFailures = 2
	// fencedRunTimeout is the time after which the runs of an upstream that
	// another dispatcher has claimed are over, unless that dispatcher adopts
	// them: its orphanTimeout, the longest lease, and a margin.
	fencedRunTimeout = orphanTimeout + 1200*time.Millisecond
	// maxForeignLease is the time after which no run is active that an earlier dispatcher
	// has started or found, on an upstream that has not answered in this term, once that
	// dispatcher has ended its term. It covers clockError and the error of the clock value
	// from which the lease was computed.
	maxForeignLease = lease*105/100 + leaseMargin
	// clockRefresh is the time after which an idle upstream is polled for its clock. The lease of
	// the next start order there then stays below maxForeignLease.
	clockRefresh = 5 * time.Second
	// idleAckDelay is the time after which an idle upstream is polled to
	// acknowledge its completions.
	idleAckDelay = 300 * time.Millisecond
)

// CompletionRetention is the time for which a completion that was not delivered
// to an origin is kept for an origin that offers the job again. It also stays
// listed at its upstream, since the job may be offered to another dispatcher.
const CompletionRetention = 3 * time.Second

// Numbers of shards of jobs and of upstreams. A placement scans several shards of
// upstreams.
const (
	jobShardCount      = 16
	upstreamShardCount = 256
)

// Scheduler holds the jobs and the upstreams of one dispatcher. It is safe for
// concurrent use.
type Scheduler struct {
	config         Config
	jobShards      [jobShardCount]*jobShard
	upstreamShards [upstreamShardCount]*upstreamShard
	bounds         [upstreamShardCount]shardBounds // one for each shard of upstreams
	scarce         atomic.Bool                     // whether less than scarceShare of the capacity was free at the last tick
	nextShard      atomic.Uint32                   // shard of upstreams at which the next placement begins
	models         queueModels
	load           *overload.Controller
	index          *locality.Index // of the upstreams to claim
	anyGroup       *locality.Group // stands for all upstreams; it has no members
	decide         func(locality.Question) locality.Decision
	blame          blame
	falls          falls
	serviceSizes   atomic.Pointer[map[string]int] // number of upstreams to claim by service

	token            atomic.Int64  // fencing token of the term; 0 while not dispatching
	unreachablePeers atomic.Bool   // whether unreachable peers may have claimed unresponsive upstreams
	peerLoss         atomic.Uint32 // a PeerLoss
	split            atomic.Uint32 // a splitState, as of the last tick
	// lackingSince is the time from which a VM has been lost and an upstream not held, in the present
	// term and those before that ended as the next one began, or zero. It is used by Tick only.
	lackingSince time.Time
	resetSplit   atomic.Bool  // whether the term does not follow another one, so that lackingSince is void
	settledToken atomic.Int64 // token of the last term in which all runs of earlier dispatchers were known or over
	partialList  atomic.Bool  // whether upstreams exist that this dispatcher does not claim
	// confirmedToken is the token of the term in which the list was found to have all upstreams on
	// which dispatchers before may have started tasks, neverDoubted or doubtful.
	confirmedToken atomic.Int64
	// listCompleteSince is the time, in ns since start, from which the list of
	// upstreams included all that may run tasks; 0 if it always did.
	listCompleteSince atomic.Int64
	lastResume        atomic.Int64 // time of the last offer of a resumed job, in ns since start
	lastLoss          atomic.Int64 // time of the last lost response, in ns since start
	start             time.Time
	// suspectsPlacedAt is the time of the last attempt to place suspects, in ns since start.
	suspectsPlacedAt atomic.Int64
	termStart        atomic.Int64 // in ns since start
	// peerDispatchedAt is the last time at which another dispatcher may have renewed leases,
	// in ns since start.
	peerDispatchedAt atomic.Int64
	// resumeTimeout is the time after which resumed jobs may start, in ns.
	resumeTimeout atomic.Int64
	waiting       atomic.Int64
	coverage      atomic.Pointer[termCoverage] // as of the last tick
	splitReport   atomic.Pointer[SplitReport]  // as of the last tick
}

// New returns a Scheduler that does not dispatch until BeginTerm is called.
func New(now time.Time, config Config) *Scheduler {
	s := &Scheduler{config: config, start: now, load: overload.New(), index: locality.NewIndex(), anyGroup: &locality.Group{}, decide: locality.Decide}
	s.lastLoss.Store(-int64(lossWindow)) // no response was lost so far
	for i := range jobShardCount {
		s.jobShards[i] = newJobShard()
		s.jobShards[i].load, s.jobShards[i].start = s.load, now
	}
	for i := range upstreamShardCount {
		s.upstreamShards[i] = &upstreamShard{bounds: &s.bounds[i], byName: map[string]*upstream{}}
	}
	return s
}

func (s *Scheduler) jobShardFor(job string) *jobShard {
	return s.jobShards[rendezvous.Hash(job)%jobShardCount]
}

func (s *Scheduler) upstreamShardFor(upstream string) *upstreamShard {
	return s.upstreamShards[rendezvous.Hash(upstream)%upstreamShardCount]
}

// leaseEnd returns an upper bound of the time at which the runs of an upstream end
// if a lease of the given length, by the upstream's clock, is not renewed.
func (s *Scheduler) leaseEnd(now time.Time, u *upstream, length time.Duration) time.Time {
	drift := clockError * float64(now.Sub(u.clockAt)) // maximum error of u.clockNow
	longest := (float64(min(length, s.config.LeaseMax)) + drift) / (1 - clockError)
	return now.Add(time.Duration(longest) + leaseMargin)
}

// BeginTerm starts a term with a fencing token that is greater than every token
// known so far. It drops all jobs of an earlier term; their origins offer them
// again.
//
// A new job waits until the runs of earlier dispatchers are known, because its caller may
// have sent it before: until every upstream has answered in this term, or maxForeignLease
// has passed since the start of the term and the last call of NotePeerDispatching.
//
// A job that had no started task when this scheduler's last term ended, and that
// its origin did not offer to another dispatcher since, is treated as new: its caller may
// have sent it to another origin meanwhile. All tasks of any other resumed job wait until every upstream has answered a poll that was
// sent after the offer, or until resumeTimeout has passed, since runs that an earlier
// dispatcher started may still be active. resumeTimeout must be long enough that,
// when it has passed, no run is left that a dispatcher started for an origin that it
// can no longer reach.
//
// A resumed at-most-once job is abandoned if resumeTimeout passes first. It is also
// abandoned if the process of any upstream started after the job was sent: the runs
// of the previous process have left no record.
func (s *Scheduler) BeginTerm(now time.Time, token int64, resumeTimeout time.Duration) {
	former := s.token.Swap(0)
	s.resumeTimeout.Store(int64(resumeTimeout))
	s.termStart.Store(int64(now.Sub(s.start)))
	if former == 0 {
		s.resetSplit.Store(true)
		s.split.Store(uint32(s.firstSplitState()))
	}
	// The jobs are reset last, so that no report of the earlier term is recorded afterwards.
	for _, shard := range s.upstreamShards {
		shard.beginTerm(now)
	}
	s.resetJobs(former)
	s.token.Store(token)
}

// EndTerm stops dispatching. Active runs continue until their lease expires.
func (s *Scheduler) EndTerm() {
	s.resetJobs(s.token.Swap(0))
}

// resetJobs removes all jobs at the end of the term with the given token, or 0 if there was
// none.
func (s *Scheduler) resetJobs(token int64) {
	for _, shard := range s.jobShards {
		s.waiting.Add(int64(-shard.reset(token)))
	}
}

// SetUnreachablePeers sets whether VMs exist that this VM cannot reach. Such a VM
// may claim an upstream that does not respond to this one, and renew its runs
// until it stops them.
func (s *Scheduler) SetUnreachablePeers(present bool) { s.unreachablePeers.Store(present) }

// NotePeerDispatching records that another VM reports that it dispatches. It renews the leases
// of its runs until it has heard of this term.
func (s *Scheduler) NotePeerDispatching(now time.Time) {
	s.peerDispatchedAt.Store(int64(now.Sub(s.start)))
}

// DoubtList notes that dispatchers before may have started tasks on upstreams that are not listed,
// until ConfirmList is called in the next term. Jobs then wait as if an upstream had not answered.
func (s *Scheduler) DoubtList() { s.confirmedToken.Store(doubtful) }

// ConfirmList notes that the list last passed to SetUpstreams has all upstreams on which dispatchers
// before the term with a token may have started tasks. It reports whether this was in doubt.
func (s *Scheduler) ConfirmList(token int64) (doubted bool) {
	return token == s.token.Load() && s.confirmedToken.Swap(token) != token
}

// listIsDoubtful reports whether the list has been doubted and not been confirmed in the term with
// a token.
func (s *Scheduler) listIsDoubtful(token int64) bool {
	confirmed := s.confirmedToken.Load()
	return confirmed != neverDoubted && confirmed != token
}

// Values of confirmedToken that are no tokens.
const (
	neverDoubted int64 = 0
	doubtful     int64 = -1
)

// HasUnreachablePeers returns the value passed to SetUnreachablePeers.
func (s *Scheduler) HasUnreachablePeers() bool { return s.unreachablePeers.Load() }

// Dispatching reports whether a term is active.
func (s *Scheduler) Dispatching() bool { return s.token.Load() != 0 }

// Waiting returns the number of tasks that wait for an upstream.
func (s *Scheduler) Waiting() int { return int(s.waiting.Load()) }

// Tick performs the time-driven work: it lets resumed jobs start, stops orphans that
// no job has adopted in time, and expires leases and jobs. It must be called every TickInterval.
func (s *Scheduler) Tick(now time.Time) Actions {
	var a Actions
	token := s.token.Load()
	if token == 0 {
		return a
	}
	oldestPoll := now         // every upstream has answered a poll sent at this time or later
	var latestStart time.Time // of an upstream's process
	allHeld, capacity := true, 0.0
	size, free := 0, 0                      // in thousandths of a core
	listDoubtful := s.listIsDoubtful(token) // read first: SetUpstreams comes before ConfirmList
	for _, shard := range s.upstreamShards {
		state := shard.tick(now, s, &a)
		oldestPoll = earlier(oldestPoll, state.oldestPoll)
		latestStart = later(latestStart, state.latestStart)
		allHeld = allHeld && state.allHeld
		capacity += state.capacity
		size, free = size+state.size, free+state.free
	}
	s.scarce.Store(float64(free) < scarceShare*float64(size))
	s.beginProbations(now, &a)
	s.updateSplit(now, allHeld)
	s.finishLost(now, &a)
	s.noteCoverage(token, a.coverage)
	s.noteSplit(token, a.lacking)
	if s.partialList.Load() || listDoubtful {
		oldestPoll = time.Time{}
	}
	sizes := s.serviceSizes.Load()
	allAnswered := !oldestPoll.IsZero() && sizes != nil && len(*sizes) > 0
	lastRenewal := time.Duration(max(s.termStart.Load(), s.peerDispatchedAt.Load()))
	listComplete := now.Sub(s.start) >= time.Duration(s.listCompleteSince.Load())
	if allAnswered && listComplete || now.Sub(s.start)-lastRenewal > maxForeignLease {
		s.settledToken.Store(token)
	}
	criteria := releaseCriteria{now: now, allAnswered: allAnswered, oldestPoll: oldestPoll, latestProcessStart: latestStart, term: s.termState(token)}
	if complete := s.listCompleteSince.Load(); complete != 0 {
		criteria.listCompleteSince = s.start.Add(time.Duration(complete))
	}
	timeout := time.Duration(s.resumeTimeout.Load())
	if s.HasUnreachablePeers() {
		timeout += peerRenewalTime
	}
	criteria.resumedBefore = now.Add(-timeout)
	var abandoned []string
	for _, shard := range s.jobShards {
		waiting, stop := shard.releaseHeld(criteria, &a)
		s.waiting.Add(int64(-waiting))
		abandoned = append(abandoned, stop...)
	}
	if len(abandoned) > 0 {
		s.stopRuns(now, "the job was abandoned", &a, abandoned...)
	}
	overdue := map[string][]string{}
	for _, shard := range s.jobShards {
		waiting, stop := shard.expire(now, s.splitState(), &a)
		s.waiting.Add(int64(-waiting))
		for id, reason := range stop {
			overdue[reason] = append(overdue[reason], id)
		}
	}
	for reason, ids := range overdue {
		s.stopRuns(now, reason, &a, ids...)
	}
	s.updateLoad(now, capacity, criteria.term, &a)
	s.ConfirmDelivery(a.expired)
	a.expired = nil
	return a
}

// termState returns the state of the term with the given token, 0 if there is none.
func (s *Scheduler) termState(token int64) termState {
	c, _ := s.Coverage()
	return termState{token, token != 0 && s.settledToken.Load() == token, c}
}

// TickInterval is the interval between calls of Tick.
const TickInterval = 20 * time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// queueModels holds the run time models of queues by queue name.
type queueModels struct {
	mu     sync.Mutex // guards the field below
	queues map[string]*queueModel
}

// get returns the model of a queue. A new model expects the declared run time.
func (m *queueModels) get(queue string, declared time.Duration) *queueModel {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queues == nil {
		m.queues = map[string]*queueModel{}
	}
	q := m.queues[queue]
	if q == nil {
		q = newQueueModel(declared)
		m.queues[queue] = q
	}
	return q
}
