// Package eventqueue schedules functions in virtual time, for models and
// replays that read no clock.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds events ordered by time. Events at the same time keep the order in
// which they were scheduled. Its zero value is empty. It is not safe for
// concurrent use.
type Queue struct {
	events   events
	sequence int // sequence number of the last event
}

// Schedule adds an event at a time. Pop returns fn, which the caller must call.
func (q *Queue) Schedule(at time.Time, fn func()) {
	q.sequence++
	heap.Push(&q.events, event{at, q.sequence, fn})
}

// Pop removes and returns the earliest event. ok is false if the queue is
// empty.
func (q *Queue) Pop() (at time.Time, fn func(), ok bool) {
	if len(q.events) == 0 {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.fn, true
}

type event struct {
	at       time.Time
	sequence int
	fn       func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
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
