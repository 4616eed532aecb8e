package scheduler_test

import (
	"fmt"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
)

// The process at a VM in the split model. It follows package node, whose times these are, and
// leaves out what needs a network.

const (
	termCheckInterval   = 40 * time.Millisecond
	startupGrace        = 700 * time.Millisecond
	startupGraceAlone   = 2 * time.Second
	reclaimDelay        = 4 * time.Second
	rivalTimeout        = 3 * time.Second
	reclaimNoRival      = 300 * time.Millisecond
	reclaimKnownToken   = 100 * time.Millisecond
	maxReclaims         = 6
	abandonMargin       = 200 * time.Millisecond
	maxPause            = 300 * time.Millisecond
	shortPause          = 2 * scheduler.TickInterval
	withdrawInterval    = 100 * time.Millisecond
	abandonLead         = 50 * time.Millisecond
	answerMargin        = 10 * time.Millisecond
	upstreamListTimeout = 150 * time.Millisecond
	joinDelay           = time.Second
	deliverAttempts     = 2
	abandonBits         = 16
	// tokenLead is added to the counter of a token if no token is known.
	tokenLead = 16
	// splitTokenBits is the number of low bits of a token that identify the process.
	splitTokenBits = 8
)

// splitNode is a process at a VM.
type splitNode struct {
	*modelDispatcher
	splitRegistry
	m          *splitModel
	vm         int // position
	member     fleet.Member
	dead       bool
	closed     bool // accepts no requests of callers
	started    time.Time
	rosterRead bool
	fleet      *fleet.Fleet
	view       fleet.View
	contacts   map[string]bool // members to which a heartbeat is pending

	termStart, fencedSince, rivalSeenAt, strangerSeenAt, pausedAt time.Time
	reclaims                                                      int
	claimKey                                                      string
	origins                                                       map[string]*splitOrigin
	withdrawn                                                     map[withdrawnRef]bool

	jobs        *intake.Table[splitSpec]
	requests    []*splitRequest
	withdrawals []*splitWithdrawal
}

func newSplitNode(m *splitModel, vm int, incarnation uint64) *splitNode {
	name := fmt.Sprintf("vm%d", vm)
	member := fleet.Member{VM: name, Incarnation: incarnation, DataCentre: splitDataCentre(vm), Address: name, Weight: 1000}
	return &splitNode{
		modelDispatcher: m.newDispatcher(name, scheduler.Config{CallerReturn: callerReturn, JoinDelay: joinDelay}), m: m, vm: vm, member: member, started: m.now,
		splitRegistry: splitRegistry{lapsed: map[string]time.Time{}, hidden: map[string]bool{}},
		fleet:         fleet.New(member), contacts: map[string]bool{}, origins: map[string]*splitOrigin{}, withdrawn: map[withdrawnRef]bool{},
		jobs: intake.New[splitSpec](),
	}
}

func (n *splitNode) startLoops() {
	n.every(n.fleet.Interval(), n.sendHeartbeats)
	n.every(termCheckInterval, n.updateTerm)
	n.every(withdrawInterval, n.repeatWithdrawals)
	n.every(memberRenewInterval, n.renewMember)
	n.watchStore()
	n.watchRoster()
}

// do executes what the process has to do, after its pause if it is frozen.
func (n *splitNode) do(f func()) {
	switch {
	case n.dead:
	case n.m.now.Before(n.frozenUntil):
		n.m.after(n.frozenUntil.Sub(n.m.now), func() { n.do(f) })
	default:
		f()
	}
}

// every calls f repeatedly.
func (n *splitNode) every(interval time.Duration, f func()) {
	n.do(func() {
		f()
		n.m.after(interval, func() { n.every(interval, f) })
	})
}

