// Package storetest provides the conformance suite of store.Store.
package storetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/store"
	"github.com/stretchr/testify/require"
)

// Run runs the suite on the stores that open returns. Each stores its entries
// in the given Memory.
func Run(t *testing.T, open func(t *testing.T, memory *store.Memory) store.Store) {
	for name, check := range map[string]func(*testing.T, store.Store, *store.Memory){
		"list by pages":         listByPages,
		"watch":                 watch,
		"watch without change":  watchWithoutChange,
		"history compacted":     historyCompacted,
		"lease":                 lease,
		"refused":               refused,
		"arbitrary bytes":       anyBytes,
		"context done":          contextDone,
		"entries of one prefix": onePrefix,
		"empty":                 empty,
		"conditions":            conditions,
		"all or nothing":        allOrNothing,
		"removal":               removal,
		"race":                  race,
		"limits":                limits,
	} {
		t.Run(name, func(t *testing.T) {
			memory := store.NewMemory()
			check(t, open(t, memory), memory)
		})
	}
}

func background(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func listByPages(t *testing.T, s store.Store, m *store.Memory) {
	const entries = 250
	var last int64
	for i := range entries {
		last = m.Set(fmt.Sprintf("upstreams/%03d", i), []byte{byte(i)})
	}
	for _, stale := range []bool{false, true} {
		items, revision, err := store.List(background(t), s, "upstreams/", stale)
		require.NoError(t, err)
		require.Len(t, items, entries)
		require.Equal(t, last, revision)
		require.Equal(t, "upstreams/249", items[entries-1].Key)
		require.Equal(t, []byte{249}, items[entries-1].Value)
	}
}

func watch(t *testing.T, s store.Store, m *store.Memory) {
	first := m.Set("a/1", []byte("x"))
	second := m.Set("a/2", []byte("y"))
	m.Delete("a/1")
	events, at, err := s.Watch(background(t), "a/", first, time.Second)
	require.NoError(t, err)
	require.Equal(t, []store.Event{
		{Item: store.Item{Key: "a/2", Value: []byte("y"), Revision: second}},
		{Item: store.Item{Key: "a/1", Revision: second + 1}, Deleted: true},
	}, events)
	require.Equal(t, second+1, at)
	done := make(chan []store.Event, 1)
	go func() {
		events, _, err := s.Watch(background(t), "a/", at, 10*time.Second)
		if err != nil {
			events = nil
		}
		done <- events
	}()
	m.Set("a/3", []byte("z"))
	require.Equal(t, "a/3", (<-done)[0].Key)
}

func watchWithoutChange(t *testing.T, s store.Store, m *store.Memory) {
	at := m.Set("a", nil)
	events, next, err := s.Watch(background(t), "b", at, 20*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, events)
	require.Equal(t, at, next)
}

func historyCompacted(t *testing.T, s store.Store, m *store.Memory) {
	at := m.Set("a", nil)
	m.Set("a", []byte("x"))
	m.Compact()
	_, _, err := s.Watch(background(t), "a", at, time.Second)
	require.ErrorIs(t, err, store.ErrCompacted)
}

func lease(t *testing.T, s store.Store, m *store.Memory) {
	ctx := background(t)
	id, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	require.NoError(t, store.Put(ctx, s, "vm/1", []byte("x"), id))
	require.NoError(t, s.KeepAlive(ctx, id))
	require.NoError(t, s.Revoke(ctx, id))
	items, _, err := store.List(ctx, s, "vm/", false)
	require.NoError(t, err)
	require.Empty(t, items)
	require.ErrorIs(t, s.KeepAlive(ctx, id), store.ErrLeaseNotFound)
	require.ErrorIs(t, s.Revoke(ctx, id), store.ErrLeaseNotFound)
	require.ErrorIs(t, store.Put(ctx, s, "vm/1", []byte("x"), id), store.ErrLeaseNotFound)
}

func refused(t *testing.T, s store.Store, m *store.Memory) {
	m.SetError(store.ErrRefused)
	ctx := background(t)
	_, err := s.Range(ctx, "a", "", false)
	require.ErrorIs(t, err, store.ErrRefused)
	_, _, err = s.Watch(ctx, "a", 1, time.Millisecond)
	require.ErrorIs(t, err, store.ErrRefused)
	require.ErrorIs(t, store.Put(ctx, s, "a", nil, 0), store.ErrRefused)
	_, err = s.Grant(ctx, time.Minute)
	require.ErrorIs(t, err, store.ErrRefused)
}

func anyBytes(t *testing.T, s store.Store, _ *store.Memory) {
	value := make([]byte, 256)
	for i := range value {
		value[i] = byte(i)
	}
	require.NoError(t, store.Put(background(t), s, "bytes", value, 0))
	items, _, err := store.List(background(t), s, "bytes", false)
	require.NoError(t, err)
	require.Equal(t, value, items[0].Value)
}

func contextDone(t *testing.T, s store.Store, m *store.Memory) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, _, err := s.Watch(ctx, "a", m.Set("b", nil), 10*time.Second)
	require.Error(t, err)
}

