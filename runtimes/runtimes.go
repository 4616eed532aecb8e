// Package runtimes estimates the run times of the tasks of a queue from the runs that
// have completed. It imports no network package and reads no clock.
//
// The expected run time is the geometric mean of the queue's typical run time and the
// declared run time, which is corrected by its typical error: declared run times are off
// by 40 %, about as much as the work itself varies. Actual run times are recorded relative
// to it as a histogram. Outliers shape the upper quantiles and hardly change the typical
// run time.
package runtimes

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// declaredWeight is the weight of the declared run time in the expected run time, on a
	// logarithmic scale; the queue's typical run time has the rest.
	declaredWeight = 0.5
	// averageFloor is the least weight of an observation in the typical run time, about
	// that of one among the last 200.
	averageFloor = 0.01
	// minRunTime keeps logarithms finite, in seconds.
	minRunTime = 1e-3
	// windowLength is the number of observations after which a new window begins. The
	// quantiles cover the last 500 to 1,000 observations, of which 15 to 30 are outliers
	// if 3 of 100 are.
	windowLength = 500
	// resolution is the number of histogram units of the ratio 1, maxRatio the greatest
	// ratio. With two significant digits, a ratio is exact to 1 %.
	resolution = 250
	maxRatio   = 100
	digits     = 2
	// The percentiles are updated with each of the first eagerObservations, and with every
	// updateInterval-th observation thereafter, because an update costs about 2 us.
	updateInterval = 16
	// eagerObservations are dropped from the histogram, because the expected run time to
	// which they are relative was not known yet.
	eagerObservations = 16
	// unseenTail is the least ratio of a quantile to the expected run time, if the
	// observations are too few to contain a run time above that quantile.
	unseenTail = 4
	// declaredSpread is the ratio by which run times are expected to differ from the
	// expected ones before any is observed.
	declaredSpread = 1.4
)

// percentileRanks are the ranks of Distribution.percentiles.
var percentileRanks = func() (ranks []float64) {
	for i := range 101 {
		ranks = append(ranks, float64(i))
	}
	return ranks
}()

// Distribution is the distribution of the run times of one queue. It is safe for
// concurrent use.
type Distribution struct {
	mu       sync.Mutex // guards the fields below
	base     float64    // log of the first declared or observed run time, in seconds
	based    bool       // base is known
	logTime  Location   // log of the typical run time, relative to base
	logRatio Location   // log of the typical ratio of the actual to the declared run time
	// window holds the ratios of actual to expected run times since the window before the
	// present one began, next those of the present one.
	window, next *hdrhistogram.Histogram
	observed     int // number of observations in window
	total        int
	// percentiles holds the ratios of the percentiles from 0 to 100.
	percentiles [101]float64
}

// New returns a distribution without observations, which expects the declared run time.
// If it is 0, the first observation replaces it.
func New(declared time.Duration) *Distribution {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio*resolution, digits) }
	d := &Distribution{window: newHistogram(), next: newHistogram(), base: math.Log(max(declared.Seconds(), minRunTime)), based: declared > 0}
	d.resetWindow()
	return d
}

// resetWindow replaces the window by the run times that are expected without observations.
// The caller holds mu.
func (d *Distribution) resetWindow() {
	d.window.Reset()
	d.next.Reset()
	d.observed = 0
	for _, ratio := range []float64{1 / declaredSpread, 1, declaredSpread} {
		record(d.window, ratio)
	}
	d.updatePercentiles()
}

// record adds a ratio to a histogram.
func record(h *hdrhistogram.Histogram, ratio float64) {
	_ = h.RecordValue(min(max(int64(math.Round(ratio*resolution)), 1), maxRatio*resolution)) // cannot fail within these bounds
}

// updatePercentiles computes the percentiles of the window. The caller holds mu.
func (d *Distribution) updatePercentiles() {
	for i, value := range d.window.ValueAtPercentilesSlice(percentileRanks) {
		d.percentiles[i] = float64(value) / resolution
	}
}

// Observe records a run time in seconds, with the run time that was declared for it, or 0.
func (d *Distribution) Observe(declared time.Duration, seconds float64) {
	seconds = max(seconds, minRunTime)
	log := math.Log(seconds)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.based {
		d.base, d.based = log, true
	}
	ratio := seconds / d.expected(declared)
	record(d.window, ratio)
	record(d.next, ratio)
	d.logTime.Observe(log-d.base, averageFloor)
	if declared > 0 {
		d.logRatio.Observe(log-math.Log(max(declared.Seconds(), minRunTime)), averageFloor)
	}
	d.observed++
	d.total++
	if d.total == eagerObservations {
		d.resetWindow()
	}
	if d.next.TotalCount() >= windowLength {
		d.window, d.next = d.next, d.window
		d.next.Reset()
		d.observed = int(d.window.TotalCount())
	}
	if d.total <= eagerObservations || d.total%updateInterval == 0 {
		d.updatePercentiles()
	}
}

// expected returns the expected run time in seconds. The caller holds mu.
func (d *Distribution) expected(declared time.Duration) float64 {
	typical := d.base + d.logTime.Value()
	if declared <= 0 {
		return math.Exp(typical)
	}
	corrected := math.Log(max(declared.Seconds(), minRunTime)) + d.logRatio.Value()
	return math.Exp(declaredWeight*corrected + (1-declaredWeight)*typical)
}

// Expected returns the typical run time for a declared one, or 0, in seconds. A few
// outliers hardly change it.
func (d *Distribution) Expected(declared time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expected(declared)
}

// Quantile returns the run time, in seconds, that a share q of the tasks does not exceed.
// If the observations are too few to contain a longer run time, the result is at least
// four times the expected run time.
func (d *Distribution) Quantile(declared time.Duration, q float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := 100 * min(max(q, 0), 1)
	below := min(int(at), 99)
	ratio := d.percentiles[below] + (at-float64(below))*(d.percentiles[below+1]-d.percentiles[below])
	if q > float64(d.observed+1)/float64(d.observed+2) {
		ratio = max(ratio, unseenTail)
	}
	return ratio * d.expected(declared)
}

// Remaining returns the expected remaining run time, in seconds, of a task that has run
// for the given time in seconds: the median of the longer run times. A task that has
// exceeded all of them is expected to run for as long again.
func (d *Distribution) Remaining(declared time.Duration, elapsed float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	expected := d.expected(declared)
	exceeded := 0
	for exceeded < len(d.percentiles) && d.percentiles[exceeded]*expected <= elapsed {
		exceeded++
	}
	switch exceeded {
	case 0:
		return max(expected-elapsed, 0)
	case len(d.percentiles):
		return elapsed
	}
	return max(d.percentiles[(exceeded+100)/2]*expected-elapsed, 0)
}
