// Package schedulertest holds a model of an upstream: what it does with orders,
// looks, leases and fencing tokens. Tests drive schedulers against it.
package schedulertest

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
)

// Upstream is the model of an upstream. It is not safe for concurrent use.
type Upstream struct {
	Info scheduler.Upstream
	// LeaseMax is the longest lease by its clock, ClockRate the speed of its
	// clock against the true time, Speed that of its work.
	LeaseMax         time.Duration
	ClockRate, Speed float64
	// Fail makes every run end as failed, Stall keeps runs from progressing.
	Fail, Stall bool

	born    time.Time
	number  int64
	token   int64
	until   int64 // end of the lease of all runs, on its clock
	runs    map[scheduler.Task]*Run
	highest map[scheduler.Task]int
	ends    []scheduler.Completion
	// Used is the size of all runs; Started and Ended tell of runs.
	Used         scheduler.Size
	OnStart      func(now time.Time, run scheduler.Run)
	OnCompletion func(now time.Time, run scheduler.Run, how scheduler.CompletionKind)
	// Result returns what a run that ended well has produced; nil: nothing.
	Result func(run scheduler.Run) []byte
}

// Run is a run on the model.
type Run struct {
	scheduler.Run
	size     scheduler.Size
	work     time.Duration // left
	whole    time.Duration
	last     time.Time
	stopping time.Time
}

// New returns a model that starts now.
func New(now time.Time, info scheduler.Upstream, leaseMax time.Duration) *Upstream {
	u := &Upstream{Info: info, LeaseMax: leaseMax, ClockRate: 1, Speed: 1}
	u.Restart(now)
	return u
}

// Restart ends all runs without a trace, as a crash does.
func (u *Upstream) Restart(now time.Time) {
	for _, r := range u.runs {
		if u.OnCompletion != nil {
			u.OnCompletion(now, r.Run, scheduler.CompletionLost)
		}
	}
	u.born, u.number, u.token, u.until, u.ends = now, 0, 0, 0, nil
	u.runs, u.highest, u.Used = map[scheduler.Task]*Run{}, map[scheduler.Task]int{}, scheduler.Size{}
}

// ProcessStart returns when it started, in ms since 1970.
func (u *Upstream) ProcessStart() int64 { return u.born.UnixMilli() }

// Clock returns its clock, which counts from its start, in ms.
func (u *Upstream) Clock(now time.Time) int64 {
	return 1 + int64(float64(now.Sub(u.born).Milliseconds())*u.ClockRate)
}

// stopTime is the time that a stop takes.
const stopTime = 20 * time.Millisecond

// Advance lets time pass: work is done, leases lapse, stops take effect.
func (u *Upstream) Advance(now time.Time) {
	tasks := make([]scheduler.Task, 0, len(u.runs))
	for task := range u.runs {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, func(a, b scheduler.Task) int {
		if a.Job != b.Job {
			if a.Job < b.Job {
				return -1
			}
			return 1
		}
		return a.Index - b.Index
	})
	for _, task := range tasks {
		r := u.runs[task]
		if !u.Stall {
			r.work -= time.Duration(float64(now.Sub(r.last)) * u.Speed)
		}
		r.last = now
		switch {
		case u.Clock(now) > u.until:
			u.end(now, r, scheduler.CompletionLapsed)
		case !r.stopping.IsZero() && !now.Before(r.stopping):
			u.end(now, r, scheduler.CompletionStopped)
		case r.work <= 0 && u.Fail:
			u.end(now, r, scheduler.CompletionFailed)
		case r.work <= 0:
			u.end(now, r, scheduler.CompletionDone)
		}
	}
}

func (u *Upstream) end(now time.Time, r *Run, how scheduler.CompletionKind) {
	delete(u.runs, r.Task)
	u.Used.MilliCPU -= r.size.MilliCPU
	u.Used.MemoryMB -= r.size.MemoryMB
	u.number++
	end := scheduler.Completion{Number: u.number, Run: r.Run, Kind: how}
	if u.Result != nil && how == scheduler.CompletionDone {
		end.Result = u.Result(r.Run)
	}
	u.ends = append(u.ends, end)
	if u.OnCompletion != nil {
		u.OnCompletion(now, r.Run, how)
	}
}

