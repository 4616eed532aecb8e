package main

import (
	"bytes"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/replay"
	"github.com/stretchr/testify/require"
)

// TestMain runs the program instead of the tests in child processes: the suites start
// the running executable, here the test binary, as a daemon or a stand-in.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && slices.Contains([]string{"daemon", "node", "upstreams", "platform"}, os.Args[1]) {
		main()
	}
	os.Exit(m.Run())
}

func TestDemoPrintsCompleteAnswer(t *testing.T) {
	var output bytes.Buffer
	require.NoError(t, replay.RunDemo(t.Context(), &output, false))
	require.Contains(t, output.String(), "heat-alert for 4 figures: complete")
	require.Contains(t, output.String(), `"submission":"museum-01/demo-1","task":3`)
}

// TestSoak runs real processes under random faults for a few seconds. It asserts
// no timing.
func TestSoak(t *testing.T) {
	report, err := replay.RunSoak(t.Context(), replay.SoakOptions{Seed: 7, Seconds: 5, VMs: 4, Upstreams: 6, RetryTimeout: 10 * time.Minute})
	if report != nil {
		for _, line := range append(report.FaultEvents, report.Violations...) {
			t.Log(line)
		}
	}
	require.NoError(t, err)
	require.Positive(t, report.Answers["succeeded"])
}
