package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/health"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// Upstream describes a VM that runs tasks of one service.
type Upstream struct {
	// Name is the id of the process, Address its host:port.
	Name, Address, Service, DataCentre string
	Size                               Size
	Labels                             []string
	// Draining tells that it takes no new tasks.
	Draining bool
	// Missing tells that it is no longer known to be there: it gets no new tasks,
	// but may still run some.
	Missing bool
}

// runState says what is known of a run.
type runState uint8

const (
	runOrdered  runState = iota // the order to start is under way
	runUnknown                  // the order was not answered
	runStarted                  // the upstream has it
	runStopping                 // a stop is under way
)

// run is a start that occupies an upstream.
type run struct {
	Run
	size      Size
	state     runState
	ordered   time.Time
	answered  time.Time // of the start, or of the stop once it was answered
	stopped   bool      // the stop was answered
	until     int64     // on the upstream's clock, in ms: the order has no effect later
	expected  float64   // run time at speed 1, in seconds
	estimate  time.Duration
	model     *queueModel
	percent   int
	moved     time.Time // when the percentage changed last
	abandoned bool      // its end no longer matters to a job
	adopted   bool
	once      bool // its task may not start again
	confirmed bool // the upstream has said that it started
	replaced  bool // the upstream's process was replaced since
	stalled   bool // it was held against the upstream that it makes no progress
}

// overAs tells how a run counts that is over without an end on record.
func (r *run) overAs() runEnd {
	if r.confirmed || r.replaced {
		return endLost
	}
	return endRefused
}

// lostRun is a run that is over without an end on record.
type lostRun struct {
	run      Run
	upstream string
	end      runEnd
	result   []byte
	receipt  CompletionRef // of an end that was listed
	why      string        // of a run that was lost
}

// upstream is what is known of one upstream. The lock of its shard guards it.
type upstream struct {
	Upstream
	listed  bool // in the platform's list
	claimed bool
	fenced  bool  // left to another dispatcher for the rest of the term
	born    int64 // start of the process, in ms since 1970; 0 is unknown

	clock   int64 // of the last answer, in ms
	clockAt time.Time

	runs    map[Task]*run
	orphans map[Task]orphan
	used    Size
	// bound is the time after which nothing that was ordered before runs, unless
	// a lease is renewed.
	bound    time.Time
	failures int // looks in a row without an answer
	retry    time.Time
	newest   time.Time // sending time of the newest look that was answered
	contact  time.Time // time of the last answer
	looking  bool
	seen     int64 // number of the last end that was processed
	acked    int64 // number up to which ends were acknowledged by a look
	// undelivered are the numbers of ends of which the origins were not told yet.
	undelivered map[int64]struct{}
	idle        time.Time

	health health.Tracker
	model  speedModel
}

// orphan is a run that was found and that no job claims.
type orphan struct {
	Run
	since    time.Time
	stopping bool
}

// clockNow estimates the upstream's clock, in ms.
func (u *upstream) clockNow(now time.Time) int64 {
	return u.clock + now.Sub(u.clockAt).Milliseconds()
}

// usable tells whether new tasks may be placed there.
func (u *upstream) usable(now time.Time) bool {
	return u.listed && u.claimed && !u.Draining && !u.Missing && u.failures < suspectLooks && len(u.orphans) == 0 &&
		!u.fenced && u.health.UsableSlots(now, len(u.runs)+1) > len(u.runs)
}

// room returns what is free.
func (u *upstream) room() Size { return u.Size.minus(u.used) }

// free removes a run.
func (u *upstream) free(now time.Time, r *run) {
	if u.runs[r.Task] != r {
		return
	}
	delete(u.runs, r.Task)
	u.used = u.used.minus(r.size)
	if len(u.runs) == 0 {
		u.idle = now
	}
}

// loseAll forgets every run and appends those that jobs still want.
func (u *upstream) loseAll(now time.Time, a *Actions) {
	for _, r := range u.runs {
		u.free(now, r)
		a.lost = append(a.lost, lostRun{run: r.Run, upstream: u.Name, end: endLost, why: "its lease has lapsed"})
	}
	clear(u.orphans)
}

// swept returns the sending time of the newest look that was answered; zero
// where the upstream is not claimed.
func (u *upstream) swept() time.Time {
	if !u.claimed {
		return time.Time{}
	}
	return u.newest
}

