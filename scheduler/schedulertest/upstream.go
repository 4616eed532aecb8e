// Package schedulertest provides a fake upstream that implements orders, polls,
// leases and fencing tokens. Tests run schedulers against it.
package schedulertest

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
)

// Upstream is a fake upstream. It is not safe for concurrent use.
type Upstream struct {
	Info scheduler.Upstream
	// LeaseMax is the longest lease, by the upstream's clock. ClockRate is the rate
	// of that clock relative to real time, and Speed the speed of the work.
	LeaseMax         time.Duration
	ClockRate, Speed float64
	// Fail makes every run fail; Stall stops all progress.
	Fail, Stall bool

	processStart   time.Time
	lastNumber     int64
	token          int64
	leaseEnd       int64 // end of the lease of all runs, by the upstream's clock
	runs           map[scheduler.Task]*Run
	highestAttempt map[scheduler.Task]int
	completions    []scheduler.Completion
	// Used is the total size of all runs.
	Used scheduler.Size
	// OnStart and OnCompletion, if set, are called when a run starts or ends.
	OnStart      func(now time.Time, run scheduler.Run)
	OnCompletion func(now time.Time, run scheduler.Run, kind scheduler.CompletionKind)
	// Result, if set, returns the output of a successful run.
	Result func(run scheduler.Run) []byte
}

// Run is an active run of the fake upstream.
type Run struct {
	scheduler.Run
	size       scheduler.Size
	remaining  time.Duration // work left
	total      time.Duration
	advancedAt time.Time
	stopAt     time.Time
}

// New returns an upstream whose process starts now.
func New(now time.Time, info scheduler.Upstream, leaseMax time.Duration) *Upstream {
	u := &Upstream{Info: info, LeaseMax: leaseMax, ClockRate: 1, Speed: 1}
	u.Restart(now)
	return u
}

// Restart ends all runs without completions, like a crash.
func (u *Upstream) Restart(now time.Time) {
	for _, r := range u.runs {
		if u.OnCompletion != nil {
			u.OnCompletion(now, r.Run, scheduler.CompletionLost)
		}
	}
	u.processStart, u.lastNumber, u.token, u.leaseEnd, u.completions = now, 0, 0, 0, nil
	u.runs, u.highestAttempt, u.Used = map[scheduler.Task]*Run{}, map[scheduler.Task]int{}, scheduler.Size{}
}

// ProcessStart returns the start time of the process, in ms since 1970.
func (u *Upstream) ProcessStart() int64 { return u.processStart.UnixMilli() }

// Clock returns the upstream's clock in ms, which counts from the process start.
func (u *Upstream) Clock(now time.Time) int64 {
	return 1 + int64(float64(now.Sub(u.processStart).Milliseconds())*u.ClockRate)
}

// stopTime is the time from a stop order to the end of the run.
const stopTime = 20 * time.Millisecond

// Advance moves time forward: runs progress, leases expire and stops take effect.
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
			r.remaining -= time.Duration(float64(now.Sub(r.advancedAt)) * u.Speed)
		}
		r.advancedAt = now
		switch {
		case u.Clock(now) > u.leaseEnd && !u.endedInLease(now, r):
			u.complete(now, r, scheduler.CompletionLapsed)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			u.complete(now, r, scheduler.CompletionStopped)
		case r.remaining <= 0 && u.Fail:
			u.complete(now, r, scheduler.CompletionFailed)
		case r.remaining <= 0:
			u.complete(now, r, scheduler.CompletionDone)
		}
	}
}

// endedInLease reports whether a run ended before its lease did. Nobody may have called Advance in
// between: a test process can be paused for longer than a lease.
func (u *Upstream) endedInLease(now time.Time, r *Run) bool {
	if u.Stall || r.remaining > 0 || u.Speed <= 0 {
		return false
	}
	end := now.Add(time.Duration(float64(r.remaining) / u.Speed))
	return u.Clock(end) <= u.leaseEnd && (r.stopAt.IsZero() || end.Before(r.stopAt))
}

