package configstore

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// testStore is a store under test with the fault injection of its backend and
// the configuration table of one process.
type testStore struct {
	*Store
	faults *standin.FaultyStore
	table  *configuration.Table
}

func newRateLimited(kv store.Store) *store.RateLimited {
	return store.NewRateLimited(kv, store.NewRateLimiter(store.RateLimiterConfig{
		Rate: 10_000, Burst: 1_000, BackoffMin: time.Millisecond, BackoffMax: 10 * time.Millisecond,
	}))
}

var backends = map[string]func(*testing.T) testStore{
	"memory": func(*testing.T) testStore {
		faulty := standin.NewFaultyStore(store.NewMemory())
		return testStore{New(newRateLimited(faulty)), faulty, configuration.NewTable(configuration.New(0, nil))}
	},
	"stand-in": func(t *testing.T) testStore {
		faulty := standin.NewFaultyStore(store.NewMemory())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- standin.ServeStore(ctx, listener, faulty) }()
		t.Cleanup(func() {
			cancel()
			require.NoError(t, <-done)
		})
		client := platform.NewStore(listener.Addr().String())
		return testStore{New(newRateLimited(client)), faulty, configuration.NewTable(configuration.New(0, nil))}
	},
}

// commit applies a change and merges the new state into the table.
func (b testStore) commit(ctx context.Context, c *configuration.Change, repeated bool) (int64, error) {
	next, revision, err := b.Commit(ctx, b.table.Current, c, repeated)
	if next != nil {
		b.table.MergeState(next)
	}
	return revision, err
}

