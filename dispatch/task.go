package dispatch

import (
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/submission"
)

// Task is one task of a job. It is immutable once added.
type Task struct {
	Submission submission.ID
	// Index is the place of the task in its job, from 0.
	Index    int
	Call     *catalog.Call
	Deadline time.Time
	// Work is opaque to the dispatcher and belongs to its caller.
	Work any

	queued  time.Time
	refused int
}

// CountRefusal counts a refusal of the task by an upstream and returns their
// number. Only the dispatcher that placed the task may call it.
func (t *Task) CountRefusal() int {
	t.refused++
	return t.refused
}

// Upstream is a VM that runs tasks of one service.
type Upstream struct {
	Name, Service, Address, Rack string
	// Slots is the number of tasks that this VM may run there at once.
	Slots   int
	Size    catalog.Size
	Leaving bool
}

// Assignment binds a task to a free slot of an upstream.
type Assignment struct {
	Task     *Task
	Upstream *Upstream // immutable
	// Waited is the time that the task spent in the queue.
	Waited time.Duration
	Reason Reason

	slots *slots
}

// Reason says why an upstream was chosen.
type Reason uint8

// Reasons of an assignment.
const (
	// Fastest means that no faster upstream had a free slot.
	Fastest Reason = iota
	// Borrowed means that the slot was lent by a peer.
	Borrowed
	// Baseline means that a baseline policy chose.
	Baseline
)

// String returns the form used in logs.
func (r Reason) String() string {
	return [...]string{Fastest: "fastest", Borrowed: "borrowed", Baseline: "baseline"}[r]
}

// Ending says how an assignment ended.
type Ending uint8

// Endings of an assignment.
const (
	// Done means that the task started and succeeded.
	Done Ending = iota
	// Failed means that the task started, or may have, and did not succeed.
	Failed
	// Refused means that the upstream did not start the task.
	Refused
	// Skipped means that the task was not sent, since its job had ended.
	Skipped
	// Withheld means that the task was not sent, since this process may not
	// start tasks for the moment. It is queued again; the upstream has no part
	// in it.
	Withheld
)

// Result tells how an assignment ended.
type Result struct {
	Ending Ending
	// Took is the time from the start to the answer.
	Took time.Duration
	// Leaving tells that the upstream announced that it takes no more tasks.
	Leaving bool
}
