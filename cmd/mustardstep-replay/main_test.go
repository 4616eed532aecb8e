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
	runSoak(t, replay.SoakOptions{Seed: 7, Seconds: 5, VMs: 4, Upstreams: 6, RetryTimeout: 10 * time.Minute})
}

// TestRunsOnBothSidesOfForgottenSplit runs three data centres that lose each other and the store
// for 17.8 s, longer than the daemons remember VMs and upstreams that they do not hear.
func TestRunsOnBothSidesOfForgottenSplit(t *testing.T) {
	runSoak(t, replay.SoakOptions{
		Seed: 10, Seconds: 1, VMs: 6, Upstreams: 24, OnlyLongSplits: "storeless",
		LongInterval: 100 * time.Millisecond, RetryTimeout: 10 * time.Minute,
	})
}

// TestTakeoverBesideReplacementsOfUpstreams halts dispatchers while upstreams join that the next
// one has not listed, and the store returns few changes at a time.
func TestTakeoverBesideReplacementsOfUpstreams(t *testing.T) {
	runSoak(t, replay.SoakOptions{
		Seed: 54, Seconds: 1, VMs: 6, Upstreams: 24, OnlyReplacements: true, RetryTimeout: 10 * time.Minute,
	})
}

// runSoak runs a soak test and logs its faults.
func runSoak(t *testing.T, options replay.SoakOptions) {
	report, err := replay.RunSoak(t.Context(), options)
	if report != nil {
		for _, line := range append(report.FaultEvents, report.Violations...) {
			t.Log(line)
		}
	}
	require.NoError(t, err)
	require.Positive(t, report.Answers["succeeded"])
}
