package main

import (
	"bytes"
	"os"
	"slices"
	"testing"

	"github.com/mustardstep/mustardstep/internal/replay"
	"github.com/stretchr/testify/require"
)

// TestMain lets the processes that a demonstration starts from the test binary
// run the program itself.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && slices.Contains([]string{"daemon", "node", "upstreams", "platform"}, os.Args[1]) {
		main()
	}
	os.Exit(m.Run())
}

func TestDemoPrintsACompleteAnswer(t *testing.T) {
	var output bytes.Buffer
	require.NoError(t, replay.RunDemo(t.Context(), &output, false))
	require.Contains(t, output.String(), "heat-alert for 4 figures: complete")
	require.Contains(t, output.String(), `"submission":"museum-01/demo-1","task":3`)
}
