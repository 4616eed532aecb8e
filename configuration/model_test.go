package configuration

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// service models the platform's service: writes on a condition, reads that may
// show an earlier state, writes that arrive late.
type service struct {
	past []Read // by revision of the service; the last one is current
}

func newService() *service {
	return &service{past: []Read{{Stored: Stored{State: New(0, nil), Accepted: map[string]int64{}}}}}
}

func (s *service) current() Read { return s.past[len(s.past)-1] }

func (s *service) write(w write) bool {
	now := s.current()
	if now.HeadRevision != w.position {
		return false
	}
	accepted := map[string]int64{w.id: w.decision.Revision}
	for id, revision := range now.Accepted {
		accepted[id] = revision
	}
	revision := now.StoreRevision + 1
	// What the service holds is what was put, not what the writer believes.
	state := now.State.With(w.decision.Revision, w.decision.Puts)
	s.past = append(s.past, Read{
		Stored:        Stored{State: state, Accepted: accepted},
		StoreRevision: revision, HeadRevision: revision,
	})
	return true
}

// write is a conditional write on its way.
type write struct {
	id       string
	position int64
	decision Decision
}

// operator makes one change through one process.
type operator struct {
	change  *Change
	attempt *Attempt
	vm      int
}

// model is a system of processes, operators and one service. Each step of the
// checker does one thing at one place, so that any interleaving can come up.
type model struct {
	service   *service
	tables    []*Table
	cut       []bool // processes that reach neither the service nor peers
	down      bool   // the service answers nobody
	operators []*operator
	late      []write
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
		service: newService(), cut: make([]bool, modelVMs),
		acknowledged: map[string]int64{}, changes: map[string]*Change{},
	}
	for range modelVMs {
		m.tables = append(m.tables, NewTable(New(0, nil)))
	}
	return m
}

func (m *model) reachable(vm int) bool { return !m.down && !m.cut[vm] }

// begin starts a change by an operator who sees what a process holds.
func (m *model) begin(t *rapid.T) {
	vm := rapid.IntRange(0, modelVMs-1).Draw(t, "vm")
	seen := m.tables[vm].Current()
	key := fmt.Sprintf("quotas/c%d", rapid.IntRange(0, modelKeys-1).Draw(t, "key"))
	id := fmt.Sprintf("change%d", len(m.changes))
	after := &id // every value is unique, so that a lost one shows
	if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
		after = nil
	}
	c := &Change{ID: id, Base: seen.Revision(), Edits: []Edit{{Key: key, Before: seen.value(key), After: after}}}
	m.changes[id] = c
	m.operators = append(m.operators, &operator{change: c, attempt: NewAttempt(c, false), vm: vm})
}

// advance reads and, where the attempt says so, writes.
func (m *model) advance(t *rapid.T) {
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
		m.end(t, i, d, err)
		return
	}
	w := write{o.change.ID, read.HeadRevision, d}
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "late"}).Draw(t, "write") {
	case "answered":
		if !m.service.write(w) {
			o.attempt.ConditionFailed(m.service.current().StoreRevision)
			return
		}
		m.tables[o.vm].MergeState(d.Next)
		m.end(t, i, d, nil)
	case "lost":
		m.service.write(w)
		o.attempt.AnswerLost(d)
	case "late":
		m.late = append(m.late, w)
		o.attempt.AnswerLost(d)
	}
}

// read shows the current state of the service, or an earlier one.
func (m *model) read(t *rapid.T) Read {
	age := rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "age")
	return m.service.past[max(0, len(m.service.past)-1-age)]
}

// end takes note of what the operator was told, and checks it.
func (m *model) end(t *rapid.T, i int, d Decision, err error) {
	o := m.operators[i]
	m.operators = append(m.operators[:i], m.operators[i+1:]...)
	_, written := m.service.current().Accepted[o.change.ID]
	if err != nil {
		require.False(t, written, "a change was refused that had been made")
		for _, w := range m.late {
			require.False(t, w.id == o.change.ID && w.position == m.service.current().HeadRevision,
				"a change was refused whose write can still arrive")
		}
		return
	}
	if written {
		m.acknowledged[o.change.ID] = d.Revision
	}
}

// move makes the operator go on through another process.
func (m *model) move(t *rapid.T) {
	if len(m.operators) == 0 {
		t.Skip("no operator")
	}
	o := rapid.SampledFrom(m.operators).Draw(t, "operator")
	o.vm = rapid.IntRange(0, modelVMs-1).Draw(t, "vm")
	o.attempt = NewAttempt(o.change, true)
}

