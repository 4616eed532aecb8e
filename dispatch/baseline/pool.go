package baseline

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/submission"
)

// pool holds the upstreams of one service, each with its queue.
type pool struct {
	policy Policy

	mu     sync.Mutex // guards the fields below
	queues []*queue
	queued int
	next   int
	rng    *rand.Rand
}

type waiting struct {
	task   *dispatch.Task
	queued time.Time
}

// queue holds the tasks that are bound to one upstream.
type queue struct {
	upstream *dispatch.Upstream // immutable
	used     int
	waiting  []waiting
}

func (q *queue) outstanding() float64 {
	return float64(q.used+len(q.waiting)) / float64(q.upstream.Slots)
}

func (p *pool) usable() int {
	n := 0
	for _, q := range p.queues {
		if !q.upstream.Leaving {
			n++
		}
	}
	return n
}

// bind queues a task at an upstream and starts it where a slot is free. At
// least one upstream must be usable.
func (p *pool) bind(now time.Time, w waiting) []dispatch.Assignment {
	q := p.choose()
	q.waiting = append(q.waiting, w)
	p.queued++
	return p.start(now, q)
}

func (p *pool) choose() *queue {
	switch p.policy {
	case LeastOutstanding:
		return p.least()
	case TwoChoices:
		a, b := p.random(), p.random()
		if b.outstanding() < a.outstanding() {
			return b
		}
		return a
	default:
		return p.roundRobin()
	}
}

func (p *pool) roundRobin() *queue {
	for {
		q := p.queues[p.next%len(p.queues)]
		p.next++
		if !q.upstream.Leaving {
			return q
		}
	}
}

func (p *pool) random() *queue {
	for {
		if q := p.queues[p.rng.IntN(len(p.queues))]; !q.upstream.Leaving {
			return q
		}
	}
}

func (p *pool) least() *queue {
	var best *queue
	for _, q := range p.queues {
		if !q.upstream.Leaving && (best == nil || q.outstanding() < best.outstanding()) {
			best = q
		}
	}
	return best
}

// start assigns waiting tasks of a queue while slots are free.
func (p *pool) start(now time.Time, q *queue) []dispatch.Assignment {
	var assignments []dispatch.Assignment
	for len(q.waiting) > 0 && q.used < q.upstream.Slots {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		p.queued--
		q.used++
		assignments = append(assignments, dispatch.Assignment{
			Task: w.task, Upstream: q.upstream, Waited: now.Sub(w.queued), Reason: dispatch.Baseline,
		})
	}
	return assignments
}

func (p *pool) release(now time.Time, name string) []dispatch.Assignment {
	for _, q := range p.queues {
		if q.upstream.Name == name {
			q.used--
			return p.start(now, q)
		}
	}
	return nil
}

func (p *pool) remove(id submission.ID) int {
	removed := 0
	for _, q := range p.queues {
		kept := q.waiting[:0]
		for _, w := range q.waiting {
			if w.task.Submission == id {
				removed++
			} else {
				kept = append(kept, w)
			}
		}
		q.waiting = kept
	}
	p.queued -= removed
	return removed
}

func (p *pool) replace(now time.Time, upstreams []dispatch.Upstream) []dispatch.Assignment {
	known := map[string]*queue{}
	for _, q := range p.queues {
		known[q.upstream.Name] = q
	}
	p.queues = p.queues[:0]
	for _, u := range upstreams {
		q := known[u.Name]
		if q == nil {
			q = &queue{}
		}
		q.upstream = &u
		p.queues = append(p.queues, q)
		delete(known, u.Name)
	}
	var orphans []waiting
	for _, q := range known {
		orphans = append(orphans, q.waiting...)
		q.waiting = nil
		gone := *q.upstream
		gone.Leaving = true
		q.upstream = &gone
		if q.used > 0 {
			p.queues = append(p.queues, q)
		}
	}
	p.queued -= len(orphans)
	return p.rebind(now, orphans)
}

// rebind places tasks whose upstream has gone. Without a usable upstream they
// wait at a leaving one until their deadline.
func (p *pool) rebind(now time.Time, orphans []waiting) []dispatch.Assignment {
	var assignments []dispatch.Assignment
	for _, q := range p.queues {
		assignments = append(assignments, p.start(now, q)...)
	}
	if p.usable() == 0 {
		return assignments
	}
	for _, w := range orphans {
		assignments = append(assignments, p.bind(now, w)...)
	}
	return assignments
}