// freeze pauses the process.
func (n *splitNode) freeze(pause time.Duration) {
	n.frozenUntil = n.m.now.Add(pause)
	n.m.after(pause, func() {
		switch {
		case n.dead:
		case pause > maxPause && n.token != 0:
			n.pausedAt = n.m.now
			n.view = n.fleet.View(n.m.now, n.termFor(n.name))
			n.startTerm("paused")
			n.updateTerm()
		case pause > maxPause:
			n.pausedAt = n.m.now
			n.notePeerLoss(n.fleet.View(n.m.now, 0).Silence)
		case pause > shortPause:
			n.notePeerLoss(n.fleet.View(n.m.now, 0).Silence)
		}
	})
}

// drain begins a graceful stop: the process is no longer listed, and others dispatch if they can.
func (n *splitNode) drain() {
	n.member.Draining = true
	n.fleet.MarkDraining()
	if n.m.hasStore(n.vm) {
		delete(n.m.store.members, n.name)
	}
	n.do(n.updateTerm)
}

// stop ends the process at the end of a graceful stop.
func (n *splitNode) stop() {
	if store := n.m.store; n.m.hasStore(n.vm) && n.token == 0 && store.roster[n.name].Incarnation == n.member.Incarnation {
		delete(store.roster, n.name)
	}
	n.kill()
}

// kill ends the process. Nothing that waits for it is executed.
func (n *splitNode) kill() {
	n.dead, n.frozenUntil = true, n.m.now.Add(2*longSplitLength)
	for _, r := range n.requests {
		n.m.after(n.m.delay(), r.attempt.lose)
	}
}

func (n *splitNode) peerTimeout() time.Duration { return n.fleet.Timeout() }

// Heartbeats.

func (n *splitNode) sendHeartbeats() {
	for _, to := range n.fleet.HeartbeatTargets(n.m.now) {
		n.sendHeartbeat(to)
	}
}

// splitHeartbeat is a heartbeat with the members that the receiver may not know.
type splitHeartbeat struct {
	fleet.Heartbeat
	members []fleet.Member
}

func (n *splitNode) newHeartbeat(peer string) splitHeartbeat {
	digest, differs := n.fleet.Digest(peer)
	var members []fleet.Member
	if differs {
		members = n.fleet.Peers()
	}
	return splitHeartbeat{fleet.Heartbeat{Member: n.member, Digest: digest, UpstreamsRevision: n.revision, Term: n.termFor(peer), Token: n.fleet.Token(), Clock: time.Hour + n.m.now.Sub(modelStart), UpstreamsDigest: n.listDigest(), ContactAge: n.fleet.ContactAge(n.m.now, peer)}, members}
}

func (n *splitNode) sendHeartbeat(to fleet.Member) {
	if n.contacts[to.VM] {
		return
	}
	n.contacts[to.VM] = true
	sent, answered := n.newHeartbeat(to.VM), n.fleet.Reachable(n.m.now, to.VM)
	handle := func(peer *splitNode, respond func(splitHeartbeat)) {
		peer.receiveHeartbeat(sent, answered)
		respond(peer.newHeartbeat(n.name))
	}
	call(n, n.m.position(to.VM), n.peerTimeout(), handle, func(answer splitHeartbeat, err error) {
		n.contacts[to.VM] = false
		switch err {
		case nil:
			answer.ContactAge = 0
			n.receiveHeartbeat(answer, true)
		case errRefused:
			n.fleet.RecordConnectionRefused(to.VM, to.Incarnation)
			n.updateTerm()
		}
	})
}

func (n *splitNode) receiveHeartbeat(h splitHeartbeat, bidirectional bool) {
	n.fleet.RecordHeartbeat(n.m.now, h.Heartbeat, bidirectional)
	n.fleet.AddMembers(h.members)
	n.pullUpstreams(n.m.nodes[n.m.position(h.Member.VM)], h.UpstreamsRevision)
	isDispatcher := n.view.Dispatcher.VM == h.Member.VM
	if bidirectional && (isDispatcher && h.Term != n.view.Term || !isDispatcher && h.Term != 0) {
		n.m.after(0, func() { n.do(n.updateTerm) })
	}
}
