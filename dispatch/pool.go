package dispatch

import (
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/submission"
)

// classCount is the number of priority classes.
const classCount = int(catalog.Urgent) + 1

// pool holds the waiting tasks and the slots of one service.
type pool struct {
	mu     sync.Mutex // guards the fields below
	queues [classCount][]*Task
	queued int
	slots  []*slots
}

// slots counts the tasks that an upstream runs.
type slots struct {
	upstream Upstream
	used     int
}

func (p *pool) push(task *Task) {
	class := task.Call.Priority
	p.queues[class] = append(p.queues[class], task)
	p.queued++
}

// pop takes the oldest task of the highest class, or nil.
func (p *pool) pop() *Task {
	for class := classCount - 1; class >= 0; class-- {
		if queue := p.queues[class]; len(queue) > 0 {
			p.queues[class] = queue[1:]
			p.queued--
			return queue[0]
		}
	}
	return nil
}

func (p *pool) remove(id submission.ID) int {
	removed := 0
	for class, queue := range p.queues {
		kept := queue[:0]
		for _, task := range queue {
			if task.Submission == id {
				removed++
			} else {
				kept = append(kept, task)
			}
		}
		p.queues[class] = kept
	}
	p.queued -= removed
	return removed
}

// assign binds waiting tasks to free slots while there are both.
func (p *pool) assign(now time.Time) []Assignment {
	var assignments []Assignment
	for p.queued > 0 {
		free := p.free()
		if free == nil {
			break
		}
		task := p.pop()
		free.used++
		assignments = append(assignments, Assignment{
			Task: task, Upstream: free.upstream, Waited: now.Sub(task.queued), Reason: FirstFree,
		})
	}
	return assignments
}

// free returns the upstream with the most free slots, or nil.
func (p *pool) free() *slots {
	var best *slots
	for _, s := range p.slots {
		if s.upstream.Leaving || s.used >= s.upstream.Slots {
			continue
		}
		if best == nil || s.upstream.Slots-s.used > best.upstream.Slots-best.used {
			best = s
		}
	}
	return best
}

func (p *pool) release(name string) {
	for _, s := range p.slots {
		if s.upstream.Name == name {
			s.used--
			return
		}
	}
}

// replace takes a new list of upstreams and keeps the counts of known ones.
func (p *pool) replace(upstreams []Upstream) {
	known := map[string]*slots{}
	for _, s := range p.slots {
		known[s.upstream.Name] = s
	}
	p.slots = p.slots[:0]
	for _, u := range upstreams {
		s := known[u.Name]
		if s == nil {
			s = &slots{}
		}
		s.upstream = u
		p.slots = append(p.slots, s)
		delete(known, u.Name)
	}
	for _, s := range known {
		if s.used > 0 {
			s.upstream.Leaving = true
			p.slots = append(p.slots, s)
		}
	}
}
