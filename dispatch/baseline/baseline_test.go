package baseline

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

var call = &catalog.Call{Service: "s", Name: "c"}

func tasks(key string, n int) []*dispatch.Task {
	var all []*dispatch.Task
	for i := range n {
		all = append(all, &dispatch.Task{Submission: submission.ID{Caller: "a", Key: key}, Index: i, Call: call})
	}
	return all
}

func TestPoliciesRunEveryTaskOnce(t *testing.T) {
	now := time.Unix(0, 0)
	for _, policy := range []Policy{RoundRobin, LeastOutstanding, TwoChoices} {
		d := New(policy, 100)
		_, failure := d.Add(now, tasks("none", 1))
		require.Equal(t, verdict.CodeNoUpstream, failure.Code, policy)
		d.SetUpstreams(now, "s", []dispatch.Upstream{
			{Name: "u1", Service: "s", Slots: 2}, {Name: "u2", Service: "s", Slots: 1}, {Name: "u3", Service: "s", Slots: 4, Leaving: true},
		})
		running, failure := d.Add(now, tasks("k", 9))
		require.Nil(t, failure)
		ran := map[int]int{}
		for len(running) > 0 {
			a := running[0]
			require.NotEqual(t, "u3", a.Upstream.Name)
			ran[a.Task.Index]++
			next, dropped := d.Finish(now, a, dispatch.Result{}, nil)
			require.False(t, dropped)
			running = append(running[1:], next...)
		}
		require.Len(t, ran, 9, policy)
		for _, n := range ran {
			require.Equal(t, 1, n)
		}
	}
}

func TestBoundsCancelAndRefusal(t *testing.T) {
	now := time.Unix(0, 0)
	d := New(RoundRobin, 4)
	d.SetUpstreams(now, "s", []dispatch.Upstream{{Name: "u1", Service: "s", Slots: 1}})
	running, failure := d.Add(now, tasks("k", 4))
	require.Nil(t, failure)
	require.Len(t, running, 1)
	_, failure = d.Add(now, tasks("l", 2))
	require.Equal(t, verdict.CodeOverloaded, failure.Code)
	require.Equal(t, 3, d.Cancel("s", running[0].Task.Submission))
	_, dropped := d.Finish(now, running[0], dispatch.Result{Ending: dispatch.Refused}, nil)
	require.True(t, dropped, "the call has no retries")
}
