package scheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/health"
)

// An upstream falls when it crashes or is ejected. One that falls several times in a short
// time is on probation after its return (health.Probation). A fall counts only if nothing else
// explains it: not if several upstreams fall together, if the upstream was leaving, or if a
// task ran there that is known or suspected to crash upstreams.

const (
	// probationCost is the factor of the cost of an upstream on probation.
	probationCost = 4
	// quickRestartTime is the time since the last answered poll was sent within which a new
	// process shows that its upstream has fallen just now: that poll and the one that failed.
	// After a longer silence the time of the fall is unknown, and so is whether others fell
	// with it: a rack may have lost its power.
	quickRestartTime = 2*maxPollWait + 50*time.Millisecond
	// fallRetention is the time for which falls are compared with later ones, and maxFalls
	// the greatest number that is compared. Beyond it they have a common cause.
	fallRetention = 3 * time.Second
	maxFalls      = 256
)

// fall is a fall of an upstream.
type fall struct {
	upstream, service string
	at                time.Time
	failing           bool          // it was ejected; otherwise it crashed
	uptime            time.Duration // since its last return; 0 if unknown
	shared            bool          // another upstream fell with it; guarded by falls.mu
}

// fallRecord is what is known about the falls of an upstream. The lock of its shard guards it.
type fallRecord struct {
	probation health.Probation
	current   *fall     // nil while the upstream is up
	upSince   time.Time // when it came back after its last fall; zero before
}

// onProbation reports whether the upstream is on probation.
func (u *upstream) onProbation() bool { return u.falls != nil && u.falls.probation.Active() }

// falls tells falls that have a common cause from others.
type falls struct {
	mu     sync.Mutex // guards the fields below
	recent []*fall    // in the order of detection
	// returned holds the falls of upstreams that have come back, until it is known whether
	// others fell with them.
	returned []*fall
}

// add records a fall when it is detected.
func (f *falls) add(now time.Time, one *fall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recent = slices.DeleteFunc(f.recent, func(old *fall) bool { return now.Sub(old.at) > fallRetention })
	for _, other := range f.recent {
		if other.upstream != one.upstream && other.service == one.service && one.at.Sub(other.at) <= commonCauseTime {
			one.shared, other.shared = true, true
		}
	}
	if len(f.recent) >= maxFalls {
		one.shared = true
		return
	}
	f.recent = append(f.recent, one)
}

// addReturned records that the upstream of a fall has come back.
func (f *falls) addReturned(one *fall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returned = append(f.returned, one)
}

// attribute returns the falls of upstreams that have come back, once it is known that no
// other upstream fell with them.
func (f *falls) attribute(now time.Time) (own []*fall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returned = slices.DeleteFunc(f.returned, func(one *fall) bool {
		if !one.shared && now.Sub(one.at) <= commonCauseTime {
			return false
		}
		if !one.shared {
			own = append(own, one)
		}
		return true
	})
	return own
}

// ProbationChange tells that a probation has begun or ended, for the log.
type ProbationChange struct {
	Upstream string
	Began    bool
	// Failing means that the upstream was ejected because its runs failed or hung;
	// otherwise it crashed.
	Failing bool
	// Falls is the number of recent falls, and Length the longest time of the probation.
	Falls  int
	Length time.Duration
	// Earned means that completed runs have ended the probation, not its time.
	Earned bool
}

// noteFall records that an upstream has fallen just now, unless something else explains it. The
// caller holds mu of the shard.
func (s *Scheduler) noteFall(now time.Time, u *upstream, failing bool) {
	if u.leaving || u.falls != nil && u.falls.current != nil {
		return
	}
	for _, r := range u.runs {
		if !failing && (r.isolation != isolatedNot || s.blame.knows(now, u.Service, r.queue)) {
			return
		}
	}
	if u.falls == nil {
		u.falls = &fallRecord{}
	}
	one := &fall{upstream: u.Name, service: u.Service, at: now, failing: failing}
	if !u.falls.upSince.IsZero() {
		one.uptime = now.Sub(u.falls.upSince)
	}
	u.falls.current = one
	s.falls.add(now, one)
}

