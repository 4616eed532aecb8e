// Package fleet decides which VMs belong together and which of them dispatches.
//
// It imports no network package and reads no clock. A VM beats to the members
// that rank first, to those that rank first in its data centre, and to some
// others in turn, so that the number of beats grows with the number of VMs and
// not with its square. A member is heard while beats and their answers pass in
// both directions. Of the members that hear each other the first in rank
// dispatches. No agreement is needed: two groups, or two VMs that see their
// groups differently, may each have a dispatcher for a while, since the fencing
// tokens of the upstreams let only one of them start tasks on an upstream.
//
// A group that is smaller than half of the present members leaves most upstreams
// to the others: in each data centre it claims only its members' share.
package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// Member is a process that serves callers.
type Member struct {
	VM string
	// Incarnation distinguishes the processes at a VM; newer ones are greater.
	Incarnation         uint64
	DataCentre, Address string
	Draining            bool
	// Weight is what the VM can carry as a dispatcher, in thousandths of a core.
	Weight int
}

// Timing of the beats.
const (
	// MinHeartbeatInterval is the time between two beats to a member in a small fleet.
	MinHeartbeatInterval = 100 * time.Millisecond
	// MaxHeartbeatInterval is the same in a large one.
	MaxHeartbeatInterval = 400 * time.Millisecond
	// beatsPerSecond bounds the beats that a dispatcher receives.
	beatsPerSecond = 200
	// silentBeats is the number of intervals without an answer after which a
	// member is not heard: a pause of a tenth of a second is none.
	silentBeats = 4
)

// Targets of the beats.
const (
	// leaders is the number of members, first in rank, that all others beat to:
	// the dispatcher and two that can follow it at once.
	leaders = 3
	// localLeaders is the same within a data centre, which may be cut off.
	localLeaders = 2
	// lostRounds is the number of rounds between two beats to a lost member.
	lostRounds = 5
)

// HeartbeatInterval returns the time between two beats in a fleet of some members.
func HeartbeatInterval(members int) time.Duration {
	return min(max(time.Duration(members)*time.Second/beatsPerSecond, MinHeartbeatInterval), MaxHeartbeatInterval)
}

// HeartbeatTimeout returns the time after which a member is not heard.
func HeartbeatTimeout(members int) time.Duration { return silentBeats * HeartbeatInterval(members) }

// Heartbeat is what a member tells with a beat.
type Heartbeat struct {
	Member Member
	// Term is the term in which the member dispatches; 0 where it does not.
	Term uint64
	// Token is the greatest fencing token that the member knows.
	Token int64
	// ConfigurationRevision is the configuration revision that it holds, RegistryRevision the store
	// revision of its list of upstreams.
	ConfigurationRevision, RegistryRevision int64
	// Digest is a hash of the members that it knows.
	Digest uint64
}

// peer is what is known of another member.
type peer struct {
	report  Heartbeat
	heard   time.Time // when both directions were last known to work
	tried   time.Time // the first beat since then; zero where there was none
	refused bool      // it refused a connection since
	listed  bool      // in the platform's store
}

// Fleet is what one member knows of the others. It is safe for concurrent use.
// Its state changes with beats only, so that one lock guards it.
type Fleet struct {
	mu     sync.Mutex // guards the fields below
	self   Member
	peers  map[string]*peer // by VM
	listed bool             // the store's list has been read
	token  int64
	digest uint64
	round  int
	turn   int // of the members that are beaten in turn
}

// New returns a fleet of one.
func New(self Member) *Fleet {
	return &Fleet{self: self, peers: map[string]*peer{}, digest: memberHash(self)}
}

// memberHash returns the contribution of a member to the digest.
func memberHash(m Member) uint64 {
	return rendezvous.Score(rendezvous.Hash(m.VM), m.Incarnation)
}

// Self returns the own description.
func (f *Fleet) Self() Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// MarkDraining notes that this process is about to stop.
func (f *Fleet) MarkDraining() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Draining = true
}

