package capacity

import (
	"runtime"
	"time"
)

// benchmark describes one row of the capacity table: how a cost grows with a driver.
// Result explains the fields in the first line.
type benchmark struct {
	name, role, driver, unit string
	// sizes are the values of the driver at which the cost is measured.
	sizes []int
	// target is the value of the driver to which the cost is projected.
	target float64
	// measure returns the cost at one size, in unit.
	measure func(size int) float64
}

// repeats is the number of measurements of each size. The minimum is used,
// because other load on the machine can only increase the cost.
const repeats = 5

// run measures every size, fits a line and projects it to the target.
func (b *benchmark) run() Result {
	result := Result{Name: b.name, Role: b.role, Driver: b.driver, Unit: b.unit, Target: b.target}
	for _, size := range b.sizes {
		cost := b.measure(size)
		for range repeats - 1 {
			cost = min(cost, b.measure(size))
		}
		result.Points = append(result.Points, Point{Driver: float64(size), Cost: cost})
	}
	result.Fit = FitLine(result.Points)
	result.Projected = result.Fit.At(b.target)
	return result
}

// heapBytes returns the heap memory retained by the value that build returns.
func heapBytes(build func() any) float64 {
	before := liveHeapBytes()
	value := build()
	after := liveHeapBytes()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func liveHeapBytes() uint64 {
	var stats runtime.MemStats
	// A second collection frees objects whose finalizers ran in the first.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// meanNanoseconds returns the mean duration of an operation over a number of
// rounds.
func meanNanoseconds(rounds int, operation func()) float64 {
	begin := time.Now()
	for range rounds {
		operation()
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(rounds)
}

// Run runs the benchmarks with the given names, or all of them if names is empty.
func Run(names []string) []Result {
	var results []Result
	for _, b := range benchmarks() {
		if isSelected(b.name, names) {
			results = append(results, b.run())
		}
	}
	return results
}

func isSelected(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
