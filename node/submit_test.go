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
