package dispatch

import (
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/catalog"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

func TestNeverFits(t *testing.T) {
	size := func(cpu, memory, accelerators int64) catalog.Size {
		return catalog.Size{MilliCPU: cpu, MemoryMB: memory, Accelerators: accelerators}
	}
	for _, c := range []struct {
		name      string
		upstreams []catalog.Size
		task      catalog.Size
		fits      bool
	}{
		{"fits", []catalog.Size{size(1000, 1000, 0), size(4000, 500, 1)}, size(4000, 500, 1), true},
		{"no single upstream has all", []catalog.Size{size(1000, 1000, 0), size(4000, 500, 0)}, size(4000, 1000, 0), false},
		{"no accelerator", []catalog.Size{size(1000, 1000, 0)}, size(1, 1, 1), false},
		{"size not known", []catalog.Size{{}}, size(1, 1, 1), true},
	} {
		d := New(Config{MaxQueued: 10})
		upstreams := upstreamsOf(make([]int, len(c.upstreams))...)
		for i := range upstreams {
			upstreams[i].Slots, upstreams[i].Size = 1, c.upstreams[i]
		}
		d.SetUpstreams(start, "s", upstreams)
		call := *normalCall
		call.Size = c.task
		_, failure := d.Add(start, makeTasks(&call, "k", 1))
		if c.fits {
			require.Nil(t, failure, c.name)
			continue
		}
		require.Equal(t, verdict.CodeNeverFits, failure.Code, c.name)
		require.Equal(t, verdict.NotRun, failure.Verdict)
	}
}

func TestDeadlineKnownToBeMissedIsRefused(t *testing.T) {
	d := newTest(1000, 1)
	add(t, d, start, normalCall, "k", 101) // ten seconds of work
	late, soon := makeTasks(normalCall, "late", 1), makeTasks(normalCall, "soon", 1)
	late[0].Deadline, soon[0].Deadline = start.Add(20*time.Second), start.Add(2*time.Second)
	_, failure := d.Add(start, late)
	require.Nil(t, failure)
	_, failure = d.Add(start, soon)
	require.Equal(t, verdict.CodeDeadline, failure.Code)
	require.Equal(t, verdict.NotRun, failure.Verdict)
	pressing := makeTasks(urgentCall, "pressing", 1)
	pressing[0].Deadline = start.Add(2 * time.Second)
	_, failure = d.Add(start, pressing)
	require.Nil(t, failure, "an urgent job does not wait for the others")
}
