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
	// Seeds are the addresses at which members may be found.
	Seeds []Seed
	// DataCentres are all data centres. If empty, those of Self and Seeds are
	// used.
	DataCentres []string
	// Homes maps callers to their home data centre. Other callers are assigned
	// by hash.
	Homes map[string]string
	// Interval is the time between heartbeats.
	Interval time.Duration
	// Fence is the silence after which a VM that the platform lists as gone may
	// be marked as terminated. A process that is stalled or isolated for half
	// of this time stops starting tasks.
	Fence time.Duration
	// Retention is the time for which the task starts of an incarnation must be
	// taken into account after it has departed.
	Retention time.Duration
	// RefusalProof accepts a refused connection as proof of termination.
	RefusalProof bool
}

// peer is the table entry of one incarnation.
type peer struct {
	fact    Fact
	changed uint64 // table version at the last change of fact
	// inRanking is true if this process includes the incarnation in its
	// rankings because either has acknowledged the join of the other.
	inRanking   bool
	firstSeen   time.Time // when the incarnation became known
	lastMessage time.Time // when its last message was received; zero if none was
	departedAt  time.Time // when it became known that it is leaving or terminated
	unreachable bool      // the last attempt to reach it failed

	confirmedAt   time.Time // when the last heartbeat that it answered was sent
	mergedVersion uint64    // version of the peer's table up to which its facts are merged here
	ackedVersion  uint64    // version of this table up to which the peer has merged the facts
	report        suspectReport
}

// suspectReport holds the suspects that a peer named in its answer to a
// heartbeat.
type suspectReport struct {
	sent     time.Time // when the heartbeat was sent
	suspects []ID
}

// Table collects the facts about all incarnations. It is safe for concurrent
// use.
type Table struct {
	config Config
	view   atomic.Pointer[View]
	guard  startGuard

	mu           sync.Mutex // guards the fields below and every store to view
	self         Member
	peers        map[ID]*peer // includes this process
	version      uint64       // increases with each change of a fact
	epoch        uint64       // see View.Epoch
	seeds        []Seed
	refusedSeeds map[Seed]bool   // seeds that refused a connection; false if that is no proof
	listedGone   map[string]bool // VMs that the platform lists as gone
	rotation     int             // position in the rotation of heartbeat targets
	changed      chan struct{}   // closed and replaced whenever view changes
}

// NewTable returns a table that contains only this process.
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
		config: config, peers: map[ID]*peer{}, refusedSeeds: map[Seed]bool{},
		seeds:   slices.Clone(config.Seeds),
		changed: make(chan struct{}),
	}
	t.guard.recordTick(now)
	t.startIncarnation(now, config.Self)
	return t
}

// startIncarnation makes self the incarnation of this process. The caller holds
// mu, except in NewTable.
func (t *Table) startIncarnation(now time.Time, self Member) {
	t.self = self
	p := t.mergeFact(now, Fact{Member: self})
	p.inRanking = true
	t.publish()
}

// StartNewIncarnation marks the current incarnation of this process as terminated,
// so that it starts no further tasks, and replaces it by a new one that has yet to
// join.
func (t *Table) StartNewIncarnation(now time.Time, incarnation uint64) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeFact(now, Fact{Member: t.self, Termination: Left})
	next := t.self
	next.Incarnation = max(incarnation, t.self.Incarnation+1)
	for _, p := range t.peers {
		// Peers acknowledge joins and facts per incarnation.
		p.inRanking, p.ackedVersion = false, 0
	}
	t.startIncarnation(now, next)
	return next
}

// View returns the current snapshot.
func (t *Table) View() *View { return t.view.Load() }

// Changed returns a channel that is closed at the next change of the view. To
// miss no change, call Changed before View.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// MarkReachable records a message from a member on another VM. An older
// incarnation at its address is marked as replaced.
func (t *Table) MarkReachable(now time.Time, m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.VM == t.self.VM {
		return
	}
	t.recordMessage(now, m)
	t.publish()
}

// recordMessage records a message from a member. The caller holds mu and then
// calls publish.
func (t *Table) recordMessage(now time.Time, m Member) *peer {
	p := t.mergeFact(now, Fact{Member: m})
	p.lastMessage, p.unreachable = now, false
	return p
}

