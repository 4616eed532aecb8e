package capacity

import (
	"runtime"
	"time"
)

// line describes one row of the table before it is measured.
type line struct {
	name, role, driver, unit string
	sizes                    []int
	target                   float64
	// measure returns the cost of a size in the line's unit.
	measure func(size int) float64
}

// repeats is the number of measurements of each size; the least one counts,
// since other work on the machine only adds.
const repeats = 5

// run measures every size and fits the line.
func (l *line) run() Line {
	result := Line{Name: l.name, Role: l.role, Driver: l.driver, Unit: l.unit, Target: l.target}
	for _, size := range l.sizes {
		cost := l.measure(size)
		for range repeats - 1 {
			cost = min(cost, l.measure(size))
		}
		result.Points = append(result.Points, Point{Driver: float64(size), Cost: cost})
	}
	result.Fit = FitLine(result.Points)
	result.Projected = result.Fit.At(l.target)
	return result
}

// heapBytes returns the bytes that the value returned by build keeps alive.
func heapBytes(build func() any) float64 {
	before := liveBytes()
	value := build()
	after := liveBytes()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func liveBytes() uint64 {
	var stats runtime.MemStats
	// The second collection frees what the first one only finalised.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// nanoseconds returns the mean time of an operation over a number of rounds.
func nanoseconds(rounds int, operation func()) float64 {
	begin := time.Now()
	for range rounds {
		operation()
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(rounds)
}

// Run measures every line whose name is wanted; no names want all.
func Run(names []string) []Line {
	var results []Line
	for _, l := range lines() {
		if wanted(l.name, names) {
			results = append(results, l.run())
		}
	}
	return results
}

func wanted(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
