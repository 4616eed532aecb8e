package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

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
