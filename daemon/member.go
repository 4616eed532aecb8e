package daemon

import (
	"context"
	"log/slog"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/ownership"
	"github.com/mustardstep/mustardstep/verdict"
)

// membershipLoop runs the membership protocol until the context is done.
func (d *Daemon) membershipLoop(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.Membership.Heartbeat)
	defer ticker.Stop()
	for {
		d.perform(d.ownership.Tick(time.Now()))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// perform drops the connections to terminated members and performs actions, each
// on its own goroutine. It skips an action that is already in progress. When an
// action completes, its follow-up actions are performed.
func (d *Daemon) perform(actions []ownership.Action) {
	d.dropTerminated()
	for _, a := range actions {
		if a.Kind == ownership.StartNewIncarnation {
			d.startNewIncarnation()
			continue
		}
		if d.inFlight.add(a) {
			go d.performOne(a)
		}
	}
}

func (d *Daemon) performOne(a ownership.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Network.PeerTimeout)
	defer cancel()
	var next []ownership.Action
	switch a.Kind {
	case ownership.SendHeartbeat:
		next = d.sendHeartbeat(ctx, a.To)
	case ownership.SendJoin:
		next = d.sendJoin(ctx, a.To)
	case ownership.SendTransfer:
		next = d.sendTransfer(ctx, a.To)
	case ownership.Probe:
		d.probe(ctx, a.Seed)
	}
	d.inFlight.remove(a)
	d.perform(next)
}

func (d *Daemon) sendHeartbeat(ctx context.Context, to membership.Member) []ownership.Action {
	sent := time.Now()
	d.metrics.heartbeats.Add(1)
	var response wire.Heartbeat
	if err := d.callMember(ctx, to, encodeDigest(d.ownership.Membership().Digest(sent, to)), &response); err != nil {
		return d.actionsAfterError(err)
	}
	now := time.Now()
	d.ownership.Membership().HandleReply(now, sent, decodeDigest(&response))
	return d.ownership.DueActions(now)
}

func (d *Daemon) sendJoin(ctx context.Context, to membership.Member) []ownership.Action {
	var response wire.JoinResponse
	if err := d.callMember(ctx, to, &wire.JoinRequest{From: encodeMember(d.ownership.View().Self)}, &response); err != nil {
		return d.actionsAfterError(err)
	}
	return d.ownership.HandleJoinReply(time.Now(), to, &ownership.JoinReply{
		From: decodeMember(response.From), Accepted: response.Accepted, Facts: decodeFacts(response.Facts),
	})
}

// sendTransfer sends a transfer to a member, one part after another.
func (d *Daemon) sendTransfer(ctx context.Context, to membership.Member) []ownership.Action {
	now := time.Now()
	parts, epoch := d.ownership.TransferFor(now, to)
	for _, part := range parts {
		d.metrics.transfers.Add(1)
		var response wire.TransferResponse
		if err := d.callMember(ctx, to, encodeTransfer(now, part), &response); err != nil {
			return d.actionsAfterError(err)
		}
		if !response.Accepted {
			return nil
		}
	}
	return d.ownership.TransferDone(time.Now(), parts[0].From, to, epoch, parts)
}

// probe connects to a seed. The Hello of the seed identifies its process.
func (d *Daemon) probe(ctx context.Context, seed membership.Seed) {
	err := d.peers.Connect(ctx, seed.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.ownership.Membership().SeedRefused(seed)
		d.perform(d.ownership.DueActions(time.Now()))
	}
}

// actionsAfterError returns the actions due after a failed call. A refused
// connection proves a termination, which may make actions due at once. After other
// errors, retries wait for the next tick.
func (d *Daemon) actionsAfterError(err error) []ownership.Action {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return d.ownership.DueActions(time.Now())
	}
	return nil
}

// callMember calls a member and records failures. The member is known before the
// call begins, so a refused connection is evidence about this incarnation and
// earlier ones on its VM, never about a later one.
func (d *Daemon) callMember(ctx context.Context, to membership.Member, request, response wire.Message) error {
	err := d.peers.Call(ctx, to.Address, request, response)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		if d.ownership.Membership().ConnectionRefused(time.Now(), to) {
			d.log.Info("member terminated", slog.String("member", to.VM), slog.String("proof", membership.Refused.String()))
		}
	default:
		d.ownership.Membership().MarkUnreachable(to)
	}
	return err
}

