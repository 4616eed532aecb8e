// Package intake keeps the jobs that a VM has taken from callers until each has
// its answer. It imports no network package and reads no clock.
//
// A job lives and dies with the VM that took it. Its tasks are offered to a
// dispatcher; where that one is lost, the tasks that have not ended are offered
// to the next one.
package intake

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/verdict"
)

// Outcome is the answer to a job.
type Outcome uint8

// Outcomes of a job.
const (
	// Succeeded means that every task has ended well.
	Succeeded Outcome = iota
	// Failed means that a task has failed for good.
	Failed
	// NotRun means that no task has started and none will.
	NotRun
	// Abandoned means that the job was given up after a task may have started.
	Abandoned
)

// String returns the form used in logs.
func (o Outcome) String() string {
	return [...]string{"succeeded", "failed", "not run", "given up"}[o]
}

// Answer is the end of a job.
type Answer struct {
	Outcome Outcome
	// Code and Reason say why a job did not succeed.
	Code   verdict.Code
	Reason string
	// RetryAfter is the wait after which the caller may send the job again; 0
	// gives no advice.
	RetryAfter time.Duration
	// Results are what the tasks of a job that succeeded have produced, in order.
	Results [][]byte
	// CompletedTasks is the number of tasks that have ended well.
	CompletedTasks int
}

// Job is a job that a caller waits for. ID, Spec and Arrived are immutable; the
// lock of its shard guards the rest.
type Job[S any] struct {
	ID      string
	Arrived time.Time
	// Spec is what the job asks for; it is opaque here and immutable.
	Spec S

	done    chan struct{}
	answer  Answer
	ended   bool
	open    []int // tasks that have not ended
	results [][]byte
	waiters int
	// The dispatcher that has the job: its VM and term; term 0 stands for none.
	vm      string
	term    uint64
	offered bool // some dispatcher may have started tasks
	// The VM and term that it was offered to last, where that may have had an effect.
	last     string
	lastTerm uint64
}

// Done is closed once the job has its answer.
func (j *Job[S]) Done() <-chan struct{} { return j.done }

const shardCount = 16

// Table holds jobs in shards by id. It is safe for concurrent use.
type Table[S any] struct{ shards [shardCount]shard[S] }

type shard[S any] struct {
	mu   sync.Mutex // guards the field below and the state of the jobs
	jobs map[string]*Job[S]
}

// New returns an empty table.
func New[S any]() *Table[S] {
	t := &Table[S]{}
	for i := range t.shards {
		t.shards[i].jobs = map[string]*Job[S]{}
	}
	return t
}

func (t *Table[S]) shard(id string) *shard[S] {
	return &t.shards[rendezvous.Hash(id)%shardCount]
}

// AddOrJoin enters a job of some tasks, or joins the one with the same id that is in
// progress. fresh tells which.
func (t *Table[S]) AddOrJoin(now time.Time, id string, spec S, tasks int) (j *Job[S], fresh bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j = s.jobs[id]; j != nil {
		j.waiters++
		return j, false
	}
	j = &Job[S]{ID: id, Arrived: now, Spec: spec, done: make(chan struct{}), waiters: 1, results: make([][]byte, tasks)}
	for i := range tasks {
		j.open = append(j.open, i)
	}
	s.jobs[id] = j
	return j, true
}

// Offer describes what is to be offered to a dispatcher.
type Offer[S any] struct {
	Job   *Job[S]
	Tasks []int
	// Resumed tells that another dispatcher may have started tasks, Previous and
	// Before the VM and term of the last one.
	Resumed      bool
	PreviousVM   string
	PreviousTerm uint64
}

// Assign hands a job to a dispatcher, unless it has ended or that one has it.
func (t *Table[S]) Assign(j *Job[S], vm string, term uint64) (Offer[S], bool) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.ended || j.term == term && j.vm == vm {
		return Offer[S]{}, false
	}
	offer := Offer[S]{Job: j, Tasks: slices.Clone(j.open), Resumed: j.offered, PreviousVM: j.last, PreviousTerm: j.lastTerm}
	j.vm, j.term, j.offered, j.last, j.lastTerm = vm, term, true, vm, term
	return offer, true
}

