// Package intake keeps the jobs that a VM has taken from callers until each is
// answered. It imports no network package and reads no clock.
//
// The tasks of a job are offered to a dispatcher. If that dispatcher fails, the
// unfinished tasks are offered to the next one. If the VM that took the job fails,
// the job is lost.
package intake

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
)

// Outcome classifies the answer to a job.
type Outcome uint8

// Outcomes of a job.
const (
	// Succeeded means that every task has succeeded.
	Succeeded Outcome = iota
	// Failed means that a task has failed and is not retried.
	Failed
	// NotRun means that no task has started and none will start.
	NotRun
	// Abandoned means that the job was abandoned after a task may have started.
	Abandoned
)

// String returns the text form used in logs.
func (o Outcome) String() string {
	return [...]string{"succeeded", "failed", "not run", "given up"}[o]
}

// CallerLeft is the reason of an answer that no caller waits for.
const CallerLeft = "the caller stopped waiting"

// Answer is the final result of a job.
type Answer struct {
	Outcome Outcome
	// Code and Reason explain why a job did not succeed.
	Code   verdict.Code
	Reason string
	// RetryAfter is the time after which the caller may submit the job again; 0
	// gives no advice.
	RetryAfter time.Duration
	// Results are the results of the tasks in their order, if the job
	// succeeded.
	Results [][]byte
	// CompletedTasks is the number of tasks that have succeeded.
	CompletedTasks int
}

// Job is a job that its caller waits for. ID, Submission, Spec and Arrived are
// immutable; the lock of its shard guards the other fields.
type Job[S any] struct {
	ID string
	// Submission distinguishes the submissions of a job to this VM, also across processes.
	Submission uint64
	Arrived    time.Time
	// Spec describes the job. It is opaque to this package.
	Spec S

	done       chan struct{}
	answer     Answer
	finished   bool
	unfinished []int // indexes of the tasks that have not succeeded
	results    [][]byte
	requests   int // number of requests for the job; the last one is the caller's
	// VM and term of the dispatcher that the job is assigned to; term 0 means
	// none.
	vm             string
	term           uint64
	mayHaveStarted bool // a dispatcher may have started tasks
	// dataCentre is that of the last dispatcher to which the job was assigned; empty if one
	// dispatcher serves all.
	dataCentre string
	// VM and term of the last dispatcher whose offer may have had an effect.
	lastVM   string
	lastTerm uint64
	// histories counts the unsuccessful runs of tasks by their index; nil if there are none.
	histories map[int]history.Task
	// completedOn holds the upstreams of completed tasks as far as dispatchers have told them.
	completedOn map[int]string
}

// Done returns a channel that is closed once the job is answered.
func (j *Job[S]) Done() <-chan struct{} { return j.done }

const shardCount = 16

// Table holds the unanswered jobs in shards by id. It is safe for concurrent
// use.
type Table[S any] struct {
	shards         [shardCount]shard[S]
	lastSubmission atomic.Uint64
}

type shard[S any] struct {
	mu   sync.Mutex // guards the fields below and the mutable fields of each job
	jobs map[string]*Job[S]
	// ended holds the histories of jobs that were answered without success, by id.
	ended map[string]endedJob
}

// New returns an empty table.
func New[S any]() *Table[S] {
	t := &Table[S]{}
	for i := range t.shards {
		t.shards[i].jobs, t.shards[i].ended = map[string]*Job[S]{}, map[string]endedJob{}
	}
	return t
}

func (t *Table[S]) shard(id string) *shard[S] {
	return &t.shards[rendezvous.Hash(id)%shardCount]
}

// nextSubmission returns a number above all earlier ones, also of earlier processes as long
// as the time of day does not run backwards: a request does not arrive before its process
// has started.
func (t *Table[S]) nextSubmission(arrived time.Time) uint64 {
	for {
		last := t.lastSubmission.Load()
		next := max(last+1, uint64(arrived.UnixMicro()))
		if t.lastSubmission.CompareAndSwap(last, next) {
			return next
		}
	}
}

