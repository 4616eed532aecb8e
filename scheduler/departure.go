package scheduler

import "time"

// DepartureNotice tells for how long a draining upstream remains. It is immutable. Without
// one, or if Left or DrainingSince is zero, the upstream gets no new tasks.
type DepartureNotice struct {
	// DrainingSince is when this VM first listed the entry as draining, or zero if the
	// upstream may have been draining for longer.
	DrainingSince time.Time
	// Left is the least time for which the upstream remained when it wrote the entry, at
	// ReadAt or later.
	Left   time.Duration
	ReadAt time.Time
}

const (
	// drainStartShare is the part of Config.DrainTime within which tasks may start on a
	// draining upstream. The rest covers entries that are seen late, and the runs.
	drainStartShare = 4
	// noticeMargin covers the delays of the reading before a notice and of a start order.
	noticeMargin = 200 * time.Millisecond
	// noticeQuantile is the share of tasks whose run time must end before the upstream
	// leaves. It includes the outliers if 3 of 100 tasks are.
	noticeQuantile = 0.99
	// minDrainWindow is the shortest time within which a start order reaches a draining
	// upstream.
	minDrainWindow = 20 * time.Millisecond
	// drainingCost is the factor of the cost of a draining upstream. It is used if no other
	// upstream has capacity, or only one that is much slower.
	drainingCost = 2
)

// setEntry updates the description of an upstream and the time until which tasks may start
// while it drains. The caller holds mu of the shard.
func (u *upstream) setEntry(entry Upstream, drainTime time.Duration) {
	if u.Draining || u.Missing || entry.Draining || entry.Missing || u.Address != entry.Address {
		u.leaving = true
	}
	u.Upstream, u.startsUntil = entry, time.Time{}
	if n := entry.Notice; entry.Draining && n != nil && !n.DrainingSince.IsZero() && n.Left > 0 {
		u.startsUntil = n.DrainingSince.Add(drainTime / drainStartShare)
	}
}

// takesTasks reports whether the upstream does not drain, or only since so short a time that
// tasks may still start.
func (u *upstream) takesTasks(now time.Time) bool {
	return !u.Draining || u.startsUntil.Sub(now) >= minDrainWindow
}

// endsInTime reports whether a task ends, by a high quantile of its run time, before the
// upstream leaves. Tasks that must not start twice, and suspects, do not start on a
// draining upstream.
func (u *upstream) endsInTime(now time.Time, c *candidate) bool {
	if !u.Draining {
		return true
	}
	if u.Notice == nil || c.job.AtMostOnce || c.isolation != isolatedNot || c.suspicion > 0 {
		return false
	}
	left := u.Notice.Left - now.Sub(u.Notice.ReadAt) - noticeMargin
	return c.model.quantile(c.job.Estimate, noticeQuantile)*u.model.slowdown() <= left.Seconds()
}

// startWindow limits the time within which a start order may be executed on a draining
// upstream.
func (u *upstream) startWindow(now time.Time, window time.Duration) time.Duration {
	if !u.Draining {
		return window
	}
	return min(window, u.startsUntil.Sub(now))
}
