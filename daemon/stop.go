package daemon

import (
	"sync"

	"github.com/mustardstep/mustardstep/dispatch"
)

// sentTasks holds the tasks of a job that are at upstreams. Its zero value is
// empty. It is safe for concurrent use.
type sentTasks struct {
	mu    sync.Mutex // guards the fields below
	tasks map[int]*dispatch.Upstream
	ended bool
}

// add notes that a task is about to be sent.
func (s *sentTasks) add(task int, u *dispatch.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tasks == nil {
		s.tasks = map[int]*dispatch.Upstream{}
	}
	s.tasks[task] = u
}

// remove notes that the upstream has answered.
func (s *sentTasks) remove(task int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tasks, task)
}

// end returns the tasks that are still at upstreams, once.
func (s *sentTasks) end() map[int]*dispatch.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	s.ended = true
	left := s.tasks
	s.tasks = nil
	return left
}

// stopTasks asks the upstreams to stop the started tasks of a job that has
// failed. An upstream that cannot stop a task runs it to its end.
func (d *Daemon) stopTasks(run *running) {
	for task, u := range run.sent.end() {
		d.metrics.cancels.Add(1)
		go func() {
			// The slot comes back with the answer of the task itself.
			_ = d.upstreams.Cancel(u.Address, run.entry.ID.String(), task, d.settings.Network.PeerTimeout)
		}()
	}
}