// AddOrJoin adds a job with the given number of tasks, whose request arrived at the given
// time. If a job with the same id is in progress, the request joins that one instead. request
// is the number of the request among those for the job: 1 if the job was added.
func (t *Table[S]) AddOrJoin(arrived time.Time, id string, spec S, tasks int) (j *Job[S], request int) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j = s.jobs[id]; j != nil {
		j.requests++
		return j, j.requests
	}
	j = &Job[S]{ID: id, Submission: t.nextSubmission(arrived), Arrived: arrived, Spec: spec, done: make(chan struct{}), requests: 1, results: make([][]byte, tasks)}
	for i := range tasks {
		j.unfinished = append(j.unfinished, i)
	}
	if ended, present := s.ended[id]; present {
		j.histories = ended.histories
		delete(s.ended, id)
	}
	s.jobs[id] = j
	return j, 1
}

// Offer describes the tasks to offer to a dispatcher.
type Offer[S any] struct {
	Job   *Job[S]
	Tasks []int
	// Resumed reports that another dispatcher may have started tasks.
	// PreviousVM and PreviousTerm identify the last such dispatcher.
	Resumed      bool
	PreviousVM   string
	PreviousTerm uint64
	// Histories counts the unsuccessful runs of tasks by their index.
	Histories map[int]history.Task
	// Completed holds the upstream of each completed task by its index, empty if unknown.
	Completed map[int]string
}

// Assign assigns a job to a dispatcher. It returns false if the job is answered
// or already assigned to that dispatcher. One dispatcher serves all data centres.
func (t *Table[S]) Assign(j *Job[S], vm string, term uint64) (Offer[S], bool) {
	return t.AssignIn(j, "", vm, term)
}

// assign assigns the job to a dispatcher. The caller holds mu of the shard.
func (j *Job[S]) assign(vm string, term uint64) Offer[S] {
	offer := Offer[S]{Job: j, Tasks: slices.Clone(j.unfinished), Resumed: j.mayHaveStarted, PreviousVM: j.lastVM, PreviousTerm: j.lastTerm, Histories: maps.Clone(j.histories), Completed: j.completed()}
	j.vm, j.term, j.mayHaveStarted, j.lastVM, j.lastTerm = vm, term, true, vm, term
	return offer
}

// Unassign undoes an assignment after a failed offer. refused reports that the
// dispatcher certainly started nothing; otherwise it may have started tasks.
func (t *Table[S]) Unassign(o Offer[S], vm string, term uint64, refused bool) {
	s := t.shard(o.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Job.vm != vm || o.Job.term != term {
		return
	}
	o.Job.vm, o.Job.term = "", 0
	if refused {
		o.Job.mayHaveStarted, o.Job.lastVM, o.Job.lastTerm = o.Resumed, o.PreviousVM, o.PreviousTerm
	}
}

// Unassigned returns the jobs that are not assigned to the dispatcher of a
// term.
func (t *Table[S]) Unassigned(vm string, term uint64) []*Job[S] {
	return t.unanswered(func(j *Job[S]) bool { return j.vm != vm || j.term != term })
}

// All returns the unanswered jobs.
func (t *Table[S]) All() []*Job[S] {
	return t.unanswered(func(*Job[S]) bool { return true })
}

// unanswered returns the unanswered jobs for which a condition holds. It calls the condition
// with the lock of the job held.
func (t *Table[S]) unanswered(holds func(*Job[S]) bool) []*Job[S] {
	var jobs []*Job[S]
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			if !j.finished && holds(j) {
				jobs = append(jobs, j)
			}
		}
		s.mu.Unlock()
	}
	return jobs
}

// completed returns the upstream of each completed task, or nil if there are none. The caller
// holds mu of the shard.
func (j *Job[S]) completed() map[int]string {
	if len(j.unfinished) == len(j.results) {
		return nil
	}
	all := map[int]string{}
	for index := range j.results {
		if !slices.Contains(j.unfinished, index) {
			all[index] = j.completedOn[index]
		}
	}
	return all
}

// NoteCompletedOn records the upstream of a task. It must be called before CompleteTask.
func (t *Table[S]) NoteCompletedOn(id string, index int, upstream string) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil || !slices.Contains(j.unfinished, index) {
		return
	}
	if j.completedOn == nil {
		j.completedOn = map[int]string{}
	}
	j.completedOn[index] = upstream
}

