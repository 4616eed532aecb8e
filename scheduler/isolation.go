package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// A task that may have crashed an upstream, a suspect, runs isolated: on an idle upstream
// that gets no other task until the run is over. A second crash then ends no innocent
// run, and shows whose fault it was. While no upstream is idle, some are held back for
// suspects until their runs have ended.
//
// Probable suspects may share an upstream with each other, because one more crash then
// settles all of them. Suspects that are likely to crash another upstream wait while many
// upstreams are down.

// holdTime is the time for which an upstream is held back for suspects. The hold is
// renewed while suspects wait.
const holdTime = 100 * time.Millisecond

// suspectInterval is the time between two attempts to place suspects. Ordinary tasks are
// placed with each message, which is too often to search for idle upstreams.
const suspectInterval = 5 * time.Millisecond

// firstOrdinary returns the position in waiting of the first task that is not a
// suspect, or -1.
func (j *job) firstOrdinary() int {
	if len(j.suspects) == 0 {
		return min(len(j.waiting), 1) - 1
	}
	return slices.IndexFunc(j.waiting, func(index int) bool { return j.suspects[index] == 0 })
}

// hasWaitingSuspect reports whether a suspect waits.
func (j *job) hasWaitingSuspect() bool {
	return len(j.suspects) > 0 && slices.ContainsFunc(j.waiting, func(index int) bool { return j.suspects[index] > 0 })
}

// markSuspect records that a task with the given suspicion must run isolated.
func (j *job) markSuspect(index int, suspicion float64) {
	if j.suspects == nil {
		j.suspects = map[int]float64{}
	}
	j.suspects[index] = suspicion
}

// trackSuspects keeps the set of jobs with waiting suspects. The caller holds mu.
func (s *jobShard) trackSuspects(j *job) {
	if j.heldSince.IsZero() && j.hasWaitingSuspect() {
		s.suspects[j.ID] = j
	} else {
		delete(s.suspects, j.ID)
	}
	s.suspectJobs.Store(int32(len(s.suspects)))
}

// WaitingSuspects returns the number of jobs with suspects that wait.
func (s *Scheduler) WaitingSuspects() int {
	n := 0
	for _, shard := range s.jobShards {
		n += int(shard.suspectJobs.Load())
	}
	return n
}

// popSuspects removes all waiting suspects, in the order of their jobs.
func (s *jobShard) popSuspects() (all []candidate) {
	if s.suspectJobs.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]*job, 0, len(s.suspects))
	for _, j := range s.suspects {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID)) })
	for _, j := range jobs {
		for at := 0; at < len(j.waiting); {
			suspicion := j.suspects[j.waiting[at]]
			if suspicion == 0 {
				at++
				continue
			}
			c := s.take(j, at)
			c.isolation, c.suspicion = isolatedAlone, suspicion
			if suspicion >= probableSuspicion {
				c.isolation = isolatedGroup
			}
			all = append(all, c)
		}
	}
	return all
}

// waitingSuspect is a suspect taken from its shard.
type waitingSuspect struct {
	candidate
	shard *jobShard
}

// placeSuspects places waiting suspects on idle upstreams, and holds back an upstream
// for each one that remains.
func (s *Scheduler) placeSuspects(now time.Time) (starts []Start) {
	last, at := s.suspectsPlacedAt.Load(), int64(now.Sub(s.start))
	if at-last < int64(suspectInterval) && last != 0 || !s.suspectsPlacedAt.CompareAndSwap(last, at) {
		return nil
	}
	var suspects []waitingSuspect
	for _, shard := range s.jobShards {
		for _, c := range shard.popSuspects() {
			suspects = append(suspects, waitingSuspect{c, shard})
		}
	}
	var unplaced []candidate
	groupAt := map[string]string{} // upstream of the group that is being placed, by service
	for _, c := range suspects {
		service := c.job.Service
		if s.mustWait(now, c.candidate) {
			s.settle(now, c.shard, c.candidate, Start{}, false)
			continue
		}
		var start Start
		bound := false
		if group := groupAt[service]; group != "" && c.isolation == isolatedGroup {
			start, bound = s.reserve(now, c.candidate, group)
		}
		if !bound {
			start, bound = s.bind(now, c.candidate)
		}
		if bound && c.isolation == isolatedGroup {
			groupAt[service] = start.Upstream.Name
		}
		if s.settle(now, c.shard, c.candidate, start, bound) {
			if c.job.Constraints != nil {
				s.settleConstrained(start, c.candidate)
			}
			starts = append(starts, start)
		} else if !bound {
			unplaced = append(unplaced, c.candidate)
		}
	}
	s.holdUpstreams(now, unplaced)
	return starts
}

// mustWait reports whether a suspect must wait: its caller no longer waits, the upstreams may
// be crashing for a common cause, or the suspect is likely to crash another one and so many
// have crashed recently that the others are needed for other tasks.
func (s *Scheduler) mustWait(now time.Time, c candidate) bool {
	if s.isTooLate(now, c) || s.blame.settling(now, c.job.Service) {
		return true
	}
	sizes := s.serviceSizes.Load()
	return c.suspicion >= costlySuspicion && sizes != nil && s.blame.exposed(now, c.job.Service, c.job.Queue, (*sizes)[c.job.Service])
}

// holdUpstreams holds back an upstream for each of the given suspects, those first that
// are expected to be idle first. Upstreams that are held already come before all others.
func (s *Scheduler) holdUpstreams(now time.Time, suspects []candidate) {
	taken := map[string]bool{}
	for _, c := range suspects {
		name, idleAt := "", time.Time{}
		for _, shard := range s.upstreamShards {
			shard.mu.Lock()
			for _, u := range shard.all {
				if taken[u.Name] || u.Draining || u.onProbation() || u.isolation != isolatedNot || u.Service != c.job.Service || !c.job.Size.FitsIn(u.Size) || !u.usable(now, s.leaseRule()) || slices.Contains(c.avoid, u.Name) ||
					c.job.Constraints != nil && !c.keepsConstraints(u) {
					continue
				}
				at := u.idleAt(now)
				if now.Before(u.heldUntil) {
					at = time.Unix(0, 0)
				}
				if name == "" || at.Before(idleAt) {
					name, idleAt = u.Name, at
				}
			}
			shard.mu.Unlock()
		}
		if name == "" {
			continue
		}
		taken[name] = true
		shard := s.upstreamShardFor(name)
		shard.mu.Lock()
		if u := shard.byName[name]; u != nil {
			u.heldUntil = now.Add(holdTime)
		}
		shard.mu.Unlock()
	}
}

// idleAt returns the time at which the runs of the upstream are expected to have ended.
func (u *upstream) idleAt(now time.Time) time.Time {
	at := now
	for _, r := range u.runs {
		at = later(at, r.orderedAt.Add(time.Duration(r.expected*u.model.slowdown()*float64(time.Second))))
	}
	return at
}

// isolation tells which other runs may share the upstream of a run.
type isolation uint8

const (
	isolatedNot   isolation = iota // all that are not isolated
	isolatedGroup                  // probable suspects
	isolatedAlone                  // none
)

// accepts reports whether a task with the given isolation may be placed on the upstream.
func (u *upstream) accepts(now time.Time, i isolation) bool {
	switch {
	case i == isolatedNot:
		return u.isolation == isolatedNot && !now.Before(u.heldUntil)
	case len(u.runs) == 0:
		return true
	default:
		return i == isolatedGroup && u.isolation == isolatedGroup
	}
}
