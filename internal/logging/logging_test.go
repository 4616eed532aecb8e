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

const testTask = "5c0e7a21d94b36f8.0.0.17"

func testStart() *scheduler.Start {
	return &scheduler.Start{
		Run:   scheduler.Run{Task: scheduler.Task{Job: "5c0e7a21d94b36f8", Index: 17}, Attempt: 1},
		Token: 7, Upstream: scheduler.Upstream{Name: "casablanca-rota-desk-07"},
		Waited: 1234 * time.Microsecond, Expected: 60 * time.Millisecond, Left: 90 * time.Millisecond,
		Free: scheduler.Size{MilliCPU: 2400}, Origin: "vm1", Submission: 3,
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
	d.Placement(testStart(), testTask)
	time.Sleep(time.Millisecond)
	d.Refusal(id, verdict.Errorf(verdict.NotRun, verdict.CodeQuota, "too many"))
	flush()
	all := decodeLines(t, &log)
	require.Len(t, all, 3)
	for i, want := range []map[string]any{
		{"msg": "route", "caller": "museum", "key": "k", "home": "casablanca", "owner": "vm1", "reason": "forward"},
		{"msg": "place", "job": "5c0e7a21d94b36f8", "task": "5c0e7a21d94b36f8.0.0.17", "attempt": 1.0, "upstream": "casablanca-rota-desk-07", "origin": "vm1", "submission": 3.0,
			"token": 7.0, "waited_us": 1234.0, "expected_us": 60000.0, "left_us": 90000.0, "free_cpu": 2400.0},
		{"msg": "refuse", "caller": "museum", "key": "k", "verdict": "failed: not run", "code": "quota", "reason": "too many"},
	} {
		require.NotEmpty(t, all[i]["time"])
		delete(all[i], "time")
		want["level"], want["vm"] = "INFO", "vm0"
		require.Equal(t, want, all[i])
	}
}

// A line of a start that is not ordinary tells why the task could start.
func TestPlacementNamesReasonOfStart(t *testing.T) {
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "json"}, &log)
	start := testStart()
	start.Basis = scheduler.StartBasis{
		Hold: scheduler.HoldTimedOut, Held: 580 * time.Millisecond, Resumed: true, EarlierKnown: true,
		Coverage: scheduler.Coverage{Listed: 12, Unanswered: 3, Fenced: 2, Failing: 1, Unlisted: 4, Partial: true, UnreachablePeers: true},
	}
	NewDecisionLog(logger, true).Placement(start, testTask)
	flush()
	all := decodeLines(t, &log)
	require.Len(t, all, 1)
	delete(all[0], "time")
	require.Equal(t, map[string]any{
		"level": "INFO", "msg": "place", "job": "5c0e7a21d94b36f8", "task": "5c0e7a21d94b36f8.0.0.17", "attempt": 1.0, "upstream": "casablanca-rota-desk-07",
		"resumed": true, "hold": "timeout", "held_us": 580000.0, "was_unstarted": false, "earlier_known": true,
		"listed": 12.0, "unanswered": 3.0, "fenced": 2.0, "failing": 1.0, "unlisted": 4.0, "partial": true, "incomplete_list": false, "unreachable_peers": true,
		"origin": "vm1", "submission": 3.0, "token": 7.0, "waited_us": 1234.0, "expected_us": 60000.0, "left_us": 90000.0, "free_cpu": 2400.0,
	}, all[0])
}

func TestAcceptedOfferLine(t *testing.T) {
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "json"}, &log)
	NewDecisionLog(logger, true).Accepted("a", "vm1", 3, 25*time.Millisecond, 2, &scheduler.OfferedJob{Held: true, Basis: scheduler.StartBasis{Resumed: true}})
	flush()
	all := decodeLines(t, &log)
	require.Len(t, all, 1)
	delete(all[0], "time")
	require.Equal(t, map[string]any{
		"level": "INFO", "msg": "offer accepted", "job": "a", "origin": "vm1", "submission": 3.0, "age_us": 25000.0, "tasks": 2.0,
		"held": true, "resumed": true, "was_unstarted": false, "earlier_known": false,
	}, all[0])
}

// Changes of the coverage are logged once a second at most, and the last one is not lost.
func TestCoverageIsLoggedOnChange(t *testing.T) {
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "json"}, &log)
	l := NewCoverageLog(logger)
	now := time.Unix(1_700_000_000, 0)
	for i := range 250 { // 5 s
		c := scheduler.Coverage{Listed: 10 + i%3}
		if i < 75 {
			c.Unanswered = i % 7
		}
		l.Observe(now.Add(time.Duration(i)*20*time.Millisecond), c, true)
	}
	l.Observe(now.Add(6*time.Second), scheduler.Coverage{}, false)
	flush()
	lines := decodeLines(t, &log)
	require.Len(t, lines, 3, "at 0.02, 1.02 and 2.02 s")
	require.Equal(t, "upstreams are lacking", lines[0]["msg"])
	require.Equal(t, "no upstreams are lacking", lines[2]["msg"])
	require.Equal(t, 0.0, lines[2]["unanswered"])
}

func TestDisabledDecisionLog(t *testing.T) {
	var log bytes.Buffer
	logger, flush := New(settings.Logging{Level: "info", Format: "text"}, &log)
	NewDecisionLog(logger, false).Placement(testStart(), testTask)
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
				d.Placement(testStart(), testTask)
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
	require.EqualValues(t, dropped, CountsOf(logger).Dropped.Load())
	require.EqualValues(t, kept, CountsOf(logger).Written.Load())
}

func BenchmarkPlacement(b *testing.B) {
	for _, format := range []string{"json", "text"} {
		logger, flush := New(settings.Logging{Level: "info", Format: format}, io.Discard)
		d := NewDecisionLog(logger.With(slog.String("vm", "vm0")), true)
		b.Run(format+"/one", func(b *testing.B) {
			b.ReportAllocs()
			a := testStart()
			for b.Loop() {
				d.Placement(a, testTask)
			}
		})
		b.Run(format+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				a := testStart()
				for pb.Next() {
					d.Placement(a, testTask)
				}
			})
		})
		flush()
	}
}
