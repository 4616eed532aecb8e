package runtimes

import "math"

const (
	// priorSpread is the spread that is assumed before the first observation: about that
	// of run times whose declared values are off by 40 %.
	priorSpread = 0.2
	// clipFactor is the number of spreads by which an observation may differ from the
	// value; a greater difference counts as this one.
	clipFactor = 2
)

// Location is a moving average of logarithms on which a single outlier has little effect:
// an observation counts as at most a few mean deviations away from the value. A lasting
// change widens these, so that the value follows it after a few observations. The zero
// value is an average of 0. It is not safe for concurrent use.
type Location struct {
	value, spread float64
	samples       int
}

// Value returns the average.
func (l *Location) Value() float64 { return l.value }

// Observe adds an observation. Its weight is 1/(n+1), where n counts the observations, but
// at least floor.
func (l *Location) Observe(x, floor float64) {
	if l.samples == 0 {
		l.spread = priorSpread
	}
	l.samples++
	weight := max(1/float64(l.samples+1), floor)
	difference := x - l.value
	limit := clipFactor * l.spread
	l.value += weight * min(max(difference, -limit), limit)
	l.spread += weight * (math.Abs(difference) - l.spread)
}
