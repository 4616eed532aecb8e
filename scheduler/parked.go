package scheduler

import (
	"container/heap"
	"time"

	"github.com/mustardstep/mustardstep/locality"
)

// A job whose next task waits for capacity of certain upstreams is parked: it is not in the
// heap, so that the jobs behind it are placed meanwhile. It returns to the heap when capacity or
// members of the group of these upstreams change, or when its wait has expired.

// parking describes a wait.
type parking struct {
	group *locality.Group
	// seen is the value of group.Changes before the search that found no capacity.
	seen  uint64
	until time.Time
	work  time.Duration // added to the waiting run time of the group
	tasks int           // added to the number of parked tasks
}

// parkedJobs holds the jobs of a shard that wait for one group, in the order of their scores.
type parkedJobs struct {
	jobs []*job
	seen uint64 // value of group.Changes at which they have found no capacity
	// woken is the job that the last change has woken. If it waits again, passed is the CPU of its
	// tasks, in thousandths of a core, and a job of smaller tasks is woken; 0 otherwise.
	woken  *job
	passed int
}

// nextSmaller returns the first job whose tasks need less CPU than the one passed over, or nil.
func (p *parkedJobs) nextSmaller() (next *job) {
	for _, j := range p.jobs {
		if j.Size.MilliCPU < p.passed && (next == nil || j.score < next.score) {
			next = j
		}
	}
	return next
}

func (p *parkedJobs) Len() int           { return len(p.jobs) }
func (p *parkedJobs) Less(i, k int) bool { return jobHeap(p.jobs).Less(i, k) }

func (p *parkedJobs) Swap(i, k int) {
	p.jobs[i], p.jobs[k] = p.jobs[k], p.jobs[i]
	p.jobs[i].parkedIndex, p.jobs[k].parkedIndex = i, k
}

func (p *parkedJobs) Push(x any) {
	j := x.(*job)
	j.parkedIndex = len(p.jobs)
	p.jobs = append(p.jobs, j)
}

func (p *parkedJobs) Pop() any {
	last := len(p.jobs) - 1
	j := p.jobs[last]
	p.jobs[last] = nil
	p.jobs = p.jobs[:last]
	return j
}

// park takes a job out of the heap. The caller holds mu.
func (s *jobShard) park(now time.Time, j *job, w parking) {
	if j.parked != nil {
		s.unpark(j)
	}
	w.tasks = len(j.waiting)
	w.work = time.Duration(j.expected * float64(len(j.waiting)) * float64(time.Second))
	p := s.parked[w.group]
	if p == nil {
		if s.parked == nil {
			s.parked = map[*locality.Group]*parkedJobs{}
		}
		p = &parkedJobs{seen: w.seen}
		s.parked[w.group] = p
	}
	p.seen = min(p.seen, w.seen)
	if p.woken == j {
		p.woken = nil
		if w.group.Label() != "" { // jobs that wait for any upstream are tried again soon
			p.passed = j.Size.MilliCPU
		}
	}
	j.parked = &w
	if j.parkedSince.IsZero() {
		j.parkedSince = now
	}
	if len(s.parked) == 1 && len(p.jobs) == 0 || w.until.Before(s.parkedUntil) {
		s.parkedUntil = w.until
	}
	heap.Push(p, j)
	s.parkedCount.Add(1)
	s.parkedTasks.Add(int32(w.tasks))
	w.group.AddWaiting(w.tasks, w.work)
	s.updateHeap(j)
}

// unpark ends the wait of a job. The caller holds mu and calls updateHeap afterwards.
func (s *jobShard) unpark(j *job) {
	w := j.parked
	p := s.parked[w.group]
	heap.Remove(p, j.parkedIndex)
	if len(p.jobs) == 0 {
		delete(s.parked, w.group)
	}
	j.parked = nil
	s.parkedCount.Add(-1)
	s.parkedTasks.Add(int32(-w.tasks))
	w.group.AddWaiting(-w.tasks, -w.work)
}

// unparkAll ends all waits without returning the jobs to the heap. The caller holds mu.
func (s *jobShard) unparkAll() {
	for _, p := range s.parked {
		for _, j := range p.jobs {
			j.parked.group.AddWaiting(-j.parked.tasks, -j.parked.work)
			j.parked = nil
		}
	}
	s.parked = nil
	s.parkedCount.Store(0)
	s.parkedTasks.Store(0)
}

// wakeParked returns to the heap the first job of each group that has changed, and all jobs
// whose wait has expired. It reports whether there were any. One job for each change suffices
// if it starts, because its start is a further change, which wakes the next one. If it waits
// again, the first job of smaller tasks is woken, which may fit.
func (s *jobShard) wakeParked(now time.Time) (woken bool) {
	if s.parkedCount.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []*job
	expired := !now.Before(s.parkedUntil)
	var next time.Time // the earliest end of the waits that go on
	for group, p := range s.parked {
		if changes := group.Changes(); changes != p.seen {
			p.seen, p.woken, p.passed = changes, p.jobs[0], 0
			ready = append(ready, p.woken)
		} else if p.passed > 0 {
			p.woken, p.passed = p.nextSmaller(), 0
			if p.woken != nil {
				ready = append(ready, p.woken)
			}
		}
		if !expired {
			continue
		}
		for _, j := range p.jobs {
			switch until := j.parked.until; {
			case !now.Before(until):
				ready = append(ready, j)
			case next.IsZero() || until.Before(next):
				next = until
			}
		}
	}
	if expired {
		s.parkedUntil = next
	}
	for _, j := range ready {
		if j.parked != nil {
			s.unpark(j)
			s.updateHeap(j)
		}
	}
	return len(ready) > 0
}

// wakeParked returns parked jobs that may be placed to the queue. It reports whether there were
// any.
func (s *Scheduler) wakeParked(now time.Time) (woken bool) {
	for _, shard := range s.jobShards {
		woken = shard.wakeParked(now) || woken
	}
	return woken
}

// scarceShare is the share of free capacity below which a run away from its data delays others soon.
// With 0.25 and 0.5, 0.972 and 0.975 of the jobs are in time at the first deployment's load, and 0.889
// and 0.890 at 1.3 times it (docs/design/locality.md).
const scarceShare = 0.5

// contended reports whether tasks of other jobs wait for any capacity, or will soon.
func (s *Scheduler) contended(c *candidate) bool {
	if s.scarce.Load() {
		return true
	}
	others := s.waiting.Load() - int64(c.tasks)
	for _, shard := range s.jobShards {
		others -= int64(shard.parkedTasks.Load())
	}
	return others > 0
}

// Parked returns the number of jobs that wait for capacity of certain upstreams.
func (s *Scheduler) Parked() int {
	n := 0
	for _, shard := range s.jobShards {
		n += int(shard.parkedCount.Load())
	}
	return n
}
