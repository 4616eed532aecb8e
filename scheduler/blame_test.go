package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCrashIsAttributedByQueueAndAge(t *testing.T) {
	now := time.Unix(1000, 0)
	run := func(queue string, age time.Duration) crashedRun {
		return crashedRun{queue: queue, age: age, confirmed: true}
	}
	isolated := func(queue string, age time.Duration) crashedRun {
		return crashedRun{queue: queue, age: age, confirmed: true, isolated: true}
	}
	var b blame
	require.Equal(t, []float64{0.5, 0.5}, b.attribute(now, "s", []crashedRun{run("alert", 10*time.Millisecond), run("swap", time.Second)}), "nothing is known")

	now = now.Add(time.Second)
	require.Equal(t, []float64{1}, b.attribute(now, "s", []crashedRun{isolated("alert", 10*time.Millisecond)}))

	now = now.Add(time.Second)
	p := b.attribute(now, "s", []crashedRun{run("alert", 11*time.Millisecond), run("swap", 11*time.Millisecond), run("alert", time.Second)})
	require.Greater(t, p[0], probableSuspicion, "the queue and the age of a known crash")
	require.Less(t, p[1], 0.1, "another queue")
	require.Less(t, p[2], 0.1, "another age")
	require.InDelta(t, 1, p[0]+p[1]+p[2], 1e-9)

	require.True(t, b.exposed(now, "s", "alert", 20), "three of 20 upstreams have crashed")
	require.False(t, b.exposed(now, "s", "alert", 40))
	require.False(t, b.exposed(now, "s", "swap", 20), "the queue is not known for crashes")
	require.False(t, b.exposed(now.Add(exposureTime+time.Second), "s", "alert", 20))

	later := now.Add(blameRetention + time.Second)
	require.Equal(t, []float64{0.5, 0.5}, b.attribute(later, "s", []crashedRun{run("alert", 11*time.Millisecond), run("swap", 11*time.Millisecond)}), "forgotten")
}

func TestCrashesWithACommonCauseAccuseNobody(t *testing.T) {
	now := time.Unix(1000, 0)
	older := []crashedRun{{queue: "alert", age: time.Second, confirmed: true}}
	var b blame
	require.NotNil(t, b.attribute(now, "s", older))
	require.True(t, b.settling(now, "s"))
	now = now.Add(20 * time.Millisecond)
	require.Nil(t, b.attribute(now, "s", older))
	require.Nil(t, b.attribute(now, "s", []crashedRun{{queue: "alert", age: time.Millisecond}}), "the upstream has not confirmed the run")
	require.NotNil(t, b.attribute(now, "other service", older))
	now = now.Add(20 * time.Millisecond)
	require.NotNil(t, b.attribute(now, "s", []crashedRun{{queue: "alert", age: 10 * time.Millisecond, confirmed: true}}), "started after the crash before")
	require.False(t, b.settling(now.Add(commonCauseTime), "s"))
}
