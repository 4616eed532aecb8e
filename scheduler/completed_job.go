package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// completedJob remembers a job whose tasks have all succeeded. The report to its origin
// can get lost, and an offer can arrive after a later one of the same job was served. In
// both cases no task may start again.
type completedJob struct {
	finishedAt, deadline time.Time
	atMostOnce           bool
	// results holds the outputs by task index; nil once they are dropped.
	results map[int][]byte
}

// answer returns the notices for a repeated offer of the job, or an error if its
// results are no longer known.
func (c *completedJob) answer(offered Job) ([]Notice, *verdict.Error) {
	if c.results == nil {
		return nil, verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost, "the job has completed and its results are no longer kept")
	}
	repeated := job{Job: offered}
	var notices []Notice
	for _, index := range offered.Tasks {
		notices = append(notices, repeated.doneNotice(index, c.results[index], CompletionRef{}))
	}
	return notices, nil
}

// expireCompleted forgets completed jobs after CompletionRetention. At-most-once jobs
// lose their results then, and are remembered until their callers' deadlines. The
// caller holds mu.
func (s *jobShard) expireCompleted(now time.Time) {
	for id, c := range s.completed {
		switch {
		case now.Sub(c.finishedAt) <= CompletionRetention:
		case c.atMostOnce && now.Before(c.deadline):
			c.results = nil
		default:
			delete(s.completed, id)
		}
	}
}