// CompleteTask records the result of a task that succeeded. The last one
// answers the job. CompleteTask returns the dispatcher that the job is assigned to;
// term is 0 if there is none or the job is already answered.
func (t *Table[S]) CompleteTask(id string, index int, result []byte) (vm string, term uint64) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil || j.finished {
		return "", 0
	}
	if at := slices.Index(j.unfinished, index); at >= 0 {
		j.unfinished = slices.Delete(j.unfinished, at, at+1)
		j.results[index] = result
	}
	if len(j.unfinished) == 0 {
		s.finish(j, Answer{Outcome: Succeeded, Results: j.results})
	}
	return j.vm, j.term
}

// Finish answers a submission of a job and returns the dispatcher that may have it, also if
// the job is unassigned because the offer got no answer; term is 0 if there is none.
// finished is false if it is not unanswered. NotRun becomes Abandoned if a dispatcher may have
// started tasks.
func (t *Table[S]) Finish(id string, submission uint64, a Answer) (vm string, term uint64, finished bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil || j.finished || j.Submission != submission {
		return "", 0, false
	}
	if a.Outcome == NotRun && j.mayHaveStarted {
		a.Outcome = Abandoned
	}
	s.finish(j, a)
	return j.lastVM, j.lastTerm, true
}

// Find returns the unanswered job with an id, or nil.
func (t *Table[S]) Find(id string) *Job[S] {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// LastOffer returns the dispatcher whose offer of a job may have had an effect last; term is
// 0 if there is none.
func (t *Table[S]) LastOffer(j *Job[S]) (vm string, term uint64) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.lastVM, j.lastTerm
}

// Progress returns the VM of the dispatcher that has a job, empty if none, and
// the number of unfinished tasks.
func (t *Table[S]) Progress(j *Job[S]) (vm string, open int) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.vm, len(j.unfinished)
}

// FinishBy answers a submission of a job on behalf of a dispatcher. It does nothing if the
// job has been assigned to another one since, because the answer does not cover what that
// one does.
func (t *Table[S]) FinishBy(id string, submission uint64, vm string, term uint64, a Answer) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil && j.Submission == submission && j.vm == vm && j.term == term {
		s.finish(j, a)
	}
}

// finish answers a job. The caller holds mu.
func (s *shard[S]) finish(j *Job[S], a Answer) {
	a.CompletedTasks = len(j.results) - len(j.unfinished)
	j.finished, j.answer = true, a
	delete(s.jobs, j.ID)
	if a.Outcome != Succeeded && len(j.histories) > 0 {
		s.rememberEnded(j)
	}
	close(j.done)
}

// EndRequest records that the caller no longer waits for a request. If it is the last request
// for the job and the job is unanswered, the job is answered as cancelled; ended is then true,
// and vm and term identify the dispatcher on which to stop its tasks, as for Finish. The caller
// has sent the last request because the earlier ones were lost to it, so these end nothing.
func (t *Table[S]) EndRequest(j *Job[S], request int) (vm string, term uint64, ended bool) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if request < j.requests || j.finished {
		return "", 0, false
	}
	a := Answer{Outcome: Abandoned, Code: verdict.CodeCancelled, Reason: CallerLeft}
	if !j.mayHaveStarted {
		a.Outcome = NotRun
	}
	s.finish(j, a)
	return j.lastVM, j.lastTerm, true
}

// Answer returns the answer of a finished job and reports whether a dispatcher
// may have started its tasks.
func (t *Table[S]) Answer(j *Job[S]) (a Answer, mayHaveStarted bool) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.answer, j.mayHaveStarted
}

// MayHaveStarted reports whether a dispatcher may have started tasks of a job.
func (t *Table[S]) MayHaveStarted(j *Job[S]) bool {
	_, mayHaveStarted := t.Answer(j)
	return mayHaveStarted
}

// Len returns the number of unanswered jobs.
func (t *Table[S]) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.jobs)
		s.mu.Unlock()
	}
	return n
}
