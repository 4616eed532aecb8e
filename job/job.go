// Package job follows the tasks of one submission until every one has a
// result or the job has failed. It imports no network package and reads no
// clock.
package job

import (
	"sync"

	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// Job collects the results of the tasks of one submission. It is safe for
// concurrent use.
type Job struct {
	mu        sync.Mutex // guards the fields below
	results   [][]byte
	remaining int
	offered   int  // tasks sent to an upstream that has not answered yet
	started   bool // a task is known to have started
	uncertain bool // a task may have started
	ended     bool
}

// New returns a job of n tasks.
func New(n int) *Job { return &Job{results: make([][]byte, n), remaining: n} }

// Offer notes that a task is about to be sent to an upstream. It returns false
// where the job has ended, and then nothing may be sent. Every successful
// Offer is followed by one call of Refuse, Complete or Fail.
func (j *Job) Offer() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return false
	}
	j.offered++
	return true
}

// Refuse notes that an offered task did not start.
func (j *Job) Refuse() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.offered--
}

// Complete enters the result of an offered task. ended is true for the call
// that ends the job; only then is the outcome valid.
func (j *Job) Complete(task int, result []byte) (outcome submission.Outcome, ended bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.offered--
	j.started = true
	if j.ended {
		return submission.Outcome{}, false
	}
	j.results[task] = result
	j.remaining--
	if j.remaining > 0 {
		return submission.Outcome{}, false
	}
	j.ended = true
	return submission.Outcome{Results: j.results}, true
}

// Fail ends the job by the failure of an offered task.
func (j *Job) Fail(failure *verdict.Error) (outcome submission.Outcome, ended bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.offered--
	switch failure.Verdict {
	case verdict.Ran:
		j.started = true
	case verdict.NotRun:
	default:
		j.uncertain = true
	}
	return j.end(failure)
}

// Abort ends the job for a reason that lies outside its tasks, such as its
// deadline or a cancellation.
func (j *Job) Abort(failure *verdict.Error) (outcome submission.Outcome, ended bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.end(failure)
}

// end ends the job. The verdict of the outcome covers the whole submission: it
// is NotRun only where no task has started and none is on its way. The caller
// holds mu.
func (j *Job) end(failure *verdict.Error) (submission.Outcome, bool) {
	if j.ended {
		return submission.Outcome{}, false
	}
	j.ended = true
	whole := *failure
	whole.Verdict = j.verdict()
	return submission.Outcome{Failure: &whole}, true
}

func (j *Job) verdict() verdict.Verdict {
	switch {
	case j.started:
		return verdict.Ran
	case j.uncertain || j.offered > 0:
		return verdict.MayHaveRun
	default:
		return verdict.NotRun
	}
}
