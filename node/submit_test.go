package node

import (
	"context"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/stretchr/testify/require"
)

// The deadline of a request may have passed before it was read. Nothing must start for it, and
// what an earlier request of the caller has started is not denied.
func TestRequestIsOfferedAfterItsDeadline(t *testing.T) {
	d := listenDispatcher(t, "vm1", 400, func(context.Context, int) {})
	n := newOrigin(t)
	d.hear(n, 7)
	now := time.Now()
	late := Job{Queue: &testQueue, Arrived: now.Add(-time.Second), Deadline: now}
	answer := n.Submit(t.Context(), "a", late, 1)
	require.Equal(t, intake.NotRun, answer.Outcome, answer.Reason)
	j := addJob(n, "a")
	n.jobs.Assign(j, "vm1", 7)
	answer = n.Submit(t.Context(), "a", late, 1)
	require.Equal(t, intake.Abandoned, answer.Outcome, answer.Reason)
	require.False(t, isDone(j), "the caller of the earlier request waits")
}

// submitAsync submits a job of a caller that waits for long and returns once n has it. leave
// ends the request.
func submitAsync(t *testing.T, n *Node, id string) (leave context.CancelFunc, answered <-chan intake.Answer) {
	ctx, leave := context.WithCancel(t.Context())
	answers := make(chan intake.Answer, 1)
	before := n.metrics.Jobs.Get()
	go func() {
		answers <- n.Submit(ctx, id, Job{Queue: &testQueue, Deadline: time.Now().Add(time.Hour)}, 1)
	}()
	require.Eventually(t, func() bool { return n.metrics.Jobs.Get() > before && n.jobs.Find(id) != nil }, waitTimeout, time.Millisecond)
	return leave, answers
}

// A caller sends a job again when it has lost its connection, and may reach the same VM. The
// earlier request is then stale, and its end says nothing about the job.
func TestStaleRequestOfJobIsAnsweredAsSucceeded(t *testing.T) {
	n := newOrigin(t)
	leaveFirst, first := submitAsync(t, n, "a")
	leaveSecond, second := submitAsync(t, n, "a")
	leaveFirst()
	require.Equal(t, intake.Abandoned, (<-first).Outcome)
	require.NotNil(t, n.jobs.Find("a"), "the caller waits on its second connection")
	leaveSecond()
	require.Equal(t, intake.NotRun, (<-second).Outcome)
	require.Nil(t, n.jobs.Find("a"))
}

// The connection of the latest request tells whether the caller is there: it may send the job to
// another VM when that one breaks, whether or not its VM has noticed the end of the earlier one.
func TestStaleRequestKeepsJobOfCallerThatLeft(t *testing.T) {
	d := listenDispatcher(t, "vm1", 400, func(context.Context, int) {})
	n := newOrigin(t)
	d.hear(n, 7)
	_, first := submitAsync(t, n, "a")
	leaveSecond, second := submitAsync(t, n, "a")
	leaveSecond()
	require.Equal(t, "a", d.receive(t, "when the latest request ends").Job)
	require.Equal(t, intake.Abandoned, (<-second).Outcome)
	require.Equal(t, intake.Abandoned, (<-first).Outcome)
}
