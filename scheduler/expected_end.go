package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/locality"
)

// count returns how many tasks of a size fit into s.
func (s Size) count(task Size) int {
	n := math.MaxInt32
	for _, d := range [][2]int{{s.MilliCPU, task.MilliCPU}, {s.MemoryMB, task.MemoryMB}, {s.Accelerators, task.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return n
}

// overdueShare is the remaining run time, relative to the expected one, that is assumed of a run
// that has exceeded it.
const overdueShare = 0.25

// remaining returns the expected remaining time of a run.
func (r *run) remaining(now time.Time, u *upstream) time.Duration {
	total := r.expected * u.model.slowdown()
	return seconds(max(total-now.Sub(r.orderedAt).Seconds(), total*overdueShare))
}

// runEnd is the expected end of a run.
type runEnd struct {
	after time.Duration
	size  Size
}

// runEnds returns the expected ends of the runs, in order.
func (u *upstream) runEnds(now time.Time) []runEnd {
	ends := make([]runEnd, 0, len(u.runs))
	for _, r := range u.runs {
		ends = append(ends, runEnd{r.remaining(now, u), r.size})
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return int(min(max(a.after-b.after, -1), 1)) })
	return ends
}

// fitsAfter returns the expected time until n more tasks of a size fit.
func (u *upstream) fitsAfter(now time.Time, size Size, n int) time.Duration {
	free := u.freeSize()
	if free.count(size) >= n {
		return 0
	}
	for _, end := range u.runEnds(now) {
		if free = free.plus(end.size); free.count(size) >= n {
			return end.after
		}
	}
	return locality.Never
}
