package ownership

import (
	"fmt"
	"slices"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"pgregory.net/rapid"
)

// submit makes a call at a process.
func (w *world) submit(p *process, id submission.ID) {
	w.route(&attempt{at: p, deadline: w.now.Add(callTimeout), call: Call{
		ID: id, Digest: 1, Expires: w.now.Add(callTimeout + retention),
	}, reply: w.checkAnswer(id)})
}

// checkAnswer returns a function that checks the answer to a call.
func (w *world) checkAnswer(id submission.ID) func(submission.Outcome, StepKind) {
	return func(o submission.Outcome, _ StepKind) {
		if o.Failure == nil {
			w.answers["complete"]++
			if len(o.Results) != taskCount || string(o.Results[0]) != id.String() {
				w.t.Fatalf("%s got the answer of another submission: %q", id, o.Results)
			}
			return
		}
		w.answers[o.Failure.Verdict.String()]++
	}
}

func (w *world) route(a *attempt) {
	w.attempts = append(w.attempts, a)
	w.step(a)
}

// step routes an attempt at its process.
func (w *world) step(a *attempt) {
	if a.done || a.busy || !w.running(a.at) {
		return
	}
	if a.entry != nil {
		w.await(a)
		return
	}
	if w.now.After(a.deadline) {
		v := verdict.MayHaveRun
		if a.at.node.ProvablyNotRun(w.now, a.call) {
			v = verdict.NotRun
		}
		w.finishChecked(a, submission.Outcome{Failure: verdict.Errorf(v, verdict.CodeDeadline, "deadline")}, Answer)
		return
	}
	w.applyStep(a, a.at.node.Begin(w.now, a.call))
}

func (w *world) applyStep(a *attempt, s Step) {
	switch s.Kind {
	case Answer, Unstarted:
		w.finishChecked(a, s.Outcome, s.Kind)
	case Await:
		a.entry = s.Entry
		w.await(a)
	case Run:
		a.entry = s.Entry
		a.at.jobs = append(a.at.jobs, &simJob{entry: s.Entry})
	case StoreRecord:
		w.record(a, s)
	case Forward:
		w.forward(a, s.To, 0)
	case ForwardPinned:
		w.forward(a, s.To, s.To.ID())
	}
}

func (w *world) await(a *attempt) {
	select {
	case <-a.entry.Done():
		if a.entry.Abandoned() {
			a.entry = nil
			return
		}
		w.finishChecked(a, a.entry.Outcome(), Answer)
	default:
	}
}

func (w *world) record(a *attempt, s Step) {
	a.busy = true
	m := &Records{From: a.at.node.View().Self, To: s.To.ID(), Records: []submission.Record{s.Entry.Record}}
	finish := func(next Step) {
		if a.busy {
			a.busy = false
			w.applyStep(a, next)
		}
	}
	w.send(a.at, s.To, func(q *process) func() {
		reply := q.node.HandleRecords(w.now, m)
		return func() {
			if !reply.Accepted {
				finish(a.at.node.RecordFailed(s.Entry))
				return
			}
			if a.busy {
				finish(a.at.node.RecordAcknowledged(s.Entry, s.To))
			}
		}
	}, func() {
		if a.busy && a.at.alive {
			finish(a.at.node.RecordFailed(s.Entry))
		}
	})
}

func (w *world) forward(a *attempt, to membership.Member, pinnedTo membership.ID) {
	if a.hops > 3 {
		return
	}
	a.busy = true
	call := a.call
	call.PinnedTo = pinnedTo
	w.send(a.at, to, func(q *process) func() {
		child := &attempt{at: q, call: call, deadline: a.deadline, hops: a.hops + 1}
		child.reply = func(o submission.Outcome, kind StepKind) {
			w.post(&message{from: q.vm, to: a.at.vm, lost: func() { a.busy = false }, deliver: func() {
				if !w.running(a.at) || !a.busy {
					return
				}
				a.busy = false
				if kind == Unstarted {
					w.applyStep(a, a.at.node.HandleUnstarted(call.ID, to))
					return
				}
				w.finish(a, o, kind)
			}})
		}
		w.route(child)
		return func() {}
	}, func() { a.busy = false })
}

// finishChecked finishes an attempt that its process answers itself. It fails the
// test if the answer is "not run" for a submission that has started.
func (w *world) finishChecked(a *attempt, o submission.Outcome, kind StepKind) {
	if o.Failure != nil && o.Failure.Verdict == verdict.NotRun {
		for i := range taskCount {
			if w.starts[fmt.Sprint(a.call.ID, i)] > 0 {
				w.t.Fatalf("%s: %s answered not run for %s, which has started", w.now, a.at.vm, a.call.ID)
			}
		}
	}
	w.finish(a, o, kind)
}

func (w *world) finish(a *attempt, o submission.Outcome, kind StepKind) {
	a.done = true
	a.reply(o, kind)
}

// progress runs tasks of randomly chosen jobs and advances every attempt.
func (w *world) progress() {
	w.eachRunning(func(p *process) {
		for _, j := range p.jobs {
			if !j.finished && rapid.IntRange(0, 2).Draw(w.t, "task") > 0 {
				w.runTask(p, j)
			}
		}
	})
	for _, a := range slices.Clone(w.attempts) {
		w.step(a)
	}
	w.attempts = slices.DeleteFunc(w.attempts, func(a *attempt) bool { return a.done || !a.at.alive })
}

// runTask starts the next task of a job, or finishes the job after its last one.
func (w *world) runTask(p *process, j *simJob) {
	id := j.entry.ID
	if j.started == taskCount {
		j.finished = true
		results := make([][]byte, taskCount)
		for i := range results {
			results[i] = []byte(id.String())
		}
		p.node.Submissions().Finish(j.entry, submission.Outcome{Results: results})
		return
	}
	if _, ok := p.node.StartUntil(w.now, j.entry); !ok {
		return
	}
	name := fmt.Sprint(id, j.started)
	j.started++
	w.starts[name]++
	w.logf("%s starts %s", p.vm, name)
	if w.starts[name] > 1 {
		w.t.Fatalf("%s: %s started %s again", w.now, p.vm, name)
	}
}
