package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/locality"
)

// SetDecide replaces the rule for waits, to compare it with others.
func (s *Scheduler) SetDecide(decide func(locality.Question) locality.Decision) { s.decide = decide }

// HoldForSuspect holds an upstream for a suspect of a job.
func (s *Scheduler) HoldForSuspect(now time.Time, j *Job, index int) {
	s.holdUpstreams(now, []candidate{{job: j, index: index, isolation: isolatedAlone}})
}

// IsHeld reports whether an upstream is held for suspects.
func (s *Scheduler) IsHeld(now time.Time, name string) bool {
	shard := s.upstreamShardFor(name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return now.Before(shard.byName[name].heldUntil)
}
