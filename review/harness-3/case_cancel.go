//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["cancel"] = cancelCase }

const cancelBound = 3000 * time.Millisecond // cancel_ms

// cancelCase cancels a job that runs. UNASKED: its tasks must not start later than cancel_ms after
// the acknowledgement, nor run on stop_timeout_ms after that.
func cancelCase(s *system, program string, trouble bool) (broken []string, err error) {
	q := queue{name: "r-moulds", host: "moulds.example", prefix: "/moulds/", service: "kit-desk", maxAttempts: 3}
	for i := range 6 {
		if _, err := s.addRunner(runnerSpec{ID: fmt.Sprintf("i-%08x", 0xa10+i), Service: "kit-desk", Zone: zones[i%3], Kind: "a", Rack: fmt.Sprintf("r%d-1", i%3), CPU: 16000, Mem: 32768}); err != nil {
			return nil, err
		}
	}
	s.configure(q)
	if err := s.startNodes(program); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // longer than contact_ms: all machines are in touch
	id := newID()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		// 36 tasks of two to a runner take three rounds of 2 s.
		s.submit(s.nodes[0], q, id, 2*time.Second, step{Count: 36, CPU: 8000, Mem: 64, EstimateMS: 2000}, 12*time.Second)
	}()
	time.Sleep(500 * time.Millisecond)
	var acknowledged time.Time
	if trouble {
		status, body := s.cancel(s.nodes[0], q, id)
		if status/100 != 2 && status != http.StatusGone {
			return nil, fmt.Errorf("the cancel was answered with %d %s", status, body)
		}
		acknowledged = time.Now()
	}
	<-answered
	time.Sleep(time.Second)
	if !trouble {
		return nil, nil
	}
	limit := acknowledged.Add(cancelBound)
	for _, run := range s.rec.allRuns() {
		if jobOf(run.task) != id {
			continue
		}
		if run.began.After(limit) {
			broken = append(broken, fmt.Sprintf("task %s started on %s %d ms after the cancel was acknowledged", run.task, run.runner.ID, run.began.Sub(acknowledged).Milliseconds()))
		} else if on := limit.Add(50 * time.Millisecond); run.ended.IsZero() || run.ended.After(on) {
			broken = append(broken, fmt.Sprintf("task %s, started before, ran on until %d ms after the cancel was acknowledged", run.task, run.ended.Sub(acknowledged).Milliseconds()))
		}
	}
	return broken, nil
}
