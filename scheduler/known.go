package scheduler

// Known reports whether a job is in progress, has completed recently, has an active run here or is
// rejected because it may be started at most once. settled is false if runs of earlier dispatchers
// may be unknown.
func (s *Scheduler) Known(job string) (known, settled bool) {
	settled = s.termState(s.token.Load()).settled
	if s.jobShardFor(job).knows(job) {
		return true, settled
	}
	return s.anyUpstream(func(u *upstream) bool {
		for task := range u.runs {
			if task.Job == job {
				return true
			}
		}
		for task := range u.orphans {
			if task.Job == job {
				return true
			}
		}
		return false
	}), settled
}

func (s *jobShard) knows(job string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[job]
	return r != nil && (r.job != nil || len(r.others) > 0 || r.completed != nil || !r.rejectedUntil.IsZero())
}
