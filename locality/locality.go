// Package locality decides how long a task waits for an upstream near its data, or near the
// other tasks of its job, and holds an index of upstreams by rack and by label. It reads no
// clock and imports no network package.
package locality

import "time"

// Never is the wait for capacity that is not expected.
const Never = time.Duration(1<<63 - 1)

// Question describes a task for which a place near its data or its group is preferred.
type Question struct {
	// Near is the expected run time on the best near upstream that is free, or that is free
	// after NearWait. Away is that on the best free upstream elsewhere; 0 if none is free.
	Near, Away time.Duration
	// NearWait is the expected time until near capacity is free: 0 if it is, Never if it is
	// not expected.
	NearWait time.Duration
	// Waited is the time for which the task has waited for a near place.
	Waited time.Duration
	// Left is the time until the answer is late.
	Left time.Duration
	// Contended means that tasks of other jobs wait for the capacity elsewhere.
	Contended bool
	// Recheck is the longest time from the end of a wait to the next decision.
	Recheck time.Duration
}

// Action is what to do with a task.
type Action uint8

const (
	// PlaceNear starts the task near its data or group.
	PlaceNear Action = iota
	// PlaceAway starts the task elsewhere.
	PlaceAway
	// Wait waits for near capacity. The task leaves other capacity to the tasks behind it.
	Wait
	// Queue waits for any capacity, because none is free.
	Queue
)

// Reason tells why a task is placed where it is.
type Reason uint8

const (
	// ReasonNone is the reason of tasks for which all places are equal.
	ReasonNone Reason = iota
	// ReasonNearFree means that near capacity was free.
	ReasonNearFree
	// ReasonAwayFaster means that the task ends earlier elsewhere although near capacity is free.
	ReasonAwayFaster
	// ReasonNoNear means that no near upstream is expected to have capacity.
	ReasonNoNear
	// ReasonWaitTooLong means that the wait for near capacity would cost more than it saves.
	ReasonWaitTooLong
	// ReasonTarget means that the task would miss its target time if it waited, and can meet
	// it elsewhere.
	ReasonTarget
	// ReasonWorthWaiting means that near capacity is expected in time.
	ReasonWorthWaiting
	// ReasonNothingFree means that no capacity is free.
	ReasonNothingFree

	reasonCount = iota
)

// String returns the text used in logs.
func (r Reason) String() string {
	return [reasonCount]string{
		"no preference", "near capacity is free", "it ends earlier elsewhere", "no near capacity is expected",
		"the wait would cost more than it saves", "it would be late if it waited", "near capacity is expected in time",
		"no capacity is free",
	}[r]
}

// Decision is the answer to a Question.
type Decision struct {
	Action Action
	Reason Reason
	// Limit is the longest time to wait if Action is Wait.
	Limit time.Duration
}

// Decide weighs the expected wait for near capacity against the loss elsewhere. The loss is the
// difference of the run times: on upstreams of equal speed, spread_factor - 1 times the
// expected run time. A task never waits beyond the point at which it would miss its target time
// although it could meet it elsewhere. The time that it has waited counts, so that wrong
// predictions cost no more than the loss in total.
//
// Capacity elsewhere is not free while tasks of other jobs wait for it: a run that takes longer
// there delays them as well. The wait may then be contendedFactor times as long, and also pass the
// point above as long as the task is expected to meet its target time by waiting.
func Decide(q Question) Decision {
	switch {
	case q.NearWait == 0 && (q.Away == 0 || q.Near <= q.Away):
		return Decision{Action: PlaceNear, Reason: ReasonNearFree}
	case q.NearWait == 0:
		return Decision{Action: PlaceAway, Reason: ReasonAwayFaster}
	case q.Away == 0:
		return Decision{Action: Queue, Reason: ReasonNothingFree}
	case q.NearWait == Never:
		return Decision{Action: PlaceAway, Reason: ReasonNoNear}
	}
	loss, strict := q.Away-q.Near, true
	if q.Contended {
		loss *= contendedFactor
		strict = q.NearWait+q.Near > q.Left
	}
	limit, reason := loss-q.Waited, ReasonWaitTooLong
	if latest := q.Left - q.Away; strict && latest >= 0 && latest-q.Recheck < limit {
		limit, reason = latest-q.Recheck, ReasonTarget
	}
	if q.NearWait >= limit {
		return Decision{Action: PlaceAway, Reason: reason}
	}
	return Decision{Action: Wait, Reason: ReasonWorthWaiting, Limit: limit}
}

// contendedFactor multiplies the loss elsewhere while other tasks wait for the capacity there. With
// 1, 3 and 8, a load of twice the first deployment's has 60, 68 and 69 % of its answers in time
// (docs/design/locality.md).
const contendedFactor = 8

// Kind tells where a task was placed.
type Kind uint8

const (
	// Unconstrained is the kind of tasks for which all places are equal.
	Unconstrained Kind = iota
	// Near is a place in the rack of the data or of the group.
	Near
	// Away is any other place.
	Away
)

// String returns the text used in logs and metrics.
func (k Kind) String() string { return [...]string{"any", "near", "away"}[k] }

// Placement tells where a task was placed, why, and after which wait for a near place.
type Placement struct {
	Kind   Kind
	Reason Reason
	Waited time.Duration
}
