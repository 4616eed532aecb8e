package scheduler

import "github.com/mustardstep/mustardstep/locality"

// SetDecide replaces the rule for waits, to compare it with others.
func (s *Scheduler) SetDecide(decide func(locality.Question) locality.Decision) { s.decide = decide }
