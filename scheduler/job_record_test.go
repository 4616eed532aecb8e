package scheduler

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// recordStep is an event in the life of job "a" with the tasks 0 and 1.
type recordStep func(*recordTest)

type recordTest struct {
	t     *testing.T
	now   time.Time
	shard *jobShard
	token int64
}

func (r *recordTest) job() Job {
	return Job{
		ID: "a", Origin: "front", OriginIncarnation: 1, Estimate: time.Second, Sent: r.now,
		Deadline: r.now.Add(2 * time.Second), Stretch: 10, MaxAttempts: 2, Tasks: []int{0, 1},
	}
}

func (r *recordTest) offer(j Job) ([]Notice, int, *verdict.Error) {
	return r.shard.offer(r.now, j, newQueueModel(time.Second), termState{token: r.token, settled: true})
}

func offered(change func(*Job)) recordStep {
	return func(r *recordTest) {
		j := r.job()
		if change != nil {
			change(&j)
		}
		_, _, failure := r.offer(j)
		require.Nil(r.t, failure)
	}
}

func started(r *recordTest) {
	for {
		c, ok := r.shard.pop()
		if !ok {
			return
		}
		present, _ := r.shard.noteStart(c, "u")
		require.True(r.t, present)
	}
}

func finished(index int, outcome runOutcome) recordStep {
	return func(r *recordTest) {
		r.shard.finish(r.now, finishedRun{run: Run{Task{"a", index}, 1}, upstream: "u", outcome: outcome})
	}
}

func withdrawn(r *recordTest) { r.shard.withdraw(func(*Job) bool { return true }) }

func termEnded(r *recordTest) {
	r.shard.reset(r.token)
	r.token++
}

func passed(d time.Duration) recordStep {
	return func(r *recordTest) {
		r.now = r.now.Add(d)
		r.shard.expire(r.now, splitNone, &Actions{})
	}
}

func atMostOnce(j *Job) { j.AtMostOnce = true }

