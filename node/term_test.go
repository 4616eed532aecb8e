package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// TestReclaimWait checks that two dispatchers that cannot reach each other take
// upstreams from each other less and less often, and that the delay stays short
// without a rival.
func TestReclaimWait(t *testing.T) {
	for reclaims := range maxReclaims + 1 {
		require.Equal(t, reclaimDelayKnownToken, reclaimWait(true, false, reclaims))
		require.Equal(t, reclaimDelayNoRival, reclaimWait(false, false, reclaims))
		require.Equal(t, reclaimDelay, reclaimWait(false, true, reclaims))
	}
	var total time.Duration
	for reclaims := range maxReclaims {
		wait := reclaimWait(true, true, reclaims)
		require.Equal(t, reclaimDelayKnownToken<<reclaims, wait)
		total += wait
	}
	require.Greater(t, total, 6*time.Second, "at most six reclaims in six seconds")
	require.Equal(t, reclaimDelay, reclaimWait(true, true, maxReclaims))
}

// A process that does not know the tokens of the one before, and starts a term in the same
// second, must not use the same token: late orders of the former process would be executed.
func TestRestartedProcessUsesTokenOfTheOneBefore(t *testing.T) {
	token := func(incarnation uint64) int64 {
		n := New(Config{VM: "vm0", Incarnation: incarnation, DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease},
			Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
		n.updateTerm(time.Now())
		n.startTerm(time.Now(), n.view.Load(), "test")
		return n.term.current()
	}
	for {
		former, next := token(1), token(2)
		if former>>tokenHashBits == next>>tokenHashBits { // not on two sides of a second's end
			require.NotEqual(t, former, next)
			return
		}
	}
}

// silentUpstreams answer nothing.
type silentUpstreams struct{ UpstreamClient }

func (silentUpstreams) Poll(context.Context, scheduler.Poll) (scheduler.PollResult, scheduler.PollReport, error) {
	return scheduler.PollUnanswered, scheduler.PollReport{}, nil
}

// An earlier dispatcher that has not heard of the present term renews leases on an upstream
// that this node cannot reach. New jobs must wait until it reports the end of its term.
func TestJobStartsWhileEarlierDispatcherReportsItsTerm(t *testing.T) {
	n := New(Config{VM: "vm0", Incarnation: 1, DataCentre: "a", PeerAddress: "127.0.0.1:1", Weight: 800, LeaseMax: testLease},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(), Decoder: testDecoder{}, Upstreams: silentUpstreams{}})
	now := time.Now()
	former := fleet.Heartbeat{Member: fleet.Member{VM: "vm1", Incarnation: 1, DataCentre: "a", Weight: 400}, Term: 7}
	n.fleet.RecordHeartbeat(now, former, true)
	n.updateTerm(now)
	n.replaceUpstreams([]store.Item{
		{Key: "u1", Value: []byte(`{"Name":"u1","Service":"rota","Size":{"MilliCPU":16000,"MemoryMB":1000}}`), Revision: 1},
		{Key: "u2", Value: []byte(`{"Name":"u2","Service":"rota","Size":{"MilliCPU":16000,"MemoryMB":1000}}`), Revision: 2},
	}, 2, "test")
	n.startTerm(now, n.view.Load(), "test")
	_, failure := n.scheduler.Offer(now, scheduler.Job{
		ID: "a", Origin: "vm0", OriginIncarnation: 1, Queue: "alert", Service: "rota", Size: scheduler.Size{MilliCPU: 1000},
		Estimate: time.Second, Sent: now, Deadline: now.Add(time.Minute), Stretch: 10, Slack: time.Second, MaxAttempts: 2, Tasks: []int{0},
	})
	require.Nil(t, failure)
	const unaware = 300 * time.Millisecond
	for passed := time.Duration(0); passed < unaware+testLease/2; passed += scheduler.TickInterval {
		at := now.Add(passed)
		if passed > unaware {
			former.Term = 0
		}
		n.fleet.RecordHeartbeat(at, former, true)
		n.updateTerm(at)
		n.scheduler.Tick(at)
		// u2 answers; the former dispatcher's runs on u1 are not known.
		if poll, ok := n.scheduler.ImmediatePoll(at, "u2"); ok {
			n.scheduler.HandlePollResult(at, poll, scheduler.PollAnswered, scheduler.PollReport{Clock: 1 + passed.Milliseconds(), ProcessStart: 1})
		}
		require.Empty(t, n.scheduler.Place(at), "after %v", passed)
	}
	at := now.Add(unaware + testLease)
	n.scheduler.Tick(at)
	require.Len(t, n.scheduler.Place(at), 1)
}

// Origins that learn of a term only from the next heartbeat offer their jobs after the runs
// have lapsed.
func TestTermIsAnnouncedAtNextHeartbeat(t *testing.T) {
	n := New(Config{VM: "vm0", Incarnation: 1, DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
	require.Empty(t, n.announceSignal)
	n.updateTerm(time.Now())
	require.NotZero(t, n.term.current(), "the only VM dispatches")
	require.Len(t, n.announceSignal, 1)
}
