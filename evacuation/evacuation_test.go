package evacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever mixture of watches, listings and heartbeats of peers reaches a table, in any order, its
// set must be that of the store at its revision: a peer that lags must not undo an evacuation.
func TestSetIsThatOfItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		history := []State{{Revision: 1}} // of the store, by revision
		var events []Event
		for revision := int64(2); revision < 20; revision++ {
			last := history[len(history)-1]
			e := Event{DataCentre: rapid.SampledFrom(names).Draw(t, "name"), Revision: revision, Ended: rapid.Bool().Draw(t, "ended")}
			events = append(events, e)
			var next []string
			for _, name := range names {
				if name == e.DataCentre && !e.Ended || name != e.DataCentre && last.Contains(name) {
					next = append(next, name)
				}
			}
			history = append(history, State{revision, next})
		}
		var table Table
		now := time.Unix(0, 0)
		watched := int64(0) // revision up to which the watch has reported
		for range 20 {
			to := rapid.Int64Range(1, 19).Draw(t, "to")
			before := table.State()
			switch {
			case rapid.Bool().Draw(t, "from a peer"):
				table.Replace(now, history[to-1])
			case watched == 0:
				table.Replace(now, history[to-1])
				watched = to
			case to > watched:
				table.Apply(now, events[watched-1:to-1], to)
				watched = to
			}
			state := table.State()
			require.GreaterOrEqual(t, state.Revision, before.Revision)
			require.Equal(t, len(history[state.Revision-1].DataCentres), len(state.DataCentres))
			for _, name := range state.DataCentres {
				require.True(t, history[state.Revision-1].Contains(name))
			}
		}
	})
}

// A VM that learns late of an evacuation must not count it as having just begun.
func TestBeginOfEvacuationIsUnknown(t *testing.T) {
	start := time.Unix(0, 0)
	for name, test := range map[string]struct {
		confirmed time.Time // zero: the state before is unknown
		known     bool
	}{
		"the VM has just started":                {},
		"the VM was cut off for a long time":     {confirmed: start},
		"the state before was that of the store": {confirmed: start.Add(9 * time.Second), known: true},
	} {
		var table Table
		if !test.confirmed.IsZero() {
			table.Replace(test.confirmed, State{Revision: 1})
		}
		now := start.Add(10 * time.Second)
		change := table.Replace(now, State{2, []string{"a"}})
		require.Equal(t, []string{"a"}, change.Begun, name)
		require.Equal(t, test.known, table.BegunAt("a").Equal(now), name)
		require.Equal(t, []string{"a"}, table.Replace(now, State{Revision: 3}).Ended, name)
		require.Zero(t, table.BegunAt("a"), name)
	}
}