// AddMembers enters members that others know. It returns those that were unknown.
func (f *Fleet) AddMembers(members []Member) (fresh []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		if f.learn(m) {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

func (f *Fleet) learn(m Member) bool {
	if m.VM == f.self.VM || m.VM == "" {
		return false
	}
	p := f.peers[m.VM]
	if p != nil && p.report.Member.Incarnation >= m.Incarnation {
		return false
	}
	listed := false
	if p != nil {
		listed = p.listed
		f.digest ^= memberHash(p.report.Member)
	}
	f.digest ^= memberHash(m)
	f.peers[m.VM] = &peer{report: Heartbeat{Member: m}, listed: listed}
	return true
}

// SetListed enters the members that the platform's store lists. A member that it no
// longer lists and that is not heard is no longer present.
func (f *Fleet) SetListed(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = true
	for _, p := range f.peers {
		p.listed = false
	}
	for _, m := range members {
		f.learn(m)
		if p := f.peers[m.VM]; p != nil {
			p.listed = true
		}
	}
}

// RecordHeartbeat enters a beat of a member; both tells that beats pass in both
// directions.
func (f *Fleet) RecordHeartbeat(now time.Time, r Heartbeat, both bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(r.Member)
	f.token = max(f.token, r.Token)
	p := f.peers[r.Member.VM]
	if p == nil || p.report.Member.Incarnation > r.Member.Incarnation {
		return
	}
	p.report = r
	if both {
		p.heard, p.tried, p.refused = now, time.Time{}, false
	}
}

// Digest returns the digest of the members that are known, and tells whether a
// peer is known to know others.
func (f *Fleet) Digest(peer string) (digest uint64, differs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[peer]
	return f.digest, p == nil || p.report.Digest != f.digest
}

// Reachable tells whether a member is heard.
func (f *Fleet) Reachable(now time.Time, vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[vm]
	return p != nil && f.alive(now, p)
}

// LastContact returns when beats last passed in both directions with a member.
func (f *Fleet) LastContact(vm string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[vm]; p != nil {
		return p.heard
	}
	return time.Time{}
}

// Size returns the number of members that are known, with this one.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.peers) + 1
}

// HeartbeatTargets returns the members to beat to in the next round.
func (f *Fleet) HeartbeatTargets(now time.Time) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.round++
	ranked := f.ranked()
	var targets []Member
	add := func(p *peer) {
		if !slices.Contains(targets, p.report.Member) {
			targets = append(targets, p.report.Member)
			if p.tried.IsZero() {
				p.tried = now
			}
		}
	}
	// walk adds members in rank until some are heard; lost ones now and then.
	walk := func(heard int, match func(*peer) bool) {
		for _, p := range ranked {
			switch {
			case heard == 0:
				return
			case !match(p):
			case f.alive(now, p):
				add(p)
				heard--
			case !f.lost(now, p) || f.round%lostRounds == 0:
				add(p)
			}
		}
	}
	walk(leaders, func(*peer) bool { return true })
	walk(localLeaders, func(p *peer) bool { return p.report.Member.DataCentre == f.self.DataCentre })
	if len(ranked) > 0 && f.round%lostRounds == 0 {
		f.turn++
		add(ranked[f.turn%len(ranked)])
	}
	return targets
}

// ranked returns the other members in order of rank. The caller holds mu.
func (f *Fleet) ranked() []*peer {
	ranked := make([]*peer, 0, len(f.peers))
	for _, p := range f.peers {
		ranked = append(ranked, p)
	}
	slices.SortFunc(ranked, func(a, b *peer) int { return before(a.report.Member, b.report.Member) })
	return ranked
}

// RecordConnectionRefused notes that nothing accepts connections at a member's address: its
// process has ended, or a firewall stands between.
func (f *Fleet) RecordConnectionRefused(vm string, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[vm]; p != nil && p.report.Member.Incarnation == incarnation {
		p.refused = true
	}
}

// Peers returns the other members.
func (f *Fleet) Peers() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]Member, 0, len(f.peers))
	for _, p := range f.peers {
		members = append(members, p.report.Member)
	}
	return members
}

// NextToken notes a fencing token and returns a greater one than any that is known.
func (f *Fleet) NextToken(least int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.token = max(f.token+1, least)
	return f.token
}

// Token returns the greatest fencing token that is known.
func (f *Fleet) Token() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.token
}

// alive tells whether a member is heard. The caller holds mu.
func (f *Fleet) alive(now time.Time, p *peer) bool {
	return !p.refused && now.Sub(p.heard) < HeartbeatTimeout(len(f.peers)+1)
}

// lost tells whether beats to a member have failed for long enough. The caller
// holds mu.
func (f *Fleet) lost(now time.Time, p *peer) bool {
	return p.refused || !p.tried.IsZero() && now.Sub(p.tried) > HeartbeatTimeout(len(f.peers)+1)/2
}
