package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// Config holds the identity and the timing of a Table.
type Config struct {
	Self Member
	// Seeds are addresses to look for members at.
	Seeds []Seed
	// DataCentres are all data centres; empty takes those of Self and Seeds.
	DataCentres []string
	// Homes names the home data centre of callers that do not take it by hash.
	Homes map[string]string
	// Interval is the time between heartbeats.
	Interval time.Duration
	// Fence is the silence that, together with the platform's list, proves an
	// end. A process that stalls or is isolated for half of it stops starting.
	Fence time.Duration
	// Retention is how long an ended incarnation's starts matter.
	Retention time.Duration
	// RefusalProof accepts a refused connection as proof of an end.
	RefusalProof bool
}

// peer is what a Table keeps about one incarnation.
type peer struct {
	fact    Fact
	changed uint64 // version of the last change of fact
	// counted tells that this process counts the incarnation in its rankings:
	// either has acknowledged the other's join.
	counted bool
	since   time.Time // when it became known
	heard   time.Time // when its last message came; zero means never
	ended   time.Time // when its end or leaving became known
	failed  bool      // the last attempt to reach it failed

	confirmed time.Time // when the last heartbeat that it answered was sent
	seen      uint64    // its version that has been merged here
	acked     uint64    // the version of this table that it has merged
	report    report
}

// report is what a peer suspected when it answered a heartbeat sent at a time.
type report struct {
	sent     time.Time
	suspects []ID
}

// Table collects facts. It is safe for concurrent use.
type Table struct {
	config Config
	view   atomic.Pointer[View]
	guard  guard

	mu      sync.Mutex // guards the fields below and every store of view
	self    Member
	peers   map[ID]*peer // includes this process
	version uint64
	epoch   uint64
	seeds   []Seed
	vacant  map[Seed]bool   // seeds at which no process listened
	gone    map[string]bool // VMs that the platform lists as gone
	next    int             // rotates the peers of heartbeats
	changed chan struct{}   // closed and replaced whenever view changes
}

// NewTable returns a table that knows this process only.
func NewTable(now time.Time, config Config) *Table {
	if len(config.DataCentres) == 0 {
		config.DataCentres = []string{config.Self.DataCentre}
		for _, seed := range config.Seeds {
			config.DataCentres = append(config.DataCentres, seed.DataCentre)
		}
	}
	config.DataCentres = slices.Clone(config.DataCentres)
	slices.Sort(config.DataCentres)
	config.DataCentres = slices.Compact(config.DataCentres)
	t := &Table{
		config: config, peers: map[ID]*peer{}, vacant: map[Seed]bool{},
		seeds:   slices.Clone(config.Seeds),
		changed: make(chan struct{}),
	}
	t.guard.tick(now)
	t.begin(now, config.Self)
	return t
}

// begin makes this process a new incarnation. The caller holds mu, but for
// NewTable.
func (t *Table) begin(now time.Time, self Member) {
	t.self = self
	p := t.learn(now, Fact{Member: self})
	p.counted = true
	t.publish()
}

// Reincarnate ends the present incarnation, which starts nothing more, and
// makes this process a new one that has yet to join.
func (t *Table) Reincarnate(now time.Time, incarnation uint64) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(now, Fact{Member: t.self, Termination: Left})
	next := t.self
	next.Incarnation = max(incarnation, t.self.Incarnation+1)
	for _, p := range t.peers {
		// Nobody has acknowledged the new incarnation, nor has it anybody.
		p.counted, p.acked = false, 0
	}
	t.begin(now, next)
	return next
}

// View returns the current snapshot.
func (t *Table) View() *View { return t.view.Load() }

// Changed returns a channel that is closed at the next change of the view. It
// must be taken before View.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// MarkReachable records that a member presented itself. An older incarnation at its
// address has ended.
func (t *Table) MarkReachable(now time.Time, m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.VM == t.self.VM {
		return
	}
	t.hear(now, m)
	t.publish()
}

// hear notes a message of a member. The caller holds mu and publishes.
func (t *Table) hear(now time.Time, m Member) *peer {
	p := t.learn(now, Fact{Member: m})
	p.heard, p.failed = now, false
	return p
}

