package scheduler

import (
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// OrderResult is the result of a start or stop order.
type OrderResult uint8

// Order results.
const (
	// OrderDone means that the upstream has executed the order.
	OrderDone OrderResult = iota
	// OrderFenced means that another dispatcher has claimed the upstream.
	OrderFenced
	// OrderOldAttempt means that the upstream has seen the same or a later attempt.
	OrderOldAttempt
	// OrderLate means that the order arrived after its expiry.
	OrderLate
	// OrderNoRoom means that the upstream has too little free capacity.
	OrderNoRoom
	// OrderUnhealthy means that the upstream currently takes no tasks.
	OrderUnhealthy
	// OrderOtherProcess means that another process listens at the address.
	OrderOtherProcess
	// OrderRejected means that the upstream does not accept such a task.
	OrderRejected
	// OrderUnanswered means that the order may have had an effect, or may still
	// have one.
	OrderUnanswered
	// OrderDisconnected means that the upstream closed the connection before its
	// response. The order may have had an effect.
	OrderDisconnected
	// OrderNoProcess means that no process listens at the upstream's address. The order
	// was not sent.
	OrderNoProcess

	orderResultCount = iota
)

// OrderResults returns all order results.
func OrderResults() []OrderResult {
	all := make([]OrderResult, orderResultCount)
	for i := range all {
		all[i] = OrderResult(i)
	}
	return all
}

// String returns the name used in logs.
func (r OrderResult) String() string {
	return [...]string{
		"done", "fenced", "old attempt", "late", "no room", "unhealthy", "other process", "rejected", "unanswered",
		"disconnected", "no process",
	}[r]
}

// unanswered reports whether the order got no response.
func (r OrderResult) unanswered() bool { return r >= OrderUnanswered }

// HandleStartResult processes the result of a start order. clock is the upstream's
// clock, or 0 if the response did not contain it.
func (s *Scheduler) HandleStartResult(now time.Time, start Start, result OrderResult, clock int64) Actions {
	var a Actions
	if start.Token != s.token.Load() {
		return a
	}
	shard := s.upstreamShardFor(start.Upstream.Name)
	shard.mu.Lock()
	u := shard.byName[start.Upstream.Name]
	var r *run
	if u != nil {
		r = u.runs[start.Run.Task]
	}
	if r == nil || r.Run != start.Run {
		shard.mu.Unlock()
		return a
	}
	if start.ProcessStart == u.processStart {
		u.setClock(now, clock)
	}
	outcome := outcomeNoEffect
	switch result {
	case OrderDone:
		u.lastContact = now
		r.confirmed = true
		if r.state == runOrdered {
			r.state, r.answeredAt = runStarted, now
		}
		if r.unneeded && r.state == runStarted {
			r.state = runStopping
			a.Stops = append(a.Stops, u.stop(start.Token, r.Run, "the run is no longer needed"))
		}
		shard.mu.Unlock()
		return a
	case OrderNoProcess:
		u.release(now, r)
		outcome = outcomeUnhealthy
	case OrderUnanswered, OrderDisconnected:
		s.noteLostResponse(now, u)
		r.pendingUntil = s.leaseEnd(now, u, s.config.LeaseMax)
		switch {
		case r.state != runOrdered: // a poll has already reported the run
		case r.atMostOnce: // may still run; a poll reports it
			a.Polls = append(a.Polls, u.Name)
		default:
			r.state = runUnknown
			a.Stops = append(a.Stops, u.stop(start.Token, r.Run, "the start order was not answered"))
		}
		shard.mu.Unlock()
		return a
	case OrderFenced:
		u.release(now, r)
		u.fence(now)
	case OrderOtherProcess:
		u.release(now, r)
		u.claimed, u.retryAt = false, now
	case OrderUnhealthy:
		u.release(now, r)
		u.health.RecordFailure(now, rendezvous.Hash(r.Job), true)
		outcome = outcomeUnhealthy
	case OrderRejected:
		u.release(now, r)
		outcome = outcomeFailed
	case OrderOldAttempt:
		if !r.atMostOnce {
			// Another dispatcher may have started that run: a poll shows whether it is active.
			r.state, r.answeredAt = runRejected, now
			u.leaseEnd = later(u.leaseEnd, s.leaseEnd(now, u, s.config.LeaseMax))
			shard.mu.Unlock()
			a.Polls = append(a.Polls, start.Upstream.Name)
			return a
		}
		u.release(now, r)
		outcome = outcomeLost // an earlier start of the task had an effect on this upstream
	default:
		u.release(now, r)
	}
	if outcome == outcomeNoEffect || outcome == outcomeUnhealthy {
		u.forgetPlaced(r)
	}
	u.noteOver(now, r.Run, "the start order failed: "+result.String())
	shard.noteReleased(u)
	shard.mu.Unlock()
	s.finishRun(now, finishedRun{run: start.Run, upstream: start.Upstream.Name, outcome: outcome}, &a)
	return a
}

// stopRetryDelay is the delay before an unanswered stop order is sent again.
const stopRetryDelay = 20 * time.Millisecond

// HandleStopResult processes the result of a stop order. If retry is set, the order
// must be sent again after delay.
func (s *Scheduler) HandleStopResult(now time.Time, stop Stop, result OrderResult, clock int64) (a Actions, retry bool, delay time.Duration) {
	if stop.Token != s.token.Load() {
		return a, false, 0
	}
	shard := s.upstreamShardFor(stop.Upstream.Name)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	u := shard.byName[stop.Upstream.Name]
	if u == nil {
		return a, false, 0
	}
	if stop.ProcessStart == u.processStart {
		u.setClock(now, clock)
	}
	r := u.runs[stop.Run.Task]
	if r == nil || r.Run != stop.Run {
		return a, u.noteOrphanStop(stop.Run, result), stopRetryDelay
	}
	switch result {
	case OrderUnanswered, OrderDisconnected, OrderNoProcess, OrderUnhealthy:
		return a, true, stopRetryDelay // not known to be executed
	case OrderFenced:
		u.fence(now)
		return a, false, 0
	default:
		r.state, r.stopAnswered, r.answeredAt = runStopping, true, now
		a.Polls = append(a.Polls, u.Name)
		return a, false, 0
	}
}
