package node

import (
	"testing"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/stretchr/testify/require"
)

func TestHistoriesOnTheWire(t *testing.T) {
	histories := map[int]history.Task{
		0: {Failures: 1, Losses: 2},
		3: {Crashes: 2, CrashesIsolated: 1, Suspicion: 0.75},
	}
	list := historiesToWire("a", histories)
	require.Equal(t, histories, historiesFromWire(list))
	require.Nil(t, historiesFromWire(nil))
	require.Equal(t, "a", historyToWire(scheduler.Task{Job: "a"}, histories[0]).Job)
}