// learn merges a fact. The caller holds mu and publishes.
func (t *Table) learn(now time.Time, f Fact) *peer {
	id := f.Member.ID()
	p := t.peers[id]
	isNew := p == nil
	if isNew {
		p = &peer{fact: Fact{Member: f.Member}, since: now}
		t.peers[id] = p
	}
	wasRanked := p.fact.ranked()
	if p.fact.merge(f) || isNew {
		t.version++
		p.changed = t.version
		if !p.fact.ranked() {
			t.epoch++
		}
	}
	if wasRanked && !p.fact.ranked() {
		p.ended = now
	}
	if isNew {
		t.supersede(now, p)
	}
	return p
}

// supersede ends the older of two incarnations at one address.
func (t *Table) supersede(now time.Time, fresh *peer) {
	for _, other := range t.peers {
		older, newer := other, fresh
		if older.fact.Member.Incarnation > newer.fact.Member.Incarnation {
			older, newer = newer, older
		}
		a, b := older.fact.Member, newer.fact.Member
		if a.VM == b.VM && a.Address == b.Address && a.Incarnation < b.Incarnation && older.fact.Termination == NotTerminated {
			t.learn(now, Fact{Member: a, Termination: Replaced})
		}
	}
}

// AddToRanking makes a member part of the rankings of this process. It reports false
// where the member has ended.
func (t *Table) AddToRanking(now time.Time, m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.learn(now, Fact{Member: m})
	if p.fact.Termination != NotTerminated {
		return false
	}
	p.counted = true
	t.publish()
	return true
}

// MarkAdmitted records that this process has completed its join.
func (t *Table) MarkAdmitted(now time.Time) { t.declare(now, Fact{Admitted: true}) }

// MarkLeaving records that this process takes no new submissions.
func (t *Table) MarkLeaving(now time.Time) { t.declare(now, Fact{Leaving: true}) }

// MarkTerminated records that this process has started its last task.
func (t *Table) MarkTerminated(now time.Time) { t.declare(now, Fact{Leaving: true, Termination: Left}) }

func (t *Table) declare(now time.Time, f Fact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.Member = t.self
	t.learn(now, f)
	t.publish()
}

// LocalPeers returns the incarnations of the own data centre, other than this
// one, that are not proved to have ended.
func (t *Table) LocalPeers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for id, p := range t.peers {
		if t.local(id, p) {
			members = append(members, p.fact.Member)
		}
	}
	sortMembers(members)
	return members
}

// local tells whether a peer is another unended incarnation of the own data
// centre. The caller holds mu.
func (t *Table) local(id ID, p *peer) bool {
	return p.fact.Termination == NotTerminated && p.fact.Member.DataCentre == t.self.DataCentre && id != t.self.ID()
}

// publish stores a fresh snapshot. The caller holds mu.
func (t *Table) publish() {
	v := &View{
		Self: t.self, DataCentres: t.config.DataCentres, Epoch: t.epoch, moved: t.config.Homes,
		ranks: map[string]ranking{}, facts: make(map[ID]Fact, len(t.peers)),
	}
	members := map[string][]Member{}
	for id, p := range t.peers {
		m := p.fact.Member
		v.facts[id] = p.fact
		isLocal := m.DataCentre == t.self.DataCentre
		switch {
		case p.fact.ranked() && (isLocal && p.counted || !isLocal && p.fact.Admitted):
			members[m.DataCentre] = append(members[m.DataCentre], m)
		case isLocal && !p.fact.ranked():
			v.Departed = append(v.Departed, id)
			if p.counted || p.fact.Admitted {
				v.DepartedOwners = append(v.DepartedOwners, id)
			}
		}
	}
	slices.Sort(v.Departed)
	slices.Sort(v.DepartedOwners)
	for dataCentre, list := range members {
		v.ranks[dataCentre] = newRanking(list)
	}
	for _, dataCentre := range v.DataCentres {
		v.homes = append(v.homes, rendezvous.Hash(dataCentre))
	}
	t.view.Store(v)
	close(t.changed)
	t.changed = make(chan struct{})
}

// forget drops incarnations whose end is past twice the retention. The caller
// holds mu.
func (t *Table) forget(now time.Time) {
	for id, p := range t.peers {
		if p.fact.Termination != NotTerminated && id != t.self.ID() && now.Sub(p.ended) > 2*t.config.Retention {
			delete(t.peers, id)
		}
	}
}

// MergeFacts merges facts.
func (t *Table) MergeFacts(now time.Time, facts []Fact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range facts {
		t.learn(now, f)
	}
	t.publish()
}
