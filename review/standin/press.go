package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playPress suspends the VM that dispatches, several times, while clients press.
func playPress(log *record, program string, trouble bool) error {
	s, err := deploy(log, program, 4, 24, size{CPU: 16000, Mem: 32768})
	if err != nil {
		return err
	}
	defer s.close()
	const rounds, usual = 16, 3400 * time.Millisecond
	end := time.Now().Add(rounds * (usual + 600*time.Millisecond))
	var streams sync.WaitGroup
	stream := func(interval time.Duration, next func() job) {
		streams.Go(func() { s.handIn(end, interval, next) })
	}
	stream(24*time.Millisecond, func() job {
		return job{newJobID(), "heat-alert", 8, 60 * time.Millisecond, size{CPU: 6800, Mem: 64}, 60 * time.Millisecond, 2 * time.Second}
	})
	stream(24*time.Millisecond, func() job {
		return job{newJobID(), "shift-swap", 2, 200 * time.Millisecond, size{CPU: 6800, Mem: 64}, 200 * time.Millisecond, 2 * time.Second}
	})
	stream(250*time.Millisecond, func() job {
		return job{newJobID(), "touch-up", 4, 900 * time.Millisecond, size{CPU: 6800, Mem: 64}, 900 * time.Millisecond, 6 * time.Second}
	})
	for i := range rounds {
		time.Sleep(usual)
		m := s.dispatcher()
		if m == nil {
			return fmt.Errorf("no VM dispatches")
		}
		frozen := time.Duration(500+50*(i%5)) * time.Millisecond
		if trouble {
			m.signal(syscall.SIGSTOP)
		}
		time.Sleep(frozen)
		if trouble {
			m.signal(syscall.SIGCONT)
		}
	}
	streams.Wait()
	time.Sleep(2 * time.Second)
	log.checkRefused()
	return nil
}

// handIn sends jobs at a rate until the end, in turn to all VMs, each once, and waits for
// their answers.
func (s *system) handIn(end time.Time, interval time.Duration, next func() job) {
	var clients sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		clients.Go(func() {
			j := next()
			a := s.submit(s.vms[i%len(s.vms)], j)
			s.log.answered(j.id, a)
		})
	}
	clients.Wait()
}

// answered notes whether a send of a job was rejected.
func (r *record) answered(id string, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound:
		if _, present := r.rejected[id]; !present {
			r.rejected[id] = true
		}
	default:
		r.rejected[id] = false
	}
}

// checkRefused finds jobs of which a task was started although all their sends were
// rejected.
func (r *record) checkRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rejected := range r.rejected {
		if rejected && r.started[id] {
			r.breachLocked("REFUSED", "a task of job %s was started, and all its sends were rejected", id)
		}
	}
}
