package scheduler

import "time"

// Placement describes where a task runs.
type Placement struct {
	Run
	Upstream string
	// State is ordered, unknown, rejected, started or stopping.
	State string
	// Age is the time since the start order was issued.
	Age time.Duration
}

// Explain returns the number of waiting tasks of a job and the placements of its
// runs. It scans all upstreams.
func (s *Scheduler) Explain(now time.Time, job string) (waiting int, placed []Placement) {
	shard := s.jobShardFor(job)
	shard.mu.Lock()
	if j := shard.job(job); j != nil {
		waiting = len(j.waiting) + len(j.blocked)
	}
	shard.mu.Unlock()
	for _, shard := range s.upstreamShards {
		shard.mu.Lock()
		for _, u := range shard.all {
			for _, r := range u.runs {
				if r.Job == job {
					placed = append(placed, Placement{r.Run, u.Name, r.state.String(), now.Sub(r.orderedAt)})
				}
			}
		}
		shard.mu.Unlock()
	}
	return waiting, placed
}

// String returns the name shown to operators.
func (s runState) String() string {
	return [...]string{"ordered", "unknown", "rejected", "started", "stopping"}[s]
}
