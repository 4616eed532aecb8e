package dispatch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

func benchmarked(upstreams, waiting int) (*Dispatcher, []Assignment) {
	d := New(Config{MaxQueued: 1 << 30})
	var list []Upstream
	for i := range upstreams {
		list = append(list, Upstream{Name: fmt.Sprintf("u%05d", i), Service: "s", Slots: 8})
	}
	d.SetUpstreams(start, "s", list)
	var running []Assignment
	for job := 0; len(running) < upstreams*8; job++ {
		assignments, _ := d.Add(start, makeTasks(normalCall, fmt.Sprint("busy", job), 10))
		running = append(running, assignments...)
	}
	for job := range waiting / 10 {
		d.Add(start, makeTasks(normalCall, fmt.Sprint("waiting", job), 10))
	}
	return d, running
}

// took gives upstreams speeds of 1 to 4.
func took(a *Assignment) time.Duration {
	return time.Duration(1+len(a.Upstream.Name)%4+int(a.Upstream.Name[len(a.Upstream.Name)-1])%4) * 25 * time.Millisecond
}

// BenchmarkDecision is the cost of one task start: the end of another task,
// what is learnt from it, and the choice of the next task and its slot.
func BenchmarkDecision(b *testing.B) {
	const jobSize = 130
	for _, upstreams := range []int{50, 500, 5000, 20000} {
		b.Run(fmt.Sprint("upstreams=", upstreams), func(b *testing.B) {
			d, running := benchmarked(upstreams, 10*jobSize)
			buffer := make([]Assignment, 0, 8)
			jobs := make([][]*Task, 1000)
			for i := range jobs {
				jobs[i] = makeTasks(normalCall, fmt.Sprint("more", i), jobSize)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%jobSize == 0 {
					added, _ := d.Add(start, jobs[i/jobSize%len(jobs)])
					running = append(running, added...)
				}
				a := &running[i%len(running)]
				next, _ := d.Finish(start, *a, Result{Took: took(a)}, buffer[:0])
				if len(next) > 0 {
					*a = next[0]
				}
			}
		})
	}
}

// BenchmarkThroughput queues, places and ends tasks on the threads that -cpu
// gives.
func BenchmarkThroughput(b *testing.B) {
	d := New(Config{MaxQueued: 1 << 30})
	var list []Upstream
	for i := range 500 {
		list = append(list, Upstream{Name: fmt.Sprintf("u%05d", i), Service: "s", Slots: 8})
	}
	d.SetUpstreams(start, "s", list)
	p := d.pool("s")
	var thread atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		task := makeTasks(normalCall, fmt.Sprint(thread.Add(1)), 1)[0]
		buffer := make([]Assignment, 0, 64)
		for pb.Next() {
			p.requeue(task)
			for _, a := range p.assign(start, task.Submission.Hash(), buffer[:0]) {
				p.release(start, &a, Result{Took: took(&a)})
			}
		}
	})
}
