package node

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// heartbeatLoop sends heartbeats to the members chosen by the fleet, and to the
// seeds while no other member is known. It announces a new term to all reachable
// members at once: found runs end unless their origins offer the jobs again within the lease.
func (n *Node) heartbeatLoop(ctx context.Context) error {
	pending := pendingAddresses{pending: map[string]bool{}}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		size := n.fleet.Size()
		for _, m := range n.fleet.HeartbeatTargets(time.Now()) {
			n.sendHeartbeat(ctx, &pending, m)
		}
		if size == 1 {
			for _, seed := range n.config.Seeds {
				n.sendHeartbeat(ctx, &pending, fleet.Member{Address: seed})
			}
		}
		timer.Reset(n.fleet.Interval())
		select {
		case <-ctx.Done():
			n.heartbeatCalls.Wait()
			return nil
		case <-n.announceSignal:
			v := n.view.Load()
			for _, r := range slices.Concat(v.Reachable, v.Remote) {
				n.sendHeartbeat(ctx, &pending, r.Member)
			}
		case <-timer.C:
		}
	}
}

// peerTimeout returns the time without an answer after which a member counts as
// unreachable. It is also the timeout of calls to members, so that an answer that
// is late but within this time still counts.
func (n *Node) peerTimeout() time.Duration { return n.fleet.Timeout() }

// pendingAddresses holds the addresses with an unanswered heartbeat.
type pendingAddresses struct {
	mu      sync.Mutex // guards the field below
	pending map[string]bool
}

func (p *pendingAddresses) begin(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[address] {
		return false
	}
	p.pending[address] = true
	return true
}

func (p *pendingAddresses) end(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, address)
}

// sendHeartbeat sends a heartbeat, unless one to the same address is pending.
func (n *Node) sendHeartbeat(ctx context.Context, pending *pendingAddresses, to fleet.Member) {
	if to.Address == n.config.PeerAddress || !pending.begin(to.Address) {
		return
	}
	n.heartbeatCalls.Go(func() {
		defer pending.end(to.Address)
		ctx, cancel := context.WithTimeout(ctx, n.peerTimeout())
		defer cancel()
		var answer wire.FleetHeartbeat
		err := n.peers.Call(ctx, to.Address, n.newHeartbeat(to.VM), &answer)
		switch {
		case err == nil:
			n.receiveAnswer(&answer)
		case errors.Is(err, syscall.ECONNREFUSED) && to.VM != "":
			n.fleet.RecordConnectionRefused(to.VM, to.Incarnation)
			n.wakeTermLoop()
		case errors.Is(err, context.DeadlineExceeded):
			n.peers.Disconnect(to.Address, err) // the connection may be dead without a reset
		}
		// Unanswered heartbeats are not logged one by one. The log line of the next
		// view shows that the member has become unreachable.
	})
}

// newHeartbeat returns the heartbeat to send to a peer.
func (n *Node) newHeartbeat(peer string) *wire.FleetHeartbeat {
	digest, differs := n.fleet.Digest(peer)
	revision, upstreams := n.registry.announced()
	h := &wire.FleetHeartbeat{
		From: toWire(n.fleet.Self()), Term: n.announcedTerm(peer), Token: n.fleet.Token(),
		ContactAgeUS:      n.fleet.ContactAge(time.Now(), peer).Microseconds(),
		UpstreamsRevision: revision, UpstreamsDigest: upstreams, UpstreamsUnread: n.upstreamsUnread(), Divided: n.fleet.Divided(), Answered: n.fleet.Reachable(time.Now(), peer), Digest: digest,
	}
	if !n.roster.unused {
		now := time.Now()
		h.StoreAgeUS, h.HearsStore = n.roster.storeAge(now).Microseconds(), n.fleet.HearsStore(now)
	}
	if table := n.table.Load(); table != nil {
		h.ConfigurationRevision = table.Revision
	}
	// Read after the configuration, which a listing applies after the set. A VM that is told of the
	// configuration, and may begin a term with it, thus has the set.
	evacuated := n.evacuation.table.State()
	h.EvacuationRevision, h.Evacuated = evacuated.Revision, evacuated.DataCentres
	h.Load = n.load(h.Term)
	if clock, err := bootTime(); err != nil {
		n.log.Error("clock not announced", slog.Any("error", err))
	} else {
		h.ClockUS = clock.Microseconds()
	}
	if differs {
		for _, m := range n.fleet.Peers() {
			h.Members = append(h.Members, toWire(m))
		}
	}
	return h
}

