package scheduler_test

import (
	"slices"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
)

// Callers' requests and reports of dispatchers in the split model.

// deliver reports a notice to its origin. If the origin does not answer, its jobs are
// abandoned.
func (n *splitNode) deliver(notice scheduler.Notice, attempts int) {
	m, term := n.m, n.termFor(notice.Origin)
	confirm := func() { n.scheduler.ConfirmDelivery([]scheduler.CompletionRef{notice.Completion}) }
	if notice.Kind != scheduler.TaskDone && notice.Kind != scheduler.TaskRetried && notice.Term != term {
		confirm()
		return
	}
	if notice.Origin == n.name {
		n.applyNotice(n.name, term, notice, func(complete bool) {
			if complete {
				confirm()
			}
		})
		return
	}
	handle := func(peer *splitNode, respond func(bool)) { peer.applyNotice(n.name, term, notice, respond) }
	call(n, m.position(notice.Origin), n.peerTimeout()/2, handle, func(complete bool, err error) {
		switch {
		case err == nil && complete:
			confirm()
		case err != nil && attempts > 1:
			n.deliver(notice, attempts-1)
		default:
			m.after(scheduler.CompletionRetention, func() { n.do(confirm) })
			if o := n.origins[notice.Origin]; o != nil {
				o.abandonCount++
				n.abandonJobsOf(notice.Origin, o.incarnation+1)
			}
		}
	})
}

// applyNotice processes a notice at the origin. complete tells whether the present dispatcher
// of the job knows as well.
func (n *splitNode) applyNotice(dispatcher string, term uint64, notice scheduler.Notice, complete func(bool)) {
	m, id := n.m, notice.Task.Job
	m.logf("%s: %s has notice %d of task %d from %s", id, n.name, notice.Kind, notice.Task.Index, dispatcher)
	defer n.answerRequests()
	switch notice.Kind {
	case scheduler.TaskRetried:
		n.jobs.MergeHistory(id, notice.Task.Index, notice.History)
	case scheduler.TaskDone:
		if _, known := m.reported[notice.Task]; !known {
			m.reported[notice.Task] = m.now
		}
		vm, current := n.jobs.CompleteTask(id, notice.Task.Index, notice.Result)
		if current != 0 && (vm != dispatcher || current != term) {
			n.forwardCompletion(vm, notice, complete)
			return
		}
	case scheduler.TaskFailed:
		n.jobs.FinishBy(id, notice.Submission, dispatcher, term, intake.Answer{Outcome: intake.Failed, Reason: notice.Reason})
	case scheduler.JobNotRun:
		n.jobs.FinishBy(id, notice.Submission, dispatcher, term, intake.Answer{Outcome: intake.NotRun, Reason: notice.Reason})
	default:
		n.jobs.FinishBy(id, notice.Submission, dispatcher, term, intake.Answer{Outcome: intake.Abandoned, Reason: notice.Reason})
	}
	complete(true)
}

// forwardCompletion tells the present dispatcher of a job that a task has completed under an
// earlier one.
func (n *splitNode) forwardCompletion(vm string, notice scheduler.Notice, complete func(bool)) {
	handle := func(peer *splitNode, respond func(bool)) {
		respond(peer.scheduler.CompleteElsewhere(n.m.now, notice.Task, notice.Result))
	}
	if vm == n.name {
		handle(n, complete)
		return
	}
	call(n, n.m.position(vm), n.peerTimeout()/2, handle, func(known bool, err error) { complete(known && err == nil) })
}

// splitRequest is a request of a caller for a job.
type splitRequest struct {
	attempt  *splitAttempt
	job      *splitJob
	number   int // of the request among those for the job
	answered bool
}

// receive takes a job from a caller. The request may have waited for the process.
func (n *splitNode) receive(a *splitAttempt) {
	deadline := a.arrived.Add(a.caller.patience)
	left := deadline.Sub(n.m.now) - answerMargin
	if left <= 0 {
		n.refuseLate(a)
		return
	}
	j, number := n.jobs.AddOrJoin(a.arrived, a.caller.id, splitSpec{a.caller.job, deadline}, a.caller.job.tasks)
	a.request = &splitRequest{attempt: a, job: j, number: number}
	n.requests = append(n.requests, a.request)
	n.m.logf("%s is received by %s %v after its arrival, deadline in %v, request %d", j.ID, n.name, n.m.now.Sub(a.arrived), left, number)
	if number == 1 {
		n.offer(j)
	}
	n.m.after(left, func() { n.do(func() { n.expire(a.request) }) })
	n.answerRequests()
}

// refuseLate answers a request whose deadline has passed.
func (n *splitNode) refuseLate(a *splitAttempt) {
	answer := intake.Answer{Outcome: intake.NotRun, Reason: "the deadline had passed when the request was read"}
	if j := n.jobs.Find(a.caller.id); j != nil {
		answer.Outcome = intake.Abandoned
		if !a.arrived.Before(j.Arrived) {
			n.expireJob(j)
		}
	}
	n.m.after(n.m.delay(), func() { a.receiveAnswer(answer) })
}

// expire ends a job at its deadline.
func (n *splitNode) expire(r *splitRequest) {
	if !r.answered {
		n.expireJob(r.job)
	}
}

func (n *splitNode) expireJob(j *splitJob) {
	answer := intake.Answer{Outcome: intake.Abandoned, Reason: "the deadline has passed"}
	if !n.jobs.MayHaveStarted(j) {
		answer.Outcome = intake.NotRun
	}
	if vm, term, ended := n.jobs.Finish(j.ID, j.Submission, answer); ended {
		n.withdraw(vm, term, j)
	}
	n.answerRequests()
}

// cancel ends a request whose caller has gone.
func (n *splitNode) cancel(r *splitRequest) {
	if r == nil || r.answered {
		return
	}
	n.m.logf("%s: %s sees that its caller has gone", r.job.ID, n.name)
	if vm, term, ended := n.jobs.EndRequest(r.job, r.number); ended {
		n.withdraw(vm, term, r.job)
	}
	n.answerRequests()
}

// answerRequests answers the requests whose jobs are done.
func (n *splitNode) answerRequests() {
	n.requests = slices.DeleteFunc(n.requests, func(r *splitRequest) bool {
		if r.answered || !isDone(r.job) {
			return false
		}
		r.answered = true
		answer, _ := n.jobs.Answer(r.job)
		n.m.after(n.m.delay(), func() { r.attempt.receiveAnswer(answer) })
		return true
	})
}
