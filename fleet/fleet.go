// Package fleet tracks the VMs that serve callers and decides which of them
// dispatches.
//
// It imports no network package and reads no clock. The members that share a
// dispatcher form a scope: the whole fleet, or each data centre if the fleet is
// large. A VM sends heartbeats to the highest-ranked members of its scope, to the
// highest-ranked members of its data centre, and to all others in rotation. The
// number of heartbeats thus grows linearly with the number of VMs. A member is
// reachable while heartbeats and their answers pass in both directions. The
// highest-ranked of the members of a scope that reach each other dispatches. This
// needs no consensus: two groups, or two VMs with different views, may each have a
// dispatcher for a while, because the fencing tokens of the upstreams let only one of
// them start tasks on an upstream.
//
// A member is present if it is reachable or if the platform's store lists it. Until
// the list in the store has been read, all known members are present. A group of
// fewer than half of the present members of its scope claims only its members' share
// of the upstreams of each data centre and leaves the rest to the other members.
package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// Member describes a process that serves callers.
type Member struct {
	VM string
	// Incarnation distinguishes the processes at a VM. A newer process has a
	// greater one.
	Incarnation         uint64
	DataCentre, Address string
	Draining            bool
	// Weight is the VM's capacity as a dispatcher, in thousandths of a core.
	Weight int
	// Barred means that the process may not dispatch, see Registration.
	Barred bool
}

// Heartbeat timing.
const (
	// MinHeartbeatInterval is the time between two heartbeats to a member in a
	// small fleet.
	MinHeartbeatInterval = 100 * time.Millisecond
	// MaxHeartbeatInterval is the time between two heartbeats to a member in a
	// large fleet.
	MaxHeartbeatInterval = 400 * time.Millisecond
	// maxHeartbeatsPerSecond bounds the heartbeats that a dispatcher receives,
	// until the interval reaches MaxHeartbeatInterval.
	maxHeartbeatsPerSecond = 200
	// timeoutIntervals is the number of intervals without an answer after which
	// a member is unreachable. A member may pause for 100 ms and stay
	// reachable.
	timeoutIntervals = 4
)

// Heartbeat targets.
const (
	// candidateCount is the number of highest-ranked members to which every
	// member sends heartbeats: the dispatcher and two that can succeed it at
	// once.
	candidateCount = 3
	// localCandidateCount is the same within a data centre, which may be cut
	// off from the others.
	localCandidateCount = 2
	// slowRounds is the number of rounds between two heartbeats to an
	// unresponsive member, and between two heartbeats in rotation.
	slowRounds = 5
	// maxUnresponsive is the number of unresponsive members to which one round sends heartbeats,
	// among those that would dispatch for the same scope. Members of a former fleet may be many.
	maxUnresponsive = 8
)

// HeartbeatInterval returns the time between two heartbeats to a member in a
// fleet of the given size.
func HeartbeatInterval(members int) time.Duration {
	return min(max(time.Duration(members)*time.Second/maxHeartbeatsPerSecond, MinHeartbeatInterval), MaxHeartbeatInterval)
}

// HeartbeatTimeout returns the time without contact after which a member is
// unreachable.
func HeartbeatTimeout(members int) time.Duration {
	return timeoutIntervals * HeartbeatInterval(members)
}

// Heartbeat is the state that a member reports in a heartbeat.
type Heartbeat struct {
	Member Member
	// Term is the term in which the member dispatches, or 0.
	Term uint64
	// Token is the greatest fencing token that the member knows.
	Token int64
	// ConfigurationRevision is the revision of the member's configuration,
	// UpstreamsRevision the store revision of its list of upstreams.
	ConfigurationRevision, UpstreamsRevision int64
	// UpstreamsDigest is a hash of the upstreams that the member lists; 0 if it lists none.
	UpstreamsDigest uint64
	// UpstreamsUnread is true if the member dispatches and does not read the upstreams' changes from
	// the store.
	UpstreamsUnread bool
	// Digest is a hash of the members that the member knows.
	Digest uint64
	// ContactAge is the time for which the member had not known that messages pass in both
	// directions when it sent the heartbeat. It is 0 in the answer to a heartbeat.
	ContactAge time.Duration
	// Clock is the member's clock, which counts from the start of its VM; 0 if unknown.
	Clock time.Duration
	// Hears is true if the member reaches this one.
	Hears bool
	// StoreAge is the time since the platform's store last answered the member; 0 if unknown.
	StoreAge time.Duration
	// HearsStore is true if the member hears one that the store has answered recently.
	HearsStore bool
}

