package replay

import (
	"fmt"
	"sync"

	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/scheduler"
)

// soakJudge checks what callers and upstreams see while a soak runs. It is safe for
// concurrent use.
type soakJudge struct {
	mu       sync.Mutex // guards the fields below
	jobs     map[string]*soakJob
	running  map[scheduler.Task]string // upstream, of the runs that go on
	done     map[scheduler.Task]bool
	starts   int
	broken   []string // the first soakBreaches of them
	breaches int
	answered map[string]int // jobs by their end
}

// soakBreaches is how many broken promises a report tells in words: enough to find the
// first cause; those that follow from it are only counted.
const soakBreaches = 20

// soakJob is what is known of a job that a caller has handed in.
type soakJob struct {
	tasks    int
	started  bool
	attempts int
	refused  int // attempts that were answered with "not run"
	ended    bool
}

func newSoakJudge() *soakJudge {
	return &soakJudge{
		jobs: map[string]*soakJob{}, running: map[scheduler.Task]string{}, done: map[scheduler.Task]bool{}, answered: map[string]int{},
	}
}

// breach notes a broken promise. The caller holds mu.
func (j *soakJudge) breach(format string, args ...any) {
	j.breaches++
	if len(j.broken) < soakBreaches {
		j.broken = append(j.broken, fmt.Sprintf(format, args...))
	}
}

// attempt notes that a job is about to be sent.
func (j *soakJudge) attempt(id string, tasks int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := j.jobs[id]
	if job == nil {
		job = &soakJob{tasks: tasks}
		j.jobs[id] = job
	}
	job.attempts++
}

// started notes a start on an upstream and what runs there.
func (j *soakJudge) started(upstream string, capacity scheduler.Size, run scheduler.Run, used scheduler.Size) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	if job := j.jobs[run.Job]; job == nil {
		j.breach("%v starts on %s, and no caller has sent its job", run, upstream)
	} else {
		job.started = true
	}
	if at := j.running[run.Task]; at != "" {
		j.breach("%v starts on %s while it runs on %s", run, upstream, at)
	}
	j.running[run.Task] = upstream
	if !used.FitsIn(capacity) {
		j.breach("%s holds %+v of %+v with %v", upstream, used, capacity, run)
	}
}

// ended notes the end of a run.
func (j *soakJudge) ended(upstream string, run scheduler.Run, how scheduler.CompletionKind) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running[run.Task] == upstream {
		delete(j.running, run.Task)
	}
	if how == scheduler.CompletionDone {
		j.done[run.Task] = true
	}
}

// answer notes what a caller was told. It returns whether the job is to be sent
// again.
func (j *soakJudge) answer(id string, a platform.JobResponse) (again bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job := j.jobs[id]
	switch {
	case a.OutcomeUnknown:
		j.answered["no answer"]++
		return true
	case a.NotRun:
		job.refused++
		j.answered["not run"]++
	case a.Succeeded:
		j.answered["succeeded"]++
		for index := range job.tasks {
			if !j.done[scheduler.Task{Job: id, Index: index}] {
				j.breach("job %s is answered as succeeded, and task %d has not ended well", id, index)
			}
		}
	case a.Status >= 500 || a.Status < 200 || a.Status == 400:
		j.breach("job %s is answered with status %d", id, a.Status)
	default:
		j.answered["failed"]++
	}
	job.ended = true
	return false
}

// finish checks what can be told at the end only.
func (j *soakJudge) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, job := range j.jobs {
		if job.started && job.refused == job.attempts {
			j.breach("every attempt of job %s was answered with \"not run\", and a task of it has started", id)
		}
	}
	for task, upstream := range j.running {
		if job := j.jobs[task.Job]; job != nil && job.ended {
			j.breach("%v still runs on %s at the end, and its job was answered", task, upstream)
		}
	}
}

// report returns the counts and the broken promises; the last line counts those that
// are not told.
func (j *soakJudge) report() (jobs, starts int, answered map[string]int, broken []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	broken = j.broken
	if more := j.breaches - len(broken); more > 0 {
		broken = append(broken[:len(broken):len(broken)], fmt.Sprintf("%d more", more))
	}
	return len(j.jobs), j.starts, j.answered, broken
}
