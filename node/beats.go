package node

import (
	"context"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// keepBeating beats to the members that the fleet names.
func (n *Node) keepBeating(ctx context.Context) error {
	beating := beating{busy: map[string]bool{}}
	for {
		size := n.fleet.Size()
		for _, m := range n.fleet.HeartbeatTargets(time.Now()) {
			n.beat(ctx, &beating, m)
		}
		if size == 1 {
			for _, seed := range n.config.Seeds {
				n.beat(ctx, &beating, fleet.Member{Address: seed})
			}
		}
		if !wait.For(ctx, fleet.HeartbeatInterval(size)) {
			n.beaters.Wait()
			return nil
		}
	}
}

// silence returns the time without an answer after which a member is lost. A
// late answer still counts, so it is the longest wait for one.
func (n *Node) silence() time.Duration { return fleet.HeartbeatTimeout(n.fleet.Size()) }

// beating holds the addresses to which a beat is under way.
type beating struct {
	mu   sync.Mutex // guards the field below
	busy map[string]bool
}

func (b *beating) begin(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy[address] {
		return false
	}
	b.busy[address] = true
	return true
}

func (b *beating) end(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.busy, address)
}

// beat sends a beat, unless one is under way to the address.
func (n *Node) beat(ctx context.Context, b *beating, to fleet.Member) {
	if to.Address == n.config.PeerAddress || !b.begin(to.Address) {
		return
	}
	n.beaters.Go(func() {
		defer b.end(to.Address)
		ctx, cancel := context.WithTimeout(ctx, n.silence())
		defer cancel()
		var answer wire.Beat
		err := n.peers.Call(ctx, to.Address, n.report(to.VM), &answer)
		switch {
		case err == nil:
			n.heard(&answer, true)
		case errors.Is(err, syscall.ECONNREFUSED) && to.VM != "":
			n.fleet.RecordConnectionRefused(to.VM, to.Incarnation)
			n.wakeControl()
		case errors.Is(err, context.DeadlineExceeded):
			n.peers.Drop(to.Address, err) // the connection may be dead without a reset
		}
		// A beat without an answer is told by the line of the view that loses the
		// member; a line for each would drown it.
	})
}

// report returns what this node tells a peer.
func (n *Node) report(peer string) *wire.Beat {
	digest, differs := n.fleet.Digest(peer)
	b := &wire.Beat{
		From: toWire(n.fleet.Self()), Term: n.termFor(peer), Token: n.fleet.Token(),
		Registry: n.registry.revision(), Answered: n.fleet.Reachable(time.Now(), peer), Digest: digest,
	}
	if table := n.table.Load(); table != nil {
		b.Revision = table.Revision
	}
	if differs {
		for _, m := range n.fleet.Peers() {
			b.Members = append(b.Members, toWire(m))
		}
	}
	return b
}

// heard enters a beat; both tells that beats pass in both directions.
func (n *Node) heard(b *wire.Beat, both bool) {
	n.fleet.RecordHeartbeat(time.Now(), fleet.Heartbeat{
		Member: fromWire(b.From), Term: b.Term, Token: b.Token, ConfigurationRevision: b.Revision, RegistryRevision: b.Registry, Digest: b.Digest,
	}, both)
	var known []fleet.Member
	for _, m := range b.Members {
		known = append(known, fromWire(m))
	}
	for _, m := range n.fleet.AddMembers(known) {
		n.log.Info("member learnt", slog.String("member", m.VM), slog.String("from", b.From.VM),
			slog.Uint64("incarnation", m.Incarnation))
	}
	v := n.view.Load()
	named := v.Dispatcher.VM == b.From.VM
	if both && (named && b.Term != v.Term || !named && b.Term != 0) {
		n.wakeControl()
	}
	if n.behind(b) {
		select {
		case n.pull <- b.From.Address:
		default:
		}
	}
}

func (n *Node) handleBeat(_ context.Context, _ *wire.Hello, b *wire.Beat) wire.Message {
	n.heard(b, b.Answered)
	return n.report(b.From.VM)
}

// Disconnected looks at once whether a peer whose connection ended is alive.
func (n *Node) Disconnected(hello wire.Hello) {
	if n.serving.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.serving, n.silence())
	defer cancel()
	var answer wire.Beat
	err := n.peers.Call(ctx, hello.Address, n.report(hello.VM), &answer)
	switch {
	case err == nil:
		n.heard(&answer, true)
	case errors.Is(err, syscall.ECONNREFUSED):
		n.fleet.RecordConnectionRefused(hello.VM, hello.Incarnation)
		n.wakeControl()
	default:
		n.log.Info("no answer after a connection ended", slog.String("peer", hello.VM), slog.Any("error", err))
	}
}

func toWire(m fleet.Member) wire.FleetMember {
	return wire.FleetMember{VM: m.VM, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address, Draining: m.Draining, Weight: m.Weight}
}

func fromWire(m wire.FleetMember) fleet.Member {
	return fleet.Member{VM: m.VM, Incarnation: m.Incarnation, DataCentre: m.DataCentre, Address: m.Address, Draining: m.Draining, Weight: m.Weight}
}
