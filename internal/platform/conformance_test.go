package platform_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/platform"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
)

// subject is a store under test and the switches of what lies behind it.
type subject struct {
	store  platform.Store
	faults *standin.FaultyStore
}

const callTimeout = 5 * time.Second

// subjects makes each implementation of Store.
var subjects = map[string]func(*testing.T) subject{
	"memory": func(*testing.T) subject {
		faulty := standin.NewFaultyStore(platform.NewMemory())
		return subject{faulty, faulty}
	},
	"client": func(t *testing.T) subject {
		faulty := standin.NewFaultyStore(platform.NewMemory())
		return subject{platform.NewClient(serve(t, faulty), callTimeout), faulty}
	},
	"limited client": func(t *testing.T) subject {
		faulty := standin.NewFaultyStore(platform.NewMemory())
		client := platform.NewClient(serve(t, faulty), callTimeout)
		budget := platform.NewBudget(platform.BudgetConfig{
			Rate: 1000, Burst: 100, BackoffMin: time.Millisecond, BackoffMax: time.Second,
		})
		return subject{platform.NewLimited(client, budget), faulty}
	},
}

func serve(t *testing.T, store *standin.FaultyStore) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standin.ServeStore(ctx, listener, store) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func put(key, value string, after int64) *api.TxnRequest {
	return &api.TxnRequest{
		Compares: []api.Compare{{Key: key, ModRevision: after}},
		Puts:     []api.KeyValue{{Key: key, Value: []byte(value)}},
	}
}

// conformance holds what every Store does. Each case starts with an empty one.
var conformance = map[string]func(*testing.T, context.Context, subject){
	"an empty range": func(t *testing.T, ctx context.Context, s subject) {
		got, err := s.store.Range(ctx, "a/")
		require.NoError(t, err)
		require.Empty(t, got.Entries)
		require.Zero(t, got.Revision)
	},
	"a range is sorted and has the prefix only": func(t *testing.T, ctx context.Context, s subject) {
		for _, key := range []string{"a/2", "b/1", "a/1"} {
			_, err := s.store.Txn(ctx, put(key, key, 0))
			require.NoError(t, err)
		}
		got, err := s.store.Range(ctx, "a/")
		require.NoError(t, err)
		require.EqualValues(t, 3, got.Revision)
		require.Len(t, got.Entries, 2)
		require.Equal(t, "a/1", got.Entries[0].Key)
		require.EqualValues(t, 3, got.Entries[0].ModRevision)
		require.Equal(t, []byte("a/2"), got.Entries[1].Value)
	},
	"a write on a wrong condition changes nothing": func(t *testing.T, ctx context.Context, s subject) {
		first, err := s.store.Txn(ctx, put("a", "1", 0))
		require.NoError(t, err)
		require.True(t, first.Succeeded)
		second, err := s.store.Txn(ctx, put("a", "2", 0))
		require.NoError(t, err)
		require.False(t, second.Succeeded)
		require.Equal(t, first.Revision, second.Revision)
		got, err := s.store.Range(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, []byte("1"), got.Entries[0].Value)
	},
	"a write is all or nothing and one revision": func(t *testing.T, ctx context.Context, s subject) {
		request := put("a", "1", 0)
		request.Puts = append(request.Puts, api.KeyValue{Key: "b", Value: []byte("2")})
		got, err := s.store.Txn(ctx, request)
		require.NoError(t, err)
		require.EqualValues(t, 1, got.Revision)
		all, err := s.store.Range(ctx, "")
		require.NoError(t, err)
		require.Equal(t, all.Entries[0].ModRevision, all.Entries[1].ModRevision)
	},
	"a removed entry is absent": func(t *testing.T, ctx context.Context, s subject) {
		_, err := s.store.Txn(ctx, put("a", "1", 0))
		require.NoError(t, err)
		got, err := s.store.Txn(ctx, &api.TxnRequest{
			Compares: []api.Compare{{Key: "a", ModRevision: 1}},
			Puts:     []api.KeyValue{{Key: "a", Deleted: true}},
		})
		require.NoError(t, err)
		require.True(t, got.Succeeded)
		again, err := s.store.Txn(ctx, put("a", "2", 0))
		require.NoError(t, err)
		require.True(t, again.Succeeded)
	},
	"a watch returns earlier events at once": func(t *testing.T, ctx context.Context, s subject) {
		_, err := s.store.Txn(ctx, put("a/1", "1", 0))
		require.NoError(t, err)
		_, err = s.store.Txn(ctx, put("b/1", "1", 0))
		require.NoError(t, err)
		got, err := s.store.Watch(ctx, "a/", 0, time.Minute)
		require.NoError(t, err)
		require.Len(t, got.Events, 1)
		require.EqualValues(t, 2, got.Revision)
	},
	"a watch returns a later event": func(t *testing.T, ctx context.Context, s subject) {
		done := make(chan *api.WatchResponse, 1)
		go func() {
			got, _ := s.store.Watch(ctx, "a/", 0, time.Minute)
			done <- got
		}()
		_, err := s.store.Txn(ctx, put("a/1", "1", 0))
		require.NoError(t, err)
		got := <-done
		require.NotNil(t, got)
		require.Len(t, got.Events, 1)
	},
	"a watch without events ends after its wait": func(t *testing.T, ctx context.Context, s subject) {
		got, err := s.store.Watch(ctx, "a/", 0, time.Millisecond)
		require.NoError(t, err)
		require.Empty(t, got.Events)
		require.False(t, got.Compacted)
	},
	"a watch ends with its context": func(t *testing.T, ctx context.Context, s subject) {
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() {
			_, err := s.store.Watch(ctx, "a/", 0, time.Hour)
			done <- err
		}()
		cancel()
		require.Error(t, <-done)
	},
	"a value of a megabyte": func(t *testing.T, ctx context.Context, s subject) {
		got, err := s.store.Txn(ctx, put("a", string(bytes.Repeat([]byte("x"), platform.MaxValue)), 0))
		require.NoError(t, err)
		require.True(t, got.Succeeded)
	},
}

