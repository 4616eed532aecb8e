package scheduler

import (
	"slices"
	"time"
)

// pastEnd is an end that no job has taken.
type pastEnd struct {
	lostRun
	seen time.Time
}

// claimPast enters the ends of a resumed job's tasks that were found before.
func (q *queueShard) claimPast(j *job) (notices []Notice) {
	for receipt, past := range q.past {
		if past.run.Job != j.ID || q.jobs[j.ID] != j {
			continue
		}
		more, _, _ := q.settle(j, past.lostRun)
		if len(more) > 0 {
			delete(q.past, receipt)
		}
		notices = append(notices, more...)
	}
	return notices
}

// found enters an end that was listed of a run that this dispatcher neither
// started nor adopted. started is the number of tasks that wait no longer; stop
// asks to end the other runs of the job.
func (q *queueShard) found(now time.Time, l lostRun) (notices []Notice, started int, stop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch j := q.jobs[l.run.Job]; {
	case j == nil:
	case slices.Contains(j.waiting, l.run.Index):
		if j.Resumed {
			notices, started, stop = q.settle(j, l)
		}
	case j.attempts[l.run.Index] == l.run.Attempt:
		notices, started, stop = q.finished(j, l)
		started = -started
	}
	q.keep(now, l, notices)
	return notices, started, stop
}

// keep remembers an end that is to be acknowledged and that no notice brings to
// an origin. The caller holds mu.
func (q *queueShard) keep(now time.Time, l lostRun, notices []Notice) {
	told := slices.ContainsFunc(notices, func(n Notice) bool { return n.Completion == l.receipt })
	if l.receipt.Upstream != "" && !told {
		q.past[l.receipt] = pastEnd{l, now}
	}
}

// settle enters the end of a task that waits: an earlier dispatcher started it.
// The caller holds mu.
func (q *queueShard) settle(j *job, l lostRun) (notices []Notice, started int, stop bool) {
	at := slices.Index(j.waiting, l.run.Index)
	switch {
	case at < 0:
		return nil, 0, false
	case l.end == endDone:
		j.waiting = slices.Delete(j.waiting, at, at+1)
		j.starts++
		j.running++
		j.attempts[l.run.Index] = l.run.Attempt
		q.relist(j)
		notices, _, _ := q.finished(j, l)
		return notices, 1, false
	case j.AtMostOnce:
		n := len(j.waiting)
		j.starts++
		notice := j.lost(l)
		q.drop(j)
		return []Notice{notice}, n, true
	}
	return nil, 0, false
}

// runEnd says how a run ended.
type runEnd uint8

const (
	endDone      runEnd = iota
	endFailed           // by its own fault or the upstream's
	endLost             // stopped, lapsed or lost: the task starts anew
	endBlamed           // failed on an upstream that fails most tasks: no attempt is counted
	endRefused          // the order had no effect
	endUnhealthy        // the same, since the upstream takes no tasks
)

// finish enters the end of a run. requeued is the number of tasks that wait
// again; where the job has failed, stop asks to end its other runs.
func (q *queueShard) finish(now time.Time, l lostRun) (notices []Notice, requeued int, stop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	run := l.run
	j := q.jobs[run.Job]
	if j == nil || j.attempts[run.Index] != run.Attempt || q.fading[run.Task] == run.Attempt {
		requeued = q.over(run)
	} else {
		notices, requeued, stop = q.finished(j, l)
	}
	q.keep(now, l, notices)
	return notices, requeued, stop
}

// finished enters the end of a run of a job. The caller holds mu.
func (q *queueShard) finished(j *job, l lostRun) (notices []Notice, requeued int, stop bool) {
	index := l.run.Index
	j.running--
	switch {
	case l.end == endDone:
		j.attempts[index] = endedAttempt
		j.left--
		if j.AtMostOnce && j.left > 0 {
			j.results[index] = l.result
		}
		if j.left == 0 {
			q.drop(j)
		}
		return []Notice{j.done(index, l.result, l.receipt)}, 0, false
	case l.end == endFailed:
		j.failures[index]++
		if j.failures[index] >= j.MaxAttempts {
			n := len(j.waiting)
			q.drop(j)
			return []Notice{{Origin: j.Origin, Task: l.run.Task, Kind: TaskFailed, Completion: l.receipt}}, -n, true
		}
	}
	if l.end == endRefused || l.end == endUnhealthy {
		j.starts--
	} else if j.AtMostOnce {
		n := len(j.waiting)
		notice := j.lost(l)
		q.drop(j)
		return []Notice{notice}, -n, true
	}
	if l.end == endFailed || l.end == endBlamed || l.end == endUnhealthy {
		if j.avoid == nil {
			j.avoid = map[int][]string{}
		}
		j.avoid[index] = append(j.avoid[index], l.upstream)
	}
	j.waiting = append([]int{index}, j.waiting...)
	q.relist(j)
	return nil, 1, false
}
