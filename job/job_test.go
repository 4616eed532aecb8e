package job

import (
	"testing"

	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// TestVerdictCoversTheWholeJob ends a job of two tasks after some of them were
// offered, refused or completed.
func TestVerdictCoversTheWholeJob(t *testing.T) {
	failed := func(v verdict.Verdict) *verdict.Error { return verdict.Errorf(v, verdict.CodeUpstreamFailed, "x") }
	for name, c := range map[string]struct {
		before func(*Job)
		abort  bool // in place of the failure of an offered task
		with   verdict.Verdict
		want   verdict.Verdict
	}{
		"nothing was offered":               {func(*Job) {}, true, verdict.NotRun, verdict.NotRun},
		"every offer was refused":           {func(j *Job) { j.Offer(); j.Refuse() }, true, verdict.NotRun, verdict.NotRun},
		"an offer is on its way":            {func(j *Job) { j.Offer() }, true, verdict.NotRun, verdict.MayHaveRun},
		"a task has completed":              {func(j *Job) { j.Offer(); j.Complete(0, []byte("1")) }, true, verdict.NotRun, verdict.Ran},
		"a task failed after its start":     {func(j *Job) { j.Offer() }, false, verdict.Ran, verdict.Ran},
		"a task got no answer":              {func(j *Job) { j.Offer() }, false, verdict.MayHaveRun, verdict.MayHaveRun},
		"an unknown verdict proves nothing": {func(j *Job) { j.Offer() }, false, verdict.Unknown, verdict.MayHaveRun},
		"one failed, one is on its way":     {func(j *Job) { j.Offer(); j.Offer() }, false, verdict.NotRun, verdict.MayHaveRun},
	} {
		j := New(2)
		c.before(j)
		end := j.Fail
		if c.abort {
			end = j.Abort
		}
		outcome, ended := end(failed(c.with))
		require.True(t, ended, name)
		require.Equal(t, c.want, outcome.Failure.Verdict, name)
		require.Nil(t, outcome.Results, "never partial: "+name)
		require.False(t, j.Offer(), "nothing is sent once the job has ended: "+name)
		_, again := j.Abort(failed(verdict.NotRun))
		require.False(t, again, name)
	}
}

func TestCompleteEndsWithEveryResultInOrder(t *testing.T) {
	j := New(2)
	j.Offer()
	j.Offer()
	_, ended := j.Complete(1, []byte("b"))
	require.False(t, ended)
	outcome, ended := j.Complete(0, []byte("a"))
	require.True(t, ended)
	require.Nil(t, outcome.Failure)
	require.Equal(t, [][]byte{[]byte("a"), []byte("b")}, outcome.Results)
}
