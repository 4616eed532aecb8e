package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

// TestOutdatedNoticeHasNoEffect guards against an answer "not run" for a job that runs: a
// term ends between the decision to abandon a job and the report of it, and the job has
// been offered again in the next term.
func TestOutdatedNoticeHasNoEffect(t *testing.T) {
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
	now := time.Now()
	j, _ := n.jobs.AddOrJoin(now, "j", Job{Queue: &testQueue, Deadline: now.Add(time.Minute)}, 1)
	n.startTerm(now, n.view.Load(), "test")
	first := n.termFor("vm0")
	n.jobs.Assign(j, "vm0", first)
	n.startTerm(now, n.view.Load(), "test")
	second := n.termFor("vm0")
	n.jobs.Assign(j, "vm0", second)

	abandoned := scheduler.Notice{Origin: "vm0", Task: scheduler.Task{Job: "j"}, Kind: scheduler.JobNotRun, Term: first}
	n.apply(scheduler.Actions{Notices: []scheduler.Notice{abandoned}})
	require.NotNil(t, n.jobs.Find("j"), "the job has been offered again since")

	abandoned.Term = second
	n.apply(scheduler.Actions{Notices: []scheduler.Notice{abandoned}})
	answer, _ := n.jobs.Answer(j)
	require.Equal(t, intake.NotRun, answer.Outcome)
}
