package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunStatesHaveNames(t *testing.T) {
	for state, name := range map[runState]string{
		runOrdered: "ordered", runUnknown: "unknown", runRejected: "rejected", runStarted: "started", runStopping: "stopping",
	} {
		require.Equal(t, name, state.String())
	}
}