// peer is the state of another member.
type peer struct {
	heartbeat    Heartbeat
	lastContact  time.Time // when both directions were last known to work
	provenAt     time.Time // when both directions have certainly worked; not after lastContact
	firstAttempt time.Time // first heartbeat sent since lastContact; zero if none
	refused      bool      // refused a connection since lastContact
	deaf         bool      // has reported, since lastContact, that it does not hear this member
	// dispatched are the last reports of a term by this process, if there is one, and by those
	// that it has replaced.
	dispatched []dispatchReport
	heard      bool // has sent a heartbeat or answered one
	listed     bool // present in the platform's store
	replaced   bool // another process has its address
	rostered   bool // has been on the roster
	removed    bool // has been on the roster, and no longer is
	// storeAt is when the store may last have answered the member.
	storeAt time.Time
	// clock is the greatest lower bound of the member's clock, as of clockAt; 0 if unknown.
	clock   time.Duration
	clockAt time.Time
	// offset and formerOffset are the greatest differences between the member's clock and the time
	// since offsetAt in the present clockWindow, which began at windowAt, and in the one before.
	offset, formerOffset time.Duration
	offsetAt, windowAt   time.Time
}

// Fleet is one member's knowledge of the others. It is safe for concurrent use.
// A single lock suffices, because the state changes only with heartbeats.
type Fleet struct {
	mu       sync.Mutex // guards the fields below
	self     Member
	peers    map[string]*peer // by VM
	listRead bool             // the list in the store has been read
	// rosterRead means that the roster has been read, so that it tells who is gone.
	rosterRead bool
	token      int64
	digest     uint64
	scope      Scope
	// scopeSize is the number of known members of the scope, including this one.
	scopeSize int
	round     int
	rotation  int  // position in the rotation of heartbeat targets
	exchange  bool // heartbeats go to other data centres too
	// sizes holds the number of known members by data centre.
	sizes map[string]int
}

// New returns a fleet that knows only its own member.
func New(self Member) *Fleet {
	return &Fleet{self: self, scopeSize: 1, peers: map[string]*peer{}, digest: memberHash(self)}
}

// memberHash returns a member's contribution to the digest. The digest is the
// XOR of all contributions.
func memberHash(m Member) uint64 {
	return rendezvous.Score(rendezvous.Hash(m.VM), m.Incarnation)
}

// Self returns the own member.
func (f *Fleet) Self() Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// MarkDraining records that this process is about to stop.
func (f *Fleet) MarkDraining() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Draining = true
}

// SetBarred sets whether this process may not dispatch.
func (f *Fleet) SetBarred(barred bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Barred = barred
}

// AddMembers adds members that other members know. It returns those that were
// not known before.
func (f *Fleet) AddMembers(members []Member) (added []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		if f.addMember(m) {
			added = append(added, m)
		}
	}
	if len(added) > 0 {
		f.recount()
	}
	return added
}

// addMember adds a member or replaces its older incarnation. It reports whether
// it did. The caller holds mu.
func (f *Fleet) addMember(m Member) bool {
	if m.VM == f.self.VM || m.VM == "" {
		return false
	}
	p := f.peers[m.VM]
	if p != nil && p.heartbeat.Member.Incarnation >= m.Incarnation {
		return false
	}
	former := peer{}
	if p != nil {
		former = *p
		f.digest ^= memberHash(p.heartbeat.Member)
	}
	f.digest ^= memberHash(m)
	f.replaceAt(m)
	f.peers[m.VM] = &peer{
		heartbeat: Heartbeat{Member: m}, listed: former.listed, dispatched: former.dispatched, replaced: f.hasSuccessor(m),
	}
	return true
}

// replaceAt notes that a member has an address, so that an older one at the same address is gone.
// The caller holds mu.
func (f *Fleet) replaceAt(m Member) {
	for _, p := range f.peers {
		if succeeds(m, p.heartbeat.Member) {
			p.replaced = true
		}
	}
}

// hasSuccessor reports whether a later process is known at a member's address. The caller holds mu.
func (f *Fleet) hasSuccessor(m Member) bool {
	if succeeds(f.self, m) {
		return true
	}
	for _, p := range f.peers {
		if succeeds(p.heartbeat.Member, m) {
			return true
		}
	}
	return false
}

// succeeds reports whether a process of another VM was started later at the address of a former one:
// two processes cannot listen at one address.
func succeeds(m, former Member) bool {
	return m.VM != former.VM && m.Address != "" && m.Address == former.Address && m.Incarnation > former.Incarnation
}

