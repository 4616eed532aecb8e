package standin

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/store/storetest"
	"github.com/stretchr/testify/require"
)

// fixture is a store under test and the faulty store behind it.
type fixture struct {
	store  store.Store
	faults *FaultyStore
}

// fixtures holds, by the kind of access to the store, a function that builds a fixture.
var fixtures = map[string]func(*testing.T, *store.Memory) fixture{
	"memory": func(_ *testing.T, memory *store.Memory) fixture {
		faulty := NewFaultyStore(memory)
		return fixture{faulty, faulty}
	},
	"client": func(t *testing.T, memory *store.Memory) fixture {
		faulty := NewFaultyStore(memory)
		return fixture{platform.NewStore(serveFaulty(t, faulty)), faulty}
	},
	"limited client": func(t *testing.T, memory *store.Memory) fixture {
		faulty := NewFaultyStore(memory)
		limiter := store.NewRateLimiter(store.RateLimiterConfig{
			Rate: 1000, Burst: 100, BackoffMin: time.Millisecond, BackoffMax: time.Second,
		})
		return fixture{store.NewRateLimited(platform.NewStore(serveFaulty(t, faulty)), limiter), faulty}
	},
}

func serveFaulty(t *testing.T, faulty *FaultyStore) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ServeStore(ctx, listener, faulty) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func TestFaultyStoreIsAStore(t *testing.T) {
	for name, open := range fixtures {
		t.Run(name, func(t *testing.T) {
			storetest.Run(t, func(t *testing.T, memory *store.Memory) store.Store { return open(t, memory).store })
		})
	}
}

// createEntry returns a transaction that writes entry a if it is absent.
func createEntry() store.Txn {
	return store.Txn{
		Conditions: []store.Condition{{Key: "a"}},
		Writes:     []store.Write{{Key: "a", Value: []byte("1")}},
	}
}

// requireAbsent clears the faults and requires that entry a was not written.
func requireAbsent(t *testing.T, ctx context.Context, s fixture) {
	require.NoError(t, s.faults.SetFaults(api.PlatformFaults{}))
	items, _, err := store.List(ctx, s.store, "a", false)
	require.NoError(t, err)
	require.Empty(t, items)
}

// faultTests holds faults of the store and checks of the resulting client behaviour.
var faultTests = map[string]struct {
	faults api.PlatformFaults
	check  func(*testing.T, context.Context, fixture)
}{
	"down": {api.PlatformFaults{Down: true}, func(t *testing.T, ctx context.Context, s fixture) {
		_, err := s.store.Range(ctx, "", "", false)
		require.ErrorIs(t, err, store.ErrRefused)
		_, _, err = s.store.Watch(ctx, "", 0, time.Minute)
		require.ErrorIs(t, err, store.ErrRefused)
		_, err = s.store.Commit(ctx, createEntry())
		require.ErrorIs(t, err, store.ErrRefused)
		_, err = s.store.Grant(ctx, time.Minute)
		require.ErrorIs(t, err, store.ErrRefused)
		require.ErrorIs(t, s.store.KeepAlive(ctx, 1), store.ErrRefused)
		require.ErrorIs(t, s.store.Revoke(ctx, 1), store.ErrRefused)
		requireAbsent(t, ctx, s)
	}},
	"slow beyond the caller's deadline": {api.PlatformFaults{SlowMS: 60_000}, func(t *testing.T, ctx context.Context, s fixture) {
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := s.store.Commit(short, createEntry())
		require.Error(t, err)
	}},
	"slow within the deadline": {api.PlatformFaults{SlowMS: 5}, func(t *testing.T, ctx context.Context, s fixture) {
		_, err := s.store.Commit(ctx, createEntry())
		require.NoError(t, err)
	}},
	"answer lost after the write": {api.PlatformFaults{LoseAnswers: 1}, func(t *testing.T, ctx context.Context, s fixture) {
		_, err := s.store.Commit(ctx, createEntry())
		require.Error(t, err)
		require.NotErrorIs(t, err, store.ErrRefused, "the write may have been applied")
		_, err = s.store.Commit(ctx, createEntry())
		var conflict *store.ConflictError
		require.ErrorAs(t, err, &conflict, "the write whose response was lost took effect")
	}},
	"stale read": {api.PlatformFaults{Stale: true}, func(t *testing.T, ctx context.Context, s fixture) {
		written, err := s.store.Commit(ctx, createEntry())
		require.NoError(t, err)
		old, err := s.store.Range(ctx, "a", "", false)
		require.NoError(t, err)
		require.Empty(t, old.Items)
		require.Less(t, old.Revision, written, "the revision of a stale read is older than the write")
	}},
	"watch cut": {api.PlatformFaults{}, func(t *testing.T, ctx context.Context, s fixture) {
		done := make(chan error, 1)
		go func() {
			_, _, err := s.store.Watch(ctx, "", 1, time.Minute)
			done <- err
		}()
		require.NoError(t, s.faults.SetFaults(api.PlatformFaults{CutWatches: true}))
		require.Error(t, <-done)
	}},
	"compaction": {api.PlatformFaults{}, func(t *testing.T, ctx context.Context, s fixture) {
		_, err := s.store.Commit(ctx, createEntry())
		require.NoError(t, err)
		s.faults.Compact()
		_, _, err = s.store.Watch(ctx, "", 0, time.Minute)
		require.ErrorIs(t, err, store.ErrCompacted)
	}},
}

func TestStoreFaults(t *testing.T) {
	for name, open := range fixtures {
		for what, c := range faultTests {
			t.Run(name+"/"+what, func(t *testing.T) {
				s := open(t, store.NewMemory())
				require.NoError(t, s.faults.SetFaults(c.faults))
				c.check(t, t.Context(), s)
			})
		}
	}
}
