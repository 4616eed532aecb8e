package scheduler

import (
	"math"
	"time"
)

// In a split, other dispatchers work that this one does not hear. A caller whose connection
// breaks without its origin noticing may send its job to the VM of another dispatcher, which
// cannot know of the runs here. While there may be such a dispatcher, the runs of a job
// therefore end before its caller can send it again.

// PeerLoss tells whether VMs of the scope exist that this one does not hear.
type PeerLoss uint8

// Values of PeerLoss.
const (
	// PeersHeard means that every VM was heard recently.
	PeersHeard PeerLoss = iota
	// PeerSilent means that a VM has not been heard for longer than usual. It may soon
	// dispatch by itself.
	PeerSilent
	// PeerLost means that a VM has not been heard for so long that it may dispatch.
	PeerLost
)

// String returns the name used in logs.
func (l PeerLoss) String() string { return [...]string{"heard", "silent", "lost"}[l] }

// splitState is what a dispatcher does because other ones may work.
type splitState uint8

const (
	// splitNone means that no other dispatcher can have an upstream.
	splitNone splitState = iota
	// splitSuspected means that leases end before the callers of their runs can return, and
	// that jobs whose callers can return start nothing.
	splitSuspected
	// splitConfirmed means, in addition, that jobs are abandoned before their callers can
	// return.
	splitConfirmed
)

const (
	// splitConfirmTime is the time for which a VM must be lost, and an upstream not held,
	// until a split is confirmed. In a new term the upstreams answer within it. It is below
	// the lease, so that runs outlive a split that is not confirmed.
	splitConfirmTime = 300 * time.Millisecond
	// shortLease replaces lease, and shortPollWait the wait of polls, on upstreams with runs whose
	// callers may return, while a VM is not heard. A dispatcher notices claims of others
	// maxPollWait late at most; these leases then end as early as others would without that.
	shortLease    = 250 * time.Millisecond
	shortPollWait = 50 * time.Millisecond
	// lateClaimDelay is the time for which an upstream gets no tasks that is claimed when the runs
	// of earlier dispatchers count as over: the time until another one notices the claim by a poll,
	// and the leases that it has renewed before.
	lateClaimDelay = maxPollWait + TickInterval + maxForeignLease
	// heldTimeout is the time without a response after which an upstream may have been
	// claimed by a lost VM. It exceeds the time between the ends of two polls.
	heldTimeout = 2*maxPollWait + 100*time.Millisecond
	// returnMargin is the time by which leases end before a caller can return. It covers
	// clockError and the way of the request to its origin.
	returnMargin = 30 * time.Millisecond
	// abandonLead is the time by which a job is abandoned before its leases end: a tick and a
	// round trip, so that the leases of other runs can be renewed in time.
	abandonLead = 30 * time.Millisecond
	// minLease is the shortest lease with which a run is started.
	minLease = 50 * time.Millisecond
)

// SetPeerLoss sets whether VMs exist that this one does not hear.
func (s *Scheduler) SetPeerLoss(loss PeerLoss) { s.peerLoss.Store(uint32(loss)) }

// PeerLoss returns the value passed to SetPeerLoss.
func (s *Scheduler) PeerLoss() PeerLoss { return PeerLoss(s.peerLoss.Load()) }

// watchesIdle reports whether idle upstreams are polled, so that claims by others are noticed.
func (s *Scheduler) watchesIdle() bool {
	return s.HasUnreachablePeers() || s.PeerLoss() != PeersHeard
}

// updateSplit determines the state from the upstreams as a tick has found them. A split goes on in a
// term that follows another one: its upstreams are claimed one by one.
func (s *Scheduler) updateSplit(now time.Time, allHeld bool) {
	state := splitNone
	if s.resetSplit.Swap(false) {
		s.lackingSince = time.Time{}
	}
	lost := s.PeerLoss() == PeerLost
	lacking := !allHeld || s.partialList.Load()
	switch {
	case s.config.CallerReturn == 0 || s.PeerLoss() == PeersHeard || !lacking:
	case lost && s.lackingSince != (time.Time{}) && now.Sub(s.lackingSince) > splitConfirmTime:
		state = splitConfirmed
	default:
		state = splitSuspected
	}
	switch {
	case !lost || !lacking:
		s.lackingSince = time.Time{}
	case s.lackingSince.IsZero():
		s.lackingSince = now
	}
	s.split.Store(uint32(state))
}

