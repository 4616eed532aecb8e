// Package eventqueue keeps what is to happen at virtual times, for models and replays that
// read no clock.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is what is to happen, by time; what falls on one time happens in the order in
// which it was entered. Its zero value is empty. It is for one goroutine.
type Queue struct {
	events events
	order  int // of the next event
}

// Schedule enters what is to happen at a time.
func (a *Queue) Schedule(at time.Time, do func()) {
	a.order++
	heap.Push(&a.events, event{at, a.order, do})
}

// Pop takes out what happens next; ok is false where nothing is left.
func (a *Queue) Pop() (at time.Time, do func(), ok bool) {
	if len(a.events) == 0 {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&a.events).(event)
	return e.at, e.fn, true
}

type event struct {
	at    time.Time
	order int
	fn    func()
}

// events is a heap.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
