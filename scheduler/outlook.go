package scheduler

import (
	"math"
	"sync"
	"time"
)

// A task that finds room only on a slow upstream may end sooner if it waits for
// room on a faster one. The wait is estimated from the speeds of the upstreams and
// from the work that arrives.
const (
	// levels is the number of levels of speed; each is an eighth of an octave
	// wide, and the first one is that of firstLevel.
	levels     = 64
	firstLevel = -4.0 // logarithm to base 2 of the run time of a second's work
	levelWidth = 0.125
	// The rate at which faster upstreams shorten the queue is theirs less
	// demandShare of the demand, since tasks that arrive later take some of it; at
	// least minSpare of theirs.
	demandShare = 0.7
	minSpare    = 0.05
	// demandWeight is the weight of one tick in the average of the demand.
	demandWeight = 0.025
	// sizeWeight is the weight of a job in the average size of a task.
	sizeWeight = 0.02
	// classes is the number of priority classes that are told apart.
	classes = 4
)

// outlook is what is known of the capacity of a service.
type outlook struct {
	size    float64          // mean size of a task, in thousandths of a core
	arrived [classes]float64 // work since the last tick, in seconds at speed 1
	demand  [classes]float64 // work that arrives a second
	rate    [levels]float64  // work that the upstreams of a level end a second
}

func levelOf(factor float64) int {
	return min(max(int((math.Log2(factor)-firstLevel)/levelWidth), 0), levels-1)
}

// runTimeOf returns the run time of a second's work in the middle of a level.
func runTimeOf(level int) float64 {
	return math.Exp2(firstLevel + (float64(level)+0.5)*levelWidth)
}

// outlooks holds the outlook of each service.
type outlooks struct {
	mu       sync.Mutex // guards the field below and what it holds
	services map[string]*outlook
}

func (o *outlooks) of(service string) *outlook {
	if o.services == nil {
		o.services = map[string]*outlook{}
	}
	known := o.services[service]
	if known == nil {
		known = &outlook{}
		o.services[service] = known
	}
	return known
}

// arrive enters the tasks of a job; expected is their run time at speed 1.
func (o *outlooks) arrive(j *Job, expected float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.of(j.Service)
	known.arrived[min(max(j.Priority, 0), classes-1)] += expected * float64(len(j.Tasks))
	size := float64(j.Size.MilliCPU)
	if known.size == 0 {
		known.size = size
	}
	known.size += sizeWeight * (size - known.size)
}

// survey is what a tick gathers of the upstreams: for each service, the size of
// those of each level times their speed.
type survey map[string]*[levels][]room

// room is what an upstream has for tasks.
type room struct{ milliCPU, speed float64 }

func (s survey) add(u *upstream) {
	if s[u.Service] == nil {
		s[u.Service] = &[levels][]room{}
	}
	factor := u.model.factor()
	level := &s[u.Service][levelOf(factor)]
	*level = append(*level, room{float64(u.Size.MilliCPU), 1 / factor})
}

// tick takes a survey and averages the demand.
func (o *outlooks) tick(s survey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, surveyed := range s {
		known := o.of(service)
		for level, rooms := range surveyed {
			known.rate[level] = 0
			for _, r := range rooms {
				known.rate[level] += math.Floor(r.milliCPU/max(known.size, 1)) * r.speed
			}
		}
	}
	for _, known := range o.services {
		for class := range known.demand {
			rate := known.arrived[class] / TickInterval.Seconds()
			known.demand[class] += (rate - known.demand[class]) * demandWeight
			known.arrived[class] = 0
		}
	}
}

// accepts tells whether a task should take an upstream now on which it would run
// for cost seconds, rather than wait for a faster one. There are ahead tasks of
// about its length to place, itself included.
func (o *outlooks) accepts(c *candidate, cost float64, ahead int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.of(c.job.Service)
	demand := 0.0
	for class := range min(max(c.job.Priority, 0), classes-1) + 1 {
		demand += known.demand[class]
	}
	rate := 0.0
	for level, more := range known.rate[:levelOf(cost/c.expected)] {
		if more == 0 {
			continue
		}
		rate += more
		run := c.expected * runTimeOf(level)
		spare := max(rate-demandShare*demand, minSpare*rate)
		if float64(ahead)*c.expected/spare+run < cost {
			return false
		}
	}
	return true
}

// patience tells whether a job has declined upstreams for as long as it would have
// run there: the outlook was wrong.
func (c *candidate) patience(now time.Time, cost float64) bool {
	return now.Sub(c.declined).Seconds() > cost
}
