package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as its settings state them.
const (
	cancelBound = 3 * time.Second
	graceTime   = 6 * time.Second
	lossSlack   = 200 * time.Millisecond
)

var rotaQueues = []queue{{"heat-alert", 0, 1500, 1.6}, {"touch-up", 2, 30000, 1.6}, {"shift-swap", 1, 1500, 1.6}}

// deploy starts a deployment and waits until it is ready.
func deploy(log *record, program string, vms, runners int, capacity size) (*system, error) {
	s, err := newSystem(log, program, rotaQueues)
	if err != nil {
		return nil, err
	}
	if err := s.addRunners(runners, capacity); err != nil {
		return nil, err
	}
	if err := s.startVMs(vms); err != nil {
		s.close()
		return nil, err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		s.close()
		return nil, err
	}
	time.Sleep(time.Second) // the servers are claimed
	return s, nil
}

// loads starts the usual mix: many short jobs and some long ones.
func loads(s *system, end time.Time, long func() job) (wait func()) {
	var all sync.WaitGroup
	all.Go(func() {
		s.load(end, 100*time.Millisecond, func() job {
			return job{newJobID(), "heat-alert", 8, 60 * time.Millisecond, size{CPU: 3400, Mem: 64}, 60 * time.Millisecond, 3 * time.Second}
		})
	})
	all.Go(func() { s.load(end, 400*time.Millisecond, long) })
	return all.Wait
}

// playCut cuts two servers at a time off from the VMs. Clients whose jobs are not answered
// in time send them again.
func playCut(log *record, program string, trouble bool) error {
	s, err := deploy(log, program, 3, 16, size{CPU: 16000, Mem: 32768})
	if err != nil {
		return err
	}
	defer s.close()
	const interval, cut = 7 * time.Second, 3 * time.Second
	rounds := len(s.runners) / 2
	wait := loads(s, time.Now().Add(time.Duration(rounds)*interval), longJob)
	for i := range rounds {
		time.Sleep(interval - cut)
		if trouble {
			s.runners[2*i].setCut(true)
			s.runners[2*i+1].setCut(true)
		}
		time.Sleep(cut)
		if trouble {
			s.runners[2*i].setCut(false)
			s.runners[2*i+1].setCut(false)
		}
	}
	wait()
	return nil
}

// longJob returns a job whose tasks take longer than its client waits.
func longJob() job {
	return job{newJobID(), "touch-up", 3, 3500 * time.Millisecond, size{CPU: 3400, Mem: 64}, 900 * time.Millisecond, 1500 * time.Millisecond}
}

// playFreeze suspends the VM that dispatches, several times.
func playFreeze(log *record, program string, trouble bool) error {
	s, err := deploy(log, program, 3, 16, size{CPU: 16000, Mem: 32768})
	if err != nil {
		return err
	}
	defer s.close()
	const rounds, interval, frozen = 12, 6 * time.Second, 700 * time.Millisecond
	wait := loads(s, time.Now().Add(rounds*interval), longJob)
	for range rounds {
		time.Sleep(interval - frozen)
		m := s.dispatcher()
		if m == nil {
			return fmt.Errorf("no VM dispatches")
		}
		if trouble {
			m.signal(syscall.SIGSTOP)
		}
		time.Sleep(frozen)
		if trouble {
			m.signal(syscall.SIGCONT)
		}
	}
	wait()
	return nil
}

// playCancelled cancels one of four jobs while its tasks are waiting and running.
func playCancelled(log *record, program string, trouble bool) error {
	s, err := deploy(log, program, 2, 2, size{CPU: 16000, Mem: 32768})
	if err != nil {
		return err
	}
	defer s.close()
	var clients sync.WaitGroup
	for i, m := range s.vms {
		for range 3 { // jobs that aren't cancelled
			s.submit(m, job{newJobID(), "heat-alert", 8, 60 * time.Millisecond, size{CPU: 3400, Mem: 64}, 60 * time.Millisecond, 3 * time.Second})
		}
		j := job{newJobID(), "touch-up", 40, 900 * time.Millisecond, size{CPU: 6800, Mem: 64}, 900 * time.Millisecond, 30 * time.Second}
		clients.Go(func() { s.submit(m, j) })
		time.Sleep(time.Second)
		if !trouble {
			clients.Wait()
			continue
		}
		cancel := j
		cancel.deadline = 4 * time.Second
		to := s.vms[(i+1)%2] // the first job is cancelled at another VM, the second at its own
		if i == 1 {
			to = m
		}
		log.add("client cancels job %s at %s", j.id, to.name)
		a := s.request(http.MethodDelete, to, cancel, nil)
		log.add("the cancelling of job %s at %s: %v", j.id, to.name, a)
		if a.status/100 == 2 || a.status == http.StatusGone {
			log.cancel(j.id)
		}
		clients.Wait()
	}
	return nil
}

// playDrained stops a VM while a request that it has read waits for a free server.
func playDrained(log *record, program string, trouble bool) error {
	s, err := deploy(log, program, 2, 2, size{CPU: 16000, Mem: 32768})
	if err != nil {
		return err
	}
	defer s.close()
	stopped := s.vms[0]
	if s.dispatcher() == stopped {
		stopped = s.vms[1]
	}
	other := s.vms[0]
	if stopped == other {
		other = s.vms[1]
	}
	long := func(work time.Duration) job {
		return job{newJobID(), "touch-up", 4, work, size{CPU: 6800, Mem: 64}, work, 20 * time.Second}
	}
	var clients sync.WaitGroup
	// The servers are at work until the stopped VM has ended: no order of jobs matters.
	clients.Go(func() { s.submit(other, long(7*time.Second)) })
	time.Sleep(300 * time.Millisecond)
	waiting := long(900 * time.Millisecond)
	sent := time.Now()
	var received answer
	var ended time.Time
	atWork := false // a server worked on the request when its connection ended
	clients.Go(func() {
		received = s.submit(stopped, waiting)
		ended, atWork = time.Now(), log.atWork(waiting.id)
	})
	time.Sleep(300 * time.Millisecond)
	termAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
		if !stopped.awaitExit(graceTime) {
			stopped.signal(syscall.SIGKILL)
		}
	}
	clients.Wait()
	if trouble && received.status == 0 && received.took < waiting.deadline && ended.Sub(sent) > lossSlack && ended.Before(termAt.Add(graceTime+time.Second)) && !atWork {
		log.breach("LOST", "job %s was sent to %s %d ms before its SIGTERM, and its connection ended %d ms after the SIGTERM with no answer; no server was at work on it",
			waiting.id, stopped.name, termAt.Sub(sent).Milliseconds(), ended.Sub(termAt).Milliseconds())
	}
	return nil
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// cancel notes that the cancelling of a job was acknowledged.
func (r *record) cancel(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled[id] = time.Now()
}

// atWork reports whether a server is at work on a job.
func (r *record) atWork(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.running {
		if jobOf(task) == id && len(runs) > 0 {
			return true
		}
	}
	return false
}
