package replay

import (
	"fmt"
	"sync"

	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
)

// soakChecker checks the dispatcher's invariants on what callers and upstreams observe
// during a soak test. It is safe for concurrent use.
type soakChecker struct {
	mu             sync.Mutex // guards the fields below
	jobs           map[string]*soakJob
	running        map[scheduler.Task]string // upstream of each task that is running
	completed      map[scheduler.Task]bool
	starts         int
	violations     []string // the first maxSoakViolations, described
	violationCount int
	answers        map[string]int // answers to attempts by outcome
}

// maxSoakViolations is the number of violations that a report describes. The first ones
// suffice to find the cause; later ones mostly follow from it and are only counted.
const maxSoakViolations = 20

// soakJob is the observed state of a submitted job.
type soakJob struct {
	tasks    int
	started  bool
	attempts int
	notRun   int // attempts answered with "not run"
	answered bool
}

func newSoakChecker() *soakChecker {
	return &soakChecker{
		jobs: map[string]*soakJob{}, running: map[scheduler.Task]string{}, completed: map[scheduler.Task]bool{}, answers: map[string]int{},
	}
}

// violation records the violation of an invariant. The caller must hold mu.
func (c *soakChecker) violation(format string, args ...any) {
	c.violationCount++
	if len(c.violations) < maxSoakViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// recordAttempt records that a job is about to be sent.
func (c *soakChecker) recordAttempt(id string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil {
		job = &soakJob{tasks: tasks}
		c.jobs[id] = job
	}
	job.attempts++
}

// recordStart records the start of a run and checks that the used resources fit the
// upstream's capacity.
func (c *soakChecker) recordStart(upstream string, capacity scheduler.Size, run scheduler.Run, used scheduler.Size) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	if job := c.jobs[run.Job]; job == nil {
		c.violation("%v started on %s but no caller sent its job", run, upstream)
	} else {
		job.started = true
	}
	if other := c.running[run.Task]; other != "" {
		c.violation("%v started on %s while its task was running on %s", run, upstream, other)
	}
	c.running[run.Task] = upstream
	if !used.FitsIn(capacity) {
		c.violation("upstream %s exceeds its capacity: used %+v of %+v with %v", upstream, used, capacity, run)
	}
}

// recordCompletion records the completion of a run.
func (c *soakChecker) recordCompletion(upstream string, run scheduler.Run, kind scheduler.CompletionKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[run.Task] == upstream {
		delete(c.running, run.Task)
	}
	if kind == scheduler.CompletionDone {
		c.completed[run.Task] = true
	}
}

// recordAnswer records the answer to an attempt and reports whether the caller must
// retry.
func (c *soakChecker) recordAnswer(id string, a platform.JobResponse) (retry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	switch {
	case a.OutcomeUnknown:
		c.answers["no answer"]++
		return true
	case a.NotRun:
		job.notRun++
		c.answers["not run"]++
	case a.Succeeded:
		c.answers["succeeded"]++
		for index := range job.tasks {
			if !c.completed[scheduler.Task{Job: id, Index: index}] {
				c.violation("job %s was answered as succeeded but task %d has not succeeded", id, index)
			}
		}
	case a.Status >= 500 || a.Status < 200 || a.Status == 400:
		c.violation("job %s was answered with unexpected status %d", id, a.Status)
	default:
		c.answers["failed"]++
	}
	job.answered = true
	return false
}

// checkFinalState checks the invariants that can only be decided once the test is over.
func (c *soakChecker) checkFinalState() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, job := range c.jobs {
		if job.started && job.notRun == job.attempts {
			c.violation("every attempt of job %s was answered with \"not run\" but one of its tasks started", id)
		}
	}
	for task, upstream := range c.running {
		if job := c.jobs[task.Job]; job != nil && job.answered {
			c.violation("%v was still running on %s at the end although its job was answered", task, upstream)
		}
	}
}

// report returns the counts and the violations. A last entry counts the violations that
// are not described.
func (c *soakChecker) report() (jobs, starts int, answers map[string]int, violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations = c.violations
	if more := c.violationCount - len(violations); more > 0 {
		violations = append(violations[:len(violations):len(violations)], fmt.Sprintf("%d more", more))
	}
	return len(c.jobs), c.starts, c.answers, violations
}