func onePrefix(t *testing.T, s store.Store, m *store.Memory) {
	m.Set("config/1", []byte("1"))
	m.Set("config/2", []byte("2"))
	m.Set("other", []byte("3"))
	items, _, err := store.List(background(t), s, "config/", false)
	require.NoError(t, err)
	require.Len(t, items, 2)
}

func empty(t *testing.T, s store.Store, _ *store.Memory) {
	page, err := s.Range(background(t), "a/", "", false)
	require.NoError(t, err)
	require.Empty(t, page.Items)
	require.False(t, page.More)
}

// create returns a transaction that creates an entry, on condition that it is
// absent.
func create(key, value string) store.Txn {
	return store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Writes:     []store.Write{{Key: key, Value: []byte(value)}},
	}
}

func conditions(t *testing.T, s store.Store, _ *store.Memory) {
	ctx := background(t)
	first, err := s.Commit(ctx, create("a", "1"))
	require.NoError(t, err)
	_, err = s.Commit(ctx, create("a", "2"))
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []store.Item{{Key: "a", Value: []byte("1"), Revision: first}}, conflict.Items)
	items, at, err := store.List(ctx, s, "a", false)
	require.NoError(t, err)
	require.Equal(t, []byte("1"), items[0].Value)
	require.Equal(t, first, at, "a failed transaction does not advance the revision")
	second, err := s.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: "a", Revision: first}, {Key: "b"}},
		Writes:     []store.Write{{Key: "a", Value: []byte("3")}},
	})
	require.NoError(t, err)
	require.Greater(t, second, first)
	_, err = s.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: "b", Revision: second}},
		Writes:     []store.Write{{Key: "b"}},
	})
	require.ErrorAs(t, err, &conflict)
	require.Empty(t, conflict.Items, "absent entries are omitted")
}

func allOrNothing(t *testing.T, s store.Store, _ *store.Memory) {
	ctx := background(t)
	txn := create("a", "1")
	txn.Writes = append(txn.Writes, store.Write{Key: "b", Value: []byte("2")})
	revision, err := s.Commit(ctx, txn)
	require.NoError(t, err)
	items, _, err := store.List(ctx, s, "", false)
	require.NoError(t, err)
	require.Len(t, items, 2)
	require.Equal(t, revision, items[0].Revision)
	require.Equal(t, revision, items[1].Revision)
	txn.Writes = append(txn.Writes, store.Write{Key: "c"})
	_, err = s.Commit(ctx, txn)
	require.Error(t, err)
	items, _, err = store.List(ctx, s, "c", false)
	require.NoError(t, err)
	require.Empty(t, items)
}

func removal(t *testing.T, s store.Store, _ *store.Memory) {
	ctx := background(t)
	revision, err := s.Commit(ctx, create("a", "1"))
	require.NoError(t, err)
	_, err = s.Commit(ctx, store.Txn{Conditions: []store.Condition{{Key: "a", Revision: revision}}, Deletes: []string{"a"}})
	require.NoError(t, err)
	events, _, err := s.Watch(ctx, "a", revision, time.Second)
	require.NoError(t, err)
	require.True(t, events[0].Deleted)
	_, err = s.Commit(ctx, create("a", "2"))
	require.NoError(t, err)
}

func race(t *testing.T, s store.Store, _ *store.Memory) {
	const racers = 8
	ctx := background(t)
	won := make(chan bool, racers)
	for range racers {
		go func() {
			_, err := s.Commit(ctx, create("a", "1"))
			won <- err == nil
		}()
	}
	winners := 0
	for range racers {
		if <-won {
			winners++
		}
	}
	require.Equal(t, 1, winners)
}

func limits(t *testing.T, s store.Store, _ *store.Memory) {
	ctx := background(t)
	value := make([]byte, store.MaxValueSize+1)
	require.NoError(t, store.Put(ctx, s, "a", value[:store.MaxValueSize], 0))
	require.ErrorIs(t, store.Put(ctx, s, "b", value, 0), store.ErrTooLarge)
	var txn store.Txn
	for i := range store.MaxTxnOps + 1 {
		txn.Writes = append(txn.Writes, store.Write{Key: fmt.Sprintf("c/%d", i)})
	}
	_, err := s.Commit(ctx, txn)
	require.ErrorIs(t, err, store.ErrTooLarge)
	txn.Writes = txn.Writes[:store.MaxTxnOps]
	_, err = s.Commit(ctx, txn)
	require.NoError(t, err)
	items, _, err := store.List(ctx, s, "b", false)
	require.NoError(t, err)
	require.Empty(t, items)
}
