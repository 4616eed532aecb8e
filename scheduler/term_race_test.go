package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A tick of the former term must not let jobs of a new term start beside unknown runs.
func TestTickOfFormerTermSettlesNewTerm(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New(now, Config{LeaseMax: time.Second, MaxWaiting: 100})
	list := []Upstream{{Name: "u1", Service: "rota", Size: Size{MilliCPU: 16000, MemoryMB: 1000}}}
	s.BeginTerm(now, 100, time.Second)
	s.SetUpstreams(now, list, false)
	poll, _ := s.ImmediatePoll(now.Add(time.Millisecond), "u1")
	now = now.Add(10 * time.Millisecond)
	active := Running{Run: Run{Task{"a", 0}, 1}}
	s.HandlePollResult(now, poll, PollAnswered, PollReport{Clock: 1000, Running: []Running{active}})

	// The run's lease expires, and the tick waits for the job's shard to record it.
	now = now.Add(3 * time.Second)
	jobs := s.jobShardFor("a")
	jobs.mu.Lock()
	ticked, began := make(chan struct{}), make(chan struct{})
	go func() { s.Tick(now); close(ticked) }()
	require.Eventually(t, func() bool {
		active, _ := s.upstreamShardFor("u1").find(foundRun{active.Run, "u1"})
		return !active
	}, time.Second, time.Millisecond)
	go func() { s.BeginTerm(now, 200, time.Second); close(began) }()
	require.Eventually(t, func() bool { return !s.Dispatching() }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return s.upstreamClaims() == 0 }, time.Second, time.Millisecond)
	jobs.mu.Unlock()
	<-ticked
	<-began
	_, failure := s.Offer(now, Job{
		ID: "b", Origin: "front", Queue: "alert", Service: "rota", Size: Size{MilliCPU: 7000, MemoryMB: 64}, Estimate: time.Second,
		Sent: now, Deadline: now.Add(10 * time.Second), Stretch: 1.6, MaxAttempts: 2, Tasks: []int{0},
	})
	require.Nil(t, failure)
	shard := s.jobShardFor("b")
	shard.mu.Lock()
	defer shard.mu.Unlock()
	require.False(t, shard.records["b"].job.heldSince.IsZero(), "no upstream has answered in the new term")
}

// upstreamClaims returns the number of claimed upstreams.
func (s *Scheduler) upstreamClaims() (n int) {
	for _, shard := range s.upstreamShards {
		shard.mu.Lock()
		for _, u := range shard.byName {
			if u.claimed {
				n++
			}
		}
		shard.mu.Unlock()
	}
	return n
}
