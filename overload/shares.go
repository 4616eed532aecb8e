package overload

import (
	"cmp"
	"math"
	"slices"
)

// priorityWeight is the weight of a priority class relative to the next higher one. Served
// shares of two classes differ by a tenth, so that the lowest of three classes, at the goal of
// 0.65, does not cost the highest one its place.
const priorityWeight = 0.9

// demand is the work per second that a flow requests, and the rate that it gets.
type demand struct {
	priority     int
	wanted, rate float64
}

// divide divides a rate among the flows. Each priority class gets the same share of its
// demand, weighted by priorityWeight, so that none starves and none takes more than it needs.
// Within a class, the division is max-min fair.
func divide(flows []*demand, rate float64) {
	classes := map[int][]*demand{}
	wanted := map[int]float64{}
	for _, f := range flows {
		classes[f.priority] = append(classes[f.priority], f)
		wanted[f.priority] += f.wanted
	}
	// The used rate grows with the scale; the bisection finds the scale that uses the rate.
	low, high := 0.0, math.Pow(priorityWeight, -maxPriority)
	used := func(scale float64) (sum float64) {
		for priority, w := range wanted {
			sum += w * classShare(priority, scale)
		}
		return sum
	}
	for range 40 {
		if middle := (low + high) / 2; used(middle) > rate {
			high = middle
		} else {
			low = middle
		}
	}
	for priority, members := range classes {
		level := maxMinLevel(members, wanted[priority]*classShare(priority, low))
		for _, f := range members {
			f.rate = min(f.wanted, level)
		}
	}
}

// maxPriority bounds the priorities that are told apart.
const maxPriority = 8

func classShare(priority int, scale float64) float64 {
	return min(1, scale*math.Pow(priorityWeight, float64(min(max(priority, 0), maxPriority))))
}

// maxMinLevel returns the largest rate that a flow can get in a max-min fair division; flows
// that want less get what they want.
func maxMinLevel(flows []*demand, rate float64) float64 {
	sorted := slices.SortedFunc(slices.Values(flows), func(a, b *demand) int { return cmp.Compare(a.wanted, b.wanted) })
	for i, f := range sorted {
		equal := rate / float64(len(sorted)-i)
		if f.wanted >= equal {
			return equal
		}
		rate -= f.wanted
	}
	return math.Inf(1)
}
