package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A job is withdrawn while it adopts a run: the withdrawal does not find the run on the
// upstream yet, and no job has it afterwards.
func TestRunAdoptedDuringWithdrawalIsRenewed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New(now, Config{LeaseMax: time.Second, MaxWaiting: 100})
	s.BeginTerm(now, 100, time.Second)
	s.SetUpstreams(now, []Upstream{{Name: "u1", Service: "rota", Size: Size{MilliCPU: 16000, MemoryMB: 1000}}}, false)
	found := foundRun{Run{Task{"a", 0}, 1}, "u1"}
	poll, _ := s.ImmediatePoll(now, "u1")
	s.HandlePollResult(now, poll, PollAnswered, PollReport{Clock: 1000, Running: []Running{{Run: found.Run}}})
	jobs, upstreams := s.jobShardFor("a"), s.upstreamShardFor("u1")
	_, waiting, failure := jobs.offer(now, Job{
		ID: "a", Origin: "front", Submission: 1, Queue: "alert", Service: "rota", Size: Size{MilliCPU: 7000, MemoryMB: 64}, Estimate: time.Second,
		Sent: now, Deadline: now.Add(10 * time.Second), Stretch: 1.6, MaxAttempts: 2, Tasks: []int{0}, Resumed: true,
	}, s.models.get("alert", time.Second), s.termState(100))
	require.Nil(t, failure)
	s.waiting.Add(int64(waiting))

	upstreams.mu.Lock() // the adoption waits here, when it has changed the job
	var a Actions
	adopted := make(chan struct{})
	go func() { s.adopt(now, found, &a); close(adopted) }()
	require.Eventually(t, func() bool {
		jobs.mu.Lock()
		defer jobs.mu.Unlock()
		return jobs.records["a"].job.running == 1
	}, time.Second, time.Millisecond)
	_, removed := jobs.withdrawSubmission("front", "a", 1) // Withdraw has passed u1
	require.True(t, removed)
	upstreams.mu.Unlock()
	<-adopted

	require.Len(t, a.Stops, 1, "no job has the run")
	poll, _ = s.ImmediatePoll(now.Add(10*time.Millisecond), "u1")
	require.Zero(t, poll.Until, "its lease is not renewed")
}
