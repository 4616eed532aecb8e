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

// soakLoadJob is a job of the load and what its caller does.
type soakLoadJob struct {
	id, pathPrefix string
	tasks          int
	runTime        time.Duration // of a task
	milliCPU       int           // of a task
	deadline       time.Duration // stated in the request
	patience       time.Duration // after which the caller closes the connection
	firstVM        int
	maxAttempts    int // 0 for no limit
	abandons       bool
	// breaks holds, by attempt, when the caller loses its connection without the origin
	// noticing, or 0. Attempts beyond its length lose none.
	breaks []time.Duration
}

const (
	// soakLongInterval is the mean time between long jobs if there is one upstream.
	soakLongInterval = 5 * time.Second
	// soakBusyInterval is the same if upstreams are replaced, so that new ones are needed at once.
	soakBusyInterval = 3 * time.Second
	soakLongMilliCPU = 3_400
	soakLongDeadline = 1500 * time.Millisecond
	// soakPatientDeadline lets the tasks of a long job end if nothing disturbs them.
	soakPatientDeadline = 9 * time.Second
	// soakLongAttempts is how often a long job is sent.
	soakLongAttempts = 3
	// soakBreakShare is the number of attempts of long jobs of which one loses its
	// connection without the origin noticing.
	soakBreakShare = 3
)

// load submits jobs until ctx is done and waits for their answers.
func (s *soakTest) load(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(s.options.Seed), 2))
	var jobs sync.WaitGroup
	jobs.Go(func() { s.loadLong(ctx) })
	for n := 0; ctx.Err() == nil; n++ {
		j := soakLoadJob{
			id: fmt.Sprintf("%08x%08x", uint32(s.options.Seed), n), pathPrefix: soakPathPrefix, milliCPU: soakTaskMilliCPU,
			deadline: soakCallerDeadline, patience: soakCallerDeadline,
		}
		j.tasks = 1 + rng.IntN(6)
		j.runTime = time.Duration((0.2 + rng.ExpFloat64()) * float64(soakMeanTaskTime))
		j.firstVM = rng.IntN(len(s.vms))
		if j.abandons = rng.IntN(20) == 0; j.abandons {
			j.patience = j.runTime / 2
		}
		// A dispatcher takes its list for incomplete while an upstream is down.
		if rng.IntN(soakDeadlyShare) == 0 && !s.options.OnlyReplacements {
			s.deadly.add(j.id)
		}
		jobs.Go(func() { s.submit(j) })
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(soakMeanArrival)))
	}
	jobs.Wait()
}

// loadLong submits jobs whose tasks run for longer than their callers wait, so that they
// are sent again while their tasks run. Some callers close the connection before.
func (s *soakTest) loadLong(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(s.options.Seed), 3))
	var jobs sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		j := soakLoadJob{
			// The offset keeps the IDs apart from those of load.
			id: fmt.Sprintf("%08x%08x", uint32(s.options.Seed), 1<<29+n), pathPrefix: soakLongPrefix, milliCPU: soakLongMilliCPU,
			deadline: soakLongDeadline, patience: soakLongDeadline, maxAttempts: soakLongAttempts,
		}
		j.tasks = 1 + rng.IntN(4)
		j.runTime = time.Duration(2000+rng.IntN(2500)) * time.Millisecond
		j.firstVM = rng.IntN(len(s.vms))
		if rng.IntN(4) == 0 {
			j.deadline = soakPatientDeadline
			j.patience = j.deadline
		}
		if rng.IntN(6) == 0 {
			j.patience = time.Duration(200+rng.IntN(1000)) * time.Millisecond
		}
		j.breaks = drawBreaks(rng)
		jobs.Go(func() { s.submit(j) })
		wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(s.options.LongInterval)))
	}
	jobs.Wait()
}

// drawBreaks draws the breaks of the attempts of a long job.
func drawBreaks(rng *rand.Rand) []time.Duration {
	breaks := make([]time.Duration, soakLongAttempts)
	for i := range breaks {
		if rng.IntN(soakBreakShare) == 0 {
			breaks[i] = time.Duration(50+rng.IntN(1001)) * time.Millisecond
		}
	}
	return breaks
}

// connection returns the address of a VM to which an attempt is sent, and how long the
// caller holds the connection.
func (j soakLoadJob) connection(attempt int, v *soakVM) (address string, patience time.Duration) {
	if attempt < len(j.breaks) && j.breaks[attempt] > 0 {
		return v.balancerAddr, j.breaks[attempt]
	}
	return v.callerAddr, j.patience
}

// submit sends a job and reports whether it succeeded. Like the platform's callers, it
// retries at the next VM after an attempt without an answer, unless the job is abandoned.
// It returns once no origin serves the job for a caller that has left.
func (s *soakTest) submit(j soakLoadJob) bool {
	parameters, err := json.Marshal(api.StandinTask{RunUS: j.runTime.Microseconds()})
	if err != nil {
		panic(err) // unreachable: the struct always marshals
	}
	spec := api.TaskSpec{Submission: j.id, Tasks: j.tasks, Service: soakService, Parameters: parameters, MilliCPU: int64(j.milliCPU), MemoryMB: 64}
	job := platform.JobRequest{
		Host: soakHost, Path: j.pathPrefix + j.id, Spec: string(spec.AppendJSON(nil)), Tasks: j.tasks,
		Size: scheduler.Size{MilliCPU: j.milliCPU, MemoryMB: 64}, Estimate: soakMeanTaskTime, Deadline: j.deadline,
	}
	deadline := time.Now().Add(s.options.RetryTimeout)
	var served time.Time // last deadline of an attempt whose connection breaks unnoticed
	defer func() { time.Sleep(time.Until(served)) }()
	for attempt := 0; time.Now().Before(deadline) && (j.maxAttempts == 0 || attempt < j.maxAttempts); attempt++ {
		v := s.vms[(j.firstVM+attempt)%len(s.vms)]
		address, patience := j.connection(attempt, v)
		if address == v.balancerAddr {
			served = time.Now().Add(j.deadline)
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		s.checker.recordAttempt(j.id, j.tasks)
		answer := platform.SubmitJob(ctx, address, job)
		cancel()
		if j.abandons && answer.OutcomeUnknown {
			return false
		}
		if !s.checker.recordAnswer(j.id, answer) {
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
			results <- s.submit(soakLoadJob{
				id: id, pathPrefix: soakPathPrefix, milliCPU: soakTaskMilliCPU, tasks: 3, runTime: soakMeanTaskTime,
				deadline: soakCallerDeadline, patience: soakCallerDeadline, firstVM: n,
			})
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
