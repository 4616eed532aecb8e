package overload

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

const (
	// shortBacklog is the time to work off the backlog above which capacity counts as short.
	// A job of eight tasks on a hundred upstreams stays below it.
	shortBacklog = 25 * time.Millisecond
	// shortPeriod is the time for which capacity counts as short afterwards. It bridges
	// moments in which the admission has just emptied the backlog.
	shortPeriod = 500 * time.Millisecond
	// sharePeriod is the time of shortage after which shares apply. A short burst that can be
	// served in time is not limited by shares, which are not known yet.
	sharePeriod = 500 * time.Millisecond
	// scarceFactor is the ratio of requested to completed work above which capacity counts as scarce.
	// Below it, the jobs that miss their target time are few, and most are served late after it.
	scarceFactor = 1.2
	// greedyFactor is the ratio of the work that an account requests to its share above which it is
	// limited also while capacity is short, but not scarce.
	greedyFactor = 2
	// rateTime is the time constant of the measured rates. It is below the length of a burst
	// and above the time between two jobs of a slow queue.
	rateTime = 500 * time.Millisecond
	// minRate is the lowest assumed rate relative to the nominal capacity. Fragmentation does
	// not take more than half of it.
	minRate = 0.5
	// depthShare is the part of the target time for which admitted work may exceed the share
	// of its queue. Callers may be held for a quarter of the target time.
	depthShare = 0.25
	// flowRetention is the time after which an idle flow is dropped.
	flowRetention = 10 * time.Second
	// maxAccounts and maxQueues bound the state of a shard. Further accounts of a queue share
	// a flow, and further queues are not limited by shares.
	maxAccounts = 64
	maxQueues   = 64
	shardCount  = 16
)

// Reason tells why a job is rejected.
type Reason uint8

// Reasons.
const (
	// Admitted means that the job is not rejected.
	Admitted Reason = iota
	// Hopeless means that the answer would come after the useful time.
	Hopeless
	// AboveShare means that the flow of the job is above its share of the capacity.
	AboveShare

	reasonCount = iota
)

// String returns the name used in logs and metrics.
func (r Reason) String() string { return [...]string{"admitted", "hopeless", "above share"}[r] }

// Job describes a job for admission.
type Job struct {
	Queue, Account string
	Priority       int
	// Work is the work of all its tasks.
	Work int64
	// Due is the time by which jobs are ordered. An answer until End is in time; one until LateEnd
	// still has some value.
	Due, End, LateEnd time.Duration
	// Run is the expected run time of a task, Target the target time.
	Run, Target time.Duration
}

// Controller holds the state from which jobs are admitted. It must be created by New.
type Controller struct {
	Backlog
	rate        atomic.Uint64 // math.Float64bits of the work per second that upstreams complete
	shortUntil  atomic.Int64
	shortSince  atomic.Int64 // as of the last update; 0 while capacity is not short
	scarceUntil atomic.Int64
	started     atomic.Int64 // work started since the last update
	shards      [shardCount]*shard

	mu          sync.Mutex // guards the fields below
	updatedAt   time.Duration
	startedRate float64
}

// shard holds the queues whose names hash to it.
type shard struct {
	mu     sync.Mutex // guards the field below and all flows in it
	queues map[string]*queue
}

// flow is a queue, or an account of a queue.
type flow struct {
	demand
	arrived int64   // work offered since the last update
	excess  float64 // admitted work above the flow's rate
	drained time.Duration
	seen    time.Duration
}

type queue struct {
	flow
	accounts map[string]*flow
	rejected [reasonCount]uint64
	target   time.Duration // of the last job
	due      time.Duration // order of the last job relative to its arrival
}

// New returns a Controller without jobs.
func New() *Controller {
	c := &Controller{}
	for i := range c.shards {
		c.shards[i] = &shard{queues: map[string]*queue{}}
	}
	return c
}