// quotaChange returns a change that sets one quota, based on the state in the
// table.
func (b testStore) quotaChange(id, caller, value string) *configuration.Change {
	s := b.table.Current()
	edit := configuration.Edit{Key: configuration.PrefixQuotas + caller, After: &value}
	if before, found := s.Get(edit.Key); found {
		edit.Before = &before
	}
	return &configuration.Change{ID: id, Author: "test", Base: s.Revision(), Edits: []configuration.Edit{edit}}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func (b testStore) requireStored(t *testing.T, key, value string) {
	s, _, err := b.Read(t.Context())
	require.NoError(t, err)
	got, _ := s.Get(key)
	require.Equal(t, value, got)
}

var commitTests = map[string]func(*testing.T, testStore){
	"a change and its history": func(t *testing.T, b testStore) {
		revision, err := b.commit(t.Context(), b.quotaChange("a", "x", "1"), false)
		require.NoError(t, err)
		require.EqualValues(t, 1, revision)
		revision, err = b.commit(t.Context(), b.quotaChange("b", "x", "2"), false)
		require.NoError(t, err)
		require.EqualValues(t, 2, revision)
		history, err := b.History(t.Context())
		require.NoError(t, err)
		require.Len(t, history, 2)
		require.Equal(t, "b", history[0].ID)
		require.Equal(t, "1", *history[0].Edits[0].Before)
		require.Nil(t, history[1].Edits[0].Before)
	},
	"a write whose answer is lost": func(t *testing.T, b testStore) {
		require.NoError(t, b.faults.SetFaults(api.PlatformFaults{LoseAnswers: 1}))
		revision, err := b.commit(t.Context(), b.quotaChange("a", "x", "1"), false)
		require.NoError(t, err)
		require.EqualValues(t, 1, revision)
		history, err := b.History(t.Context())
		require.NoError(t, err)
		require.Len(t, history, 1)
	},
	"three answers lost in a row": func(t *testing.T, b testStore) {
		require.NoError(t, b.faults.SetFaults(api.PlatformFaults{LoseAnswers: 3}))
		for i := range 3 {
			_, err := b.commit(t.Context(), b.quotaChange(fmt.Sprint(i), fmt.Sprint(i), "1"), false)
			require.NoError(t, err)
		}
		history, err := b.History(t.Context())
		require.NoError(t, err)
		require.Len(t, history, 3)
	},
	"store down until the deadline": func(t *testing.T, b testStore) {
		require.NoError(t, b.faults.SetFaults(api.PlatformFaults{Down: true}))
		_, err := b.commit(shortContext(t), b.quotaChange("a", "x", "1"), false)
		require.Equal(t, verdict.NotRun, verdict.From(err).Verdict)
		require.NoError(t, b.faults.SetFaults(api.PlatformFaults{}))
		b.requireStored(t, "quotas/x", "")
	},
	"a retry after an unknown outcome": func(t *testing.T, b testStore) {
		change := b.quotaChange("a", "x", "1")
		require.NoError(t, b.faults.SetFaults(api.PlatformFaults{LoseAnswers: 1, Stale: true}))
		_, err := b.commit(shortContext(t), change, false)
		require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict)
		require.NoError(t, b.faults.SetFaults(api.PlatformFaults{}))
		revision, err := b.commit(t.Context(), change, true)
		require.NoError(t, err)
		require.EqualValues(t, 1, revision)
	},
	"a retry after another change": func(t *testing.T, b testStore) {
		change := b.quotaChange("a", "x", "1")
		_, err := b.commit(t.Context(), change, false)
		require.NoError(t, err)
		_, err = b.commit(t.Context(), b.quotaChange("b", "x", "2"), false)
		require.NoError(t, err)
		revision, err := b.commit(t.Context(), change, true)
		require.NoError(t, err)
		require.EqualValues(t, 1, revision)
		b.requireStored(t, "quotas/x", "2")
	},
	"a stale read does not hide a later change": func(t *testing.T, b testStore) {
		_, err := b.commit(t.Context(), b.quotaChange("a", "x", "1"), false)
		require.NoError(t, err)
		require.NoError(t, b.faults.SetFaults(api.PlatformFaults{Stale: true}))
		other := testStore{b.Store, b.faults, configuration.NewTable(b.table.Current())}
		_, err = other.commit(t.Context(), other.quotaChange("b", "x", "2"), false)
		require.NoError(t, err)
		_, err = b.commit(shortContext(t), b.quotaChange("c", "x", "3"), false)
		require.Error(t, err)
		require.NoError(t, b.faults.SetFaults(api.PlatformFaults{}))
		b.requireStored(t, "quotas/x", "2")
	},
	"a conflict names both revisions": func(t *testing.T, b testStore) {
		_, err := b.commit(t.Context(), b.quotaChange("a", "x", "1"), false)
		require.NoError(t, err)
		late := b.quotaChange("c", "x", "3")
		_, err = b.commit(t.Context(), b.quotaChange("b", "x", "2"), false)
		require.NoError(t, err)
		_, err = b.commit(t.Context(), late, false)
		var conflict *configuration.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.EqualValues(t, 1, conflict.Base)
		require.EqualValues(t, 2, conflict.Current)
		require.Equal(t, "2", *conflict.Theirs[0].After)
	},
	"an entry over the size limit changes nothing": func(t *testing.T, b testStore) {
		_, err := b.commit(t.Context(), b.quotaChange("a", "x", strings.Repeat("x", store.MaxValueSize+1)), false)
		var tooLarge *configuration.TooLargeError
		require.ErrorAs(t, err, &tooLarge)
		b.requireStored(t, "quotas/x", "")
	},
	"a store that lost changes gets them back": func(t *testing.T, b testStore) {
		_, err := b.commit(t.Context(), b.quotaChange("a", "x", "1"), false)
		require.NoError(t, err)
		ahead := b.table.Current().With(9, []configuration.Entry{{Key: "quotas/y", Value: "7", Revision: 9}})
		b.table.MergeState(ahead)
		revision, err := b.commit(t.Context(), b.quotaChange("b", "z", "1"), false)
		require.NoError(t, err)
		require.EqualValues(t, 10, revision)
		b.requireStored(t, "quotas/y", "7")
	},
	"no change of racing operators is lost": func(t *testing.T, b testStore) {
		const operators, rounds = 6, 5
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				mine := testStore{b.Store, b.faults, configuration.NewTable(configuration.New(0, nil))}
				for round := range rounds {
					id := fmt.Sprintf("%d/%d", i, round)
					if _, err := mine.commit(t.Context(), mine.quotaChange(id, fmt.Sprint(i), id), false); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		s, _, err := b.Read(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, operators*rounds, s.Revision())
		for i := range operators {
			got, _ := s.Get(fmt.Sprintf("quotas/%d", i))
			require.Equal(t, fmt.Sprintf("%d/%d", i, rounds-1), got)
		}
	},
	"watch events lead to the new state": func(t *testing.T, b testStore) {
		_, err := b.commit(t.Context(), b.quotaChange("a", "x", "1"), false)
		require.NoError(t, err)
		follower, position, err := b.Read(t.Context())
		require.NoError(t, err)
		_, err = b.commit(t.Context(), b.quotaChange("b", "y", "2"), false)
		require.NoError(t, err)
		_, err = b.commit(t.Context(), &configuration.Change{ID: "c", Edits: []configuration.Edit{
			{Key: "quotas/x", Before: pointer("1")},
		}}, false)
		require.NoError(t, err)
		watched, _, err := b.Watch(t.Context(), position, time.Minute)
		require.NoError(t, err)
		next, ok := ApplyEvents(follower, watched)
		require.True(t, ok)
		require.Equal(t, b.table.Current().Fingerprint(), next.Fingerprint())
		require.False(t, next.Since(follower.Revision()).Full)
		behind, ok := ApplyEvents(b.table.Current().With(99, nil), watched)
		require.True(t, ok)
		require.EqualValues(t, 99, behind.Revision())
		b.faults.Compact()
		_, _, err = b.Watch(t.Context(), position, time.Minute)
		require.ErrorIs(t, err, store.ErrCompacted)
	},
	"a change with more entries than fit into a transaction": func(t *testing.T, b testStore) {
		_, err := b.commit(t.Context(), b.quotaChange("a", "x", "1"), false)
		require.NoError(t, err)
		follower, position, err := b.Read(t.Context())
		require.NoError(t, err)
		large := &configuration.Change{ID: "b", Base: 1, Edits: []configuration.Edit{{Key: "quotas/x", Before: pointer("1")}}}
		for i := range 3 * store.MaxTxnOps {
			large.Edits = append(large.Edits, configuration.Edit{Key: fmt.Sprintf("quotas/y%03d", i), After: pointer(strings.Repeat("7", 9000))})
		}
		_, err = b.commit(t.Context(), large, false)
		require.NoError(t, err)
		b.requireStored(t, "quotas/x", "")
		b.requireStored(t, "quotas/y095", strings.Repeat("7", 9000))
		watched, _, err := b.Watch(t.Context(), position, time.Minute)
		require.NoError(t, err)
		_, ok := ApplyEvents(follower, watched)
		require.False(t, ok, "the whole state has to be read")
		for _, change := range []*configuration.Change{
			{ID: "c", Base: 2, Edits: []configuration.Edit{{Key: "quotas/y001", Before: pointer(strings.Repeat("7", 9000))}}},
			b.quotaChange("d", "x", "2"),
		} {
			_, err = b.commit(t.Context(), change, false)
			require.NoError(t, err)
		}
		b.requireStored(t, "quotas/y001", "")
		b.requireStored(t, "quotas/x", "2")
		s, _, err := b.Read(t.Context())
		require.NoError(t, err)
		require.Equal(t, b.table.Current().Fingerprint(), s.Fingerprint())
		require.Equal(t, 3*store.MaxTxnOps, s.Len())
	},
	"the history keeps only the latest changes": func(t *testing.T, b testStore) {
		for i := range historyLimit + 3 {
			_, err := b.commit(t.Context(), b.quotaChange(fmt.Sprint(i), "x", fmt.Sprint(i)), false)
			require.NoError(t, err)
		}
		history, err := b.History(t.Context())
		require.NoError(t, err)
		require.Len(t, history, historyLimit)
		require.EqualValues(t, historyLimit+3, history[0].Revision)
	},
}

func pointer(s string) *string { return &s }

func TestCommit(t *testing.T) {
	for name, newStore := range backends {
		for test, check := range commitTests {
			t.Run(name+"/"+test, func(t *testing.T) { check(t, newStore(t)) })
		}
	}
}
