package scheduler

import (
	"slices"
	"time"
)

// unclaimedCompletion is an end that no job has taken.
type unclaimedCompletion struct {
	finishedRun
	listedAt time.Time
}

// claimCompletions enters the ends of a resumed job's tasks that were found before.
func (q *queueShard) claimCompletions(j *job) (notices []Notice) {
	for receipt, past := range q.unclaimed {
		if past.run.Job != j.ID || q.jobs[j.ID] != j {
			continue
		}
		more, _, _ := q.finishWaiting(j, past.finishedRun)
		if len(more) > 0 {
			delete(q.unclaimed, receipt)
		}
		notices = append(notices, more...)
	}
	return notices
}

// finishUnknown enters an end that was listed of a run that this dispatcher neither
// started nor adopted. started is the number of tasks that wait no longer; stop
// asks to end the other runs of the job.
func (q *queueShard) finishUnknown(now time.Time, l finishedRun) (notices []Notice, started int, stop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch j := q.jobs[l.run.Job]; {
	case j == nil:
	case slices.Contains(j.waiting, l.run.Index):
		if j.Resumed {
			notices, started, stop = q.finishWaiting(j, l)
		}
	case j.attempts[l.run.Index] == l.run.Attempt:
		notices, started, stop = q.finishCurrent(j, l)
		started = -started
	}
	q.retain(now, l, notices)
	return notices, started, stop
}

// retain remembers an end that is to be acknowledged and that no notice brings to
// an origin. The caller holds mu.
func (q *queueShard) retain(now time.Time, l finishedRun, notices []Notice) {
	told := slices.ContainsFunc(notices, func(n Notice) bool { return n.Completion == l.completion })
	if l.completion.Upstream != "" && !told {
		q.unclaimed[l.completion] = unclaimedCompletion{l, now}
	}
}

// finishWaiting enters the end of a task that waits: an earlier dispatcher started it.
// The caller holds mu.
func (q *queueShard) finishWaiting(j *job, l finishedRun) (notices []Notice, started int, stop bool) {
	at := slices.Index(j.waiting, l.run.Index)
	switch {
	case at < 0:
		return nil, 0, false
	case l.outcome == outcomeDone:
		j.waiting = slices.Delete(j.waiting, at, at+1)
		j.starts++
		j.running++
		j.attempts[l.run.Index] = l.run.Attempt
		q.updateHeap(j)
		notices, _, _ := q.finishCurrent(j, l)
		return notices, 1, false
	case j.AtMostOnce:
		n := len(j.waiting)
		j.starts++
		notice := j.lostNotice(l)
		q.remove(j)
		return []Notice{notice}, n, true
	}
	return nil, 0, false
}

// runOutcome says how a run ended.
type runOutcome uint8

const (
	outcomeDone      runOutcome = iota
	outcomeFailed           // by its own fault or the upstream's
	outcomeLost             // stopped, lapsed or lost: the task starts anew
	outcomeUpstreamFault           // failed on an upstream that fails most tasks: no attempt is counted
	outcomeNoEffect          // the order had no effect
	outcomeUnhealthy        // the same, since the upstream takes no tasks
)

// finish enters the end of a run. requeued is the number of tasks that wait
// again; where the job has failed, stop asks to end its other runs.
func (q *queueShard) finish(now time.Time, l finishedRun) (notices []Notice, requeued int, stop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	run := l.run
	j := q.jobs[run.Job]
	if j == nil || j.attempts[run.Index] != run.Attempt || q.terminating[run.Task] == run.Attempt {
		requeued = q.unblock(run)
	} else {
		notices, requeued, stop = q.finishCurrent(j, l)
	}
	q.retain(now, l, notices)
	return notices, requeued, stop
}

// finishCurrent enters the end of a run of a job. The caller holds mu.
func (q *queueShard) finishCurrent(j *job, l finishedRun) (notices []Notice, requeued int, stop bool) {
	index := l.run.Index
	j.running--
	switch {
	case l.outcome == outcomeDone:
		j.attempts[index] = finishedAttempt
		j.unfinished--
		if j.AtMostOnce && j.unfinished > 0 {
			j.results[index] = l.result
		}
		if j.unfinished == 0 {
			q.remove(j)
		}
		return []Notice{j.doneNotice(index, l.result, l.completion)}, 0, false
	case l.outcome == outcomeFailed:
		j.failures[index]++
		if j.failures[index] >= j.MaxAttempts {
			n := len(j.waiting)
			q.remove(j)
			return []Notice{{Origin: j.Origin, Task: l.run.Task, Kind: TaskFailed, Completion: l.completion}}, -n, true
		}
	}
	if l.outcome == outcomeNoEffect || l.outcome == outcomeUnhealthy {
		j.starts--
	} else if j.AtMostOnce {
		n := len(j.waiting)
		notice := j.lostNotice(l)
		q.remove(j)
		return []Notice{notice}, -n, true
	}
	if l.outcome == outcomeFailed || l.outcome == outcomeUpstreamFault || l.outcome == outcomeUnhealthy {
		if j.avoid == nil {
			j.avoid = map[int][]string{}
		}
		j.avoid[index] = append(j.avoid[index], l.upstream)
	}
	j.waiting = append([]int{index}, j.waiting...)
	q.updateHeap(j)
	return nil, 1, false
}