// Rate returns the work per second that upstreams are expected to complete.
func (c *Controller) Rate() float64 { return math.Float64frombits(c.rate.Load()) }

// Wait returns the time until the given work is started; it is bounded by maxWait.
func (c *Controller) Wait(work int64) time.Duration {
	rate := c.Rate()
	if work <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(work)/rate, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds estimates, for example while no upstream is usable.
const maxWait = time.Minute

// Short reports whether capacity is short.
func (c *Controller) Short(now time.Duration) bool {
	if c.Rate() > 0 && c.Wait(c.Total()) > shortBacklog {
		c.shortUntil.Store(int64(now + shortPeriod))
		return true
	}
	return int64(now) < c.shortUntil.Load()
}

// isShortFor reports whether capacity has been short for sharePeriod.
func (c *Controller) isShortFor(now time.Duration) bool {
	since := time.Duration(c.shortSince.Load())
	return since != 0 && now-since >= sharePeriod
}

// IsScarce reports whether capacity has been short for sharePeriod and flows request scarceFactor
// times what is completed. A late answer then costs an answer in time. Otherwise the backlog of a
// burst is about to be worked off, and late answers use capacity that nothing else needs.
func (c *Controller) IsScarce() bool { return c.now.Load() < c.scarceUntil.Load() }

// WasShort reports whether capacity was short at the last update.
func (c *Controller) WasShort() bool { return c.now.Load() < c.shortUntil.Load() }

// Started records that work has been started.
func (c *Controller) Started(work int64) { c.started.Add(work) }

// IsHopeless reports whether a job would end after its useful time, which includes late answers
// unless capacity is scarce. Its own work counts as waiting, because its last task determines its
// end.
func (c *Controller) IsHopeless(now time.Duration, j *Job) bool {
	ahead, end := c.Ahead(now, j.Due), j.End
	if !c.IsScarce() {
		if now+c.Wait(ahead+j.Work)+j.Run <= end {
			return false
		}
		ahead, end = c.Total(), j.LateEnd // jobs that can be in time go before late ones
	}
	return now+c.Wait(ahead+j.Work)+j.Run > end
}

// Admit decides whether a new job is admitted. known means that the estimate covers the jobs
// of all origins; otherwise every job is admitted. The caller must call Charge for a job that it
// accepts although it was rejected.
func (c *Controller) Admit(now time.Duration, j *Job, known bool) Reason {
	short := known && c.Short(now)
	hopeless := short && c.IsHopeless(now, j)
	s := c.shard(j.Queue)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(now, j)
	if q == nil {
		if hopeless {
			return Hopeless
		}
		return Admitted
	}
	a := q.account(now, j.Account)
	q.arrived, a.arrived = q.arrived+j.Work, a.arrived+j.Work
	q.drain(now)
	a.drain(now)
	switch {
	case !short:
		q.excess, a.excess = 0, 0
		return Admitted
	case hopeless:
		return Hopeless
	case (c.IsScarce() || c.isShortFor(now) && a.wanted > greedyFactor*a.rate) && q.excess > depthShare*j.Target.Seconds()*q.rate && a.excess > 0:
		return AboveShare
	}
	q.excess, a.excess = q.excess+float64(j.Work), a.excess+float64(j.Work)
	return Admitted
}

// Charge counts a job as admitted, because an upstream is free for it.
func (c *Controller) Charge(now time.Duration, j *Job) {
	s := c.shard(j.Queue)
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.queue(now, j); q != nil {
		a := q.account(now, j.Account)
		q.excess, a.excess = q.excess+float64(j.Work), a.excess+float64(j.Work)
	}
}

// Reject counts a rejection.
func (c *Controller) Reject(queue string, reason Reason) {
	s := c.shard(queue)
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.queues[queue]; q != nil {
		q.rejected[reason]++
	}
}

func (c *Controller) shard(queue string) *shard {
	return c.shards[rendezvous.Hash(queue)%shardCount]
}

// queue returns the queue of a job, or nil if there are too many. The caller holds mu.
func (s *shard) queue(now time.Duration, j *Job) *queue {
	q := s.queues[j.Queue]
	if q == nil {
		if len(s.queues) >= maxQueues {
			return nil
		}
		q = &queue{flow: flow{drained: now}, accounts: map[string]*flow{}}
		s.queues[j.Queue] = q
	}
	q.priority, q.seen, q.target, q.due = j.Priority, now, j.Target, j.Due-now
	return q
}

func (q *queue) account(now time.Duration, name string) *flow {
	f := q.accounts[name]
	if f == nil && len(q.accounts) >= maxAccounts {
		name = ""
		f = q.accounts[name]
	}
	if f == nil {
		f = &flow{drained: now}
		q.accounts[name] = f
	}
	f.seen = now
	return f
}

// drain reduces the excess by what the flow's rate has covered.
func (f *flow) drain(now time.Duration) {
	f.excess = max(f.excess-f.rate*max(now-f.drained, 0).Seconds(), 0)
	f.drained = max(now, f.drained)
}

// Update recomputes the rates of all flows from the work offered and started since the last
// update. capacity is the nominal work per second of the usable upstreams. It must be called
// regularly.
func (c *Controller) Update(now time.Duration, capacity float64) {
	c.now.Store(int64(now))
	if !c.Short(now) {
		c.shortSince.Store(0)
	} else {
		c.shortSince.CompareAndSwap(0, int64(now))
	}
	weight, period := c.updateRate(now, capacity)
	if period <= 0 {
		return
	}
	var queues []*demand
	byName := map[string]*demand{}
	for _, s := range c.shards {
		s.mu.Lock()
		for name, q := range s.queues {
			if now-q.seen > flowRetention {
				delete(s.queues, name)
				continue
			}
			q.measure(weight, period)
			d := q.demand
			byName[name], queues = &d, append(queues, &d)
		}
		s.mu.Unlock()
	}
	wanted := 0.0
	for _, d := range queues {
		wanted += d.wanted
	}
	if c.isShortFor(now) && wanted > scarceFactor*c.Rate() {
		c.scarceUntil.Store(int64(now + shortPeriod)) // the measured rates vary
	}
	divide(queues, c.Rate())
	for _, s := range c.shards {
		s.mu.Lock()
		for name, q := range s.queues {
			if d := byName[name]; d != nil {
				q.drain(now)
				q.rate = d.rate
				q.divide(now, weight, period)
			}
		}
		s.mu.Unlock()
	}
}

// updateRate updates the rate of completed work. It returns the weight of the last period and
// its length.
func (c *Controller) updateRate(now time.Duration, capacity float64) (weight float64, period time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	period = now - c.updatedAt
	if period <= 0 {
		return 0, 0
	}
	c.updatedAt = now
	weight = -math.Expm1(-period.Seconds() / rateTime.Seconds())
	c.startedRate += weight * (float64(c.started.Swap(0))/period.Seconds() - c.startedRate)
	// Work that is started is measured in expected run times, like the backlog, so that
	// systematic errors of the expectation cancel out.
	c.rate.Store(math.Float64bits(min(max(c.startedRate, minRate*capacity), 1/minRate*capacity)))
	return weight, period
}

func (f *flow) measure(weight float64, period time.Duration) {
	f.wanted += weight * (float64(f.arrived)/period.Seconds() - f.wanted)
	f.arrived = 0
}

// divide sets the rates of the accounts. Each may use the rate of the largest one, so that an
// account below its share is not limited.
func (q *queue) divide(now time.Duration, weight float64, period time.Duration) {
	var all []*demand
	for name, a := range q.accounts {
		if now-a.seen > flowRetention {
			delete(q.accounts, name)
			continue
		}
		a.measure(weight, period)
		a.drain(now)
		all = append(all, &a.demand)
	}
	level := min(maxMinLevel(all, q.rate), q.rate)
	for _, d := range all {
		d.rate = level
	}
}