func TestConformance(t *testing.T) {
	for name, make := range subjects {
		for what, check := range conformance {
			t.Run(name+"/"+what, func(t *testing.T) { check(t, t.Context(), make(t)) })
		}
	}
}

// faultCase is a fault of the service and what its client shows.
type faultCase struct {
	faults api.PlatformFaults
	check  func(*testing.T, context.Context, subject)
}

// absent requires that entry a was not written, once the fault is over.
func absent(t *testing.T, ctx context.Context, s subject) {
	s.faults.Set(api.PlatformFaults{})
	got, err := s.store.Range(ctx, "a")
	require.NoError(t, err)
	require.Empty(t, got.Entries)
}

var faultTable = map[string]faultCase{
	"down": {api.PlatformFaults{Down: true}, func(t *testing.T, ctx context.Context, s subject) {
		_, err := s.store.Range(ctx, "")
		require.Error(t, err)
		_, err = s.store.Watch(ctx, "", 0, time.Minute)
		require.Error(t, err)
		_, err = s.store.Txn(ctx, put("a", "1", 0))
		require.Equal(t, verdict.CodeUnreachable, verdict.From(err).Code)
		absent(t, ctx, s)
	}},
	"slow beyond the caller's deadline": {api.PlatformFaults{SlowMS: 60_000}, func(t *testing.T, ctx context.Context, s subject) {
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := s.store.Txn(short, put("a", "1", 0))
		require.Error(t, err)
	}},
	"slow within the deadline": {api.PlatformFaults{SlowMS: 5}, func(t *testing.T, ctx context.Context, s subject) {
		got, err := s.store.Txn(ctx, put("a", "1", 0))
		require.NoError(t, err)
		require.True(t, got.Succeeded)
	}},
	"answer lost after the write": {api.PlatformFaults{LoseAnswers: 1}, func(t *testing.T, ctx context.Context, s subject) {
		_, err := s.store.Txn(ctx, put("a", "1", 0))
		require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict)
		again, err := s.store.Txn(ctx, put("a", "1", 0))
		require.NoError(t, err)
		require.False(t, again.Succeeded, "the lost write took effect")
	}},
	"stale read": {api.PlatformFaults{Stale: true}, func(t *testing.T, ctx context.Context, s subject) {
		written, err := s.store.Txn(ctx, put("a", "1", 0))
		require.NoError(t, err)
		old, err := s.store.Range(ctx, "a")
		require.NoError(t, err)
		require.Empty(t, old.Entries)
		require.Less(t, old.Revision, written.Revision, "an old copy shows by its revision")
	}},
	"watch cut": {api.PlatformFaults{}, func(t *testing.T, ctx context.Context, s subject) {
		done := make(chan error, 1)
		go func() {
			_, err := s.store.Watch(ctx, "", 0, time.Minute)
			done <- err
		}()
		s.faults.Set(api.PlatformFaults{CutWatches: true})
		require.Error(t, <-done)
	}},
	"compaction": {api.PlatformFaults{}, func(t *testing.T, ctx context.Context, s subject) {
		_, err := s.store.Txn(ctx, put("a", "1", 0))
		require.NoError(t, err)
		s.faults.Compact()
		got, err := s.store.Watch(ctx, "", 0, time.Minute)
		require.NoError(t, err)
		require.True(t, got.Compacted)
	}},
	"value over a megabyte": {api.PlatformFaults{}, func(t *testing.T, ctx context.Context, s subject) {
		_, err := s.store.Txn(ctx, put("a", string(bytes.Repeat([]byte("x"), platform.MaxValue+1)), 0))
		require.Equal(t, verdict.NotRun, verdict.From(err).Verdict)
		require.Equal(t, verdict.CodeTooLarge, verdict.From(err).Code)
		absent(t, ctx, s)
	}},
	"conflict": {api.PlatformFaults{}, func(t *testing.T, ctx context.Context, s subject) {
		const racers = 8
		won := make(chan bool, racers)
		for range racers {
			go func() {
				got, err := s.store.Txn(ctx, put("a", "1", 0))
				won <- err == nil && got.Succeeded
			}()
		}
		winners := 0
		for range racers {
			if <-won {
				winners++
			}
		}
		require.Equal(t, 1, winners)
	}},
}

func TestFaults(t *testing.T) {
	for name, make := range subjects {
		for what, c := range faultTable {
			t.Run(name+"/"+what, func(t *testing.T) {
				s := make(t)
				s.faults.Set(c.faults)
				c.check(t, t.Context(), s)
			})
		}
	}
}