// mergeFact merges a fact and returns its entry. The caller holds mu and then
// calls publish.
func (t *Table) mergeFact(now time.Time, f Fact) *peer {
	id := f.Member.ID()
	p := t.peers[id]
	isNew := p == nil
	if isNew {
		p = &peer{fact: Fact{Member: f.Member}, firstSeen: now}
		t.peers[id] = p
	}
	couldOwn := p.fact.mayOwn()
	if p.fact.merge(f) || isNew {
		t.version++
		p.changed = t.version
		if !p.fact.mayOwn() {
			t.epoch++
		}
	}
	if couldOwn && !p.fact.mayOwn() {
		p.departedAt = now
	}
	if isNew {
		t.markReplaced(now, p)
	}
	return p
}

// markReplaced compares a new entry with the others. Of two incarnations on one VM
// and address, it marks the older as replaced. The caller holds mu and then calls
// publish.
func (t *Table) markReplaced(now time.Time, added *peer) {
	for _, other := range t.peers {
		older, newer := other, added
		if older.fact.Member.Incarnation > newer.fact.Member.Incarnation {
			older, newer = newer, older
		}
		a, b := older.fact.Member, newer.fact.Member
		if a.VM == b.VM && a.Address == b.Address && a.Incarnation < b.Incarnation && older.fact.Termination == NotTerminated {
			t.mergeFact(now, Fact{Member: a, Termination: Replaced})
		}
	}
}

// AddToRanking includes a member in the rankings of this process. It returns
// false if the member has terminated.
func (t *Table) AddToRanking(now time.Time, m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.mergeFact(now, Fact{Member: m})
	if p.fact.Termination != NotTerminated {
		return false
	}
	p.inRanking = true
	t.publish()
	return true
}

// MarkAdmitted records that this process has completed its join.
func (t *Table) MarkAdmitted(now time.Time) { t.updateSelf(now, Fact{Admitted: true}) }

// MarkLeaving records that this process takes no new submissions.
func (t *Table) MarkLeaving(now time.Time) { t.updateSelf(now, Fact{Leaving: true}) }

// MarkTerminated records that this process starts no further tasks.
func (t *Table) MarkTerminated(now time.Time) {
	t.updateSelf(now, Fact{Leaving: true, Termination: Left})
}

// updateSelf merges a fact about this process.
func (t *Table) updateSelf(now time.Time, f Fact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.Member = t.self
	t.mergeFact(now, f)
	t.publish()
}

// LocalPeers returns the other incarnations of the local data centre that are
// not proved to have terminated.
func (t *Table) LocalPeers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for id, p := range t.peers {
		if t.isLocalPeer(id, p) {
			members = append(members, p.fact.Member)
		}
	}
	sortMembers(members)
	return members
}

// isLocalPeer reports whether a peer is another incarnation of the local data
// centre and not proved to have terminated. The caller holds mu.
func (t *Table) isLocalPeer(id ID, p *peer) bool {
	return p.fact.Termination == NotTerminated && p.fact.Member.DataCentre == t.self.DataCentre && id != t.self.ID()
}

// publish stores a new view and wakes those that wait for a change. The caller
// holds mu.
func (t *Table) publish() {
	v := &View{
		Self: t.self, DataCentres: t.config.DataCentres, Epoch: t.epoch, homeOverrides: t.config.Homes,
		ranks: map[string]ranking{}, facts: make(map[ID]Fact, len(t.peers)),
	}
	members := map[string][]Member{}
	for id, p := range t.peers {
		m := p.fact.Member
		v.facts[id] = p.fact
		isLocal := m.DataCentre == t.self.DataCentre
		switch {
		case p.fact.mayOwn() && (isLocal && p.inRanking || !isLocal && p.fact.Admitted):
			members[m.DataCentre] = append(members[m.DataCentre], m)
		case isLocal && !p.fact.mayOwn():
			v.Departed = append(v.Departed, id)
			if p.inRanking || p.fact.Admitted {
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
		v.dataCentreHashes = append(v.dataCentreHashes, rendezvous.Hash(dataCentre))
	}
	t.view.Store(v)
	close(t.changed)
	t.changed = make(chan struct{})
}

// pruneTerminated removes terminated incarnations that departed more than twice
// the retention ago. The caller holds mu.
func (t *Table) pruneTerminated(now time.Time) {
	for id, p := range t.peers {
		if p.fact.Termination != NotTerminated && id != t.self.ID() && now.Sub(p.departedAt) > 2*t.config.Retention {
			delete(t.peers, id)
		}
	}
}

// MergeFacts merges facts received from a peer.
func (t *Table) MergeFacts(now time.Time, facts []Fact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range facts {
		t.mergeFact(now, f)
	}
	t.publish()
}