// firstSplitState returns the state at the begin of a term, in which no upstream is held yet.
func (s *Scheduler) firstSplitState() splitState {
	if s.config.CallerReturn == 0 || s.PeerLoss() == PeersHeard {
		return splitNone
	}
	return splitSuspected
}

func (s *Scheduler) splitState() splitState { return splitState(s.split.Load()) }

// Split reports whether other dispatchers may have upstreams, so that jobs are abandoned before
// their callers can return.
func (s *Scheduler) Split() bool { return s.splitState() == splitConfirmed }

// returnTime returns the time at which the runs of a job must be over in a split, or zero if
// its caller never returns. sent is the time at which its origin has received it.
func (s *Scheduler) returnTime(sent time.Time) time.Time {
	if s.config.CallerReturn == 0 {
		return time.Time{}
	}
	return sent.Add(s.config.CallerReturn - returnMargin)
}

// returnsBefore reports whether a caller that may return at returnAt does so before a time.
// returnAt is zero if it never returns.
func returnsBefore(returnAt, at time.Time) bool { return !returnAt.IsZero() && returnAt.Before(at) }

// isHeld reports whether no other dispatcher can have started a run on the upstream. watched
// means that idle upstreams are polled.
func (u *upstream) isHeld(now time.Time, watched bool) bool {
	return u.claimed && !u.fenced && u.pollFailures == 0 && (!watched || now.Sub(u.lastContact) < heldTimeout)
}

// leaseRule tells how the leases of an upstream depend on the return of callers.
type leaseRule uint8

const (
	leaseAny   leaseRule = iota // they do not
	leaseShort                  // they are short if a caller may return before their end
	leaseEnds                   // they end before a caller may return
)

// leaseRule returns the present rule. A new loss of a VM counts at once.
func (s *Scheduler) leaseRule() leaseRule {
	switch {
	case s.splitState() != splitNone:
		return leaseEnds
	case s.PeerLoss() != PeersHeard:
		return leaseShort
	}
	return leaseAny
}

// untilReturn returns the time until the first caller of a run may return, or forever if there
// is none.
func (u *upstream) untilReturn(now time.Time) time.Duration {
	first := forever
	for _, r := range u.runs {
		if !r.returnAt.IsZero() && !(r.unneeded && r.stopAnswered) {
			first = min(first, r.returnAt.Sub(now))
		}
	}
	return first
}

const forever = time.Duration(math.MaxInt64)

// leaseLength returns the length of a lease: the given one, unless a caller may return before
// its end.
func (u *upstream) leaseLength(now time.Time, length time.Duration, rule leaseRule) time.Duration {
	switch rule {
	case leaseShort:
		if u.untilReturn(now) < length {
			return min(length, shortLease)
		}
	case leaseEnds:
		return min(length, u.untilReturn(now))
	}
	return length
}

// pollWait returns the wait of a poll: the given one, unless the lease is short.
func (u *upstream) pollWait(now time.Time, wait time.Duration, rule leaseRule) time.Duration {
	if u.leaseLength(now, lease, rule) < lease {
		return min(wait, shortPollWait)
	}
	return wait
}

// updateReturn sets the time of a job's active runs after its caller has sent it again.
func (s *Scheduler) updateReturn(id string) {
	refs, returnAt := s.jobShardFor(id).activeRuns(id)
	for task, ref := range refs {
		shard := s.upstreamShardFor(ref.upstream)
		shard.mu.Lock()
		if u := shard.byName[ref.upstream]; u != nil {
			if r := u.runs[task]; r != nil && r.Attempt == ref.attempt {
				r.returnAt = returnAt
			}
		}
		shard.mu.Unlock()
	}
}

// activeRuns returns the active runs of a job and the time at which they must be over in a
// split.
func (s *jobShard) activeRuns(id string) (refs map[Task]runRef, returnAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.job(id)
	if j == nil {
		return nil, time.Time{}
	}
	refs = make(map[Task]runRef, len(j.current))
	for index, ref := range j.current {
		refs[Task{id, index}] = ref
	}
	return refs, j.returnAt
}

// setSplit sets the state. At the end of a split, the jobs that could not start return to the
// heap. The caller holds mu.
func (s *jobShard) setSplit(split splitState) {
	ended := s.split != splitNone && split == splitNone
	s.split = split
	if !ended {
		return
	}
	for _, r := range s.records {
		if r.job != nil {
			s.updateHeap(r.job)
		}
	}
}
