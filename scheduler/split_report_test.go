package scheduler_test

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// A report of a split tells which upstreams are lacking and why.
func TestSplitTellsNotWhatIsLacking(t *testing.T) {
	b := newTestHarness(t, "u1", "u2", "u3")
	all := []string{"u1", "u2", "u3"}
	first := b.newGroup(100, all, []string{"u1", "u2"})
	task := scheduler.Task{Job: "a"}
	b.workAll(time.Second, task, first)
	report := first.scheduler.SplitReport()
	require.True(t, report.Confirmed)
	require.Equal(t, 2, report.Level())
	require.Equal(t, scheduler.Lacking{Unclaimed: 1}, report.Lacking, "u3 does not answer")

	second := b.newGroup(200, all, []string{"u2"})
	b.workAll(time.Second, task, second, first)
	require.Equal(t, scheduler.Lacking{Fenced: 1, Unclaimed: 1}, first.scheduler.SplitReport().Lacking, "the other group has claimed u2")

	first.reached = nil
	b.workAll(time.Second, task, first)
	require.Equal(t, scheduler.Lacking{Fenced: 1, Unclaimed: 1, Failing: 1}, first.scheduler.SplitReport().Lacking)

	first.scheduler.EndTerm()
	report = first.scheduler.SplitReport()
	require.Equal(t, scheduler.SplitReport{}, report)
	require.Zero(t, report.Level())
}

// A new term begins without a report of the one before.
func TestReportOfFormerTermIsThatOfTheNext(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	g := b.newGroup(100, []string{"u1"}, []string{"u1"})
	b.workAll(time.Second, scheduler.Task{Job: "a"}, g)
	before := g.scheduler.SplitReport()
	require.True(t, before.Confirmed)
	require.True(t, before.Lacking.Partial)
	g.scheduler.BeginTerm(b.now, 300, resumeTimeout)
	after := g.scheduler.SplitReport()
	require.Equal(t, scheduler.SplitReport{Token: 300}, after)
	require.Equal(t, scheduler.SplitEndNewTerm, scheduler.EndOfSplit(before, after))
}

// An upstream that drains keeps a split confirmed as any other does.
func TestSplitTellsNotThatDrainingUpstreamIsLacking(t *testing.T) {
	b := newTestHarness(t, "u1", "u2")
	all := []string{"u1", "u2"}
	g := b.newGroup(100, all, []string{"u1"})
	g.scheduler.SetUpstreams(b.now, b.list(all, "u2"), false)
	b.workAll(time.Second, scheduler.Task{Job: "a"}, g)
	report := g.scheduler.SplitReport()
	require.True(t, report.Confirmed)
	require.Equal(t, scheduler.Lacking{Unclaimed: 1}, report.Lacking)
}
