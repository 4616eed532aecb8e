package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOutlierChangesExpectedRunTime replays a queue of which 3 of 100 tasks take seven
// times as long, with declared run times that are off by 40 %.
func TestOutlierChangesExpectedRunTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	d := New(60 * time.Millisecond)
	former, worst, worstFormer := math.Log(0.06), 0.0, 0.0
	for i := range 5000 {
		declared := time.Duration(60e6 * (0.6 + 0.8*random.Float64()))
		took := 0.06 * math.Exp(0.1*random.NormFloat64())
		if random.IntN(100) < 3 {
			took *= 7
		}
		d.Observe(declared, took)
		former += max(1/float64(i+2), 0.01) * (math.Log(took) - former)
		worst = max(worst, math.Abs(d.Expected(0)/0.06-1))
		worstFormer = max(worstFormer, math.Abs(math.Exp(former)/0.06-1))
	}
	t.Logf("greatest error of the expected run time: %.3f, of a moving average %.3f", worst, worstFormer)
	require.Less(t, worst, 0.12)
	require.Greater(t, worstFormer, 2*worst)
	declared := 60 * time.Millisecond
	require.InDelta(t, 0.06*7, d.Quantile(declared, 0.99), 0.12, "the tail is known")
	require.InDelta(t, 0.06, d.Quantile(declared, 0.5), 0.008)
	require.InDelta(t, d.Expected(declared), d.Remaining(declared, 0), 0.005)
	require.Greater(t, d.Remaining(declared, 0.15), 0.1, "a task that has exceeded the usual run time is an outlier")
	require.InDelta(t, 5.0, d.Remaining(declared, 5), 0.001)
}

// TestOldRunTimesRemain guards against estimates that follow a change of the work too late,
// or not at all if it exceeds the range of the histogram.
func TestOldRunTimesRemain(t *testing.T) {
	for _, factor := range []float64{0.001, 0.5, 3, 10_000} {
		d := New(100 * time.Millisecond)
		for range 1000 {
			d.Observe(100*time.Millisecond, 0.1)
		}
		require.InDelta(t, 0.1, d.Expected(100*time.Millisecond), 0.002)
		want := max(0.1*factor, minRunTime)
		for range 3 * windowLength {
			d.Observe(100*time.Millisecond, want)
		}
		require.InEpsilon(t, want, d.Expected(100*time.Millisecond), 0.05, "factor %v", factor)
	}
}

// TestRunTimeWithoutObservations guards against an estimate that ignores the declared run
// time, and against a tail that is taken for short because nothing is known about it.
func TestRunTimeWithoutObservations(t *testing.T) {
	d := New(100 * time.Millisecond)
	require.InDelta(t, 0.1, d.Expected(100*time.Millisecond), 1e-9)
	require.InDelta(t, 0.2, d.Expected(400*time.Millisecond), 1e-9)
	require.InDelta(t, 0.4, d.Quantile(100*time.Millisecond, 0.99), 1e-9)
	undeclared := New(0)
	undeclared.Observe(0, 2)
	require.InDelta(t, 2, undeclared.Expected(0), 0.02, "the first run time counts if none was declared")
	undeclared.Observe(0, 14)
	require.Less(t, undeclared.Expected(0), 3.0)
}
