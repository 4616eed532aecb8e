package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

func testStart() *scheduler.Start {
	return &scheduler.Start{
		Run:   scheduler.Run{Task: scheduler.Task{Job: "5c0e7a21d94b36f8", Index: 17}, Attempt: 1},
		Token: 7, Upstream: scheduler.Upstream{Name: "casablanca-rota-desk-07"},
		Waited: 1234 * time.Microsecond, Expected: 60 * time.Millisecond, Left: 90 * time.Millisecond,
		Free: scheduler.Size{MilliCPU: 2400},
	}
}

// decodeLines decodes the lines of a log and sorts them by time.
func decodeLines(t *testing.T, log io.Reader) []map[string]any {
	var all []map[string]any
	scanner := bufio.NewScanner(log)
	for scanner.Scan() {
		var line map[string]any
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &line), scanner.Text())
		all = append(all, line)
	}
	slices.SortFunc(all, func(a, b map[string]any) int {
		return strings.Compare(a["time"].(string), b["time"].(string))
	})
	return all
}

func TestDecisionLines(t *testing.T) {
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "json"}, &log)
	d := NewDecisionLog(logger.With(slog.String("vm", "vm0")), true)
	id := submission.ID{Caller: "museum", Key: "k"}
	// The pauses make the timestamps differ, for sorting.
	d.Route(id, "casablanca", "vm1", "forward")
	time.Sleep(time.Millisecond)
	d.Placement(testStart())
	time.Sleep(time.Millisecond)
	d.Refusal(id, verdict.Errorf(verdict.NotRun, verdict.CodeQuota, "too many"))
	flush()
	all := decodeLines(t, &log)
	require.Len(t, all, 3)
	for i, want := range []map[string]any{
		{"msg": "route", "caller": "museum", "key": "k", "home": "casablanca", "owner": "vm1", "reason": "forward"},
		{"msg": "place", "job": "5c0e7a21d94b36f8", "task": 17.0, "attempt": 1.0, "upstream": "casablanca-rota-desk-07",
			"token": 7.0, "waited_us": 1234.0, "expected_us": 60000.0, "left_us": 90000.0, "free_cpu": 2400.0},
		{"msg": "refuse", "caller": "museum", "key": "k", "verdict": "failed: not run", "code": "quota", "reason": "too many"},
	} {
		require.NotEmpty(t, all[i]["time"])
		delete(all[i], "time")
		want["level"], want["vm"] = "INFO", "vm0"
		require.Equal(t, want, all[i])
	}
}

func TestDisabledDecisionLog(t *testing.T) {
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "text"}, &log)
	NewDecisionLog(logger, false).Placement(testStart())
	DecisionLog{}.Route(submission.ID{}, "", "", "")
	flush()
	require.Empty(t, log.String())
}

func TestConcurrentLinesAreNotInterleaved(t *testing.T) {
	const writers, each = 8, 500
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "json"}, &log)
	d := NewDecisionLog(logger, true)
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range each {
				d.Placement(testStart())
			}
		})
	}
	wg.Wait()
	flush()
	require.Len(t, decodeLines(t, &log), writers*each)
}

// blockingWriter blocks writes until it is released.
type blockingWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(b)
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	logger, flush := New(settings.Logging{Level: "info", Format: "json"}, w)
	line := strings.Repeat("x", 1<<10)
	for range 2 * shardCount * maxBuffered >> 10 {
		logger.Info(line)
	}
	close(w.release)
	flush()
	dropped, kept := 0, 0
	for _, l := range decodeLines(t, &w.Buffer) {
		if l["msg"] == "log lines dropped" {
			dropped += int(l["lines"].(float64))
		} else {
			kept++
		}
	}
	require.Equal(t, 2*shardCount*maxBuffered>>10, dropped+kept, "every line is written or counted")
	require.Positive(t, dropped)
}

func BenchmarkPlacement(b *testing.B) {
	for _, format := range []string{"json", "text"} {
		logger, flush := New(settings.Logging{Level: "info", Format: format}, io.Discard)
		d := NewDecisionLog(logger.With(slog.String("vm", "vm0")), true)
		b.Run(format+"/one", func(b *testing.B) {
			b.ReportAllocs()
			a := testStart()
			for b.Loop() {
				d.Placement(a)
			}
		})
		b.Run(format+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				a := testStart()
				for pb.Next() {
					d.Placement(a)
				}
			})
		})
		flush()
	}
}
