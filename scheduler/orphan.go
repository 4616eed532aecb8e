package scheduler

import "time"

// orphan is a run that an upstream reports and that no job has adopted. Its lease is not
// renewed: however many dispatchers find it one after the other, it ends with the lease that
// the last dispatcher with its job has requested.
type orphan struct {
	Run
	foundAt time.Time
	// since is the time at which an orphan was first found, also in an earlier term.
	since time.Time
	// stopping means that it is to be stopped, stopAnswered that the stop was answered.
	stopping, stopAnswered bool
}

// FoundRun is an active run that an upstream reports and that this dispatcher has not
// started in its term.
type FoundRun struct {
	Run
	Upstream string
}

// FoundEnd tells what has become of a FoundRun.
type FoundEnd struct {
	FoundRun
	// How is adoptedState, the kind of the completion, or the reason why the run counts as
	// over.
	How string
	// Held is the time since this dispatcher first found the run, also in an earlier term.
	Held time.Duration
	// Origin and Submission identify the submission that has adopted the run, and Age is the
	// time since its caller sent it.
	Origin     string
	Submission uint64
	Age        time.Duration
}

// adoptedState is the end of a found run that a job has taken over.
const adoptedState = "adopted"

// removeOrphan forgets an orphan because it is over or adopted.
func (u *upstream) removeOrphan(now time.Time, o orphan, how string, a *Actions) {
	delete(u.orphans, o.Task)
	a.FoundEnds = append(a.FoundEnds, FoundEnd{FoundRun: FoundRun{o.Run, u.Name}, How: how, Held: now.Sub(o.since)})
}

// loseOrphan removes an orphan that is over without a completion.
func (u *upstream) loseOrphan(now time.Time, o orphan, reason string, a *Actions) {
	u.removeOrphan(now, o, reason, a)
	u.noteOver(now, o.Run, reason)
	a.orphansOver = append(a.orphansOver, foundRun{o.Run, u.Name})
}

// loseOrphans removes all orphans because they are over.
func (u *upstream) loseOrphans(now time.Time, reason string, a *Actions) {
	for _, o := range u.orphans {
		u.loseOrphan(now, o, reason, a)
	}
}

// adopt assigns an orphan to its job if the task waits.
func (s *Scheduler) adopt(now time.Time, found foundRun, a *Actions) {
	shard, jobs := s.upstreamShardFor(found.upstream), s.jobShardFor(found.Job)
	j, expected, model, dequeued, ok := jobs.adopt(found)
	if !ok {
		if active, _ := shard.find(found); !active { // its end may have been processed before
			s.waiting.Add(int64(jobs.forgetOrphan(found)))
		}
		return
	}
	s.waiting.Add(int64(-dequeued))
	r := &run{
		Run: found.Run, size: j.Size, state: runStarted, orderedAt: now, answeredAt: now, progressAt: now,
		expected: expected * j.Constraints.factor(), factor: j.Constraints.factor(), limited: j.maxPerUpstream() > 0, estimate: j.Estimate, model: model, queue: j.Queue, adopted: true, atMostOnce: j.AtMostOnce, confirmed: true,
		returnAt: j.returnAt,
	}
	if !shard.adopt(now, found.upstream, r, a) {
		s.waiting.Add(int64(jobs.undoAdopt(found)))
		return
	}
	if j.Constraints != nil {
		jobs.noteRack(found.Job, shard.rack(found.upstream))
	}
	end := &a.FoundEnds[len(a.FoundEnds)-1]
	end.Origin, end.Submission, end.Age = j.Origin, j.Submission, now.Sub(j.Sent)
	if !jobs.hasRun(found) {
		// The job was removed meanwhile, and stopRuns may have passed the upstream before.
		shard.stopUnneeded(found, s.token.Load(), "the job ended while it adopted the run", a)
	}
}

// rack returns the rack of an upstream, empty if unknown.
func (s *upstreamShard) rack(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.byName[name]; u != nil {
		return u.Rack
	}
	return ""
}

// stopUnneeded stops a run that no job has.
func (s *upstreamShard) stopUnneeded(f foundRun, token int64, reason string, a *Actions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.byName[f.upstream]
	if u == nil {
		return
	}
	if r := u.runs[f.Task]; r != nil && r.Run == f.Run && !r.unneeded && r.state == runStarted {
		r.unneeded, r.state, r.stopAnswered = true, runStopping, false
		a.Stops = append(a.Stops, u.stop(token, r.Run, reason))
	}
}

// find reports whether a run is active on its upstream, and whether it is an orphan.
func (s *upstreamShard) find(f foundRun) (active, orphan bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.byName[f.upstream]
	if u == nil {
		return false, false
	}
	orphan = u.orphans[f.Task].Run == f.Run
	return orphan || u.runs[f.Task] != nil && u.runs[f.Task].Run == f.Run, orphan
}

// adopt turns an orphan into a run if it is still present.
func (s *upstreamShard) adopt(now time.Time, name string, r *run, a *Actions) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.byName[name]
	if u == nil {
		return false
	}
	o, present := u.orphans[r.Task]
	if !present || o.Run != r.Run {
		return false
	}
	u.removeOrphan(now, o, adoptedState, a)
	if len(u.orphans) == 0 && u.polling {
		a.Polls = append(a.Polls, u.Name) // the pending poll renews no lease
	}
	r.processStart = u.processStart
	u.runs[r.Task] = r
	u.used = u.used.plus(r.size)
	s.recomputeBounds()
	return true
}

// noteOrphanStop records the result of an order to stop an orphan. It reports whether the
// order must be sent again.
func (u *upstream) noteOrphanStop(r Run, result OrderResult) (retry bool) {
	o, present := u.orphans[r.Task]
	if !present || o.Run != r {
		return false
	}
	if result.unanswered() || result == OrderUnhealthy {
		return true
	}
	o.stopAnswered = result != OrderFenced
	u.orphans[r.Task] = o
	return false
}
