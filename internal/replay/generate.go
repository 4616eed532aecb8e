package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
)

// Workload holds the parameters of a generated trace.
type Workload struct {
	Seed int64
	// Service is the called service; empty means rota-desk.
	Service string
	// Seconds is the length of the trace.
	Seconds float64
	// TasksPerSecond is the mean rate of task arrivals.
	TasksPerSecond float64
	// MeanTaskUS is the mean run time of a task on the fastest upstream.
	MeanTaskUS float64
	// Callers is the number of calling teams.
	Callers int
	// Skew is the fraction of jobs assigned to the first caller, in addition to its
	// even share of the others.
	Skew float64
	// BurstFactor multiplies the rate between BurstFrom and BurstTo, which are
	// fractions of Seconds. Zero means no burst.
	BurstFactor, BurstFrom, BurstTo float64
	// CancelShare is the fraction of jobs that are cancelled.
	CancelShare float64
}

// Jobs are cancelled in waves: those that arrive in the same period are cancelled
// together, cancelDelayUS after its end.
const (
	cancelPeriodUS = 500_000
	cancelDelayUS  = 5_000
)

// declaredTimeFactors are the possible ratios of the declared run time of a job's tasks
// to MeanTaskUS.
var declaredTimeFactors = []float64{0.3, 0.5, 1, 1, 2, 5}

// Generate returns a random trace with Poisson arrivals and long-tailed job sizes and
// run times. The same workload always yields the same trace.
func Generate(w Workload) []TraceJob {
	w.Service = cmp.Or(w.Service, serviceRotaDesk)
	rng := rand.New(rand.NewPCG(uint64(w.Seed), 0))
	kinds := callKinds[w.Service]
	meanTasks := 0.0
	for _, kind := range kinds {
		meanTasks += kind.share * kind.meanTasks
	}
	rate := w.TasksPerSecond / meanTasks
	var jobs []TraceJob
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (rate * w.rateFactor(at))
		if at >= w.Seconds {
			return jobs
		}
		kind := kinds[0]
		if rng.Float64() > kind.share {
			kind = kinds[1]
		}
		jobs = append(jobs, w.job(rng, kind, at, len(jobs)))
	}
}

// rateFactor returns the arrival rate at a time relative to the rate outside the burst.
func (w *Workload) rateFactor(at float64) float64 {
	if w.BurstFactor > 0 && at >= w.BurstFrom*w.Seconds && at < w.BurstTo*w.Seconds {
		return w.BurstFactor
	}
	return 1
}

func (w *Workload) job(rng *rand.Rand, kind callKind, at float64, number int) TraceJob {
	caller := rng.IntN(w.Callers)
	if rng.Float64() < w.Skew {
		caller = 0
	}
	job := TraceJob{
		ArrivalUS: int64(at * 1e6),
		Caller:    fmt.Sprintf("team-%02d", caller),
		Key:       fmt.Sprintf("%d-%d", w.Seed, number),
		Service:   w.Service, Call: kind.call,
	}
	declared := int64(w.MeanTaskUS * declaredTimeFactors[rng.IntN(len(declaredTimeFactors))])
	// At most 130 tasks, the default of the daemon's flag -max-tasks.
	for range 1 + min(int(rng.ExpFloat64()*(kind.meanTasks-1)), 129) {
		cpu, memory := int64(250+rng.IntN(1000)), int64(128+rng.IntN(512))
		job.Tasks = append(job.Tasks, TraceTask{
			RunUS: drawRunTime(rng, w.MeanTaskUS), DeclaredUS: declared,
			MilliCPU: cpu, MemoryMB: memory, DeclaredMilliCPU: 2 * cpu, DeclaredMemoryMB: 2 * memory,
		})
	}
	if rng.Float64() < w.CancelShare {
		job.CancelAfterUS = cancelPeriodUS - job.ArrivalUS%cancelPeriodUS + cancelDelayUS
	}
	return job
}

// drawRunTime draws a log-normal run time, limited to between 1/20 of the mean and 20
// times the mean.
func drawRunTime(rng *rand.Rand, mean float64) int64 {
	const sigma = 0.8
	us := mean * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2)
	return int64(min(max(us, mean/20), mean*20))
}
