package history

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHopeless(t *testing.T) {
	for _, c := range []struct {
		name string
		task Task
		want string
	}{
		{"no runs", Task{}, ""},
		{"failures below the limit", Task{Failures: 2}, ""},
		{"failures", Task{Failures: 3}, "3 runs of a task have failed"},
		{"one crash, isolated", Task{Crashes: 1, CrashesIsolated: 1}, ""},
		{"two crashes beside other tasks", Task{Crashes: 2}, ""},
		{"two crashes, one isolated", Task{Crashes: 2, CrashesIsolated: 1}, "2 upstreams crashed while they ran a task"},
		{"three crashes beside other tasks", Task{Crashes: 3}, "3 upstreams crashed while they ran a task"},
		{"runs lost without a crash", Task{Losses: 9}, ""},
	} {
		require.Equal(t, c.want, c.task.Hopeless(3), c.name)
	}
	require.Empty(t, Task{}.Hopeless(0), "a task without failed runs is tried")
	require.Empty(t, Task{Losses: 4}.Exhausted())
	require.Equal(t, "5 runs of a task were lost with their upstreams", Task{Losses: 3, Crashes: 2}.Exhausted())
}

func TestMergeCountsEachRunOnce(t *testing.T) {
	dispatcher := Task{}.AddCrash(0.5, false).AddCrash(1, true)
	origin := Task{Failures: 1}.AddCrash(0.5, false)
	merged := dispatcher.Merge(origin)
	require.Equal(t, Task{Failures: 1, Crashes: 2, CrashesIsolated: 1, Suspicion: 1}, merged)
	require.Equal(t, merged, merged.Merge(merged))
	require.True(t, origin.Suspect())
	require.False(t, Task{}.AddCrash(0.05, false).Suspect())
}
