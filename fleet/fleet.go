// Package fleet decides which VMs belong together and which of them dispatches.
//
// It imports no network package and reads no clock. Every VM beats to the
// others; a member is heard while its answers come back, so that both
// directions of the path work. The members that hear each other form a group,
// and the longest running one of it dispatches. No agreement is needed: two
// groups, or two VMs that see their groups differently, may each have a
// dispatcher for a while, since the fencing tokens of the upstreams let only one
// of them start tasks on an upstream.
//
// A group that is smaller than half of the present members leaves most upstreams
// to the others: it claims those of the data centres that it has to itself, and
// in others only its members' share.
package fleet

import (
	"cmp"
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
}

// Timing of the beats.
const (
	// BeatInterval is the time between two beats to a member.
	BeatInterval = 120 * time.Millisecond
	// Silence is the time without an answer after which a member is not heard:
	// four beats, so that a pause of a tenth of a second is none.
	Silence = 500 * time.Millisecond
)

// Report is what a member tells with a beat.
type Report struct {
	Member Member
	// Term is the term in which the member dispatches; 0 where it does not.
	Term uint64
	// Token is the greatest fencing token that the member knows.
	Token int64
	// Revision is the configuration revision that it holds, Registry the store
	// revision of its list of upstreams.
	Revision, Registry int64
	// Known are the members that it knows.
	Known []Member
}

// peer is what is known of another member.
type peer struct {
	report  Report
	heard   time.Time // its last answer to a beat
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
}

// New returns a fleet of one.
func New(self Member) *Fleet { return &Fleet{self: self, peers: map[string]*peer{}} }

// Self returns the own description.
func (f *Fleet) Self() Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// Drain notes that this process is about to stop.
func (f *Fleet) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Draining = true
}

// Learn enters members that others know. It returns those that were unknown.
func (f *Fleet) Learn(members []Member) (fresh []Member) {
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
	listed := p != nil && p.listed
	f.peers[m.VM] = &peer{report: Report{Member: m}, listed: listed}
	return true
}

// List enters the members that the platform's store lists. A member that it no
// longer lists and that is not heard is no longer present.
func (f *Fleet) List(members []Member) {
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

// Heard enters an answer to a beat, or a beat itself where answered is false.
func (f *Fleet) Heard(now time.Time, r Report, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(r.Member)
	f.token = max(f.token, r.Token)
	p := f.peers[r.Member.VM]
	if p == nil || p.report.Member.Incarnation > r.Member.Incarnation {
		return
	}
	p.report = r
	if answered {
		p.heard, p.refused = now, false
	}
}

// Refused notes that nothing accepts connections at a member's address: its
// process has ended, or a firewall stands between.
func (f *Fleet) Refused(vm string, incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[vm]; p != nil && p.report.Member.Incarnation == incarnation {
		p.refused = true
	}
}

// Peers returns the other members, to beat to.
func (f *Fleet) Peers() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make([]Member, 0, len(f.peers))
	for _, p := range f.peers {
		members = append(members, p.report.Member)
	}
	return members
}

// Raise notes a fencing token and returns a greater one than any that is known.
func (f *Fleet) Raise(least int64) int64 {
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

func (p *peer) alive(now time.Time) bool { return !p.refused && now.Sub(p.heard) < Silence }

// before tells whether a member ranks ahead of another: those that stay before
// those that leave, then the longer running one.
func before(a, b Member) int {
	if a.Draining != b.Draining {
		if b.Draining {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.VM, b.VM))
}

// View is what a member decides from what it hears.
type View struct {
	// First ranks before the other members that are heard; it dispatches.
	First Member
	// Dispatcher is the member that is heard and says that it dispatches, in the
	// term Term; its VM is empty where there is none.
	Dispatcher Member
	Term       uint64
	// Heard are the members that are heard, without this one.
	Heard []Report
	// Unheard are the members that are present and not heard.
	Unheard []Member
	// Minority tells that most present members are not heard.
	Minority bool
	// Alone tells that members are present and none is heard.
	Alone bool
}

// View returns what can be told at a time. term is the own term of dispatching.
func (f *Fleet) View(now time.Time, term uint64) View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := View{First: f.self}
	if term != 0 {
		v.Dispatcher, v.Term = f.self, term
	}
	for _, p := range f.peers {
		m := p.report.Member
		if !p.alive(now) {
			if p.listed || !f.listed {
				v.Unheard = append(v.Unheard, m)
			}
			continue
		}
		v.Heard = append(v.Heard, p.report)
		if before(m, v.First) < 0 {
			v.First = m
		}
		if p.report.Term != 0 && (v.Term == 0 || before(m, v.Dispatcher) < 0) {
			v.Dispatcher, v.Term = m, p.report.Term
		}
	}
	group := len(v.Heard) + 1
	v.Minority = group < len(v.Unheard)
	v.Alone = len(v.Heard) == 0 && len(v.Unheard) > 0
	slices.SortFunc(v.Heard, func(a, b Report) int { return before(a.Member, b.Member) })
	return v
}

// Claims tells whether the dispatcher of a view's group claims an upstream of a
// data centre.
func (v *View) Claims(self Member, upstream, dataCentre string) bool {
	if !v.Minority {
		return true
	}
	var nodes []uint64
	var ours []bool
	add := func(m Member, our bool) {
		if m.DataCentre == dataCentre {
			nodes, ours = append(nodes, rendezvous.Hash(m.VM)), append(ours, our)
		}
	}
	add(self, true)
	for _, r := range v.Heard {
		add(r.Member, true)
	}
	for _, m := range v.Unheard {
		add(m, false)
	}
	best := rendezvous.Best(rendezvous.Hash(upstream), nodes)
	return best >= 0 && ours[best]
}
