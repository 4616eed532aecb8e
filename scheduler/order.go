package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// OrderResult says how an order to an upstream ended.
type OrderResult uint8

// Results of orders.
const (
	// OrderDone means that the upstream has carried it out.
	OrderDone OrderResult = iota
	// OrderFenced means that another dispatcher has claimed the upstream.
	OrderFenced
	// OrderOldAttempt means that a run of the task with as high an attempt was there.
	OrderOldAttempt
	// OrderLate means that the order came after its time.
	OrderLate
	// OrderNoRoom means that the upstream counts more as used.
	OrderNoRoom
	// OrderUnhealthy means that the upstream takes no tasks for now.
	OrderUnhealthy
	// OrderOtherProcess means that another process runs at the address.
	OrderOtherProcess
	// OrderRejected means that the upstream does not accept such a task.
	OrderRejected
	// OrderUnanswered means that the order may or may not have had an effect, or
	// may have one later.
	OrderUnanswered
)

// String returns the form used in logs.
func (r OrderResult) String() string {
	return [...]string{
		"done", "fenced", "old attempt", "late", "no room", "unhealthy", "other process", "rejected", "unanswered",
	}[r]
}

// HandleStartResult enters the answer to an order to start. clock is the upstream's
// clock where the answer told it.
func (s *Scheduler) HandleStartResult(now time.Time, start Start, result OrderResult, clock int64) Actions {
	var a Actions
	if start.Token != s.token.Load() {
		return a
	}
	shard := s.shardOf(start.Upstream.Name)
	shard.mu.Lock()
	u := shard.known[start.Upstream.Name]
	var r *run
	if u != nil {
		r = u.runs[start.Run.Task]
	}
	if r == nil || r.Run != start.Run {
		shard.mu.Unlock()
		return a
	}
	u.setClock(now, clock)
	end := endRefused
	switch result {
	case OrderDone:
		u.contact = now
		r.confirmed = true
		if r.state == runOrdered {
			r.state, r.answered = runStarted, now
		}
		if r.abandoned && r.state == runStarted {
			r.state = runStopping
			a.Stops = append(a.Stops, Stop{u.Upstream, start.Token, r.Run, "the caller has left"})
		}
		shard.mu.Unlock()
		return a
	case OrderUnanswered:
		s.noteLoss(now, u)
		switch {
		case r.state != runOrdered:
		case r.once: // it may go on: a look tells
			a.Polls = append(a.Polls, u.Name)
		default:
			r.state = runUnknown
			a.Stops = append(a.Stops, Stop{u.Upstream, start.Token, r.Run, "the start was not answered"})
		}
		shard.mu.Unlock()
		return a
	case OrderFenced:
		u.free(now, r)
		u.giveUp(now, &a)
	case OrderOtherProcess:
		u.free(now, r)
		u.claimed, u.retry = false, now
	case OrderUnhealthy:
		u.free(now, r)
		u.health.RecordFailure(now, rendezvous.Hash(r.Job), true)
		end = endUnhealthy
	case OrderRejected:
		u.free(now, r)
		end = endFailed
	case OrderOldAttempt:
		u.free(now, r)
		if r.once {
			end = endLost // an earlier start of the task had an effect there
		}
	default:
		u.free(now, r)
	}
	shard.widen(u)
	shard.mu.Unlock()
	s.finishRun(now, lostRun{run: start.Run, upstream: start.Upstream.Name, end: end}, &a)
	return a
}

// retryStop is the pause before a stop that was not answered is sent again.
const retryStop = 20 * time.Millisecond

// HandleStopResult enters the answer to a stop. Where it has to be sent again, after
// tells when.
func (s *Scheduler) HandleStopResult(now time.Time, stop Stop, result OrderResult, clock int64) (a Actions, again bool, after time.Duration) {
	if stop.Token != s.token.Load() {
		return a, false, 0
	}
	shard := s.shardOf(stop.Upstream.Name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.known[stop.Upstream.Name]
	if u == nil {
		return a, false, 0
	}
	u.setClock(now, clock)
	r := u.runs[stop.Run.Task]
	if r == nil || r.Run != stop.Run {
		_, orphaned := u.orphans[stop.Run.Task]
		return a, orphaned && result == OrderUnanswered, retryStop
	}
	switch result {
	case OrderUnanswered:
		return a, true, retryStop
	case OrderFenced:
		u.giveUp(now, &a)
		return a, false, 0
	default:
		r.state, r.stopped, r.answered = runStopping, true, now
		a.Polls = append(a.Polls, u.Name)
		return a, false, 0
	}
}
