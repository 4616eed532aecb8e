package scheduler

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/verdict"
)

// Constraints restrict the upstreams of a job's tasks. They are immutable.
type Constraints struct {
	// Rack is the rack of the job's data. SameRack means that the tasks are faster in one rack.
	// Neither is required: elsewhere a task takes SpreadFactor times as long, at least 1.
	Rack         string
	SameRack     bool
	SpreadFactor float64
	// Label must be a label of the upstream, unless it is empty.
	Label string
	// MaxPerUpstream is the greatest number of tasks of the job that may run on one upstream,
	// together with those that have ended there; 0 means any number.
	MaxPerUpstream int
	// Completed holds the upstream of each task that has completed under an earlier
	// dispatcher, by task index; empty if unknown.
	Completed map[int]string
}

// label returns the label that upstreams must have, or an empty string.
func (j *Job) label() string {
	if j.Constraints == nil {
		return ""
	}
	return j.Constraints.Label
}

// maxPerUpstream returns the greatest number of tasks on one upstream; 0 means any number.
func (j *Job) maxPerUpstream() int {
	if j.Constraints == nil {
		return 0
	}
	return j.Constraints.MaxPerUpstream
}

// checkConstraints rejects a job whose constraints cannot be kept, because it is unknown where
// earlier dispatchers have run completed tasks.
func (j *Job) checkConstraints() *verdict.Error {
	if j.maxPerUpstream() == 0 {
		return nil
	}
	for _, upstream := range j.Constraints.Completed {
		if upstream == "" {
			return verdict.Errorf(verdict.MayHaveRun, verdict.CodeOwnerLost, "it is not known on which upstreams completed tasks of the job have run")
		}
	}
	return nil
}

func (u *Upstream) hasLabel(label string) bool { return slices.Contains(u.Labels, label) }

// allows reports whether an upstream has the label that a job requires.
func (j *Job) allows(u *Upstream) bool {
	label := j.label()
	return label == "" || u.hasLabel(label)
}

// keepsConstraints reports whether a task with constraints may start on an upstream.
func (c *candidate) keepsConstraints(u *upstream) bool {
	if !c.job.allows(&u.Upstream) {
		return false
	}
	limit := c.job.maxPerUpstream()
	if limit == 0 {
		return true
	}
	if c.basis.Resumed && !u.startTime().Before(c.job.Sent.Add(-processStartMargin)) {
		return false // an earlier process may have run tasks for an earlier dispatcher
	}
	return u.otherTasks(c) < limit
}

// placedTasks holds the tasks of a job that have had an upstream, by index.
type placedTasks struct {
	indexes map[int]struct{}
	until   time.Time // when they can be forgotten
}

// foundRetention is the time for which tasks are remembered whose job, and thus whose deadline,
// is unknown: the longest time that callers wait, and attemptRetention.
const foundRetention = time.Minute + attemptRetention

// notePlaced records that a task may run on the upstream. It reports whether this was not known.
func (u *upstream) notePlaced(task Task, until time.Time) (added bool) {
	if u.placed == nil {
		u.placed = placedJobs{}
	}
	return u.placed.add(task, until)
}

// forgetPlaced reverts notePlaced for a run that has had no effect.
func (u *upstream) forgetPlaced(r *run) {
	p := u.placed[r.Job]
	if !r.firstHere || p == nil {
		return
	}
	if delete(p.indexes, r.Index); len(p.indexes) == 0 {
		delete(u.placed, r.Job)
	}
}

// placedJobs holds the tasks that may have run on an upstream, by job.
type placedJobs map[string]*placedTasks

// expire forgets the tasks of jobs that no caller waits for.
func (p placedJobs) expire(now time.Time) {
	for id, tasks := range p {
		if now.After(tasks.until) {
			delete(p, id)
		}
	}
}

// add records that a task may run. It reports whether this was not known.
func (p placedJobs) add(task Task, until time.Time) (added bool) {
	tasks := p[task.Job]
	if tasks == nil {
		tasks = &placedTasks{indexes: map[int]struct{}{}}
		p[task.Job] = tasks
	}
	tasks.until = later(tasks.until, until)
	_, known := tasks.indexes[task.Index]
	tasks.indexes[task.Index] = struct{}{}
	return !known
}

// keepPlaced keeps what is known of an upstream that is removed, because it may return. The caller
// holds mu.
func (s *upstreamShard) keepPlaced(name string, placed placedJobs) {
	if len(placed) == 0 {
		return
	}
	if s.leftPlaced == nil {
		s.leftPlaced = map[string]placedJobs{}
	}
	s.leftPlaced[name] = placed
}

// otherTasks returns the number of tasks of a candidate's job, other than its own, that may run
// or may have run on the upstream: those of this dispatcher and of earlier ones, and those of
// former submissions, which may have had no limit.
func (u *upstream) otherTasks(c *candidate) int {
	p := u.placed[c.job.ID]
	counted := map[int]struct{}{}
	count := func(index int) {
		if index != c.index {
			counted[index] = struct{}{}
		}
	}
	if p != nil {
		for index := range p.indexes {
			count(index)
		}
	}
	for task := range u.runs {
		if task.Job == c.job.ID {
			count(task.Index)
		}
	}
	for task := range u.orphans {
		if task.Job == c.job.ID {
			count(task.Index)
		}
	}
	for index, name := range c.job.Constraints.Completed {
		if name == u.Name {
			count(index)
		}
	}
	return len(counted)
}

// NoteCompletedOn records the upstream on which a task has completed under an earlier
// dispatcher. It must be called before CompleteElsewhere.
func (s *Scheduler) NoteCompletedOn(now time.Time, task Task, upstream string) {
	if upstream == "" {
		return
	}
	shard := s.upstreamShardFor(upstream)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	until := now.Add(foundRetention)
	if u := shard.byName[upstream]; u != nil {
		u.notePlaced(task, until)
		return
	}
	left := shard.leftPlaced[upstream]
	if left == nil {
		left = placedJobs{}
	}
	left.add(task, until)
	shard.keepPlaced(upstream, left)
}
