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

var judgeBegin = time.UnixMicro(1_000_000)

func at(ms int) time.Time { return judgeBegin.Add(time.Duration(ms) * time.Millisecond) }

func startOf(key string, task, ms int) api.StartEntry {
	return api.StartEntry{Upstream: "u", Submission: "c/" + key, Task: task, AtUS: at(ms).UnixMicro()}
}

// answered is an attempt with an answer; v is Complete for a success.
func answered(key string, sent, ended int, v verdict.Verdict) attempt {
	a := attempt{"c", client.Attempt{Key: key, Address: "vm", Sent: at(sent), Finished: at(ended)}}
	if v != verdict.Complete {
		a.Failure = verdict.Errorf(v, verdict.CodeNotReady, "x")
	}
	return a
}

func lost(key string, sent, ended int, err error) attempt {
	a := answered(key, sent, ended, verdict.MayHaveRun)
	a.Err = err
	return a
}

func TestReportFindsBrokenPromises(t *testing.T) {
	stops := []plannedStop{{address: "vm", begin: at(100), exit: at(200)}}
	for name, c := range map[string]struct {
		evidence                faultHistory
		twice, denied, cut, end int
	}{
		"clean": {evidence: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 5), startOf("a", 1, 5), startOf("b", 0, 6)},
			attempts: []attempt{answered("a", 1, 9, verdict.Complete), answered("b", 1, 9, verdict.Complete)},
		}},
		"started twice": {evidence: faultHistory{
			starts: []api.StartEntry{startOf("a", 0, 5), startOf("a", 0, 50), startOf("a", 0, 90), startOf("a", 1, 5)},
		}, twice: 1},
		"denied after a start": {evidence: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 5)},
			attempts: []attempt{answered("a", 1, 20, verdict.Complete), answered("a", 10, 12, verdict.NotRun)},
		}, denied: 1},
		"denied, then submitted again": {evidence: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 15)},
			attempts: []attempt{answered("a", 1, 5, verdict.NotRun), answered("a", 10, 20, verdict.Complete)},
		}},
		"denied by all and started later": {evidence: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 15)},
			attempts: []attempt{answered("a", 1, 5, verdict.NotRun), answered("a", 6, 9, verdict.NotRun)},
		}, denied: 2},
		"may have run is no denial": {evidence: faultHistory{
			starts:   []api.StartEntry{startOf("a", 0, 1)},
			attempts: []attempt{answered("a", 1, 5, verdict.MayHaveRun)},
		}},
		"connection ended in a planned stop": {evidence: faultHistory{
			attempts: []attempt{lost("a", 90, 150, io.EOF), lost("b", 150, 160, syscall.ECONNRESET)}, stops: stops,
		}, cut: 2},
		"no cut": {evidence: faultHistory{
			attempts: []attempt{
				lost("before", 10, 50, io.EOF), lost("refused", 120, 121, errors.Wrap(syscall.ECONNREFUSED, "dial")),
				lost("impatient", 90, 150, fasthttp.ErrTimeout), lost("after", 210, 220, io.EOF),
				answered("told", 150, 151, verdict.NotRun),
			}, stops: stops,
		}},
		"bad exit": {evidence: faultHistory{
			stops: []plannedStop{{address: "vm", begin: at(1), exit: at(2), err: errors.New("exit status 1")}},
		}, end: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c.evidence.begin = judgeBegin
			r := c.evidence.report()
			require.Equal(t, c.twice, r.StartsTwice)
			require.Equal(t, c.denied, r.FalseNotRun)
			require.Equal(t, c.cut, r.DroppedRequests)
			require.Len(t, r.ExitErrors, c.end)
			require.Equal(t, c.twice+c.denied+c.cut+c.end > 0, r.hasViolations())
			require.Equal(t, c.twice+c.denied > 0, len(r.Traces) > 0)
		})
	}
}

func TestReportCountsPartialAnswersAndExplainsFailures(t *testing.T) {
	fail := func(v verdict.Verdict, code verdict.Code) outcome {
		return outcome{failure: verdict.Errorf(v, code, "x")}
	}
	e := faultHistory{outcomes: []outcome{
		{}, {partial: true},
		fail(verdict.MayHaveRun, verdict.CodeUncovered), fail(verdict.MayHaveRun, verdict.CodeUncovered),
		fail(verdict.MayHaveRun, verdict.CodeUnreachable), fail(verdict.Ran, verdict.CodeUpstreamFailed),
	}}
	r := e.report()
	require.Equal(t, 1, r.PartialAnswers)
	require.True(t, r.hasViolations())
	require.Equal(t, 4, r.Failed)
	require.Equal(t, 3, r.MayHaveRun)
	require.Equal(t, FailureCount{verdict.MayHaveRun, verdict.CodeUncovered, 2}, r.Failures[0])
	explained := 0
	for _, f := range r.Failures {
		explained += f.Count
	}
	require.Equal(t, r.Failed, explained)
}

func TestAvailabilityOfAProbeStream(t *testing.T) {
	fault := faultEvent{"kill", at(100), at(105)}
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
			a := s.availability(fault, at(300))
			require.Equal(t, c.first, a.first)
			require.Equal(t, c.gap, a.gap)
			require.Equal(t, c.failed, a.failed)
		})
	}
}
