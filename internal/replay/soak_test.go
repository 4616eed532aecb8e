package replay

import (
	"io"
	"testing"

	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// TestSoakChecker checks that each kind of invariant violation is reported.
func TestSoakChecker(t *testing.T) {
	run := scheduler.Run{Task: scheduler.Task{Job: "a"}, Attempt: 1}
	small, large := scheduler.Size{MilliCPU: 1}, scheduler.Size{MilliCPU: 2}
	for name, c := range map[string]struct {
		do   func(*soakChecker)
		want string
	}{
		"no violation": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordCompletion("u0", run, scheduler.CompletionDone)
			checker.recordAnswer("a", platform.JobResponse{Status: 200, Succeeded: true})
		}, ""},
		"start without a submission": {func(checker *soakChecker) { checker.recordStart("u0", large, run, 1, small, false) }, "no caller sent its job"},
		"concurrent runs of a task": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordStart("u1", large, run, 1, small, false)
		}, "while its task was running on u0"},
		"run that outlives another one of its task": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordCompletion("u1", run, scheduler.CompletionLapsed)
			checker.recordStart("u2", large, run, 2, small, false)
		}, "while its task was running on u0"},
		"upstream over capacity": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordStart("u0", small, run, 1, large, false)
		}, "exceeds its capacity"},
		"success with an unfinished task": {func(checker *soakChecker) {
			checker.recordAttempt("a", 2)
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordCompletion("u0", run, scheduler.CompletionDone)
			checker.recordAnswer("a", platform.JobResponse{Status: 200, Succeeded: true})
		}, "task 1 has not succeeded"},
		"not run after a start": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordCompletion("u0", run, scheduler.CompletionStopped)
			checker.recordAnswer("a", platform.JobResponse{Status: 503, NotRun: true})
		}, "every attempt"},
		"too many starts after crashes": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			for range maxDeadlyCrashes + maxDeadlyStarts {
				checker.recordStart("u0", large, run, 1, small, true)
				checker.recordCrash("u0")
				checker.recordCompletion("u0", run, scheduler.CompletionLost)
			}
		}, "was started 3 times after 3 upstreams"},
		"starts within the limit": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			for range maxDeadlyCrashes + maxDeadlyStarts - 1 {
				checker.recordStart("u0", large, run, 1, small, true)
				checker.recordCrash("u0")
				checker.recordCompletion("u0", run, scheduler.CompletionLost)
			}
			checker.recordAnswer("a", platform.JobResponse{Status: 200})
		}, ""},
		"starts on three sides": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordSplit(3)
			for range 3 * crashesPerSide {
				checker.recordStart("u0", large, run, 1, small, true)
				checker.recordCrash("u0")
				checker.recordCompletion("u0", run, scheduler.CompletionLost)
			}
			checker.recordAnswer("a", platform.JobResponse{Status: 200})
		}, ""},
		"too many starts on three sides": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordSplit(3)
			for range maxDeadlyCrashes + crashesPerSide + maxDeadlyStarts {
				checker.recordStart("u0", large, run, 1, small, true)
				checker.recordCrash("u0")
				checker.recordCompletion("u0", run, scheduler.CompletionLost)
			}
		}, "was started 3 times after 5 upstreams"},
		"failed without a cause": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordCrash("u0")
			checker.recordCompletion("u0", run, scheduler.CompletionLost)
			checker.recordAnswer("a", platform.JobResponse{Status: 200})
		}, "answered as failed but no task"},
		"failed after a lost completion": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordCrash("u0")
			checker.recordCompletion("u0", run, scheduler.CompletionLost)
			checker.recordStart("u1", large, run, 1, small, false)
			checker.recordCompletion("u1", run, scheduler.CompletionDone)
			checker.recordCrash("u1")
			checker.recordLostCompletions([]scheduler.Completion{{Run: run, Kind: scheduler.CompletionDone}})
			checker.recordAnswer("a", platform.JobResponse{Status: 200})
		}, ""},
		"failed after an acknowledged completion": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordCrash("u0")
			checker.recordCompletion("u0", run, scheduler.CompletionLost)
			checker.recordStart("u1", large, run, 1, small, false)
			checker.recordCompletion("u1", run, scheduler.CompletionDone)
			checker.recordCrash("u1")
			checker.recordAnswer("a", platform.JobResponse{Status: 200})
		}, "answered as failed but no task"},
		"run left after the answer": {func(checker *soakChecker) {
			checker.recordAttempt("a", 1)
			for range 3 {
				checker.recordStart("u0", large, run, 1, small, false)
				checker.recordCompletion("u0", run, scheduler.CompletionFailed)
			}
			checker.recordStart("u0", large, run, 1, small, false)
			checker.recordAnswer("a", platform.JobResponse{Status: 200})
		}, "still running on u0"},
	} {
		t.Run(name, func(t *testing.T) {
			checker := newSoakChecker(io.Discard)
			c.do(checker)
			checker.checkFinalState()
			_, _, _, violations := checker.report()
			if c.want == "" {
				require.Empty(t, violations)
				return
			}
			require.Len(t, violations, 1)
			require.Contains(t, violations[0], c.want)
		})
	}
}

// TestSoakCheckerKeepsEveryRun checks that the end of a second run of a task does not hide
// the first one.
func TestSoakCheckerKeepsEveryRun(t *testing.T) {
	run, size := scheduler.Run{Task: scheduler.Task{Job: "a"}, Attempt: 1}, scheduler.Size{MilliCPU: 1}
	checker := newSoakChecker(io.Discard)
	checker.recordAttempt("a", 1)
	checker.recordStart("u0", size, run, 1, size, false)
	checker.recordStart("u1", size, run, 2, size, false)
	checker.recordCompletion("u1", run, scheduler.CompletionStopped)
	checker.recordStart("u2", size, run, 3, size, false)
	_, _, _, violations := checker.report()
	require.Len(t, violations, 2)
	require.Contains(t, violations[1], "started on u2")
	require.Contains(t, violations[1], "while its task was running on u0")
}