// tick lets time pass at the upstreams of the shard. It returns the time after
// which every listed one was sent a look that it has answered, and the start of
// their youngest process.
func (s *upstreamShard) tick(now time.Time, scheduler *Scheduler, a *Actions) (swept, youngest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	swept = now
	grace := time.Duration(0)
	if scheduler.HasUnreachablePeers() {
		grace = rivalTime
	}
	for _, u := range slices.Clone(s.all) {
		if u.listed {
			swept = earlier(swept, u.swept())
			if began := u.began(); began.After(youngest) {
				youngest = began
			}
		}
		if !u.bound.IsZero() && now.After(u.bound.Add(grace)) && len(u.runs)+len(u.orphans) > 0 {
			u.loseAll(now, a)
		}
		for task, o := range u.orphans {
			if !o.stopping && now.Sub(o.since) > orphanGrace {
				o.stopping = true
				u.orphans[task] = o
				a.Stops = append(a.Stops, Stop{u.Upstream, scheduler.token.Load(), o.Run, "no job wants it"})
			}
		}
		u.stalled(now, scheduler, a)
		if !u.listed && len(u.runs)+len(u.orphans) == 0 && !u.looking {
			s.remove(u)
		}
	}
	s.measure()
	return swept, youngest
}

// began returns when the process started, by its clock, which counts from then;
// a slow clock makes it seem younger.
func (u *upstream) began() time.Time {
	return u.clockAt.Add(-time.Duration(u.clock) * time.Millisecond)
}

// A task stalls where its percentage has not changed for stallFactor times its
// expected run time, at least minStall: looks report it every lookWait.
const (
	stallFactor = 1.0
	minStall    = 800 * time.Millisecond
)

// stalled stops the runs that make no progress and holds it against the
// upstream. The caller holds mu of the shard.
func (u *upstream) stalled(now time.Time, scheduler *Scheduler, a *Actions) {
	if u.failures > 0 {
		return
	}
	for _, r := range u.runs {
		if r.state != runStarted || r.abandoned {
			continue
		}
		patience := max(minStall, time.Duration(stallFactor*r.expected*u.model.factor()*float64(time.Second)))
		if now.Sub(r.moved) <= patience || u.newest.Sub(r.moved) <= patience/2 {
			continue
		}
		if r.stalled {
			continue
		}
		r.stalled = true
		u.health.RecordFailure(now, rendezvous.Hash(r.Job), true)
		if r.once {
			continue // it may still end; a stop would end its job
		}
		r.state, r.stopped, r.abandoned = runStopping, false, false
		a.Stops = append(a.Stops, Stop{u.Upstream, scheduler.token.Load(), r.Run, "no progress"})
	}
}

// SetListCompleteSince notes that before a time other upstreams than those that are listed
// may have run tasks; a zero time stands for none.
func (s *Scheduler) SetListCompleteSince(since time.Time) {
	complete := int64(0)
	if !since.IsZero() {
		complete = max(int64(since.Sub(s.start)), 1)
	}
	s.complete.Store(complete)
}

// SetUpstreams takes the upstreams that are to be claimed; partial tells that
// others exist. Those that are gone from the list get nothing new; what they run
// is followed to its end. It returns the names of the upstreams that are new.
func (s *Scheduler) SetUpstreams(now time.Time, list []Upstream, partial bool) (added []string) {
	s.partial.Store(partial)
	listed := map[string]bool{}
	for _, entry := range list {
		listed[entry.Name] = true
		shard := s.shardOf(entry.Name)
		shard.mu.Lock()
		u := shard.known[entry.Name]
		if u == nil {
			u = &upstream{Upstream: entry, runs: map[Task]*run{}, orphans: map[Task]orphan{}, undelivered: map[int64]struct{}{}, newest: now, idle: now}
			shard.add(u)
			added = append(added, entry.Name)
		}
		if u.Address != entry.Address {
			u.claimed, u.retry = false, time.Time{}
		}
		u.Upstream, u.listed = entry, true
		shard.mu.Unlock()
	}
	for _, shard := range s.upstreams {
		shard.mu.Lock()
		for name, u := range shard.known {
			if !listed[name] {
				u.listed = false
			}
		}
		shard.mu.Unlock()
	}
	return added
}

// UpstreamSummary describes an upstream to operators.
type UpstreamSummary struct {
	Upstream
	Claimed, Ejected bool
	Running          int
	Speed            float64
	// LastContact is the time of the last answer.
	LastContact time.Time
}

// Summaries describes every upstream, in no order.
func (s *Scheduler) Summaries() []UpstreamSummary {
	var all []UpstreamSummary
	for _, shard := range s.upstreams {
		shard.mu.Lock()
		for _, u := range shard.known {
			all = append(all, UpstreamSummary{u.Upstream, u.claimed, u.health.Ejected(), len(u.runs), u.model.speed(), u.contact})
		}
		shard.mu.Unlock()
	}
	return all
}

// FencedUpstreams returns the number of upstreams that another dispatcher has claimed in
// this term.
func (s *Scheduler) FencedUpstreams() int {
	n := 0
	for _, shard := range s.upstreams {
		shard.mu.Lock()
		for _, u := range shard.known {
			if u.fenced && u.listed {
				n++
			}
		}
		shard.mu.Unlock()
	}
	return n
}
