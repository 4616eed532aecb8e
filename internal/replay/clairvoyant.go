package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// SlotSpeeds holds the speed of each slot.
type SlotSpeeds []float64

// Sum returns the sum of the speeds.
func (s SlotSpeeds) Sum() float64 {
	sum := 0.0
	for _, speed := range s {
		sum += speed
	}
	return sum
}

// ClairvoyantMean returns the mean response time of a schedule that knows every run
// time and exchanges no messages. All slots form one pool. The job with the least
// remaining work goes first, and its longest task goes to the fastest free slot. Each
// response time includes one round trip, like the ideal one. Cancelled jobs are left out;
// jobs that arrive before fromUS run but are not counted.
func ClairvoyantMean(jobs []TraceJob, speeds SlotSpeeds, fromUS int64) time.Duration {
	c := &clairvoyantSchedule{free: slices.Clone(speeds), from: float64(fromUS)}
	slices.Sort(c.free)
	for i := range jobs {
		if jobs[i].CancelAfterUS > 0 {
			continue
		}
		c.runUntil(float64(jobs[i].ArrivalUS))
		c.addJob(&jobs[i])
	}
	for len(c.running) > 0 {
		c.runUntil(c.running[0].completion)
	}
	if c.counted == 0 {
		return 0
	}
	return time.Duration(c.total/float64(c.counted)*float64(time.Microsecond)) + roundTrip
}

// clairvoyantSchedule is the state of the simulated schedule. Times are in
// microseconds.
type clairvoyantSchedule struct {
	now     float64
	from    float64   // arrival time from which jobs are counted
	free    []float64 // speeds of the free slots, in ascending order
	queue   []*clairvoyantJob
	running runningHeap
	total   float64 // sum of the response times of the counted jobs
	counted int
}

type clairvoyantJob struct {
	arrival   float64
	tasks     []float64 // run times of the waiting tasks, in ascending order
	remaining float64   // summed run time of the unfinished tasks
	tasksLeft int       // unfinished tasks
}

type runningTask struct {
	completion float64
	run        float64
	speed      float64
	job        *clairvoyantJob
}

type runningHeap []runningTask

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].completion < h[j].completion }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(runningTask)) }
func (h *runningHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (c *clairvoyantSchedule) addJob(job *TraceJob) {
	j := &clairvoyantJob{arrival: c.now, tasksLeft: len(job.Tasks)}
	for _, task := range job.Tasks {
		j.tasks = append(j.tasks, float64(task.RunUS))
		j.remaining += float64(task.RunUS)
	}
	slices.Sort(j.tasks)
	c.queue = append(c.queue, j)
	c.assign()
}

// runUntil advances the schedule and completes every task that ends by the given time.
func (c *clairvoyantSchedule) runUntil(until float64) {
	for len(c.running) > 0 && c.running[0].completion <= until {
		task := heap.Pop(&c.running).(runningTask)
		c.now = task.completion
		at, _ := slices.BinarySearch(c.free, task.speed)
		c.free = slices.Insert(c.free, at, task.speed)
		task.job.remaining -= task.run
		task.job.tasksLeft--
		if task.job.tasksLeft == 0 && task.job.arrival >= c.from {
			c.total += c.now - task.job.arrival
			c.counted++
		}
		c.assign()
	}
	c.now = max(c.now, until)
}

// assign places waiting tasks on free slots until either runs out.
func (c *clairvoyantSchedule) assign() {
	for len(c.free) > 0 && len(c.queue) > 0 {
		job := slices.MinFunc(c.queue, func(a, b *clairvoyantJob) int { return cmp.Compare(a.remaining, b.remaining) })
		speed, run := c.free[len(c.free)-1], job.tasks[len(job.tasks)-1]
		c.free, job.tasks = c.free[:len(c.free)-1], job.tasks[:len(job.tasks)-1]
		heap.Push(&c.running, runningTask{completion: c.now + run/speed, run: run, speed: speed, job: job})
		if len(job.tasks) == 0 {
			c.queue = slices.DeleteFunc(c.queue, func(j *clairvoyantJob) bool { return j == job })
		}
	}
}
