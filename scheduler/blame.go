package scheduler

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

// blame attributes crashes of upstreams to tasks. A crash ends all runs of an upstream,
// of which at most one caused it. blame learns from suspects that crash another upstream
// while they run isolated: which queues have such tasks, and how long after its start such
// a task crashes its upstream.
type blame struct {
	mu       sync.Mutex // guards the fields below
	services map[string]*serviceBlame
}

// serviceBlame is what is known about the crashes of the upstreams of one service.
type serviceBlame struct {
	// confirmed counts, by queue, the crashes of isolated suspects.
	confirmed   map[string]float64
	confirmedAt time.Time
	// ages counts confirmed crashes by the age of the run, on a logarithmic scale.
	ages    [ageBuckets]float64
	crashes []time.Time // of the last exposureTime, in order
}

const (
	// blameRetention is the time after which confirmed crashes are forgotten if no
	// other one follows.
	blameRetention = 30 * time.Second
	// commonCauseTime is the time within which crashes of several upstreams have a
	// common cause, such as the loss of a rack, unless a queue is known for crashes. It
	// covers the time until such crashes are detected.
	commonCauseTime = 50 * time.Millisecond
	// costlySuspicion is the probability from which on a suspect waits while many
	// upstreams are down.
	costlySuspicion = 0.4
	// probableSuspicion is the probability from which on a suspect is a probable one.
	probableSuspicion = 0.9
	// priorCrashes is the number of confirmed crashes that is assumed for a queue
	// without any, and for ages at which none was seen.
	priorCrashes = 0.05
	// neighbourWeight is the weight of a confirmed crash in the ages next to its own.
	neighbourWeight = 0.25
	ageBuckets      = 20
	// exposureTime is the time for which a crashed upstream counts as missing.
	exposureTime = 4 * time.Second
	// maxExposure is the share of a service's upstreams that may have crashed recently
	// before suspects of at least costlySuspicion wait.
	maxExposure = 0.1
)

// ageBucket returns the position of the age of a run in serviceBlame.ages; each covers
// a factor of two.
func ageBucket(age time.Duration) int {
	return min(bits.Len64(uint64(max(age.Milliseconds(), 0))), ageBuckets-1)
}

// service returns the state of a service; old confirmations are dropped. The caller
// holds mu.
func (b *blame) service(now time.Time, name string) *serviceBlame {
	if b.services == nil {
		b.services = map[string]*serviceBlame{}
	}
	s := b.services[name]
	if s == nil {
		s = &serviceBlame{confirmed: map[string]float64{}}
		b.services[name] = s
	}
	if now.Sub(s.confirmedAt) > blameRetention {
		clear(s.confirmed)
		s.ages = [ageBuckets]float64{}
	}
	for len(s.crashes) > 0 && now.Sub(s.crashes[0]) > exposureTime {
		s.crashes = s.crashes[1:]
	}
	return s
}

// crashedRun is a run that was lost in a crash.
type crashedRun struct {
	queue string
	age   time.Duration
	// isolated means that the task was a suspect and shared its upstream only with
	// probable suspects.
	isolated bool
	// confirmed means that the upstream had confirmed the run.
	confirmed bool
}

// recent reports whether an upstream has crashed so recently that a further crash has the
// same cause.
func (s *serviceBlame) recent(now time.Time) bool {
	return len(s.confirmed) == 0 && len(s.crashes) > 0 && now.Sub(s.crashes[len(s.crashes)-1]) < commonCauseTime
}

// attribute records the crash of an upstream and returns, for each run lost in it, the
// probability that its task caused the crash, or nil if no task did.
func (b *blame) attribute(now time.Time, service string, runs []crashedRun) []float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, service)
	common := s.recent(now) && !startedAfter(runs, now.Sub(s.crashes[len(s.crashes)-1]))
	s.crashes = append(s.crashes, now)
	suspicions := make([]float64, len(runs))
	if common {
		return nil
	}
	if runs[0].isolated {
		for i, r := range runs {
			s.confirm(now, r)
			suspicions[i] = 1
		}
		return suspicions
	}
	total := 0.0
	for i, r := range runs {
		suspicions[i] = (s.confirmed[r.queue] + priorCrashes) * (s.ages[ageBucket(r.age)] + priorCrashes)
		total += suspicions[i]
	}
	for i := range suspicions {
		suspicions[i] /= total
	}
	return suspicions
}

// startedAfter reports whether an upstream confirmed a run that is not older than the given
// age. It was then alive when the crash of that age had been detected, and did not crash
// for the same cause.
func startedAfter(runs []crashedRun, age time.Duration) bool {
	return slices.ContainsFunc(runs, func(r crashedRun) bool { return r.confirmed && r.age <= age })
}

// confirm records a crash whose cause is known.
func (s *serviceBlame) confirm(now time.Time, r crashedRun) {
	s.confirmed[r.queue]++
	s.confirmedAt = now
	at := ageBucket(r.age)
	s.ages[at]++
	s.ages[max(at-1, 0)] += neighbourWeight
	s.ages[min(at+1, ageBuckets-1)] += neighbourWeight
}

// settling reports whether upstreams may just be crashing for a common cause. A suspect
// that is started meanwhile would be accused of the next such crash.
func (b *blame) settling(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(now, service).recent(now)
}

// exposed reports whether a queue is known for crashes and so many of the service's
// upstreams have crashed recently that the others are needed for other tasks.
func (b *blame) exposed(now time.Time, service, queue string, upstreams int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, service)
	return s.confirmed[queue] > 0 && float64(len(s.crashes)) > maxExposure*float64(upstreams)
}
