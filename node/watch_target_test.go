package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// answeringStore answers the watches of a test.
type answeringStore struct {
	store.Store
	answer func(after int64, wait time.Duration) ([]store.Event, int64)
}

// Watch implements store.Store.
func (s answeringStore) Watch(_ context.Context, _ string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	events, at := s.answer(after, wait)
	return events, at, nil
}

// watchTo returns a watcher that has read up to revision 100 of a store whose revision is head.
func watchTo(head int64) *watcher {
	return &watcher{
		prefix: "upstreams/", maxWait: watchWait, interval: upstreamWatchInterval, shouldWatch: always, shouldList: always, revision: 100,
		onEvents: func([]store.Event) {}, onWatched: func(time.Time, int64) {},
		head: func(context.Context) (int64, error) { return head, nil },
	}
}

// An answer ends with the last change of an upstream that it has, and the changes up to the store's
// revision are those of other entries.
func TestListIsNotCurrentUntilAnotherUpstreamChanges(t *testing.T) {
	var waits []time.Duration
	n := &Node{log: slog.New(slog.DiscardHandler)}
	n.deps.Store = answeringStore{answer: func(after int64, wait time.Duration) ([]store.Event, int64) {
		waits = append(waits, wait)
		if after == 100 {
			return []store.Event{{Item: store.Item{Key: "upstreams/u", Revision: 110}}}, 110
		}
		return nil, 120
	}}
	w := watchTo(115)
	for range 2 {
		_, err := n.watchOnce(context.Background(), w)
		require.NoError(t, err)
	}
	require.Equal(t, []time.Duration{watchWait, 0}, waits)
	require.Zero(t, w.target)
}

// A store may answer from which to continue without getting further.
func TestWatchWithoutProgressIsRepeatedAtOnce(t *testing.T) {
	n := &Node{log: slog.New(slog.DiscardHandler)}
	n.deps.Store = answeringStore{answer: func(after int64, _ time.Duration) ([]store.Event, int64) {
		return []store.Event{{Item: store.Item{Key: "upstreams/u", Revision: 101}}}, after
	}}
	pause, err := n.watchOnce(context.Background(), watchTo(115))
	require.NoError(t, err)
	require.Equal(t, upstreamWatchInterval, pause)
}

// An answer may have read the changes of other entries only.
func TestRestOfChangesIsReadLaterIfAnswerHasNone(t *testing.T) {
	n := &Node{log: slog.New(slog.DiscardHandler)}
	n.deps.Store = answeringStore{answer: func(int64, time.Duration) ([]store.Event, int64) { return nil, 110 }}
	pause, err := n.watchOnce(context.Background(), watchTo(115))
	require.NoError(t, err)
	require.Zero(t, pause)
}

// In a small data centre a watch may be held until it times out. The notice of an upstream then
// arrives longer than half of the drain time after the revision before it was asked for.
func TestNoticeAfterCalmIsTakenForOneOfUnknownAge(t *testing.T) {
	s := store.NewMemory()
	put := func(draining bool) {
		u := scheduler.Upstream{Name: "u", Service: "rota", Draining: draining}
		if draining {
			u.Notice = &scheduler.DepartureNotice{Left: 10 * time.Second}
		}
		value, err := json.Marshal(u)
		require.NoError(t, err)
		s.Set("upstreams/u", value)
	}
	put(false)
	n := New(Config{VM: "vm0", DataCentre: "a", PeerAddress: "127.0.0.1:1", LeaseMax: testLease, LapsedRetention: 10 * time.Second, ConfigurationKey: "config",
		UpstreamPrefix: "upstreams/", MemberPrefix: "vm/", UpstreamDrain: 3 * time.Second},
		Dependencies{Store: s, Upstreams: newModelUpstreams([]string{"u"}, time.Second), Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(), Decoder: testDecoder{}})
	n.scheduler.BeginTerm(time.Now(), 1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.watchUpstreams(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	currentAt := func() time.Time {
		n.registry.mu.Lock()
		defer n.registry.mu.Unlock()
		return n.registry.currentAt
	}
	require.Eventually(t, func() bool { return n.registry.listed() }, waitTimeout, time.Millisecond)
	listedAt := currentAt()
	require.Eventually(t, func() bool { return currentAt().After(listedAt) }, waitTimeout, time.Millisecond)
	time.Sleep(upstreamWatchInterval + 200*time.Millisecond) // the next watch is held
	put(true)
	require.Eventually(t, func() bool {
		n.registry.mu.Lock()
		defer n.registry.mu.Unlock()
		return n.registry.entries["upstreams/u"].upstream.Draining
	}, waitTimeout, time.Millisecond)
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	require.NotNil(t, n.registry.entries["upstreams/u"].upstream.Notice)
}