func (m *model) arrive(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("nothing is late")
	}
	m.service.write(m.late[0])
	m.late = m.late[1:]
}

func (m *model) watch(t *rapid.T) {
	vm := rapid.IntRange(0, modelVMs-1).Draw(t, "vm")
	if m.reachable(vm) {
		m.tables[vm].MergeState(m.read(t).State)
	}
}

func (m *model) exchange(t *rapid.T) {
	a, b := rapid.IntRange(0, modelVMs-1).Draw(t, "a"), rapid.IntRange(0, modelVMs-1).Draw(t, "b")
	if !m.cut[a] && !m.cut[b] {
		pull(m.tables[a], m.tables[b].Current())
	}
}

// pull takes what another process holds.
func pull(table *Table, other *State) {
	if table.Merge(other.Since(table.Current().Revision())) == FullNeeded {
		table.Merge(other.Full())
	}
}

// restart replaces a process by one that takes the newest that it can reach
// before it serves.
func (m *model) restart(t *rapid.T) int {
	vm := rapid.IntRange(0, modelVMs-1).Draw(t, "vm")
	if m.cut[vm] {
		t.Skip("a cut-off process does not get ready")
	}
	m.tables[vm] = NewTable(New(0, nil))
	for other := range m.tables {
		if other != vm && !m.cut[other] {
			pull(m.tables[vm], m.tables[other].Current())
		}
	}
	if !m.down {
		m.tables[vm].MergeState(m.service.current().State)
	}
	return vm
}

func (m *model) toggle(t *rapid.T) {
	switch i := rapid.IntRange(0, modelVMs).Draw(t, "cut"); i {
	case modelVMs:
		m.down = !m.down
	default:
		m.cut[i] = !m.cut[i]
	}
}

// heal ends every fault and lets the processes exchange once with each other.
func (m *model) heal() {
	for _, table := range m.tables {
		table.MergeState(m.service.current().State)
	}
	for _, a := range m.tables {
		for _, b := range m.tables {
			pull(a, b.Current())
		}
	}
}

// TestNoAcceptedChangeIsLostOrReverted interleaves racing operators, lost and
// late answers, stale reads, cuts and restarts.
func TestNoAcceptedChangeIsLostOrReverted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		highest := make([]int64, modelVMs)
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "advance": m.advance, "move": m.move, "arrive": m.arrive,
			"watch": m.watch, "exchange": m.exchange, "toggle": m.toggle,
			"restart": func(t *rapid.T) { highest[m.restart(t)] = 0 },
			"": func(t *rapid.T) {
				for vm, table := range m.tables {
					require.GreaterOrEqual(t, table.Current().Revision(), highest[vm], "a revision fell")
					highest[vm] = table.Current().Revision()
				}
				m.check(t)
			},
		})
		m.heal()
		for _, table := range m.tables {
			require.Equal(t, m.service.current().State.Revision(), table.Current().Revision())
			require.Equal(t, m.service.current().State.Fingerprint(), table.Current().Fingerprint())
		}
		require.Equal(t, m.fold(), m.service.current().State.Fingerprint(), "an accepted change was reverted")
	})
}

// fold returns the fingerprint of the state that results from every change of
// the history, in order.
func (m *model) fold() uint64 {
	now := m.service.current()
	byRevision := map[int64]*Change{}
	for id, revision := range now.Accepted {
		byRevision[revision] = m.changes[id]
	}
	state := New(0, nil)
	for revision := int64(1); revision <= now.State.Revision(); revision++ {
		entries, _ := apply(state, byRevision[revision].Edits, revision)
		state = state.With(revision, entries)
	}
	return state.Fingerprint()
}

// check requires that each acknowledged change is in the history at its
// revision, that revisions rise by one, and that every process holds a state
// that the service had.
func (m *model) check(t *rapid.T) {
	now := m.service.current()
	for id, revision := range m.acknowledged {
		require.Equal(t, revision, now.Accepted[id], "an accepted change was lost")
	}
	fingerprints := map[int64]uint64{}
	for i, past := range m.service.past {
		require.EqualValues(t, i, past.State.Revision())
		fingerprints[past.State.Revision()] = past.State.Fingerprint()
	}
	for _, table := range m.tables {
		s := table.Current()
		require.Equal(t, fingerprints[s.Revision()], s.Fingerprint(), "a state that never was")
	}
}
