package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
)

// load submits jobs until ctx is done and waits for their answers.
func (s *soakTest) load(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(s.options.Seed), 2))
	var jobs sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", uint32(s.options.Seed), n)
		tasks := 1 + rng.IntN(6)
		runTime := time.Duration((0.2 + rng.ExpFloat64()) * float64(soakMeanTaskTime))
		firstVM := rng.IntN(len(s.vms))
		abandons := rng.IntN(20) == 0
		if rng.IntN(soakDeadlyShare) == 0 {
			s.deadly.add(id)
		}
		jobs.Go(func() { s.submit(id, tasks, runTime, firstVM, abandons) })
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(soakMeanArrival)))
	}
	jobs.Wait()
}

// submit sends a job and reports whether it succeeded. Like the platform's callers, it
// retries at the next VM after an attempt without an answer. If abandons is set, the
// caller times out after half of the run time and does not retry.
func (s *soakTest) submit(id string, tasks int, runTime time.Duration, firstVM int, abandons bool) bool {
	parameters, err := json.Marshal(api.StandinTask{RunUS: runTime.Microseconds()})
	if err != nil {
		panic(err) // unreachable: the struct always marshals
	}
	spec := api.TaskSpec{Submission: id, Tasks: tasks, Service: soakService, Parameters: parameters, MilliCPU: soakTaskMilliCPU, MemoryMB: 64}
	job := platform.JobRequest{
		Host: soakHost, Path: soakPathPrefix + id, Spec: string(spec.AppendJSON(nil)), Tasks: tasks,
		Size: scheduler.Size{MilliCPU: soakTaskMilliCPU, MemoryMB: 64}, Estimate: soakMeanTaskTime, Deadline: soakCallerDeadline,
	}
	deadline := time.Now().Add(s.options.RetryTimeout)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), soakCallerDeadline)
		if abandons {
			ctx, cancel = context.WithTimeout(context.Background(), runTime/2)
		}
		s.checker.recordAttempt(id, tasks)
		answer := platform.SubmitJob(ctx, s.vms[(firstVM+attempt)%len(s.vms)].callerAddr, job)
		cancel()
		if abandons && answer.OutcomeUnknown {
			return false
		}
		if !s.checker.recordAnswer(id, answer) {
			return answer.Succeeded
		}
		time.Sleep(soakRetryDelay)
	}
	return false
}

// submitFinalJobs checks that the healed cluster serves new jobs at every VM.
func (s *soakTest) submitFinalJobs(ctx context.Context) {
	results := make(chan bool, soakFinalJobs)
	for n := range soakFinalJobs {
		go func() {
			// The offset keeps the IDs apart from those of load.
			id := fmt.Sprintf("%08x%08x", uint32(s.options.Seed), 1<<30+n)
			results <- s.submit(id, 3, soakMeanTaskTime, n, false)
		}()
	}
	failed := 0
	for range soakFinalJobs {
		if !<-results {
			failed++
		}
	}
	if failed > 0 && ctx.Err() == nil {
		s.checker.mu.Lock()
		defer s.checker.mu.Unlock()
		s.checker.violation("%d of %d jobs submitted %v after the last fault did not succeed", failed, soakFinalJobs, soakRecoveryTime)
	}
}
