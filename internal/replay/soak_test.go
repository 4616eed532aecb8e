package replay

import (
	"testing"

	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// TestSoakJudge checks that each broken promise is told.
func TestSoakJudge(t *testing.T) {
	run := scheduler.Run{Task: scheduler.Task{Job: "a"}, Attempt: 1}
	small, large := scheduler.Size{MilliCPU: 1}, scheduler.Size{MilliCPU: 2}
	for name, c := range map[string]struct {
		do     func(*soakJudge)
		broken string
	}{
		"nothing wrong": {func(j *soakJudge) {
			j.attempt("a", 1)
			j.started("u0", large, run, small)
			j.ended("u0", run, scheduler.CompletionDone)
			j.answer("a", platform.JobResponse{Status: 200, Succeeded: true})
		}, ""},
		"nobody asked": {func(j *soakJudge) { j.started("u0", large, run, small) }, "no caller has sent"},
		"twice": {func(j *soakJudge) {
			j.attempt("a", 1)
			j.started("u0", large, run, small)
			j.started("u1", large, run, small)
		}, "while it runs on u0"},
		"overfull": {func(j *soakJudge) {
			j.attempt("a", 1)
			j.started("u0", small, run, large)
		}, "holds"},
		"partial": {func(j *soakJudge) {
			j.attempt("a", 2)
			j.started("u0", large, run, small)
			j.ended("u0", run, scheduler.CompletionDone)
			j.answer("a", platform.JobResponse{Status: 200, Succeeded: true})
		}, "task 1 has not ended well"},
		"a false refusal": {func(j *soakJudge) {
			j.attempt("a", 1)
			j.started("u0", large, run, small)
			j.ended("u0", run, scheduler.CompletionStopped)
			j.answer("a", platform.JobResponse{Status: 503, NotRun: true})
		}, "every attempt"},
		"left running": {func(j *soakJudge) {
			j.attempt("a", 1)
			j.started("u0", large, run, small)
			j.answer("a", platform.JobResponse{Status: 200})
		}, "still runs on u0"},
	} {
		t.Run(name, func(t *testing.T) {
			j := newSoakJudge()
			c.do(j)
			j.finish()
			_, _, _, broken := j.report()
			if c.broken == "" {
				require.Empty(t, broken)
				return
			}
			require.Len(t, broken, 1)
			require.Contains(t, broken[0], c.broken)
		})
	}
}
