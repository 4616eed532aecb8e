package scheduler

import (
	"slices"
	"time"
)

// Size is what a task takes or an upstream has.
type Size struct {
	// MilliCPU is in thousandths of a core, MemoryMB in MB.
	MilliCPU, MemoryMB, Accelerators int
}

// FitsIn tells whether a size fits into another.
func (s Size) FitsIn(room Size) bool {
	return s.MilliCPU <= room.MilliCPU && s.MemoryMB <= room.MemoryMB && s.Accelerators <= room.Accelerators
}

func (s Size) plus(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Task identifies a task of a job.
type Task struct {
	Job string
	// Index is the place of the task in its job, from 0.
	Index int
}

// Run is one start of a task.
type Run struct {
	Task
	// Attempt numbers the starts of the task, from 1.
	Attempt int
}

// Job is what an origin offers. It is immutable.
type Job struct {
	ID string
	// Origin is the VM that took the job, OriginIncarnation its process.
	Origin            string
	OriginIncarnation uint64
	// Queue is the name by which run times are learnt, Service that of the
	// upstreams that may run the tasks.
	Queue, Service string
	Spec           string
	Size           Size
	// Priority is the class of the queue; 0 comes first.
	Priority int
	// Estimate is the declared run time of a task.
	Estimate time.Duration
	// Sent is the time at which the caller first sent the job, Deadline the one
	// until which the caller waits.
	Sent, Deadline time.Time
	// An answer is in time within Stretch times the longest run time of a task
	// and Slack more.
	Stretch float64
	Slack   time.Duration
	// MaxAttempts is the number of failed runs after which a task has failed.
	MaxAttempts int
	// Resumed tells that an earlier dispatcher may have started tasks, Before the
	// token of the last term in which the job was offered; 0 is unknown.
	Resumed       bool
	PreviousToken int64
	// AtMostOnce tells that a task that may have started never starts again: the job is
	// given up instead.
	AtMostOnce bool
	// Tasks are the indexes of the tasks to run.
	Tasks []int
	// Items are what the tasks work on, one for each; empty where the spec says
	// it all.
	Items [][]byte
}

// item returns what a task works on.
func (j *Job) item(index int) []byte {
	if at := slices.Index(j.Tasks, index); at >= 0 && at < len(j.Items) {
		return j.Items[at]
	}
	return nil
}
