package node

import (
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wire"
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

	abandoned := scheduler.Notice{Origin: "vm0", Task: scheduler.Task{Job: "j"}, Kind: scheduler.JobNotRun, Term: first, Submission: j.Submission}
	n.apply(scheduler.Actions{Notices: []scheduler.Notice{abandoned}})
	require.NotNil(t, n.jobs.Find("j"), "the job has been offered again since")

	abandoned.Term = second
	n.apply(scheduler.Actions{Notices: []scheduler.Notice{abandoned}})
	answer, _ := n.jobs.Answer(j)
	require.Equal(t, intake.NotRun, answer.Outcome)
}

// TestFailureOfEarlierSubmissionEndsTheNextOne guards against an answer "not run" for a job
// that runs: the report that a dispatcher has abandoned the first submission of a job is
// delayed until its caller has sent it again to the same VM.
func TestFailureOfEarlierSubmissionEndsTheNextOne(t *testing.T) {
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
	now := time.Now()
	n.startTerm(now, n.view.Load(), "test")
	term := n.termFor("vm0")
	spec := Job{Queue: &testQueue, Deadline: now.Add(time.Minute)}
	first, _ := n.jobs.AddOrJoin(now, "j", spec, 1)
	n.jobs.Assign(first, "vm0", term)
	n.expire(first)
	second, request := n.jobs.AddOrJoin(now, "j", spec, 1)
	require.Equal(t, 1, request, "the first submission has ended")
	n.jobs.Assign(second, "vm0", term)

	task := scheduler.Task{Job: "j"}
	n.apply(scheduler.Actions{Notices: []scheduler.Notice{
		{Origin: "vm0", Task: task, Kind: scheduler.JobNotRun, Term: term, Submission: first.Submission},
		{Origin: "vm0", Task: task, Kind: scheduler.TaskFailed, Term: term, Submission: first.Submission},
	}})
	n.expire(first)
	require.NotNil(t, n.jobs.Find("j"), "the second submission goes on")
	n.apply(scheduler.Actions{Notices: []scheduler.Notice{
		{Origin: "vm0", Task: task, Kind: scheduler.TaskFailed, Term: term, Submission: second.Submission},
	}})
	answer, _ := n.jobs.Answer(second)
	require.Equal(t, intake.Failed, answer.Outcome)
}

// TestCompletionOfEarlierDispatcherReachesTheNextOne guards against a second start around a
// hand-over: a dispatcher may acknowledge a completion to its upstream only once the next
// dispatcher of the job knows of it.
func TestCompletionOfEarlierDispatcherReachesTheNextOne(t *testing.T) {
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
	now := time.Now()
	n.startTerm(now, n.view.Load(), "test")
	term := n.termFor("vm0")
	report := func(id string, task int) bool {
		r := &wire.CompletionsRequest{Term: 1, Completions: []wire.TaskCompletion{{Job: id, Index: task}}}
		return n.handleCompletions(t.Context(), &wire.Hello{VM: "old"}, r).(*wire.CompletionsResponse).Incomplete
	}
	add := func(id, vm string) *intake.Job[Job] {
		j, _ := n.jobs.AddOrJoin(now, id, Job{Queue: &testQueue, Deadline: now.Add(time.Minute)}, 2)
		n.jobs.Assign(j, "old", 1)
		n.jobs.Assign(j, vm, term)
		return j
	}

	j := add("offered", "vm0")
	_, failure := n.scheduler.Offer(now, scheduler.Job{
		ID: "offered", Origin: "vm0", Queue: "q", Sent: now, Deadline: now.Add(time.Minute), AtMostOnce: true, Resumed: true, Tasks: []int{0, 1},
	})
	require.Nil(t, failure)
	require.False(t, report("offered", 0))
	require.Equal(t, 1, n.scheduler.Waiting())
	require.False(t, report("offered", 1))
	require.Zero(t, n.scheduler.Waiting(), "also if the report answers the job")
	answer, _ := n.jobs.Answer(j)
	require.Equal(t, intake.Succeeded, answer.Outcome)

	add("on its way", "vm0")
	require.True(t, report("on its way", 0), "the offer has not arrived")
	add("elsewhere", "unreachable")
	require.True(t, report("elsewhere", 0))
}