func (u *Upstream) complete(now time.Time, r *Run, kind scheduler.CompletionKind) {
	delete(u.runs, r.Task)
	u.Used.MilliCPU -= r.size.MilliCPU
	u.Used.MemoryMB -= r.size.MemoryMB
	u.lastNumber++
	c := scheduler.Completion{Number: u.lastNumber, Run: r.Run, Kind: kind}
	if u.Result != nil && kind == scheduler.CompletionDone {
		c.Result = u.Result(r.Run)
	}
	u.completions = append(u.completions, c)
	if u.OnCompletion != nil {
		u.OnCompletion(now, r.Run, kind)
	}
}

// renew extends the lease of all runs.
func (u *Upstream) renew(now time.Time, until int64) {
	u.leaseEnd = max(u.leaseEnd, min(until, u.Clock(now)+u.LeaseMax.Milliseconds()))
}

// Start executes a start order for a run of the given size and work.
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
	if s.Run.Attempt <= u.highestAttempt[s.Run.Task] {
		return scheduler.OrderOldAttempt, clock
	}
	r := &Run{Run: s.Run, size: size, remaining: work, total: work, advancedAt: now}
	u.highestAttempt[s.Run.Task] = s.Run.Attempt
	u.runs[s.Run.Task] = r
	u.Used.MilliCPU += size.MilliCPU
	u.Used.MemoryMB += size.MemoryMB
	if u.OnStart != nil {
		u.OnStart(now, s.Run)
	}
	return scheduler.OrderDone, clock
}

// Stop executes a stop order.
func (u *Upstream) Stop(now time.Time, s scheduler.Stop) (scheduler.OrderResult, int64) {
	u.Advance(now)
	if s.Token < u.token {
		return scheduler.OrderFenced, u.Clock(now)
	}
	u.token = s.Token
	u.highestAttempt[s.Run.Task] = max(u.highestAttempt[s.Run.Task], s.Run.Attempt)
	if r := u.runs[s.Run.Task]; r != nil && r.Attempt <= s.Run.Attempt && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime)
	}
	return scheduler.OrderDone, u.Clock(now)
}

// Poll answers a poll without waiting.
func (u *Upstream) Poll(now time.Time, p scheduler.Poll) (scheduler.PollResult, scheduler.PollReport) {
	u.Advance(now)
	if p.Token < u.token {
		return scheduler.PollFenced, scheduler.PollReport{}
	}
	u.token = p.Token
	u.renew(now, p.Until)
	u.completions = slices.DeleteFunc(u.completions, func(c scheduler.Completion) bool { return c.Number <= p.Acked })
	report := scheduler.PollReport{Clock: u.Clock(now), ProcessStart: u.processStart.UnixMilli(), Completions: slices.Clone(u.completions)}
	for _, r := range u.runs {
		percent := int(100 * (r.total - r.remaining) / max(r.total, 1))
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

// HasCompletionAfter reports whether a completion with a number above seen is listed.
func (u *Upstream) HasCompletionAfter(now time.Time, seen int64) bool {
	u.Advance(now)
	return u.lastNumber > seen
}

// NextCompletion returns the time at which the next run ends if no order arrives.
// ok is false if there is no run.
func (u *Upstream) NextCompletion(now time.Time) (at time.Time, ok bool) {
	for _, r := range u.runs {
		end := now.Add(time.Duration(float64(u.leaseEnd-u.Clock(now)+1)/u.ClockRate) * time.Millisecond)
		if work := r.advancedAt.Add(time.Duration(float64(r.remaining) / u.Speed)); !u.Stall && work.Before(end) {
			end = work
		}
		if !r.stopAt.IsZero() && r.stopAt.Before(end) {
			end = r.stopAt
		}
		if !ok || end.Before(at) {
			at, ok = end, true
		}
	}
	return at, ok
}

// Running returns the number of active runs.
func (u *Upstream) Running() int { return len(u.runs) }

// HasRun reports whether a run of the task is active.
func (u *Upstream) HasRun(task scheduler.Task) bool { return u.runs[task] != nil }
