package configuration

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelStore models the platform's store: conditional writes, reads that may
// return an earlier state, and writes that arrive late.
type modelStore struct {
	history []Read // indexed by store revision; the last one is current
}

func newModelStore() *modelStore {
	return &modelStore{history: []Read{{Stored: Stored{State: New(0, nil), Accepted: map[string]int64{}}}}}
}

func (s *modelStore) current() Read { return s.history[len(s.history)-1] }

func (s *modelStore) write(w write) bool {
	now := s.current()
	if now.HeadRevision != w.headRevision {
		return false
	}
	accepted := map[string]int64{w.id: w.decision.Revision}
	for id, revision := range now.Accepted {
		accepted[id] = revision
	}
	revision := now.StoreRevision + 1
	// Apply Puts rather than copy Next, so that an incomplete Puts is detected.
	state := now.State.With(w.decision.Revision, w.decision.Puts)
	s.history = append(s.history, Read{
		Stored:        Stored{State: state, Accepted: accepted},
		StoreRevision: revision, HeadRevision: revision,
	})
	return true
}

// write is a conditional write that may still be in transit.
type write struct {
	id           string
	headRevision int64
	decision     Decision
}

// operator applies one change through one process.
type operator struct {
	change  *Change
	attempt *Attempt
	vm      int
}

// model is a system of processes, operators and one store. Each step does one
// thing in one place, so that the checker can produce any interleaving.
type model struct {
	store     *modelStore
	tables    []*Table
	cut       []bool // processes that reach neither the store nor peers
	down      bool   // the store answers nobody
	operators []*operator
	delayed   []write
	// acknowledged maps accepted changes to their revisions.
	acknowledged map[string]int64
	changes      map[string]*Change
}

const (
	modelVMs  = 4
	modelKeys = 3
)

func newModel() *model {
	m := &model{
		store: newModelStore(), cut: make([]bool, modelVMs),
		acknowledged: map[string]int64{}, changes: map[string]*Change{},
	}
	for range modelVMs {
		m.tables = append(m.tables, NewTable(New(0, nil)))
	}
	return m
}

func (m *model) reachable(vm int) bool { return !m.down && !m.cut[vm] }

// startChange starts a change by an operator who has read the state of a
// process.
func (m *model) startChange(t *rapid.T) {
	vm := rapid.IntRange(0, modelVMs-1).Draw(t, "vm")
	seen := m.tables[vm].Current()
	key := fmt.Sprintf("quotas/c%d", rapid.IntRange(0, modelKeys-1).Draw(t, "key"))
	id := fmt.Sprintf("change%d", len(m.changes))
	after := &id // unique values make a lost change visible
	if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
		after = nil
	}
	c := &Change{ID: id, Base: seen.Revision(), Edits: []Edit{{Key: key, Before: seen.value(key), After: after}}}
	m.changes[id] = c
	m.operators = append(m.operators, &operator{change: c, attempt: NewAttempt(c, false), vm: vm})
}

// stepOperator performs one read and, if the attempt requires it, one write.
func (m *model) stepOperator(t *rapid.T) {
	if len(m.operators) == 0 {
		t.Skip("no operator")
	}
	i := rapid.IntRange(0, len(m.operators)-1).Draw(t, "operator")
	o := m.operators[i]
	if !m.reachable(o.vm) {
		t.Skip("unreachable")
	}
	read := m.read(t)
	if !o.attempt.NeedsHistory() {
		read.Accepted = nil
	}
	d, err := o.attempt.Decide(m.tables[o.vm].Current(), read)
	if err == ErrStale {
		return
	}
	if err != nil || d.AlreadyApplied {
		m.finishChange(t, i, d, err)
		return
	}
	w := write{o.change.ID, read.HeadRevision, d}
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "late"}).Draw(t, "write") {
	case "answered":
		if !m.store.write(w) {
			o.attempt.ConditionFailed(m.store.current().StoreRevision)
			return
		}
		m.tables[o.vm].MergeState(d.Next)
		m.finishChange(t, i, d, nil)
	case "lost":
		m.store.write(w)
		o.attempt.AnswerLost(d)
	case "late":
		m.delayed = append(m.delayed, w)
		o.attempt.AnswerLost(d)
	}
}

// read returns the current content of the store or an earlier one.
func (m *model) read(t *rapid.T) Read {
	age := rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "age")
	return m.store.history[max(0, len(m.store.history)-1-age)]
}

// finishChange removes an operator, checks the outcome and records an
// acknowledged change.
func (m *model) finishChange(t *rapid.T, i int, d Decision, err error) {
	o := m.operators[i]
	m.operators = append(m.operators[:i], m.operators[i+1:]...)
	_, written := m.store.current().Accepted[o.change.ID]
	if err != nil {
		require.False(t, written, "a change was reported as failed although it was written")
		for _, w := range m.delayed {
			require.False(t, w.id == o.change.ID && w.headRevision == m.store.current().HeadRevision,
				"a change was reported as failed although a delayed write can still succeed")
		}
		return
	}
	if written {
		m.acknowledged[o.change.ID] = d.Revision
	}
}

