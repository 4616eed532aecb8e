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

// load hands jobs in until the context ends, and waits for their answers.
func (s *soak) load(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(s.options.Seed), 2))
	var jobs sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", uint32(s.options.Seed), n)
		tasks := 1 + rng.IntN(6)
		work := time.Duration((0.2 + rng.ExpFloat64()) * float64(soakMeanTask))
		first := rng.IntN(len(s.vms))
		leaves := rng.IntN(20) == 0
		jobs.Go(func() { s.submit(id, tasks, work, first, leaves) })
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(soakGap)))
	}
	jobs.Wait()
}

// submit hands a job in, again at another VM after an attempt without an answer, as
// the platform's callers do. A caller that leaves gives up early.
func (s *soak) submit(id string, tasks int, work time.Duration, first int, leaves bool) bool {
	parameters, err := json.Marshal(api.StandinTask{RunUS: work.Microseconds()})
	if err != nil {
		panic(err) // the value is made here
	}
	spec := api.TaskSpec{Submission: id, Tasks: tasks, Service: soakService, Parameters: parameters, MilliCPU: soakTask, MemoryMB: 64}
	job := platform.JobRequest{
		Host: soakHost, Path: soakQueue + id, Spec: string(spec.AppendJSON(nil)), Tasks: tasks,
		Size: scheduler.Size{MilliCPU: soakTask, MemoryMB: 64}, Estimate: soakMeanTask, Deadline: soakDeadline,
	}
	end := time.Now().Add(s.options.RetryTimeout)
	for attempt := 0; time.Now().Before(end); attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), soakDeadline)
		if leaves {
			ctx, cancel = context.WithTimeout(context.Background(), work/2)
		}
		s.judge.attempt(id, tasks)
		answer := platform.SubmitJob(ctx, s.vms[(first+attempt)%len(s.vms)].callers, job)
		cancel()
		if leaves && answer.OutcomeUnknown {
			return false
		}
		if !s.judge.answer(id, answer) {
			return answer.Succeeded
		}
		time.Sleep(soakResend)
	}
	return false
}

// lastJobs checks that the healed system serves new jobs, at every VM.
func (s *soak) lastJobs(ctx context.Context) {
	served := make(chan bool, soakLastJobs)
	for n := range soakLastJobs {
		go func() {
			id := fmt.Sprintf("%08x%08x", uint32(s.options.Seed), 1<<30+n)
			served <- s.submit(id, 3, soakMeanTask, n, false)
		}()
	}
	missing := 0
	for range soakLastJobs {
		if !<-served {
			missing++
		}
	}
	if missing > 0 && ctx.Err() == nil {
		s.judge.mu.Lock()
		defer s.judge.mu.Unlock()
		s.judge.breach("%d of %d jobs were not served %v after the last fault", missing, soakLastJobs, soakSettle)
	}
}
