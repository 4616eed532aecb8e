package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// formerSpeed is the estimate of a speed without the median of the last observations.
type formerSpeed struct {
	logSpeed float64
	samples  int
}

func (m *formerSpeed) observe(expected, took float64) {
	m.samples++
	m.logSpeed += max(1/float64(m.samples+1), speedFloor) * (math.Log(expected/took) - m.logSpeed)
}

// TestOutlierChangesSpeed replays tasks of 60 ms, 3 of 100 seven times as long, on
// upstreams of the speeds 0.6, 1 and 1.6, through the models of the queue and of the
// upstreams. An upstream whose speed is taken for lower gets fewer tasks than it can run.
func TestOutlierChangesSpeed(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	const n, rounds, warmUp = 60, 400, 20
	queue, formerTime := newQueueModel(60*time.Millisecond), math.Log(0.06)
	var models [n]speedModel
	var former [n]formerSpeed
	var worst, sum [2]float64 // errors now and before
	for round := range rounds {
		var errors [2][n]float64 // of the logarithms
		var mean [2]float64
		for i := range n {
			speed := []float64{0.6, 1, 1.6}[i%3]
			declared := time.Duration(60e6 * (0.6 + 0.8*random.Float64()))
			took := 0.06 / speed * math.Exp(0.1*random.NormFloat64())
			if random.IntN(100) < 3 {
				took *= 7
			}
			expected, work := queue.expected(declared), took*models[i].speed()
			models[i].observe(expected, took)
			queue.observe(declared, work)
			workFormer := took * math.Exp(former[i].logSpeed)
			former[i].observe(math.Exp(formerTime), took)
			formerTime += 0.01 * (math.Log(workFormer) - formerTime)
			for k, estimate := range []float64{math.Log(models[i].speed()), former[i].logSpeed} {
				errors[k][i] = estimate - math.Log(speed)
				mean[k] += errors[k][i] / n // all speeds may be wrong by one factor
			}
		}
		for k := range errors {
			for _, e := range errors[k] {
				if round >= warmUp {
					sum[k] += math.Abs(e-mean[k]) / (n * (rounds - warmUp))
					worst[k] = max(worst[k], math.Abs(e-mean[k]))
				}
			}
		}
	}
	t.Logf("error of the speed: mean %.3f, greatest %.3f; before: mean %.3f, greatest %.3f", sum[0], math.Exp(worst[0])-1, sum[1], math.Exp(worst[1])-1)
	require.Less(t, sum[0], 0.7*sum[1])
	require.Less(t, worst[0], 0.7*worst[1])
}

// TestSpeedAfterFirstRuns guards against a first run that is an outlier, and against a slow
// upstream that is noticed too late.
func TestSpeedAfterFirstRuns(t *testing.T) {
	var m speedModel
	m.observe(0.1, 0.7)
	require.Greater(t, m.speed(), 0.8)
	var slow speedModel
	for range 6 {
		slow.observe(0.1, 0.4)
	}
	require.Less(t, slow.speed(), 0.4)
}