// SetListed sets the members that the platform's store lists. An unreachable
// member that is no longer listed is no longer present.
func (f *Fleet) SetListed(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listRead = true
	for _, p := range f.peers {
		p.listed = false
	}
	for _, m := range members {
		f.addMember(m)
		if p := f.peers[m.VM]; p != nil {
			p.listed = true
			if p.removed { // it has registered again
				p.removed, p.rostered = false, false
			}
		}
	}
	f.recount()
}

// RecordHeartbeat records a heartbeat of a member. bidirectional reports
// whether heartbeats are known to pass in both directions.
func (f *Fleet) RecordHeartbeat(now time.Time, hb Heartbeat, bidirectional bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	added := f.addMember(hb.Member)
	f.token = max(f.token, hb.Token)
	p := f.peers[hb.Member.VM]
	if p == nil || p.heartbeat.Member.Incarnation > hb.Member.Incarnation {
		return
	}
	if added || !p.heard {
		p.heard = true
		f.recount()
	}
	// A barred member dispatches only once it has registered again. The entry of any other one must
	// be read again before its removal proves anything.
	if p.removed && !hb.Member.Barred {
		p.rostered, p.removed = false, false
	}
	p.heartbeat, p.replaced, p.storeAt = hb, false, now.Add(-hb.StoreAge)
	if hb.Term != 0 {
		p.recordDispatch(dispatchReport{hb.Member.Incarnation, now, hb.UpstreamsDigest, hb.UpstreamsRevision})
	}
	delay := time.Duration(0)
	if hb.Clock != 0 {
		delay = p.delayOf(now, hb.Clock)
	}
	if hb.Clock > p.clockBound(now) {
		p.clock, p.clockAt = hb.Clock, now
	}
	p.deaf = !bidirectional
	if contact := now.Add(-delay); bidirectional && contact.After(p.lastContact) {
		p.lastContact, p.firstAttempt, p.refused = contact, time.Time{}, false
		if proven := contact.Add(-hb.ContactAge); proven.After(p.provenAt) {
			p.provenAt = proven
		}
	}
}

// Digest returns the digest of the known members and reports whether that of a
// peer differs or is unknown.
func (f *Fleet) Digest(peer string) (digest uint64, differs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[peer]
	return f.digest, p == nil || p.heartbeat.Digest != f.digest
}

// Reachable reports whether a member is reachable.
func (f *Fleet) Reachable(now time.Time, vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[vm]
	return p != nil && f.reachable(now, p)
}

// LastContact returns when heartbeats last passed in both directions with a
// member; zero if never.
func (f *Fleet) LastContact(vm string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[vm]; p != nil {
		return p.lastContact
	}
	return time.Time{}
}

// ContactAge returns the time since messages were last known to pass in both directions with a
// member; 0 if they never were.
func (f *Fleet) ContactAge(now time.Time, vm string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[vm]
	if p == nil || p.provenAt.IsZero() {
		return 0
	}
	return now.Sub(p.provenAt)
}

// Size returns the number of known members, including this one.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.peers) + 1
}

// Interval returns the time between two rounds of heartbeats.
func (f *Fleet) Interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return HeartbeatInterval(f.scopeSize)
}

// Timeout returns the time without contact after which a member of the scope is
// unreachable.
func (f *Fleet) Timeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.timeout()
}

// timeout returns the time without contact after which a member is unreachable. The
// caller holds mu.
func (f *Fleet) timeout() time.Duration { return HeartbeatTimeout(f.scopeSize) }

// HeartbeatTargets starts the next round of heartbeats and returns the members
// to send them to.
func (f *Fleet) HeartbeatTargets(now time.Time) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.round++
	ranked := f.ranked()
	var targets []Member
	add := func(p *peer) {
		if !slices.Contains(targets, p.heartbeat.Member) {
			targets = append(targets, p.heartbeat.Member)
			if p.firstAttempt.IsZero() {
				p.firstAttempt = now
			}
		}
	}
	// walk adds matching members in order of rank until it has added the wanted
	// number of reachable ones. It adds unresponsive ones only every slowRounds
	// rounds, and maxUnresponsive of them in turn.
	walk := func(wanted int, match func(*peer) bool) {
		var unresponsive []*peer
		for _, p := range ranked {
			if wanted == 0 {
				break
			}
			switch {
			case !match(p):
			case f.reachable(now, p):
				add(p)
				wanted--
			case !f.unresponsive(now, p):
				add(p)
			default:
				unresponsive = append(unresponsive, p)
			}
		}
		if f.round%slowRounds != 0 {
			return
		}
		for i := range min(len(unresponsive), maxUnresponsive) {
			add(unresponsive[(f.round/slowRounds*maxUnresponsive+i)%len(unresponsive)])
		}
	}
	walk(candidateCount, func(p *peer) bool { return f.inScope(p.heartbeat.Member) })
	walk(localCandidateCount, func(p *peer) bool { return p.heartbeat.Member.DataCentre == f.self.DataCentre })
	f.exchangeTargets(now, ranked, add)
	if len(ranked) > 0 && f.round%slowRounds == 0 {
		f.rotation++
		add(ranked[f.rotation%len(ranked)])
	}
	return targets
}

