package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A job must not start between the receipt of the last upstream's first report and the
// registration of the runs in it.
func TestJobStartsBeforeReportedRunIsRegistered(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New(now, Config{LeaseMax: time.Second, MaxWaiting: 100})
	size := Size{MilliCPU: 7000, MemoryMB: 64}
	list := []Upstream{
		{Name: "u1", Service: "rota", Size: Size{MilliCPU: 16000, MemoryMB: 1000}},
		{Name: "u2", Service: "rota", Size: Size{MilliCPU: 16000, MemoryMB: 1000}},
	}
	s.BeginTerm(now, 100, time.Second)
	s.SetUpstreams(now, list, false)
	_, failure := s.Offer(now, Job{
		ID: "a", Origin: "front", Queue: "alert", Service: "rota", Size: size, Estimate: time.Second,
		Sent: now, Deadline: now.Add(10 * time.Second), Stretch: 1.6, MaxAttempts: 2, Tasks: []int{0},
	})
	require.Nil(t, failure)
	now = now.Add(10 * time.Millisecond)
	first, _ := s.ImmediatePoll(now, "u1")
	second, _ := s.ImmediatePoll(now, "u2")
	s.HandlePollResult(now, first, PollAnswered, PollReport{Clock: 1000})

	var a Actions
	active := Running{Run: Run{Task{"a", 0}, 1}}
	news, ok := s.receive(now, second, PollAnswered, PollReport{Clock: 1000, Running: []Running{active}}, &a)
	require.True(t, ok)
	s.Tick(now)
	require.Empty(t, s.Place(now), "u2 has reported a run of the task")
	s.applyNews(now, news, &a)
	s.Tick(now)
	require.Empty(t, s.Place(now))
	require.Equal(t, 0, s.Waiting(), "the job has adopted the run")
}