// switchProcess makes an operator retry the change through another process.
func (m *model) switchProcess(t *rapid.T) {
	if len(m.operators) == 0 {
		t.Skip("no operator")
	}
	o := rapid.SampledFrom(m.operators).Draw(t, "operator")
	o.vm = rapid.IntRange(0, modelVMs-1).Draw(t, "vm")
	o.attempt = NewAttempt(o.change, true)
}

func (m *model) deliverDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed write")
	}
	m.store.write(m.delayed[0])
	m.delayed = m.delayed[1:]
}

func (m *model) readStore(t *rapid.T) {
	vm := rapid.IntRange(0, modelVMs-1).Draw(t, "vm")
	if m.reachable(vm) {
		m.tables[vm].MergeState(m.read(t).State)
	}
}

func (m *model) pullFromProcess(t *rapid.T) {
	a, b := rapid.IntRange(0, modelVMs-1).Draw(t, "a"), rapid.IntRange(0, modelVMs-1).Draw(t, "b")
	if !m.cut[a] && !m.cut[b] {
		pullState(m.tables[a], m.tables[b].Current())
	}
}

// pullState brings a table up to date with the state of another process.
func pullState(table *Table, other *State) {
	if table.Merge(other.Since(table.Current().Revision())) == FullNeeded {
		table.Merge(other.Full())
	}
}

// restart replaces a process. The new one merges the state of every reachable
// process and the store before it serves.
func (m *model) restart(t *rapid.T) int {
	vm := rapid.IntRange(0, modelVMs-1).Draw(t, "vm")
	if m.cut[vm] {
		t.Skip("an isolated process does not become ready")
	}
	m.tables[vm] = NewTable(New(0, nil))
	for other := range m.tables {
		if other != vm && !m.cut[other] {
			pullState(m.tables[vm], m.tables[other].Current())
		}
	}
	if !m.down {
		m.tables[vm].MergeState(m.store.current().State)
	}
	return vm
}

func (m *model) toggleFault(t *rapid.T) {
	switch i := rapid.IntRange(0, modelVMs).Draw(t, "cut"); i {
	case modelVMs:
		m.down = !m.down
	default:
		m.cut[i] = !m.cut[i]
	}
}

// heal reconnects every process to the store and exchanges the state between
// all processes.
func (m *model) heal() {
	for _, table := range m.tables {
		table.MergeState(m.store.current().State)
	}
	for _, a := range m.tables {
		for _, b := range m.tables {
			pullState(a, b.Current())
		}
	}
}

// TestNoAcceptedChangeIsLostOrReverted checks that no accepted change is lost
// or reverted under racing operators, lost and late answers, stale reads,
// network partitions and restarts.
func TestNoAcceptedChangeIsLostOrReverted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		highest := make([]int64, modelVMs)
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.startChange, "advance": m.stepOperator, "move": m.switchProcess, "arrive": m.deliverDelayed,
			"watch": m.readStore, "exchange": m.pullFromProcess, "toggle": m.toggleFault,
			"restart": func(t *rapid.T) { highest[m.restart(t)] = 0 },
			"": func(t *rapid.T) {
				for vm, table := range m.tables {
					require.GreaterOrEqual(t, table.Current().Revision(), highest[vm], "revision decreased")
					highest[vm] = table.Current().Revision()
				}
				m.check(t)
			},
		})
		m.heal()
		for _, table := range m.tables {
			require.Equal(t, m.store.current().State.Revision(), table.Current().Revision())
			require.Equal(t, m.store.current().State.Fingerprint(), table.Current().Fingerprint())
		}
		require.Equal(t, m.replayHistory(), m.store.current().State.Fingerprint(), "an accepted change was reverted")
	})
}

// replayHistory returns the fingerprint that results from applying all changes
// of the history in order.
func (m *model) replayHistory() uint64 {
	now := m.store.current()
	byRevision := map[int64]*Change{}
	for id, revision := range now.Accepted {
		byRevision[revision] = m.changes[id]
	}
	state := New(0, nil)
	for revision := int64(1); revision <= now.State.Revision(); revision++ {
		entries, _ := applyEdits(state, byRevision[revision].Edits, revision)
		state = state.With(revision, entries)
	}
	return state.Fingerprint()
}

// check requires that each acknowledged change is in the history at its
// revision, that revisions increase by one, and that every process holds a
// state that the store had.
func (m *model) check(t *rapid.T) {
	now := m.store.current()
	for id, revision := range m.acknowledged {
		require.Equal(t, revision, now.Accepted[id], "an accepted change was lost")
	}
	fingerprints := map[int64]uint64{}
	for i, read := range m.store.history {
		require.EqualValues(t, i, read.State.Revision())
		fingerprints[read.State.Revision()] = read.State.Fingerprint()
	}
	for _, table := range m.tables {
		s := table.Current()
		require.Equal(t, fingerprints[s.Revision()], s.Fingerprint(), "process holds a state that the store never had")
	}
}
