package replay

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
)

// soakChecker checks the dispatcher's invariants on what callers and upstreams observe
// during a soak test. It is safe for concurrent use.
type soakChecker struct {
	mu             sync.Mutex // guards the fields below
	jobs           map[string]*soakJob
	running        map[scheduler.Task][]soakRun
	completed      map[scheduler.Task]bool
	crashes        map[scheduler.Task]int // upstreams that crashed while they ran the task
	lostEnds       map[scheduler.Task]int // successful runs whose completion was lost in a crash
	failures       map[scheduler.Task]int // runs that failed or whose lease expired
	startsBeyond   map[scheduler.Task]int // starts of a deadly task after deadlyCrashes
	sides          int                    // the greatest number of groups of a split
	starts         int
	violations     []string // the first maxSoakViolations, described
	violationCount int
	answers        map[string]int // answers to attempts by outcome
	startedAt      time.Time
	runLog         io.Writer // gets a line for each start and end of a run
}

// soakRun is a run that has not ended.
type soakRun struct {
	scheduler.Run
	upstream string
	token    int64 // of the order that started it
	startMS  int64 // since the start of the test
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

func newSoakChecker(runLog io.Writer) *soakChecker {
	return &soakChecker{
		jobs: map[string]*soakJob{}, running: map[scheduler.Task][]soakRun{}, completed: map[scheduler.Task]bool{}, crashes: map[scheduler.Task]int{}, lostEnds: map[scheduler.Task]int{},
		failures: map[scheduler.Task]int{}, startsBeyond: map[scheduler.Task]int{}, answers: map[string]int{},
		startedAt: time.Now(), runLog: runLog,
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
// upstream's capacity, and that no other run of the task is at work on any upstream,
// whichever submission of the job it belongs to. A deadly task must not be started
// maxDeadlyStarts times after it has crashed deadlyCrashes upstreams.
func (c *soakChecker) recordStart(upstream string, capacity scheduler.Size, run scheduler.Run, token int64, used scheduler.Size, deadly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	if job := c.jobs[run.Job]; job == nil {
		c.violation("%v started on %s but no caller sent its job", run, upstream)
	} else {
		job.started = true
	}
	started := soakRun{Run: run, upstream: upstream, token: token, startMS: time.Since(c.startedAt).Milliseconds()}
	c.log("start %v on %s, token %d", run, upstream, token)
	for _, other := range c.running[run.Task] {
		c.violation("%v started on %s at %d ms by token %d while its task was running on %s, attempt %d since %d ms by token %d",
			run, upstream, started.startMS, token, other.upstream, other.Attempt, other.startMS, other.token)
	}
	c.removeRuns(upstream, run)
	c.running[run.Task] = append(c.running[run.Task], started)
	if deadly && c.crashes[run.Task] >= c.deadlyCrashes() {
		c.startsBeyond[run.Task]++
		if c.startsBeyond[run.Task] == maxDeadlyStarts {
			c.violation("%v was started %d times after %d upstreams had crashed under its task", run, maxDeadlyStarts, c.deadlyCrashes())
		}
	}
	if !used.FitsIn(capacity) {
		c.violation("upstream %s exceeds its capacity: used %+v of %+v with %v", upstream, used, capacity, run)
	}
}

// recordLateStart records a start on an upstream that has been draining for too long.
func (c *soakChecker) recordLateStart(upstream string, run scheduler.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("%v started on %s, which had been draining for more than %v", run, upstream, soakDrainTime)
}

// Limits of the starts of a task that crashes its upstreams.
const (
	maxDeadlyCrashes = 3
	maxDeadlyStarts  = 3
	crashesPerSide   = 2 // of the daemons
)

// deadlyCrashes returns the number of crashes after which a task must hardly be started again. Each side
// of a split counts the crashes by itself, and gives a task up after crashesPerSide; two sides stay
// below maxDeadlyCrashes and maxDeadlyStarts. The caller must hold mu.
func (c *soakChecker) deadlyCrashes() int {
	return maxDeadlyCrashes + crashesPerSide*max(c.sides-2, 0)
}

// recordSplit records that VMs are split into a number of groups.
func (c *soakChecker) recordSplit(groups int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sides = max(c.sides, groups)
}

// recordCrash records the crash of an upstream.
func (c *soakChecker) recordCrash(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, runs := range c.running {
		for _, r := range runs {
			if r.upstream == upstream {
				c.crashes[task]++
			}
		}
	}
}

// activeRuns returns the number of active runs by upstream.
func (c *soakChecker) activeRuns() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, runs := range c.running {
		for _, r := range runs {
			counts[r.upstream]++
		}
	}
	return counts
}

// removeRuns removes the runs of a task on an upstream up to an attempt: an upstream has
// at most one run of a task. The caller must hold mu.
func (c *soakChecker) removeRuns(upstream string, last scheduler.Run) {
	left := slices.DeleteFunc(c.running[last.Task], func(r soakRun) bool { return r.upstream == upstream && r.Attempt <= last.Attempt })
	if len(left) == 0 {
		delete(c.running, last.Task)
		return
	}
	c.running[last.Task] = left
}

// log writes a line with the elapsed time to the log of the runs. The caller must hold mu.
func (c *soakChecker) log(format string, args ...any) {
	// The log is for people; a test does not fail for lack of it.
	_, _ = fmt.Fprintf(c.runLog, "%7.3f "+format+"\n", append([]any{time.Since(c.startedAt).Seconds()}, args...)...)
}

// recordLostCompletions records the completions that a crash of their upstream has erased
// before a dispatcher acknowledged them: to the dispatcher, the crash ended the runs.
func (c *soakChecker) recordLostCompletions(lost []scheduler.Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, completion := range lost {
		if completion.Kind == scheduler.CompletionDone {
			c.lostEnds[completion.Task]++
		}
	}
}

// mayHaveFailed reports whether a task of a job has failed as often, or lost as many runs
// with their upstreams, as a task that is given up. The caller must hold mu.
func (c *soakChecker) mayHaveFailed(id string, tasks int) bool {
	for index := range tasks {
		task := scheduler.Task{Job: id, Index: index}
		lost := c.crashes[task] + c.lostEnds[task]
		if lost >= 2 || c.failures[task]+lost >= 3 {
			return true
		}
	}
	return false
}

// recordCompletion records the completion of a run.
func (c *soakChecker) recordCompletion(upstream string, run scheduler.Run, kind scheduler.CompletionKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log("end %v on %s: %v", run, upstream, kind)
	c.removeRuns(upstream, run)
	switch kind {
	case scheduler.CompletionDone:
		c.completed[run.Task] = true
	case scheduler.CompletionFailed, scheduler.CompletionLapsed:
		c.failures[run.Task]++
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
		if !c.mayHaveFailed(id, job.tasks) {
			c.violation("job %s was answered as failed but no task has failed or lost its upstreams often enough", id)
		}
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
	for task, runs := range c.running {
		if job := c.jobs[task.Job]; job != nil && job.answered {
			for _, r := range runs {
				c.violation("%v was still running on %s at the end although its job was answered", task, r.upstream)
			}
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
