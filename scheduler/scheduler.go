// Package scheduler decides which upstream runs which task, and when, for one
// dispatcher that owns its upstreams.
//
// It imports no network package and reads no clock: every method takes the
// time, and what is to be sent is returned as actions. Jobs are offered by the
// VMs that took them (their origins) and wait in shards by id; upstreams lie in
// shards by name. Each shard has its own lock and no shard's lock is held while
// another's is taken.
//
// An upstream refuses every order with a lower fencing token than it has seen.
// A dispatcher therefore claims an upstream by a look with its own token: the
// answer tells what runs there and what has ended, and nothing that an earlier
// owner sends afterwards has an effect.
//
// A run occupies its size on an upstream until it is known to be over: its end
// is listed, a look that was sent late enough does not show it, the upstream
// presents itself as a new incarnation, or the lease of everything that runs
// there has lapsed.
package scheduler

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
)

// Config holds the limits of a Scheduler.
type Config struct {
	// LeaseMax is the longest lease that an upstream grants, by its own clock.
	LeaseMax time.Duration
	// MaxWaiting is the most tasks that wait.
	MaxWaiting int
	// RetainCompletions tells that jobs are offered that must run once only: ends that no
	// job has taken stay listed at their upstreams for CompletionRetention. Upstreams must then
	// wait for the ends above Poll.Seen.
	RetainCompletions bool
}

// Timing of the protocol with the upstreams.
const (
	// lease is the time that a look asks for what runs on an upstream. It is
	// well below the platform's bound of 1 s, so that a dispatcher that was
	// lost frees what it held soon.
	lease = 800 * time.Millisecond
	// lookWait is the longest wait of a look for an end; two looks fall into
	// one lease.
	lookWait = 350 * time.Millisecond
	// lossyWait is the same while answers get lost: a look that is lost hides the
	// ends until it is given up.
	lossyWait = 100 * time.Millisecond
	// lossyTime is the time for which a lost answer counts.
	lossyTime = 2 * time.Second
	// startWindow is the time within which an order to start must be carried
	// out; one that is carried out later is refused by the upstream.
	startWindow = 400 * time.Millisecond
	// clockError is the share by which an upstream's clock may be slow (the
	// platform's page on running tasks names 2 %).
	clockError = 0.02
	// leaseMargin covers the network and the timers beside the clock error.
	leaseMargin = 100 * time.Millisecond
	// orphanGrace is the time within which the origins of runs that were found
	// on a claimed upstream offer their jobs anew; two beats and a round trip.
	orphanGrace = 700 * time.Millisecond
	// rivalTime is the time for which another dispatcher may renew runs that it
	// finds beyond the end of their lease: its grace for orphans, the lease that
	// it renewed last, and a margin.
	rivalTime = orphanGrace + lease + 200*time.Millisecond
	// retryLook is the pause after the second look in a row without an answer. It
	// doubles with each one up to maxRetryLook, so that what is gone costs little.
	retryLook    = 100 * time.Millisecond
	maxRetryLook = 800 * time.Millisecond
	maxDoublings = 3
	// suspectLooks is the number of looks in a row without an answer after which
	// an upstream gets no tasks: one can be lost.
	suspectLooks = 2
	// fencedBound is the time after which what ran on an upstream that another
	// dispatcher has claimed is over, if that one did not adopt it: the grace for
	// orphans and the lease that it renewed meanwhile.
	fencedBound = orphanGrace + 1200*time.Millisecond
	// idleLook is the time after which ends that were listed are acknowledged
	// though nothing runs.
	idleLook = 300 * time.Millisecond
)

// CompletionRetention is the time for which the end of a run that no origin was told of is
// kept for one that offers the job anew, and stays listed at its upstream for
// another dispatcher to which the job may be offered.
const CompletionRetention = 3 * time.Second

// shardCount is the number of shards of jobs, upstreamShards that of upstreams:
// a decision scans some of the latter.
const (
	shardCount     = 16
	upstreamShards = 256
)

// Scheduler holds the jobs and the upstreams of one dispatcher. It is safe for
// concurrent use.
type Scheduler struct {
	config    Config
	queues    [shardCount]*queueShard
	upstreams [upstreamShards]*upstreamShard
	outlines  [upstreamShards]outline // of the shards of upstreams
	turn      atomic.Uint32           // the shard of upstreams at which the next decision begins
	models    models

	token   atomic.Int64 // fencing token of the term; 0 while not dispatching
	rivals  atomic.Bool  // whether others may have claimed upstreams that do not answer
	partial atomic.Bool  // whether upstreams exist that this dispatcher does not claim
	// complete is the time, in ns since start, after which the list of upstreams
	// held every one that may run tasks; 0 stands for ever.
	complete atomic.Int64
	sweep    atomic.Int64 // when a job was resumed last, in ns since start
	lost     atomic.Int64 // when an answer was lost last, in ns since start
	start    time.Time
	// resumeTime is the time after which resumed jobs may start, in ns.
	resumeTime atomic.Int64
	waiting    atomic.Int64
}

// New returns a scheduler that does not dispatch yet.
func New(now time.Time, config Config) *Scheduler {
	s := &Scheduler{config: config, start: now}
	s.lost.Store(-int64(lossyTime))
	for i := range shardCount {
		s.queues[i] = newQueueShard()
	}
	for i := range upstreamShards {
		s.upstreams[i] = &upstreamShard{outline: &s.outlines[i], known: map[string]*upstream{}}
	}
	return s
}

func (s *Scheduler) queueOf(job string) *queueShard {
	return s.queues[rendezvous.Hash(job)%shardCount]
}

func (s *Scheduler) shardOf(upstream string) *upstreamShard {
	return s.upstreams[rendezvous.Hash(upstream)%upstreamShards]
}

