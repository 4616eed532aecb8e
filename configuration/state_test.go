package configuration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func ptr(s string) *string { return &s }

func entries(revision int64, pairs ...string) []Entry {
	var out []Entry
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, Entry{Key: pairs[i], Value: pairs[i+1], Revision: revision})
	}
	return out
}

func TestCheckKey(t *testing.T) {
	for key, valid := range map[string]bool{
		"quotas/kit-desk": true, "drains/vm1": true, "services/a/b": true, "settings/max-tasks": true, "homes/x": true,
		"": false, "quotas/": false, "quotas": false, "other/x": false, "homes/" + strings.Repeat("x", MaxKeyBytes): false,
	} {
		require.Equal(t, valid, CheckKey(key) == nil, key)
	}
}

func TestFingerprintCoversOnlyKeysAndValues(t *testing.T) {
	a := New(3, entries(1, "quotas/a", "1", "quotas/b", "2"))
	b := New(1, entries(1, "quotas/b", "2")).With(2, entries(2, "quotas/c", "3"))
	b = b.With(3, []Entry{{Key: "quotas/c", Revision: 3, Deleted: true}, {Key: "quotas/a", Value: "1", Revision: 3}})
	require.Equal(t, a.Fingerprint(), b.Fingerprint())
	require.Equal(t, a.Bytes(), b.Bytes())
	require.NotEqual(t, a.Fingerprint(), New(3, entries(1, "quotas/a", "2", "quotas/b", "1")).Fingerprint())
}

func TestSinceSendsOnlyWhatChanged(t *testing.T) {
	s := New(1, entries(1, "quotas/a", "1", "quotas/b", "2"))
	old := s
	s = s.With(2, entries(2, "quotas/c", "3"))
	s = s.With(3, []Entry{{Key: "quotas/a", Revision: 3, Deleted: true}})
	d := s.Since(1)
	require.False(t, d.Full)
	require.Len(t, d.Entries, 2)
	next, merged := old.Merge(d)
	require.Equal(t, Applied, merged)
	require.Equal(t, s.Fingerprint(), next.Fingerprint())
	require.Equal(t, next.Entries(""), s.Entries(""))
	require.Len(t, s.Since(2).Entries, 1)
	require.Empty(t, s.Since(3).Entries)
	require.True(t, s.Since(0).Full, "initial states are not shared")
}

// TestSinceSendsFullStateWhenTombstonesArePruned checks that no difference is sent
// once tombstones are missing: it would leave removed entries in place.
func TestSinceSendsFullStateWhenTombstonesArePruned(t *testing.T) {
	s := New(1, entries(1, "quotas/a", "1"))
	for i := range int64(2 * maxTombstones) {
		key := fmt.Sprintf("quotas/x%d", i)
		s = s.With(2*i+2, entries(2*i+2, key, "1"))
		s = s.With(2*i+3, []Entry{{Key: key, Revision: 2*i + 3, Deleted: true}})
	}
	require.True(t, s.Since(2).Full)
	require.False(t, s.Since(s.Revision()-10).Full)
}

func TestMerge(t *testing.T) {
	base := New(5, entries(5, "quotas/a", "1"))
	other := New(5, entries(5, "quotas/a", "2"))
	low, high := base, other
	if low.Fingerprint() > high.Fingerprint() {
		low, high = high, low
	}
	newer := base.With(7, entries(7, "quotas/b", "2"))
	gap := newer.Since(5)
	gap.After = 6
	damaged := newer.Full()
	damaged.Fingerprint++
	wrong := newer.Since(5)
	wrong.Fingerprint++
	for name, c := range map[string]struct {
		local   *State
		d       Difference
		want    MergeResult
		applied bool
	}{
		"older is rejected":              {newer, base.Full(), Older, false},
		"same":                           {base, base.Full(), Unchanged, false},
		"newer difference":               {base, newer.Since(5), Applied, true},
		"newer whole state":              {base, newer.Full(), Applied, true},
		"a gap requires the whole state": {base, gap, FullNeeded, false},
		"a wrong fingerprint requires the whole state": {base, wrong, FullNeeded, false},
		"a corrupt whole state":                        {base, damaged, Corrupt, false},
		"initial state rejects a difference":           {New(0, entries(0, "quotas/z", "1")), newer.Since(5), FullNeeded, false},
		"initial state accepts a whole state":          {New(0, entries(0, "quotas/z", "1")), newer.Full(), Applied, true},
		"initial states do not merge":                  {New(0, nil), New(0, entries(0, "quotas/z", "1")).Full(), Unchanged, false},
		"diverged, local fingerprint is greater":       {high, low.Full(), Diverged, false},
		"diverged, received fingerprint is greater":    {low, high.Full(), Diverged, true},
		"diverged, difference":                         {low, Difference{After: 4, Revision: 5, Fingerprint: high.Fingerprint()}, FullNeeded, false},
	} {
		t.Run(name, func(t *testing.T) {
			next, merged := c.local.Merge(c.d)
			require.Equal(t, c.want, merged)
			if !c.applied {
				require.Same(t, c.local, next)
				return
			}
			require.Equal(t, c.d.Revision, next.Revision())
			require.Equal(t, c.d.Fingerprint, next.Fingerprint())
		})
	}
}