// ranked returns the other members, highest rank first. The caller holds mu.
func (f *Fleet) ranked() []*peer {
	ranked := make([]*peer, 0, len(f.peers))
	for _, p := range f.peers {
		ranked = append(ranked, p)
	}
	slices.SortFunc(ranked, func(a, b *peer) int { return compareRank(a.heartbeat.Member, b.heartbeat.Member) })
	return ranked
}

// RecordConnectionRefused records that a connection to a member's address was
// refused: its process has terminated, or a firewall blocks it.
func (f *Fleet) RecordConnectionRefused(vm string, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[vm]; p != nil && p.heartbeat.Member.Incarnation == incarnation {
		p.refused = true
	}
}

// Address returns the address of another member, or an empty string if it is unknown.
func (f *Fleet) Address(vm string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[vm]; p != nil {
		return p.heartbeat.Member.Address
	}
	return ""
}

// DataCentre returns the data centre of a member, or "" if the member is unknown.
func (f *Fleet) DataCentre(vm string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if vm == f.self.VM {
		return f.self.DataCentre
	}
	if p := f.peers[vm]; p != nil {
		return p.heartbeat.Member.DataCentre
	}
	return ""
}

// Term returns the term that another member has last reported, or 0.
func (f *Fleet) Term(vm string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[vm]; p != nil {
		return p.heartbeat.Term
	}
	return 0
}

// clockWindow is the time for which a heartbeat bounds the delay of later ones, or twice that. A
// clock that is slewed falls behind by little within it.
const clockWindow = time.Second

// delayOf returns for how long a heartbeat that carries the member's clock was on its way at least,
// compared with the fastest one of the last clockWindow, and of the one before.
func (p *peer) delayOf(now time.Time, clock time.Duration) time.Duration {
	if p.windowAt.IsZero() {
		p.windowAt, p.offsetAt, p.offset, p.formerOffset = now, now, clock, clock
		return 0
	}
	offset := clock - now.Sub(p.offsetAt)
	fastest := max(p.offset, p.formerOffset)
	if now.Sub(p.windowAt) > clockWindow {
		p.windowAt, p.formerOffset, p.offset = now, p.offset, offset
	} else {
		p.offset = max(p.offset, offset)
	}
	return max(fastest-offset, 0)
}

// clockDrift is the greatest relative difference between the clocks of two VMs. Oscillators
// of servers differ by less than a tenth of it.
const clockDrift = 0.001

// clockBound returns a lower bound of the member's clock, or 0 if it is unknown. A
// heartbeat that was delayed gives a lower one than those that were not.
func (p *peer) clockBound(now time.Time) time.Duration {
	if p.clock == 0 {
		return 0
	}
	return p.clock + time.Duration(float64(now.Sub(p.clockAt))*(1-clockDrift))
}

// ClockBound returns a lower bound of another member's clock at the present time; 0 if the
// clock is unknown. The bound lags by the shortest delay of a recent heartbeat.
func (f *Fleet) ClockBound(vm string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[vm]; p != nil {
		return p.clockBound(now)
	}
	return 0
}

// Peers returns the other known members.
func (f *Fleet) Peers() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]Member, 0, len(f.peers))
	for _, p := range f.peers {
		members = append(members, p.heartbeat.Member)
	}
	return members
}

// NextToken records and returns a fencing token that is greater than all known
// ones and not less than least.
func (f *Fleet) NextToken(least int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.token = max(f.token+1, least)
	return f.token
}

// Token returns the greatest known fencing token.
func (f *Fleet) Token() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token
}

// reachable reports whether a member is reachable. The caller holds mu.
func (f *Fleet) reachable(now time.Time, p *peer) bool {
	return !p.refused && now.Sub(p.lastContact) < f.timeoutOf(p)
}

// unresponsive reports whether a member refused a connection or has not
// answered heartbeats for more than half of the timeout. The caller holds mu.
func (f *Fleet) unresponsive(now time.Time, p *peer) bool {
	return p.refused || !p.firstAttempt.IsZero() && now.Sub(p.firstAttempt) > f.timeoutOf(p)/2
}