// noteNewProcess records that another process has answered in place of the one known. The
// caller holds mu of the shard.
func (s *Scheduler) noteNewProcess(now time.Time, u *upstream) {
	if now.Sub(u.lastPoll) <= quickRestartTime {
		s.noteFall(now, u, false)
	}
}

// noteReport records that an upstream has answered a poll: it is back if it had crashed. The
// caller holds mu of the shard.
func (s *Scheduler) noteReport(now time.Time, u *upstream) {
	u.leaving = u.Draining || u.Missing
	if u.falls != nil && u.falls.current != nil && !u.falls.current.failing {
		s.noteReturn(now, u)
	}
}

// noteReturn records that an upstream has come back after a fall. The caller holds mu of the
// shard.
func (s *Scheduler) noteReturn(now time.Time, u *upstream) {
	s.falls.addReturned(u.falls.current)
	u.falls.current, u.falls.upSince = nil, now
}

// knows reports whether a queue has tasks that are known to crash upstreams.
func (b *blame) knows(now time.Time, service, queue string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(now, service).confirmed[queue] > 0
}

// checkProbation notes whether the upstream has been ejected or readmitted, and ends a
// probation whose time has passed. The caller holds mu of the shard.
func (u *upstream) checkProbation(now time.Time, s *Scheduler, a *Actions) {
	switch ejected := u.health.Ejected(); {
	case ejected && !u.wasEjected:
		s.noteFall(now, u, true)
	case !ejected && u.wasEjected && u.falls != nil && u.falls.current != nil && u.falls.current.failing:
		s.noteReturn(now, u)
	}
	u.wasEjected = u.health.Ejected()
	if u.falls != nil && u.falls.probation.Expire(now) {
		a.Probations = append(a.Probations, ProbationChange{Upstream: u.Name, Falls: u.falls.probation.Falls()})
	}
}

// beginProbations applies falls that have no common cause.
func (s *Scheduler) beginProbations(now time.Time, a *Actions) {
	for _, one := range s.falls.attribute(now) {
		shard := s.upstreamShardFor(one.upstream)
		shard.mu.Lock()
		if u := shard.byName[one.upstream]; u != nil && u.falls != nil && u.falls.probation.RecordFall(now, one.uptime, one.failing) {
			a.Probations = append(a.Probations, ProbationChange{
				Upstream: u.Name, Began: true, Failing: one.failing, Falls: u.falls.probation.Falls(), Length: u.falls.probation.Until().Sub(now),
			})
		}
		shard.mu.Unlock()
	}
}

// noteCompletedRun counts a completed run for the probation. The caller holds mu of the
// shard.
func (u *upstream) noteCompletedRun(now time.Time, a *Actions) {
	if u.falls != nil && u.falls.probation.RecordSuccess(now) {
		a.Probations = append(a.Probations, ProbationChange{Upstream: u.Name, Falls: u.falls.probation.Falls(), Earned: true})
	}
}

// noteFailedRun ejects an upstream of which a run has failed or hung if it has been ejected
// shortly before. The caller holds mu of the shard.
func (u *upstream) noteFailedRun(now time.Time) {
	if u.falls != nil && u.falls.probation.EjectedRecently(now) {
		u.health.Eject(now)
	}
}

// trustedWith reports whether a task may start on the upstream in spite of a probation. A
// suspect may not, because the upstream may crash by itself.
func (u *upstream) trustedWith(c *candidate) bool {
	if !u.onProbation() {
		return true
	}
	length := time.Duration(c.expected * u.model.slowdown() * float64(time.Second))
	return c.isolation == isolatedNot && u.falls.probation.Allows(len(u.runs), length)
}

// UpstreamsOnProbation returns the number of listed upstreams on probation.
func (s *Scheduler) UpstreamsOnProbation() int {
	n := 0
	for _, shard := range s.upstreamShards {
		shard.mu.Lock()
		for _, u := range shard.byName {
			if u.listed && u.onProbation() {
				n++
			}
		}
		shard.mu.Unlock()
	}
	return n
}
