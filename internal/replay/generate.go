package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
)

// Workload describes the trace that Generate makes.
type Workload struct {
	Seed int64
	// Service is the deployment whose calls are made; empty takes rota-desk.
	Service string
	// Seconds is the length of the trace.
	Seconds float64
	// TasksPerSecond is the mean rate of task arrivals.
	TasksPerSecond float64
	// MeanTaskUS is the mean run time of a task on the fastest upstream.
	MeanTaskUS float64
	// Callers is the number of calling teams.
	Callers int
	// Skew is the share of the jobs that come from the first caller.
	Skew float64
	// BurstFactor multiplies the rate between BurstFrom and BurstTo, which are
	// shares of Seconds. Zero makes no burst.
	BurstFactor, BurstFrom, BurstTo float64
	// CancelShare is the share of the jobs that are cancelled, in waves.
	CancelShare float64
}

// Waves of cancellations: jobs that arrive in the first part of each period
// are cancelled together at its end.
const (
	cancelPeriodUS = 500_000
	cancelDelayUS  = 5_000
)

// declaredTimeFactors are how far declared run times are off.
var declaredTimeFactors = []float64{0.3, 0.5, 1, 1, 2, 5}

// Generate returns a trace: jobs arrive at random times, their sizes and the
// run times of their tasks are long-tailed. The same shape makes the same
// trace.
func Generate(s Workload) []TraceJob {
	s.Service = cmp.Or(s.Service, serviceRotaDesk)
	rng := rand.New(rand.NewPCG(uint64(s.Seed), 0))
	kinds := callKinds[s.Service]
	meanTasks := 0.0
	for _, kind := range kinds {
		meanTasks += kind.share * kind.meanTasks
	}
	rate := s.TasksPerSecond / meanTasks
	var jobs []TraceJob
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (rate * s.rateFactor(at))
		if at >= s.Seconds {
			return jobs
		}
		kind := kinds[0]
		if rng.Float64() > kind.share {
			kind = kinds[1]
		}
		jobs = append(jobs, s.job(rng, kind, at, len(jobs)))
	}
}

// rateFactor is the rate at a time, relative to the mean rate outside the burst.
func (s *Workload) rateFactor(at float64) float64 {
	if s.BurstFactor > 0 && at >= s.BurstFrom*s.Seconds && at < s.BurstTo*s.Seconds {
		return s.BurstFactor
	}
	return 1
}

func (s *Workload) job(rng *rand.Rand, kind callKind, at float64, number int) TraceJob {
	caller := rng.IntN(s.Callers)
	if rng.Float64() < s.Skew {
		caller = 0
	}
	job := TraceJob{
		ArrivalUS: int64(at * 1e6),
		Caller:    fmt.Sprintf("team-%02d", caller),
		Key:       fmt.Sprintf("%d-%d", s.Seed, number),
		Service:   s.Service, Call: kind.call,
	}
	declared := int64(s.MeanTaskUS * declaredTimeFactors[rng.IntN(len(declaredTimeFactors))])
	for range 1 + min(int(rng.ExpFloat64()*(kind.meanTasks-1)), 129) {
		cpu, memory := int64(250+rng.IntN(1000)), int64(128+rng.IntN(512))
		job.Tasks = append(job.Tasks, TraceTask{
			RunUS: drawRunTime(rng, s.MeanTaskUS), DeclaredUS: declared,
			MilliCPU: cpu, MemoryMB: memory, DeclaredMilliCPU: 2 * cpu, DeclaredMemoryMB: 2 * memory,
		})
	}
	if rng.Float64() < s.CancelShare {
		job.CancelAfterUS = cancelPeriodUS - job.ArrivalUS%cancelPeriodUS + cancelDelayUS
	}
	return job
}

// drawRunTime draws a log-normal run time, cut off at twenty times the mean.
func drawRunTime(rng *rand.Rand, mean float64) int64 {
	const sigma = 0.8
	us := mean * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2)
	return int64(min(max(us, mean/20), mean*20))
}