// TestMergeStateKeepsTombstones merges a state read from the store, which has no
// tombstones. The table must derive them, or peers would need the whole state after
// every removal.
func TestMergeStateKeepsTombstones(t *testing.T) {
	table := NewTable(New(1, entries(1, "quotas/a", "1", "quotas/b", "1")))
	require.Equal(t, Applied, table.MergeState(New(2, entries(1, "quotas/b", "1"))))
	d := table.Current().Since(1)
	require.False(t, d.Full)
	require.Equal(t, []Entry{{Key: "quotas/a", Revision: 2, Deleted: true}}, d.Entries)
	require.Equal(t, Older, table.MergeState(New(1, nil)))
}

func TestPlan(t *testing.T) {
	local := New(4, entries(4, "quotas/a", "1", "quotas/b", "2"))
	for name, c := range map[string]struct {
		local, stored *State
		accepted      map[string]int64
		change        Change
		check         func(*testing.T, Decision, error)
	}{
		"a change creates the next revision": {local, local, nil,
			Change{Base: 4, Edits: []Edit{{"quotas/a", ptr("1"), ptr("9")}}},
			func(t *testing.T, d Decision, err error) {
				require.NoError(t, err)
				require.EqualValues(t, 5, d.Revision)
				require.Equal(t, entries(5, "quotas/a", "9"), d.Puts)
			}},
		"another entry changed: no conflict": {local, local.With(5, entries(5, "quotas/b", "3")), nil,
			Change{Base: 4, Edits: []Edit{{"quotas/a", ptr("1"), ptr("9")}}},
			func(t *testing.T, d Decision, err error) {
				require.NoError(t, err)
				require.EqualValues(t, 6, d.Revision)
				value, _ := d.Next.Get("quotas/b")
				require.Equal(t, "3", value)
			}},
		"the same entry changed: conflict": {local, local.With(5, entries(5, "quotas/a", "3")), nil,
			Change{Base: 4, Edits: []Edit{{"quotas/a", ptr("1"), ptr("9")}}},
			func(t *testing.T, _ Decision, err error) {
				var conflict *ConflictError
				require.ErrorAs(t, err, &conflict)
				require.EqualValues(t, 4, conflict.Base)
				require.EqualValues(t, 5, conflict.Current)
				require.Equal(t, []Edit{{"quotas/a", ptr("1"), ptr("3")}}, conflict.Theirs)
				require.ErrorContains(t, err, "revision 4")
				require.ErrorContains(t, err, "revision 5")
			}},
		"the entry was removed: conflict": {local, local.With(5, []Entry{{Key: "quotas/a", Revision: 5, Deleted: true}}), nil,
			Change{Base: 4, Edits: []Edit{{"quotas/a", ptr("1"), ptr("9")}}},
			func(t *testing.T, _ Decision, err error) {
				var conflict *ConflictError
				require.ErrorAs(t, err, &conflict)
				require.Nil(t, conflict.Theirs[0].After)
			}},
		"known change ID: already applied": {local, local, map[string]int64{"x": 3},
			Change{ID: "x", Base: 2, Edits: []Edit{{"quotas/a", ptr("0"), ptr("1")}}},
			func(t *testing.T, d Decision, err error) {
				require.NoError(t, err)
				require.True(t, d.AlreadyApplied)
				require.EqualValues(t, 3, d.Revision)
			}},
		"all values already set: already applied": {local, local, nil,
			Change{Base: 4, Edits: []Edit{{"quotas/a", ptr("0"), ptr("1")}}},
			func(t *testing.T, d Decision, err error) {
				require.NoError(t, err)
				require.True(t, d.AlreadyApplied)
			}},
		"the operator saw a newer revision: stale": {local, local, nil,
			Change{Base: 6, Edits: []Edit{{"quotas/a", ptr("1"), ptr("9")}}},
			func(t *testing.T, _ Decision, err error) { require.ErrorIs(t, err, ErrStale) }},
		"the store lost changes: they are written again": {local, New(2, entries(2, "quotas/a", "0")), nil,
			Change{Base: 4, Edits: []Edit{{"quotas/a", ptr("1"), ptr("9")}}},
			func(t *testing.T, d Decision, err error) {
				require.NoError(t, err)
				require.EqualValues(t, 5, d.Revision)
				require.Len(t, d.Puts, 2)
			}},
		"the first change writes the initial state": {New(0, entries(0, "quotas/a", "1")), New(0, nil), nil,
			Change{Edits: []Edit{{"quotas/b", nil, ptr("2")}}},
			func(t *testing.T, d Decision, err error) {
				require.NoError(t, err)
				require.EqualValues(t, 1, d.Revision)
				require.Len(t, d.Puts, 2)
			}},
		"an entry over the limit": {local, local, nil,
			Change{Base: 4, Edits: []Edit{{"quotas/a", ptr("1"), ptr(strings.Repeat("x", MaxValueBytes+1))}}},
			func(t *testing.T, _ Decision, err error) {
				var tooLarge *TooLargeError
				require.ErrorAs(t, err, &tooLarge)
			}},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := Plan(c.local, Stored{State: c.stored, Accepted: c.accepted}, &c.change)
			c.check(t, d, err)
		})
	}
}

func TestUndoRestoresEarlierState(t *testing.T) {
	first := New(1, entries(1, "quotas/a", "1"))
	second := first.With(2, entries(2, "quotas/a", "2", "quotas/b", "1"))
	third := second.With(3, []Entry{{Key: "quotas/a", Revision: 3, Deleted: true}})
	back := Undo(third, 1, [][]Edit{Diff(second, third), Diff(first, second)})
	require.Equal(t, first.Fingerprint(), back.Fingerprint())
}