// announcedTerm returns the term to announce to a peer. A term from before a pause is not
// announced: the dispatcher that has taken over would end its own.
func (n *Node) announcedTerm(peer string) uint64 {
	if err := n.checkPause(); err != nil {
		n.log.Error("term not announced", slog.Any("error", err))
		return 0
	}
	return n.termFor(peer)
}

// receiveAnswer processes the answer to a heartbeat, which shows that messages pass in both
// directions.
func (n *Node) receiveAnswer(h *wire.FleetHeartbeat) {
	h.ContactAgeUS = 0
	n.receiveHeartbeat(h, true)
}

// receiveHeartbeat processes a heartbeat from a peer. bidirectional is true if
// heartbeats pass in both directions.
func (n *Node) receiveHeartbeat(h *wire.FleetHeartbeat, bidirectional bool) {
	n.fleet.RecordHeartbeat(time.Now(), fleet.Heartbeat{
		Member: fromWire(h.From), Term: h.Term, Token: h.Token, ConfigurationRevision: h.ConfigurationRevision, UpstreamsRevision: h.UpstreamsRevision, UpstreamsDigest: h.UpstreamsDigest, UpstreamsUnread: h.UpstreamsUnread, Digest: h.Digest,
		ContactAge: time.Duration(h.ContactAgeUS) * time.Microsecond,
		Clock:      time.Duration(h.ClockUS) * time.Microsecond,
		Hears:      hears(h),
		StoreAge:   time.Duration(h.StoreAgeUS) * time.Microsecond,
		HearsStore: h.HearsStore,
	}, bidirectional)
	n.receiveLoad(time.Now(), h)
	if h.Divided {
		n.fleet.RecordDivision()
	}
	n.learnEvacuations(h)
	var known []fleet.Member
	for _, m := range h.Members {
		known = append(known, fromWire(m))
	}
	for _, m := range n.fleet.AddMembers(known) {
		n.log.Info("member discovered", slog.String("member", m.VM), slog.String("from", h.From.VM),
			slog.Uint64("incarnation", m.Incarnation))
	}
	v := n.view.Load()
	isDispatcher := v.Dispatcher.VM == h.From.VM
	if bidirectional && v.InScope(n.fleet.Self(), h.From.DataCentre) && (isDispatcher && (h.Term != v.Term || h.UpstreamsUnread != v.UpstreamsUnread) || !isDispatcher && h.Term != 0) || bidirectional && n.isNewElsewhere(v, h) {
		n.wakeTermLoop()
	}
	if n.shouldPull(h) {
		select {
		case n.pullFrom <- h.From.Address:
		default:
		}
	}
}

func (n *Node) handleHeartbeat(_ context.Context, _ *wire.Hello, h *wire.FleetHeartbeat) wire.Message {
	n.receiveHeartbeat(h, h.Answered)
	return n.newHeartbeat(h.From.VM)
}

// PeerDisconnected sends a heartbeat at once to a peer whose connection was
// closed, to check whether it is alive.
func (n *Node) PeerDisconnected(hello wire.Hello) {
	if n.runCtx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.runCtx, n.peerTimeout())
	defer cancel()
	var answer wire.FleetHeartbeat
	err := n.peers.Call(ctx, hello.Address, n.newHeartbeat(hello.VM), &answer)
	switch {
	case err == nil:
		n.receiveAnswer(&answer)
	case errors.Is(err, syscall.ECONNREFUSED):
		n.fleet.RecordConnectionRefused(hello.VM, hello.Incarnation)
		n.wakeTermLoop()
	default:
		n.log.Info("peer did not answer after its connection was closed", slog.String("peer", hello.VM), slog.Any("error", err))
	}
}

func toWire(m fleet.Member) wire.FleetMember {
	return wire.FleetMember{VM: m.VM, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address, Draining: m.Draining, Weight: m.Weight, Barred: m.Barred}
}

func fromWire(m wire.FleetMember) fleet.Member {
	return fleet.Member{VM: m.VM, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address, Draining: m.Draining, Weight: m.Weight, Barred: m.Barred}
}
