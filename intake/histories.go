package intake

import (
	"maps"
	"time"

	"github.com/mustardstep/mustardstep/history"
)

// endedJob is what remains of a job that was answered without success.
type endedJob struct {
	histories map[int]history.Task
	arrived   time.Time
}

// maxEnded limits the jobs in shard.ended.
const maxEnded = 1024

// rememberEnded keeps the histories of a job that was answered without success. The
// caller holds mu.
func (s *shard[S]) rememberEnded(j *Job[S]) {
	if len(s.ended) >= maxEnded {
		s.expireEnded(j.Arrived)
	}
	if len(s.ended) < maxEnded {
		s.ended[j.ID] = endedJob{j.histories, j.Arrived}
	}
}

func (s *shard[S]) expireEnded(now time.Time) {
	maps.DeleteFunc(s.ended, func(_ string, e endedJob) bool { return now.Sub(e.arrived) > history.Retention })
}

// MergeHistory adds what a dispatcher has reported about a task of an unanswered job.
func (t *Table[S]) MergeHistory(id string, index int, h history.Task) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return // answered; the dispatcher that has reported it knows the history
	}
	if j.histories == nil {
		j.histories = map[int]history.Task{}
	}
	j.histories[index] = j.histories[index].Merge(h)
}

// EndedHistories returns the histories of jobs that were answered without success, by
// job and task. Their callers may send them again.
func (t *Table[S]) EndedHistories(now time.Time) map[string]map[int]history.Task {
	all := map[string]map[int]history.Task{}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.expireEnded(now)
		for id, ended := range s.ended {
			all[id] = maps.Clone(ended.histories) // a caller may send the job again meanwhile
		}
		s.mu.Unlock()
	}
	return all
}
