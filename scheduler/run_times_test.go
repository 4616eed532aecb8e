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
	const n = 60
	queue := newQueueModel(60 * time.Millisecond)
	var models [n]speedModel
	var former [n]formerSpeed
	var worst, worstFormer, sum, sumFormer float64
	formerTime := math.Log(0.06)
	rounds := 400
	for round := range rounds {
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
		}
		if round < 20 {
			continue
		}
		// Only the relative speeds matter: all may differ from the true ones by one factor.
		mean, meanFormer := 0.0, 0.0
		for i := range n {
			truth := math.Log([]float64{0.6, 1, 1.6}[i%3])
			mean += (math.Log(models[i].speed()) - truth) / n
			meanFormer += (former[i].logSpeed - truth) / n
		}
		for i := range n {
			truth := math.Log([]float64{0.6, 1, 1.6}[i%3])
			e, f := math.Abs(math.Log(models[i].speed())-truth-mean), math.Abs(former[i].logSpeed-truth-meanFormer)
			worst, worstFormer, sum, sumFormer = max(worst, e), max(worstFormer, f), sum+e, sumFormer+f
		}
	}
	count := float64(n * (rounds - 20))
	t.Logf("error of the speed: mean %.3f, greatest %.3f; before: mean %.3f, greatest %.3f", sum/count, math.Exp(worst)-1, sumFormer/count, math.Exp(worstFormer)-1)
	require.Less(t, sum/count, 0.07)
	require.Less(t, worst, worstFormer)
	require.Less(t, sum, sumFormer)
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
