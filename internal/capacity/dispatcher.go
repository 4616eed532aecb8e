package capacity

import (
	"fmt"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/submission"
)

const (
	service   = "rota-desk"
	slots     = 8
	jobTasks  = 10
	taskTook  = 50 * time.Millisecond
	decisions = 20_000
)

var (
	measuredCall = &catalog.Call{Service: service, Name: "heat-alert", Priority: catalog.Normal, Declared: taskTook}
	epoch        = time.Unix(0, 0)
)

func upstreamsOf(n int) []dispatch.Upstream {
	upstreams := make([]dispatch.Upstream, n)
	for i := range upstreams {
		upstreams[i] = dispatch.Upstream{
			Name: fmt.Sprintf("worker-%05d", i), Service: service, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: slots,
		}
	}
	return upstreams
}

func newDispatcher(upstreams int) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Config{MaxQueued: 1 << 30})
	d.SetUpstreams(epoch, service, upstreamsOf(upstreams))
	return d
}

func addJob(d *dispatch.Dispatcher, number int) []dispatch.Assignment {
	tasks := make([]*dispatch.Task, jobTasks)
	for i := range tasks {
		id := submission.ID{Caller: "museum-01", Key: fmt.Sprint(number)}
		tasks[i] = &dispatch.Task{Submission: id, Index: i, Call: measuredCall, Deadline: epoch.Add(time.Hour)}
	}
	assignments, failure := d.Add(epoch, tasks)
	if failure != nil {
		panic(failure)
	}
	return assignments
}

// fill starts tasks until every slot is taken and a few jobs wait.
func fill(d *dispatch.Dispatcher, upstreams int) (running []dispatch.Assignment, jobs int) {
	for ; len(running) < upstreams*slots; jobs++ {
		running = append(running, addJob(d, jobs)...)
	}
	return running, jobs
}

// startTime returns the time of one task start under full load, with the end
// of another task and its part of the queueing of a job.
func startTime(upstreams int) float64 {
	d := newDispatcher(upstreams)
	running, jobs := fill(d, upstreams)
	buffer := make([]dispatch.Assignment, 0, jobTasks)
	i := 0
	return nanoseconds(decisions, func() {
		if i%jobTasks == 0 {
			running = append(running, addJob(d, jobs+i)...)
		}
		a := &running[i%len(running)]
		next, _ := d.Finish(epoch, *a, dispatch.Result{Took: taskTook}, buffer[:0])
		if len(next) > 0 {
			*a = next[0]
		}
		i++
	})
}

func dispatcherLines(size Size) []line {
	upstreams := size.UpstreamsPerDataCentre()
	return []line{
		{
			name: "start_time", role: "entry VM as dispatcher", driver: "upstreams", unit: "ns",
			sizes: []int{50, 250, 500, 1000, 2000}, target: upstreams, measure: startTime,
		},
		{
			name: "upstream_memory", role: "entry VM as dispatcher", driver: "upstreams", unit: "bytes",
			sizes: []int{250, 500, 1000, 2000, 4000}, target: upstreams,
			measure: func(n int) float64 { return heapBytes(func() any { return newDispatcher(n) }) },
		},
		{
			name: "waiting_task_memory", role: "entry VM as dispatcher", driver: "waiting tasks", unit: "bytes",
			sizes: []int{1000, 5000, 10_000, 20_000}, target: size.startsPerVM(),
			measure: func(n int) float64 {
				d := newDispatcher(1)
				return heapBytes(func() any {
					for job := range n / jobTasks {
						addJob(d, job)
					}
					return d
				})
			},
		},
	}
}