// renew takes the end of a lease.
func (u *Upstream) renew(now time.Time, until int64) {
	u.until = max(u.until, min(until, u.Clock(now)+u.LeaseMax.Milliseconds()))
}

// Start carries out an order to start work of some length and size.
func (u *Upstream) Start(now time.Time, s scheduler.Start, size scheduler.Size, work time.Duration) (scheduler.OrderResult, int64) {
	u.Advance(now)
	clock := u.Clock(now)
	if s.Token < u.token {
		return scheduler.OrderFenced, clock
	}
	u.token = s.Token
	if r := u.runs[s.Run.Task]; r != nil && r.Attempt == s.Run.Attempt {
		u.renew(now, s.Until)
		return scheduler.OrderDone, clock
	}
	if s.Until < clock {
		return scheduler.OrderLate, clock
	}
	u.renew(now, s.Until)
	if s.Run.Attempt <= u.highest[s.Run.Task] {
		return scheduler.OrderOldAttempt, clock
	}
	r := &Run{Run: s.Run, size: size, work: work, whole: work, last: now}
	u.highest[s.Run.Task] = s.Run.Attempt
	u.runs[s.Run.Task] = r
	u.Used.MilliCPU += size.MilliCPU
	u.Used.MemoryMB += size.MemoryMB
	if u.OnStart != nil {
		u.OnStart(now, s.Run)
	}
	return scheduler.OrderDone, clock
}

// Stop carries out an order to stop.
func (u *Upstream) Stop(now time.Time, s scheduler.Stop) (scheduler.OrderResult, int64) {
	u.Advance(now)
	if s.Token < u.token {
		return scheduler.OrderFenced, u.Clock(now)
	}
	u.token = s.Token
	u.highest[s.Run.Task] = max(u.highest[s.Run.Task], s.Run.Attempt)
	if r := u.runs[s.Run.Task]; r != nil && r.Attempt <= s.Run.Attempt && r.stopping.IsZero() {
		r.stopping = now.Add(stopTime)
	}
	return scheduler.OrderDone, u.Clock(now)
}

// Poll carries out a look that does not wait.
func (u *Upstream) Poll(now time.Time, l scheduler.Poll) (scheduler.PollResult, scheduler.PollReport) {
	u.Advance(now)
	if l.Token < u.token {
		return scheduler.PollFenced, scheduler.PollReport{}
	}
	u.token = l.Token
	u.renew(now, l.Until)
	u.ends = slices.DeleteFunc(u.ends, func(e scheduler.Completion) bool { return e.Number <= l.LastSeen })
	report := scheduler.PollReport{Clock: u.Clock(now), ProcessStart: u.born.UnixMilli(), Completions: slices.Clone(u.ends)}
	for _, r := range u.runs {
		percent := int(100 * (r.whole - r.work) / max(r.whole, 1))
		report.Running = append(report.Running, scheduler.Running{Run: r.Run, Percent: percent})
	}
	slices.SortFunc(report.Running, func(a, b scheduler.Running) int {
		if a.Job != b.Job {
			if a.Job < b.Job {
				return -1
			}
			return 1
		}
		return a.Index - b.Index
	})
	return scheduler.PollAnswered, report
}

// HasCompletionAfter tells whether an end is listed that a look has not seen.
func (u *Upstream) HasCompletionAfter(now time.Time, seen int64) bool {
	u.Advance(now)
	return u.number > seen
}

// NextCompletion returns when a run ends if nothing else happens; ok is false without
// runs.
func (u *Upstream) NextCompletion(now time.Time) (at time.Time, ok bool) {
	for _, r := range u.runs {
		end := now.Add(time.Duration(float64(u.until-u.Clock(now)+1)/u.ClockRate) * time.Millisecond)
		if work := r.last.Add(time.Duration(float64(r.work) / u.Speed)); !u.Stall && work.Before(end) {
			end = work
		}
		if !r.stopping.IsZero() && r.stopping.Before(end) {
			end = r.stopping
		}
		if !ok || end.Before(at) {
			at, ok = end, true
		}
	}
	return at, ok
}

// Running returns the number of runs.
func (u *Upstream) Running() int { return len(u.runs) }
