package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// minReturnLimit is the least time for which an upstream that has returned to service counts as
// unproven. It lets a first run complete whose upstream does not report that it is cold.
const minReturnLimit = 500 * time.Millisecond

// serviceReturn is the return of an upstream from an evacuation. Its speed is unknown until a run
// has completed, because the upstream may have become cold meanwhile.
type serviceReturn struct {
	at       time.Time
	unproven bool // no run has completed since
}

// noteEvacuation records that the upstream is evacuated or returns to service with the next entry.
// The caller holds the lock of the shard.
func (u *upstream) noteEvacuation(now time.Time, next *Upstream) {
	switch {
	case next.Evacuated:
		u.returned = serviceReturn{}
	case u.Evacuated:
		u.returned = serviceReturn{at: now, unproven: true}
	}
}

// acceptsAfterReturn reports whether an evacuation or its end allows a further run. An upstream
// that has returned gets one at a time until a run has completed, or the time for which its entry
// says that it is cold has passed.
func (u *upstream) acceptsAfterReturn(now time.Time) bool {
	if u.Evacuated {
		return false
	}
	limited := u.returned.unproven && now.Before(later(u.returned.at.Add(minReturnLimit), u.ColdUntil))
	return !limited || len(u.runs) == 0
}

// canGetRuns reports whether the upstream counts for the bounds of its shard.
func (u *upstream) canGetRuns() bool { return u.listed && u.claimed && !u.Evacuated }

// noteCompletionAfterReturn records that a run has succeeded. The caller holds the lock of the shard.
func (u *upstream) noteCompletionAfterReturn(r *run) {
	if r.orderedAt.After(u.returned.at) {
		u.returned.unproven = false
	}
}

// refusedByEvacuation returns the rejection of a new job that only upstreams of evacuated data centres
// are large enough for. A job of which something may have run is not rejected, since it would be
// answered as not run: while the term is not settled, an earlier dispatcher may have started it.
func (s *Scheduler) refusedByEvacuation(offered *Job) *verdict.Error {
	fits := func(evacuated bool) bool {
		return s.anyUpstream(func(u *upstream) bool { return u.Evacuated == evacuated && u.fits(offered) })
	}
	if offered.Resumed || fits(false) || !fits(true) {
		return nil
	}
	if known, settled := s.Known(offered.ID); known || !settled || !s.jobShardFor(offered.ID).isNew(offered.ID) {
		return nil
	}
	return verdict.Errorf(verdict.NotRun, verdict.CodeOverloaded,
		"every upstream of service %s that is large enough is in an evacuated data centre", offered.Service).WithRetryAfter(verdict.MinRetryAfter)
}
