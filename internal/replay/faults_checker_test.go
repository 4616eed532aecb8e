package replay

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/client"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

var historyStart = time.UnixMicro(1_000_000)

func at(ms int) time.Time { return historyStart.Add(time.Duration(ms) * time.Millisecond) }

func startOf(key string, task, ms int) api.StartEntry {
	return api.StartEntry{Upstream: "u", Submission: "c/" + key, Task: task, AtUS: at(ms).UnixMicro()}
}

// answered returns an attempt that was answered with verdict v.
func answered(key string, sent, finished int, v verdict.Verdict) attempt {
	a := attempt{"c", client.Attempt{Key: key, Address: "vm", Sent: at(sent), Finished: at(finished)}}
	if v != verdict.Complete {
		a.Failure = verdict.Errorf(v, verdict.CodeNotReady, "x")
	}
	return a
}

func lostAttempt(key string, sent, finished int, err error) attempt {
	a := answered(key, sent, finished, verdict.MayHaveRun)
	a.Err = err
	return a
}

func TestCheckReportsViolations(t *testing.T) {
	stops := []plannedStop{{address: "vm", startedAt: at(100), exitedAt: at(200)}}
	for name, c := range map[string]struct {
		history                                 faultHistory
		twice, falseNotRun, dropped, exitErrors int
	}{
		"clean": {history: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 5), startOf("a", 1, 5), startOf("b", 0, 6)},
			attempts: []attempt{answered("a", 1, 9, verdict.Complete), answered("b", 1, 9, verdict.Complete)},
		}},
		"started twice": {history: faultHistory{
			starts: []api.StartEntry{startOf("a", 0, 5), startOf("a", 0, 50), startOf("a", 0, 90), startOf("a", 1, 5)},
		}, twice: 1},
		"not run after a start": {history: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 5)},
			attempts: []attempt{answered("a", 1, 20, verdict.Complete), answered("a", 10, 12, verdict.NotRun)},
		}, falseNotRun: 1},
		"not run, then resubmitted": {history: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 15)},
			attempts: []attempt{answered("a", 1, 5, verdict.NotRun), answered("a", 10, 20, verdict.Complete)},
		}},
		"all attempts not run, then a start": {history: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 15)},
			attempts: []attempt{answered("a", 1, 5, verdict.NotRun), answered("a", 6, 9, verdict.NotRun)},
		}, falseNotRun: 2},
		"may have run is not a violation": {history: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 1)},
			attempts: []attempt{answered("a", 1, 5, verdict.MayHaveRun)},
		}},
		"connection lost during a planned stop": {history: faultHistory{
			attempts: []attempt{lostAttempt("a", 90, 150, io.EOF), lostAttempt("b", 150, 160, syscall.ECONNRESET)}, stops: stops,
		}, dropped: 2},
		"no request dropped": {history: faultHistory{
			attempts: []attempt{
				lostAttempt("before", 10, 50, io.EOF), lostAttempt("refused", 120, 121, errors.Wrap(syscall.ECONNREFUSED, "dial")),
				lostAttempt("timeout", 90, 150, fasthttp.ErrTimeout), lostAttempt("after", 210, 220, io.EOF),
				answered("answered", 150, 151, verdict.NotRun),
			}, stops: stops,
		}},
		"bad exit": {history: faultHistory{
			stops: []plannedStop{{address: "vm", startedAt: at(1), exitedAt: at(2), err: errors.New("exit status 1")}},
		}, exitErrors: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c.history.startedAt = historyStart
			r := c.history.check()
			require.Equal(t, c.twice, r.StartsTwice)
			require.Equal(t, c.falseNotRun, r.FalseNotRun)
			require.Equal(t, c.dropped, r.DroppedRequests)
			require.Len(t, r.ExitErrors, c.exitErrors)
			require.Equal(t, c.twice+c.falseNotRun+c.dropped+c.exitErrors > 0, r.hasViolations())
			require.Equal(t, c.twice+c.falseNotRun > 0, len(r.Traces) > 0)
		})
	}
}

func TestCheckCountsPartialAnswersAndFailures(t *testing.T) {
	fail := func(v verdict.Verdict, code verdict.Code) outcome {
		return outcome{failure: verdict.Errorf(v, code, "x")}
	}
	history := faultHistory{outcomes: []outcome{
		{}, {partial: true},
		fail(verdict.MayHaveRun, verdict.CodeUncovered), fail(verdict.MayHaveRun, verdict.CodeUncovered),
		fail(verdict.MayHaveRun, verdict.CodeUnreachable), fail(verdict.Ran, verdict.CodeUpstreamFailed),
	}}
	r := history.check()
	require.Equal(t, 1, r.PartialAnswers)
	require.True(t, r.hasViolations())
	require.Equal(t, 4, r.Failed)
	require.Equal(t, 3, r.MayHaveRun)
	require.Equal(t, FailureCount{verdict.MayHaveRun, verdict.CodeUncovered, 2}, r.Failures[0])
	counted := 0
	for _, f := range r.Failures {
		counted += f.Count
	}
	require.Equal(t, r.Failed, counted)
}

func TestProbeStreamAvailability(t *testing.T) {
	event := faultEvent{"kill", at(100), at(105)}
	for name, c := range map[string]struct {
		probes     []probe
		first, gap time.Duration
		failed     int
	}{
		"nothing served": {[]probe{{at(110), at(120), false}}, 200 * time.Millisecond, 200 * time.Millisecond, 1},
		"sent before the fault was done": {[]probe{{at(104), at(108), true}, {at(110), at(150), true}},
			50 * time.Millisecond, 150 * time.Millisecond, 0},
		"gap in the middle": {[]probe{{at(110), at(111), true}, {at(120), at(121), false}, {at(280), at(290), true}},
			11 * time.Millisecond, 179 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := &probeStream{probes: c.probes}
			a := s.availability(event, at(300))
			require.Equal(t, c.first, a.firstSuccess)
			require.Equal(t, c.gap, a.gap)
			require.Equal(t, c.failed, a.failed)
		})
	}
}
