package node

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// TestOnlyLikelyDispatchersPullUpstreams replays a change of the configuration in a data
// centre: every member learns of it at the same time. A member that is unlikely to
// dispatch soon must fetch the configuration only.
func TestOnlyLikelyDispatchersPullUpstreams(t *testing.T) {
	for _, c := range []struct {
		weight int
		pulls  bool
	}{{144, false}, {800, true}} {
		n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", Weight: c.weight, LeaseMax: testLease},
			Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
		now := time.Now()
		for i := range 3 {
			m := fleet.Member{VM: fmt.Sprintf("vm%d", i+1), Incarnation: 1, DataCentre: "a", Weight: 480}
			n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: m}, true)
		}
		n.updateTerm(now)
		require.Equal(t, c.pulls, n.shouldPullUpstreams(now))
		n.registry.recordUpdate(now)
		require.False(t, n.shouldPullUpstreams(now), "the store has answered")
	}
}

// TestOnlyADispatcherDividesTheFleet guards against a division for good by a small VM that
// has listed the upstreams before it knows the more capable members.
func TestOnlyADispatcherDividesTheFleet(t *testing.T) {
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", Weight: 100, LeaseMax: testLease, ConfigurationKey: "config"},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(), Decoder: testDecoder{}})
	now := time.Now()
	var items []store.Item
	for i := range 48 {
		items = append(items, store.Item{Key: fmt.Sprintf("u%d", i), Value: []byte(`{"Service":"rota"}`), Revision: int64(i + 1)})
	}
	n.replaceUpstreams(items, 48, "test")
	n.updateTerm(now)
	require.False(t, n.fleet.Divided(), "it cannot dispatch without a configuration")

	n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: fleet.Member{VM: "vm1", Incarnation: 1, DataCentre: "a", Weight: 800}}, true)
	n.applyConfiguration(store.Item{Key: "config", Value: []byte("1"), Revision: 1}, "test")
	n.started = now.Add(-time.Minute)
	n.updateTerm(now)
	require.False(t, n.fleet.Divided(), "another member ranks higher")

	n.fleet.HeartbeatTargets(now.Add(time.Second)) // not answered
	n.updateTerm(now.Add(time.Minute))
	require.False(t, n.fleet.Divided(), "the unreachable member can dispatch for all upstreams")
	require.NotZero(t, n.term.current())
}

// panickingDecoder panics on the value "panic".
type panickingDecoder struct{ testDecoder }

func (d panickingDecoder) Upstream(item store.Item) (scheduler.Upstream, error) {
	if string(item.Value) == "panic" {
		panic("odd entry")
	}
	return d.testDecoder.Upstream(item)
}

func TestOddEntryEndsTheWatchOfUpstreams(t *testing.T) {
	var log bytes.Buffer
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease},
		Dependencies{Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: NewMetrics(), Decoder: panickingDecoder{}})
	items := []store.Item{
		{Key: "u1", Value: []byte(`{"Name":"u1","Service":"rota"}`), Revision: 1},
		{Key: "odd", Value: []byte("panic"), Revision: 2},
		{Key: "u2", Value: []byte(`{"Name":"u2","Service":"rota"}`), Revision: 3},
	}
	used := func() (names []string) {
		for key, e := range n.registry.entries {
			if e.valid && !e.upstream.Draining {
				names = append(names, key)
			}
		}
		slices.Sort(names)
		return names
	}
	for range 3 { // the list is read again and again
		n.replaceUpstreams(items, 3, "test")
	}
	require.Equal(t, []string{"u1", "u2"}, used())
	require.Len(t, n.scheduler.Summaries(), 2)
	require.Equal(t, 1, strings.Count(log.String(), "upstream entry ignored"))
	require.Contains(t, log.String(), "key=odd")

	items[0] = store.Item{Key: "u1", Value: []byte("\xff"), Revision: 4}
	n.replaceUpstreams(items, 4, "test")
	require.Equal(t, []string{"u2"}, used(), "the entry of u1 names no upstream to use")
	items[0] = store.Item{Key: "u1", Value: []byte(`{"Name":"u1","Service":"rota"}`), Revision: 5}
	n.replaceUpstreams(items, 5, "test")
	require.Equal(t, []string{"u1", "u2"}, used(), "its next good entry counts")
}

// An upstream whose entry has lapsed may be used by a VM at the other side of a split, which has not
// learnt that the entry has gone.
func TestUpstreamOfOtherSideIsForgottenDuringSplit(t *testing.T) {
	const retention = 10 * time.Second
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease, LapsedRetention: retention, ConfigurationKey: "config"},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(), Decoder: testDecoder{}})
	n.replaceUpstreams([]store.Item{
		{Key: "u1", Value: []byte(`{"Name":"u1","Service":"rota"}`), Revision: 1},
		{Key: "u2", Value: []byte(`{"Name":"u2","Service":"rota"}`), Revision: 2},
	}, 2, "test")
	other := fleet.Member{VM: "vm1", Incarnation: 1, DataCentre: "a", Address: "127.0.0.1:2"}
	now := time.Now()
	hear := func() { n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: other}, true) }
	// pass lets time pass in steps and returns the number of upstreams that are known.
	pass := func(d time.Duration, step func()) int {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			step()
			n.updateTerm(now)
			n.applyUpstreams(now)
		}
		return len(n.registry.entries)
	}
	require.Equal(t, 2, pass(time.Second, hear))
	n.registry.mu.Lock()
	n.markLapsed(now, "u2") // before the split
	n.registry.mu.Unlock()
	require.Equal(t, 2, pass(retention/2, hear))
	require.Equal(t, 2, pass(3*retention, func() {}), "vm1 is not heard")
	require.Equal(t, 1, n.registry.size(), "it does not divide the fleet")
	require.Equal(t, 2, pass(retention-time.Second, hear))
	require.Equal(t, 1, pass(2*time.Second, hear), "vm1 has been heard for long enough")
}

// Upstreams may appear at the other side of a split. A VM that the store no longer answers, or whose
// list was begun in the split, does not learn of them.
func TestListThatIsNotKeptCountsAsCompleteInSplit(t *testing.T) {
	for name, c := range map[string]struct {
		answered bool // the store goes on answering
		relisted bool // the list begins anew in the split
		want     bool
	}{
		"store answers":                    {true, false, false},
		"store does not answer":            {false, false, true},
		"store answers after a long break": {true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease, LapsedRetention: 10 * time.Second, ConfigurationKey: "config"},
				Dependencies{Store: store.NewMemory(), Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(), Decoder: testDecoder{}})
			n.replaceUpstreams([]store.Item{{Key: "u1", Value: []byte(`{"Name":"u1","Service":"rota"}`), Revision: 1}}, 1, "test")
			other := fleet.Member{VM: "vm1", Incarnation: 1, DataCentre: "a", Address: "127.0.0.1:2"}
			now := time.Now()
			n.registry.recordUpdate(now)
			for range 30 {
				n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: other}, true)
				n.registry.recordUpdate(now)
				n.updateTerm(now)
				require.False(t, n.registry.lacking, "vm1 is heard")
				now = now.Add(100 * time.Millisecond)
			}
			for range 50 {
				if c.answered {
					n.registry.recordUpdate(now)
				}
				if c.relisted {
					n.registry.listedAt = now
				}
				n.updateTerm(now)
				now = now.Add(100 * time.Millisecond)
			}
			require.Equal(t, c.want, n.registry.lacking)
		})
	}
}
