package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJobRemovedDuringPlacement guards against a start order for a job that its origin
// withdraws, or whose term ends, between the choice of the task and the reservation of
// capacity. The count of waiting tasks must stay exact, too, because a full queue rejects
// jobs.
func TestJobRemovedDuringPlacement(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, bound := range []bool{true, false} {
		for name, remove := range map[string]func(*Scheduler){
			"withdrawn":    func(s *Scheduler) { s.Withdraw(now, "front", "a", 0) },
			"a new term":   func(s *Scheduler) { s.BeginTerm(now, 2, time.Second) },
			"still wanted": func(*Scheduler) {},
		} {
			s := New(now, Config{LeaseMax: time.Second, MaxWaiting: 10})
			s.BeginTerm(now, 1, time.Second)
			u := Upstream{Name: "u", Service: "rota", Size: Size{MilliCPU: 1000}}
			s.SetUpstreams(now, []Upstream{u}, false)
			poll, due, _, _ := s.NextPoll(now, "u")
			require.True(t, due)
			s.HandlePollResult(now, poll, PollAnswered, PollReport{Clock: 1, ProcessStart: 1})
			s.Tick(now) // every upstream has answered
			_, failure := s.Offer(now, Job{ID: "a", Origin: "front", Queue: "q", Service: "rota", Size: Size{MilliCPU: 600}, Sent: now, Deadline: now.Add(time.Second), Tasks: []int{0}})
			require.Nil(t, failure)
			shard := s.jobShardFor("a")
			c, ok := shard.pop()
			require.True(t, ok)
			var start Start
			if bound {
				start, ok = s.bind(now, c)
				require.True(t, ok)
			}
			remove(s)
			sent := s.settle(now, shard, c, start, bound)
			wanted := name == "still wanted"
			require.Equal(t, wanted && bound, sent, name)
			if wanted && !bound {
				require.Equal(t, 1, s.Waiting(), name)
			} else {
				require.Zero(t, s.Waiting(), name)
			}
			if !wanted {
				require.Empty(t, s.upstreamShardFor("u").byName["u"].runs, "no capacity stays reserved")
			}
		}
	}
}