// leaseBound returns when all that runs on an upstream has ended if its lease was
// asked for a time by its clock, as far as that is known, and is not renewed.
func (s *Scheduler) leaseBound(now time.Time, u *upstream, asked time.Duration) time.Time {
	drift := clockError * float64(now.Sub(u.clockAt))
	longest := (float64(min(asked, s.config.LeaseMax)) + drift) / (1 - clockError)
	return now.Add(time.Duration(longest) + leaseMargin)
}

// BeginTerm starts a term under a fencing token that is greater than every token
// that is known. All jobs of an earlier term are forgotten: their origins offer
// them anew.
//
// A job of which nothing had started when the last term of this scheduler ended, and
// that was offered to no other one since, is as one that is offered for the first
// time. Any other resumed job starts nothing before every upstream has answered a look that
// was sent after the job was offered, or resumeTime has passed: what an earlier
// dispatcher started may still run. By then nothing runs any more that a
// dispatcher started for an origin that it no longer hears. A job that must run
// once only is given up in the second case, and where a process of an upstream is
// younger than the job: what ran there has left no trace.
func (s *Scheduler) BeginTerm(now time.Time, token int64, resumeTime time.Duration) {
	s.EndTerm()
	s.resumeTime.Store(int64(resumeTime))
	for _, shard := range s.upstreams {
		shard.begin(now)
	}
	s.token.Store(token)
}

// EndTerm stops dispatching. What runs goes on under its lease.
func (s *Scheduler) EndTerm() {
	token := s.token.Swap(0)
	for _, q := range s.queues {
		s.waiting.Add(int64(-q.reset(token)))
	}
}

// SetUnreachablePeers notes whether VMs are present that this one does not hear. One of
// them may claim an upstream that does not answer here, and renew what runs there
// until it stops it.
func (s *Scheduler) SetUnreachablePeers(rivals bool) { s.rivals.Store(rivals) }

// HasUnreachablePeers returns what SetUnreachablePeers noted last.
func (s *Scheduler) HasUnreachablePeers() bool { return s.rivals.Load() }

// Dispatching tells whether a term is on.
func (s *Scheduler) Dispatching() bool { return s.token.Load() != 0 }

// Waiting returns the number of tasks that wait for an upstream.
func (s *Scheduler) Waiting() int { return int(s.waiting.Load()) }

// Tick lets time pass: resumed jobs are released, orphans that nobody claimed
// are stopped, leases lapse. It is called every TickInterval.
func (s *Scheduler) Tick(now time.Time) Actions {
	var a Actions
	if !s.Dispatching() {
		return a
	}
	swept := now // every upstream has answered a look sent after this time
	var youngest time.Time
	for _, shard := range s.upstreams {
		seen, born := shard.tick(now, s, &a)
		swept = earlier(swept, seen)
		if born.After(youngest) {
			youngest = born
		}
	}
	s.settle(now, &a)
	if s.partial.Load() {
		swept = time.Time{}
	}
	known := resumption{swept: swept, youngest: youngest}
	if complete := s.complete.Load(); complete != 0 {
		known.complete = s.start.Add(time.Duration(complete))
	}
	resume := time.Duration(s.resumeTime.Load())
	if s.HasUnreachablePeers() {
		resume += rivalTime
	}
	known.old = now.Add(-resume)
	for _, q := range s.queues {
		s.waiting.Add(int64(-q.release(known, &a)))
	}
	for _, q := range s.queues {
		s.waiting.Add(int64(-q.expire(now, &a)))
	}
	s.ConfirmDelivery(a.forgotten)
	a.forgotten = nil
	return a
}

// TickInterval is the time between two calls of Tick.
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

// Actions are what a call asks to be sent.
type Actions struct {
	Stops   []Stop
	Polls   []string // upstreams that want a look at once, beside the one under way
	Notices []Notice
	// Lost are runs that ended without an end on record, for the log.
	Lost []LostRun
	// lost are those that their jobs were not told of yet.
	lost []lostRun
	// forgotten are ends that nobody has asked for in time.
	forgotten []CompletionRef
}

// LostRun is a run that is over although its upstream has listed no end.
type LostRun struct {
	Run
	Upstream string
	// MayHaveRun tells whether it may have had an effect.
	MayHaveRun bool
	Reason     string
}

// Notice tells an origin what became of a task or of a job.
type Notice struct {
	Origin string
	Task   Task
	Kind   NoticeKind
	// Reason and Code say why a job was given up.
	Reason string
	Code   verdict.Code
	// RetryAfter is the wait after which a dropped job may be accepted.
	RetryAfter time.Duration
	// Result is what the task produced.
	Result []byte
	// Completion is to be handed to ConfirmDelivery once the origin has the notice.
	Completion CompletionRef
}

// CompletionRef names an end that stays listed at its upstream until the origin of the
// job has been told of it. Its zero value names none.
type CompletionRef struct {
	Upstream string
	Number   int64
	// Token is that of the term in which the end was listed.
	Token int64
}

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

// Kinds of notices.
const (
	// TaskDone tells that the task has ended well.
	TaskDone NoticeKind = iota
	// TaskFailed tells that the task has failed for good.
	TaskFailed
	// JobNotRun tells that the job was given up before a task started.
	JobNotRun
	// JobAbandoned tells that the job was given up after a task may have started.
	JobAbandoned
)

// Stop asks an upstream to end a run.
type Stop struct {
	Upstream Upstream
	Token    int64
	Run      Run
	// Reason is for the log.
	Reason string
}

// models holds what was learnt of queues, by name.
type models struct {
	mu     sync.Mutex // guards the field below
	queues map[string]*queueModel
}

func (m *models) get(queue string, declared time.Duration) *queueModel {
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
