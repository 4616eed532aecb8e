//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = goneCase }

const recoverTime = 12 * time.Second // recovery_s

// goneCase kills all nodes right after a configuration is acknowledged. One machine is gone for good;
// a new one comes in its place, at another address. RECOVER: of the requests sent later than
// recovery_s after the machines are back, a quarter must be served, if a quarter was before.
func goneCase(s *system, program string, trouble bool) (broken []string, err error) {
	q := queue{name: "r-touch-up", host: "desk.example", prefix: "/touch-up/", service: "rota-desk", maxAttempts: 4}
	for i := range 8 {
		if _, err := s.addRunner(runnerSpec{ID: fmt.Sprintf("i-%08x", 0xe50+i), Service: q.service, Zone: zones[i%3], Kind: "a", Rack: fmt.Sprintf("r%d-1", i%3), CPU: 16000, Mem: 32768}); err != nil {
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
				status, _ := s.submit(s.nodes[k%len(s.nodes)], q, newID(), 1350*time.Millisecond, step{Count: 2, CPU: 7000, Mem: 64, EstimateMS: 1350}, 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				all++
				if status == http.StatusOK {
					served++
				}
			})
			time.Sleep(400 * time.Millisecond)
		}
		clients.Wait()
		return served, all
	}
	served, all := serve(8 * time.Second)
	s.rec.note("before: %d of %d requests served", served, all)
	if 4*served < all {
		return nil, fmt.Errorf("only %d of %d requests were served before the fault", served, all)
	}
	s.configure(q)
	if trouble {
		for _, n := range s.nodes {
			n.kill()
		}
		s.rec.note("all nodes are killed; %s is gone for good", s.nodes[0].name)
		time.Sleep(1200 * time.Millisecond)
		s.nodes = s.nodes[1:]
		for _, n := range s.nodes {
			if err := n.start(); err != nil {
				return nil, err
			}
		}
		if err := s.addNode(program, zones[0], 2); err != nil {
			return nil, err
		}
		s.rec.note("the others are back, and %s is new", s.nodes[len(s.nodes)-1].name)
	}
	time.Sleep(recoverTime + time.Second)
	served, all = serve(20 * time.Second)
	s.rec.note("after: %d of %d requests served", served, all)
	if 4*served < all {
		broken = append(broken, fmt.Sprintf("%d of %d requests were served that were sent later than %v after the machines were back", served, all, recoverTime))
	}
	return broken, nil
}
