package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/history"
)

// Size is the resource demand of a task or the capacity of an upstream.
type Size struct {
	// MilliCPU is in thousandths of a core, MemoryMB in MB.
	MilliCPU, MemoryMB, Accelerators int
}

// FitsIn reports whether s is within the given capacity in every dimension.
func (s Size) FitsIn(capacity Size) bool {
	return s.MilliCPU <= capacity.MilliCPU && s.MemoryMB <= capacity.MemoryMB && s.Accelerators <= capacity.Accelerators
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
	// Index is the position of the task in its job, from 0.
	Index int
}

// Run is one attempt to run a task on an upstream.
type Run struct {
	Task
	// Attempt is the number of the attempt, from 1.
	Attempt int
}

// Job is a job as its origin offers it. Once it is accepted, only Origin,
// OriginIncarnation, Submission, Term and Deadline change, when the job is offered again.
type Job struct {
	ID string
	// Origin is the VM that took the job from its caller, OriginIncarnation its process.
	Origin            string
	OriginIncarnation uint64
	// DataCentre is that of the origin, or empty if it is unknown. Of about equally good
	// upstreams, those in it are preferred.
	DataCentre string
	// Submission distinguishes the submissions of the job to its origin.
	Submission uint64
	// Term identifies the offer at its origin. Notices about the job name it.
	Term uint64
	// Account identifies the flow of the job below its queue: the caller's account or the data
	// centre of the origin. If it is empty, the origin stands for it.
	Account string
	// Queue is the key of the run time model. Service is the service whose
	// upstreams may run the tasks.
	Queue, Service string
	Spec           string
	Size           Size
	// Priority is the priority class of the queue; 0 is the highest.
	Priority int
	// Estimate is the declared run time of a task.
	Estimate time.Duration
	// Sent is the time at which the caller first sent the job. The caller waits
	// until Deadline.
	Sent, Deadline time.Time
	// An answer is in time within Stretch times the longest run time of a task,
	// plus Slack.
	Stretch float64
	Slack   time.Duration
	// MaxAttempts is the number of failed runs after which a task fails.
	MaxAttempts int
	// Resumed reports whether an earlier dispatcher may have started tasks.
	// PreviousToken is the token of the term in which the job was last offered, or
	// 0 if unknown.
	Resumed       bool
	PreviousToken int64
	// Histories counts the unsuccessful runs of tasks that the origin knows of, by index.
	Histories map[int]history.Task
	// AtMostOnce forbids starting a task again that may have started. The job is
	// abandoned instead.
	AtMostOnce bool
	// Tasks holds the indexes of the tasks to run.
	Tasks []int
	// Items holds the input of each task; it is empty if Spec contains it all.
	Items [][]byte
	// Constraints restrict the upstreams of the tasks; nil if any will do.
	Constraints *Constraints

	// returnAt is the time at which the runs must be over in a split, or zero if the caller
	// never returns.
	returnAt time.Time
}

// item returns the input of a task.
func (j *Job) item(index int) []byte {
	if at := slices.Index(j.Tasks, index); at >= 0 && at < len(j.Items) {
		return j.Items[at]
	}
	return nil
}