// TestJobRecordTransitions checks what each kind of past of a job does to its next offer.
func TestJobRecordTransitions(t *testing.T) {
	for name, c := range map[string]struct {
		past    []recordStep
		next    func(*Job)
		refused bool
		notices []NoticeKind
		waiting int
		resumed bool // the tasks wait for answers of upstreams
	}{
		"no past":                               {waiting: 2},
		"resumed, no past":                      {next: func(j *Job) { j.Resumed = true }, waiting: 2, resumed: true},
		"in progress":                           {past: []recordStep{offered(nil)}},
		"in progress, one task done":            {past: []recordStep{offered(nil), started, finished(0, outcomeDone)}, notices: []NoticeKind{TaskDone}},
		"in progress, same dispatcher before":   {past: []recordStep{offered(nil)}, next: func(j *Job) { j.Resumed, j.PreviousToken = true, 7 }},
		"in progress, another dispatcher since": {past: []recordStep{offered(nil)}, next: func(j *Job) { j.Resumed, j.PreviousToken = true, 9 }, resumed: true},
		"in progress, another dispatcher since, next term": {past: []recordStep{offered(nil), offered(func(j *Job) { j.Resumed, j.PreviousToken = true, 9 }), termEnded},
			next: func(j *Job) { j.Resumed, j.PreviousToken = true, 7 }, waiting: 2, resumed: true},
		"done":                                            {past: []recordStep{offered(nil), started, finished(0, outcomeDone), finished(1, outcomeDone)}, notices: []NoticeKind{TaskDone, TaskDone}},
		"done and forgotten":                              {past: []recordStep{offered(nil), started, finished(0, outcomeDone), finished(1, outcomeDone), passed(4 * time.Second)}, waiting: 2},
		"withdrawn before a start":                        {past: []recordStep{offered(nil), withdrawn}, waiting: 2},
		"withdrawn while running":                         {past: []recordStep{offered(nil), started, withdrawn}},
		"withdrawn while running, one run over":           {past: []recordStep{offered(nil), started, withdrawn, finished(0, outcomeLost)}, waiting: 1},
		"withdrawn while running, all runs over":          {past: []recordStep{offered(nil), started, withdrawn, finished(0, outcomeLost), finished(1, outcomeLost)}, waiting: 2},
		"unstarted when the term ended":                   {past: []recordStep{offered(nil), termEnded}, next: func(j *Job) { j.Resumed, j.PreviousToken = true, 7 }, waiting: 2},
		"unstarted, another dispatcher since":             {past: []recordStep{offered(nil), termEnded}, next: func(j *Job) { j.Resumed, j.PreviousToken = true, 9 }, waiting: 2, resumed: true},
		"unstarted, another origin":                       {past: []recordStep{offered(nil), termEnded}, next: func(j *Job) { j.Resumed, j.PreviousToken, j.Origin = true, 7, "other" }, waiting: 2, resumed: true},
		"unstarted, another term since":                   {past: []recordStep{offered(nil), termEnded, termEnded}, next: func(j *Job) { j.Resumed, j.PreviousToken = true, 7 }, waiting: 2, resumed: true},
		"running when the term ended":                     {past: []recordStep{offered(nil), started, termEnded}, next: func(j *Job) { j.Resumed, j.PreviousToken = true, 7 }, waiting: 2, resumed: true},
		"at most once, withdrawn while running":           {past: []recordStep{offered(atMostOnce), started, withdrawn}, next: atMostOnce, refused: true},
		"at most once, deadline passed":                   {past: []recordStep{offered(atMostOnce), started, withdrawn, finished(0, outcomeLost), finished(1, outcomeLost), passed(3 * time.Second)}, next: atMostOnce, waiting: 2},
		"a task failed too often":                         {past: []recordStep{offered(func(j *Job) { j.MaxAttempts = 1 }), started, finished(0, outcomeFailed)}, next: func(j *Job) { j.MaxAttempts = 1 }, notices: []NoticeKind{TaskFailed}},
		"a task failed too often, reported by another VM": {next: func(j *Job) { j.Histories = map[int]history.Task{1: {Failures: 2}} }, notices: []NoticeKind{TaskFailed}},
	} {
		t.Run(name, func(t *testing.T) {
			r := &recordTest{t: t, now: time.Unix(1_700_000_000, 0), shard: newJobShard(), token: 7}
			for _, step := range c.past {
				step(r)
			}
			j := r.job()
			if c.next != nil {
				c.next(&j)
			}
			notices, waiting, failure := r.offer(j)
			require.Equal(t, c.refused, failure != nil)
			var kinds []NoticeKind
			for _, n := range notices {
				kinds = append(kinds, n.Kind)
			}
			require.Equal(t, c.notices, kinds)
			require.Equal(t, c.waiting, waiting)
			if job := r.shard.job("a"); job != nil {
				require.Equal(t, c.resumed, !job.heldSince.IsZero())
			}
		})
	}
}

// An offer or a tick that has begun in one term may reach a job shard in the next one, of
// whose upstreams it knows nothing.
func TestStateOfEndedTermLetsJobStart(t *testing.T) {
	r := &recordTest{t: t, now: time.Unix(1_700_000_000, 0), shard: newJobShard(), token: 7}
	former := termState{token: r.token, settled: true}
	termEnded(r)
	_, _, failure := r.shard.offer(r.now, r.job(), newQueueModel(time.Second), former)
	require.Nil(t, failure)
	r.shard.releaseHeld(releaseCriteria{term: former, oldestPoll: r.now.Add(time.Second)}, &Actions{})
	require.False(t, r.shard.job("a").heldSince.IsZero())
	r.shard.releaseHeld(releaseCriteria{term: termState{token: r.token, settled: true}}, &Actions{})
	require.True(t, r.shard.job("a").heldSince.IsZero())
}

func TestJobRecordIsForgotten(t *testing.T) {
	r := &recordTest{t: t, now: time.Unix(1_700_000_000, 0), shard: newJobShard(), token: 7}
	for _, step := range []recordStep{
		offered(nil), started, finished(0, outcomeFailed), withdrawn, finished(1, outcomeLost), passed(history.Retention + time.Second),
	} {
		step(r)
	}
	require.Empty(t, r.shard.records)
	require.Zero(t, r.shard.historyJobs)
}