// Unassign notes that an offer had no effect (refused for sure), or that its
// effect is unknown.
func (t *Table[S]) Unassign(o Offer[S], vm string, term uint64, refused bool) {
	s := t.shard(o.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Job.vm != vm || o.Job.term != term {
		return
	}
	o.Job.vm, o.Job.term = "", 0
	if refused {
		o.Job.offered, o.Job.last, o.Job.lastTerm = o.Resumed, o.PreviousVM, o.PreviousTerm
	}
}

// Unassigned returns the jobs that the dispatcher of a term does not have.
func (t *Table[S]) Unassigned(vm string, term uint64) []*Job[S] {
	var jobs []*Job[S]
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			if !j.ended && (j.vm != vm || j.term != term) {
				jobs = append(jobs, j)
			}
		}
		s.mu.Unlock()
	}
	return jobs
}

// CompleteTask notes that a task has ended well, and what it has produced.
func (t *Table[S]) CompleteTask(id string, index int, result []byte) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil || j.ended {
		return
	}
	if at := slices.Index(j.open, index); at >= 0 {
		j.open = slices.Delete(j.open, at, at+1)
		j.results[index] = result
	}
	if len(j.open) == 0 {
		s.end(j, Answer{Outcome: Succeeded, Results: j.results})
	}
}

// Finish gives a job its answer, if it has none. It tells where the job was.
func (t *Table[S]) Finish(id string, a Answer) (vm string, term uint64, ended bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil || j.ended {
		return "", 0, false
	}
	if a.Outcome == NotRun && j.offered && j.term == 0 {
		a.Outcome = Abandoned // an earlier dispatcher may have started tasks
	}
	s.end(j, a)
	return j.vm, j.term, true
}

// Find returns the job with an id that has no answer yet, or nil.
func (t *Table[S]) Find(id string) *Job[S] {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// Progress tells which dispatcher has a job, empty for none, and how many of its
// tasks have not ended.
func (t *Table[S]) Progress(j *Job[S]) (vm string, open int) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.vm, len(j.open)
}

// FinishBy gives a job the answer of a dispatcher, unless the job has been handed to
// another one since: what that one does is not covered by the answer.
func (t *Table[S]) FinishBy(id, vm string, term uint64, a Answer) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil && j.vm == vm && j.term == term {
		s.end(j, a)
	}
}

// end gives a job its answer. The caller holds mu.
func (s *shard[S]) end(j *Job[S], a Answer) {
	a.CompletedTasks = len(j.results) - len(j.open)
	j.ended, j.answer = true, a
	delete(s.jobs, j.ID)
	close(j.done)
}

// RemoveWaiter notes that a caller waits no longer. Where nobody waits and the job has
// no answer, it ends: last tells that, and where its tasks are to be stopped.
func (t *Table[S]) RemoveWaiter(j *Job[S]) (vm string, term uint64, last bool) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	j.waiters--
	if j.waiters > 0 || j.ended {
		return "", 0, false
	}
	a := Answer{Outcome: Abandoned, Code: verdict.CodeCancelled, Reason: "the caller has left"}
	if !j.offered {
		a.Outcome = NotRun
	}
	s.end(j, a)
	return j.vm, j.term, true
}

// Answer returns the answer of a job that is done, and whether a dispatcher may
// have started tasks of it.
func (t *Table[S]) Answer(j *Job[S]) (a Answer, offered bool) {
	s := t.shard(j.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.answer, j.offered
}

// MayHaveStarted tells whether a dispatcher may have started tasks of a job.
func (t *Table[S]) MayHaveStarted(j *Job[S]) bool {
	_, offered := t.Answer(j)
	return offered
}

// Len returns the number of jobs without an answer.
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
