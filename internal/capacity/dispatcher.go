package capacity

import (
	"fmt"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
)

const (
	service      = "rota-desk"
	slots        = 8 // tasks that an upstream can run concurrently
	tasksPerJob  = 10
	taskDuration = 50 * time.Millisecond
	iterations   = 20_000 // per timing of a short operation
	// maxWaiting exceeds every measured number of waiting tasks.
	maxWaiting = 1 << 30
	token      = 1
)

var (
	epoch    = time.Unix(1_000_000_000, 0)
	taskSize = scheduler.Size{MilliCPU: 1000}
)

// dispatcher is a scheduler that has claimed a number of idle upstreams.
type dispatcher struct {
	*scheduler.Scheduler
	now             time.Time
	lastCompletions map[string]int64 // number of the last completion, by upstream
	jobs            int              // number of submitted jobs
}

func newDispatcher(upstreams int) *dispatcher {
	d := &dispatcher{
		Scheduler: scheduler.New(epoch, scheduler.Config{LeaseMax: time.Second, MaxWaiting: maxWaiting, RetainCompletions: true}),
		now:       epoch, lastCompletions: map[string]int64{},
	}
	list := make([]scheduler.Upstream, upstreams)
	for i := range list {
		list[i] = scheduler.Upstream{
			Name: fmt.Sprintf("worker-%05d", i), Service: service, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Size: scheduler.Size{MilliCPU: slots * taskSize.MilliCPU},
		}
	}
	d.BeginTerm(d.now, token, 0)
	d.SetUpstreams(d.now, list, false)
	for _, u := range list {
		poll, due, _, _ := d.NextPoll(d.now, u.Name)
		if due {
			d.HandlePollResult(d.now, poll, scheduler.PollAnswered, scheduler.PollReport{Clock: 1, ProcessStart: 1})
		}
	}
	return d
}

// addJob submits a job of tasksPerJob tasks.
func (d *dispatcher) addJob() {
	d.jobs++
	job := scheduler.Job{
		ID: fmt.Sprintf("%016x", d.jobs), Origin: "vm", OriginIncarnation: 1, Queue: "heat-alert", Service: service,
		Size: taskSize, Estimate: taskDuration, Sent: d.now, Deadline: d.now.Add(time.Hour), Stretch: 1, Slack: time.Hour,
		MaxAttempts: 1, AtMostOnce: true,
	}
	for i := range tasksPerJob {
		job.Tasks = append(job.Tasks, i)
	}
	if _, failure := d.Offer(d.now, job); failure != nil {
		panic(failure) // the job is valid and maxWaiting is not reached
	}
}

// completeTask reports the start and the completion of a task to the scheduler.
func (d *dispatcher) completeTask(start scheduler.Start) {
	name := start.Upstream.Name
	d.HandleStartResult(d.now, start, scheduler.OrderDone, 1)
	poll, _ := d.ImmediatePoll(d.now, name)
	d.lastCompletions[name]++
	actions := d.HandlePollResult(d.now, poll, scheduler.PollAnswered, scheduler.PollReport{Clock: 1, ProcessStart: 1, Completions: []scheduler.Completion{
		{Number: d.lastCompletions[name], Run: start.Run, Kind: scheduler.CompletionDone},
	}})
	for _, n := range actions.Notices {
		d.ConfirmDelivery([]scheduler.CompletionRef{n.Completion})
	}
}

// timePerStart returns the time per task start at full load, in nanoseconds. It
// includes the completion of another task, the poll that reports it, and the
// task's share of queueing its job.
func timePerStart(upstreams int) float64 {
	d := newDispatcher(upstreams)
	var running []scheduler.Start
	for len(running) < upstreams*slots {
		d.addJob()
		running = append(running, d.Place(d.now)...)
	}
	i := 0
	return meanNanoseconds(iterations, func() {
		if i%tasksPerJob == 0 {
			d.addJob()
		}
		at := i % len(running)
		d.completeTask(running[at])
		if next := d.Place(d.now); len(next) > 0 {
			running[at] = next[0]
		}
		i++
	})
}

func dispatcherBenchmarks(size Size) []benchmark {
	upstreams := size.UpstreamsPerDataCentre()
	return []benchmark{
		{
			name: "start_time", role: "entry VM as dispatcher", driver: "upstreams", unit: "ns",
			sizes: []int{50, 250, 500, 1000, 2000}, target: upstreams, measure: timePerStart,
		},
		{
			name: "upstream_memory", role: "entry VM as dispatcher", driver: "upstreams", unit: "bytes",
			sizes: []int{250, 500, 1000, 2000, 4000}, target: upstreams,
			measure: func(n int) float64 { return heapBytes(func() any { return newDispatcher(n) }) },
		},
		{
			name: "waiting_task_memory", role: "entry VM as dispatcher", driver: "waiting tasks", unit: "bytes",
			sizes: []int{1000, 5000, 10_000, 20_000}, target: size.startsPerVM(), // the starts of one second
			measure: func(n int) float64 {
				d := newDispatcher(1)
				return heapBytes(func() any {
					for range n / tasksPerJob {
						d.addJob()
					}
					return d
				})
			},
		},
	}
}
