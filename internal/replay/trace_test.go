package replay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTraceRoundTrip(t *testing.T) {
	for _, service := range []string{serviceRotaDesk, serviceKitDesk} {
		jobs := Generate(Workload{Seed: 7, Service: service, Seconds: 1, TasksPerSecond: 500, MeanTaskUS: 1000, Callers: 3, CancelShare: 0.5})
		require.NotEmpty(t, jobs)
		var file bytes.Buffer
		require.NoError(t, WriteTrace(&file, jobs))
		read, err := ReadTrace(&file)
		require.NoError(t, err)
		require.Equal(t, jobs, read)
	}
}

func TestReadTraceErrorsIncludeLine(t *testing.T) {
	header := `{"format":"mustardstep-trace","version":1}` + "\n"
	for _, c := range []struct{ name, text, want string }{
		{"no header", `{}`, "line 1"},
		{"later version", `{"format":"mustardstep-trace","version":2}`, "version 2"},
		{"no tasks", header + `{"caller":"a","key":"k","tasks":[]}`, "line 2"},
		{"no JSON", header + `{"caller":"a","key":"k","tasks":[{"run_us":1}]}` + "\n{", "line 3"},
	} {
		_, err := ReadTrace(strings.NewReader(c.text))
		require.ErrorContains(t, err, c.want, c.name)
	}
}

func TestClairvoyant(t *testing.T) {
	job := func(at int64, runs ...int64) TraceJob {
		j := TraceJob{ArrivalUS: at, Caller: "a", Key: "k"}
		for _, run := range runs {
			j.Tasks = append(j.Tasks, TraceTask{RunUS: run})
		}
		return j
	}
	for _, c := range []struct {
		name   string
		jobs   []TraceJob
		speeds SlotSpeeds
		want   time.Duration
	}{
		{"longest task on the fastest slot", []TraceJob{job(0, 1000, 4000)}, SlotSpeeds{0.5, 1}, 4 * time.Millisecond},
		{"one slot in turn", []TraceJob{job(0, 1000, 1000)}, SlotSpeeds{1}, 2 * time.Millisecond},
		{"least remaining work first", []TraceJob{job(0, 100), job(0, 5000), job(0, 900)}, SlotSpeeds{1},
			(100 + 1000 + 6000) * time.Microsecond / 3},
	} {
		require.Equal(t, c.want+roundTrip, ClairvoyantMean(c.jobs, c.speeds, 0), c.name)
	}
}
