//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = refusedCase }

// refusal is how long the store refuses a machine: the longest that a site file has.
const refusal = 9 * time.Second

// refusedCase kills all nodes right after a configuration is acknowledged. From then on the store
// refuses one machine, with 503, and serves the others. It does so twice, once after the other.
// RECOVER: of the requests sent later than recovery_s after the machines are back, a quarter must be
// served, if a quarter was before.
func refusedCase(s *system, program string, trouble bool) (broken []string, err error) {
	q := queue{name: "r-shift-swap", host: "desk.example", prefix: "/shift-swap/", service: "rota-desk", maxAttempts: 2}
	for i := range 8 {
		if _, err := s.addRunner(runnerSpec{ID: fmt.Sprintf("i-%08x", 0xf60+i), Service: q.service, Zone: zones[i%3], Kind: "a", Rack: fmt.Sprintf("r%d-1", i%3), CPU: 16000, Mem: 32768}); err != nil {
			return nil, err
		}
	}
	s.configure(q)
	if err := s.startNodes(program); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	// serve sends jobs to the nodes for a time, far below the capacity, and returns how many were
	// answered with success.
	serve := func(length time.Duration) (served, all int) {
		var mu sync.Mutex
		var clients sync.WaitGroup
		until := time.Now().Add(length)
		for k := 0; time.Now().Before(until); k++ {
			clients.Go(func() {
				status, _ := s.submit(s.nodes[k%len(s.nodes)], q, newID(), 200*time.Millisecond, step{Count: 2, CPU: 7000, Mem: 64, EstimateMS: 200}, 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				all++
				if status == http.StatusOK {
					served++
				}
			})
			time.Sleep(200 * time.Millisecond)
		}
		clients.Wait()
		return served, all
	}
	served, all := serve(6 * time.Second)
	s.rec.note("before: %d of %d requests served", served, all)
	if 4*served < all {
		return nil, fmt.Errorf("only %d of %d requests were served before the fault", served, all)
	}
	s.configure(q)
	if trouble {
		for _, n := range s.nodes {
			n.kill()
		}
		first := s.nodes[0]
		first.refused.Store(true)
		s.rec.note("all nodes are killed; the store refuses %s from now on", first.name)
		time.AfterFunc(refusal, func() { s.rec.note("the store refuses %s again", first.name) })
		time.AfterFunc(2*refusal, func() {
			first.refused.Store(false)
			s.rec.note("the store serves %s", first.name)
		})
		time.Sleep(time.Second)
		for _, n := range s.nodes {
			if err := n.start(); err != nil {
				return nil, err
			}
			time.Sleep(50 * time.Millisecond) // all start within 0.3 s
		}
		s.rec.note("all nodes are back")
	}
	time.Sleep(recoverTime + 100*time.Millisecond)
	served, all = serve(3 * time.Second) // the last is answered before the store serves the machine again
	s.rec.note("after: %d of %d requests served", served, all)
	if 4*served < all {
		broken = append(broken, fmt.Sprintf("%d of %d requests were served that were sent later than %v after the machines were back", served, all, recoverTime))
	}
	return broken, nil
}