// checkMember sends a heartbeat to a member that failed to answer. If the
// connection is refused, the member has terminated.
func (d *Daemon) checkMember(m membership.Member) {
	d.perform([]ownership.Action{{Kind: ownership.SendHeartbeat, To: m}})
}

// handleHello records that a peer is reachable.
func (d *Daemon) handleHello(h wire.Hello) {
	d.ownership.Membership().MarkReachable(time.Now(), memberOf(h))
	d.perform(d.ownership.DueActions(time.Now()))
}

// handleDisconnect checks whether the peer of a closed connection has terminated.
func (d *Daemon) handleDisconnect(h wire.Hello) {
	m := memberOf(h)
	if d.stopped.Load() || d.ownership.View().Terminated(m.ID()) {
		return
	}
	d.checkMember(m)
	d.dispatch.PeerDisconnected(h)
}

func memberOf(h wire.Hello) membership.Member {
	return membership.Member{VM: h.VM, Incarnation: h.Incarnation, DataCentre: h.DataCentre, Address: h.Address}
}

// dropTerminated drops the connections to members that count as terminated because
// the platform lists them as gone and they are silent.
func (d *Daemon) dropTerminated() {
	view := d.ownership.View()
	for _, id := range view.Departed {
		if f, _ := view.Fact(id); f.Termination == membership.Listed && d.droppedPeers.add(id) {
			d.log.Info("member terminated", slog.String("member", f.Member.VM), slog.String("proof", f.Termination.String()))
			d.peers.Disconnect(f.Member.Address, errors.Newf("%s has terminated", f.Member.VM))
		}
	}
}

// startNewIncarnation makes this process a new incarnation after the old one was
// declared terminated or could not join. Jobs of the old incarnation start no
// further tasks.
func (d *Daemon) startNewIncarnation() {
	self := d.ownership.StartNewIncarnation(time.Now(), uint64(time.Now().UnixMicro()))
	d.log.Warn("process has a new incarnation", slog.Uint64("incarnation", self.Incarnation))
	d.peers.SetHello(d.hello(self))
	d.cancelAll(verdict.Errorf(verdict.NotRun, verdict.CodeOwnerLost, "the owner was declared terminated"))
	d.perform(d.ownership.DueActions(time.Now()))
}

func (d *Daemon) hello(self membership.Member) wire.Hello {
	return wire.Hello{
		VM: self.VM, Incarnation: self.Incarnation, DataCentre: self.DataCentre, Address: self.Address, Version: Version,
	}
}

// registerMemberHandlers registers the handlers of the membership and ownership
// protocols.
func (d *Daemon) registerMemberHandlers() {
	peer.Handle(d.peers, func(_ context.Context, _ *wire.Hello, m *wire.Heartbeat) wire.Message {
		now := time.Now()
		reply := d.ownership.Membership().HandleDigest(now, decodeDigest(m))
		d.perform(d.ownership.DueActions(now))
		return encodeDigest(reply)
	})
	peer.Handle(d.peers, func(_ context.Context, _ *wire.Hello, m *wire.JoinRequest) wire.Message {
		reply, actions := d.ownership.HandleJoin(time.Now(), &ownership.Join{From: decodeMember(m.From)})
		d.perform(actions)
		return &wire.JoinResponse{
			From: encodeMember(reply.From), Accepted: reply.Accepted, Facts: encodeFacts(reply.Facts),
		}
	})
	peer.Handle(d.peers, func(_ context.Context, _ *wire.Hello, m *wire.TransferRequest) wire.Message {
		now := time.Now()
		reply, actions := d.ownership.HandleTransfer(now, decodeTransfer(now, m))
		d.perform(actions)
		return &wire.TransferResponse{Accepted: reply.Accepted}
	})
	peer.Handle(d.peers, func(_ context.Context, _ *wire.Hello, m *wire.RecordRequest) wire.Message {
		now := time.Now()
		reply := d.ownership.HandleRecords(now, &ownership.Records{
			From: decodeMember(m.From), To: membership.ID(m.To), Records: decodeRecords(now, m.Records),
		})
		return &wire.RecordResponse{Accepted: reply.Accepted}
	})
}
