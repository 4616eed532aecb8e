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

// keepMembers drives the protocol between the daemons until the context ends.
func (d *Daemon) keepMembers(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.Membership.Heartbeat)
	defer ticker.Stop()
	for {
		d.act(d.node.Tick(time.Now()))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// act carries out actions, each on its own goroutine. An action that is under
// way is not begun again; its end asks for what is due then.
func (d *Daemon) act(actions []ownership.Action) {
	d.followView()
	for _, a := range actions {
		if a.Kind == ownership.Reincarnate {
			d.reincarnate()
			continue
		}
		if d.acting.begin(a) {
			go d.carryOut(a)
		}
	}
}

func (d *Daemon) carryOut(a ownership.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Network.PeerTimeout)
	defer cancel()
	var next []ownership.Action
	switch a.Kind {
	case ownership.SendHeartbeat:
		next = d.heartbeat(ctx, a.To)
	case ownership.SendJoin:
		next = d.askToJoin(ctx, a.To)
	case ownership.SendTransfer:
		next = d.fill(ctx, a.To)
	case ownership.Probe:
		d.probe(ctx, a.Seed)
	}
	d.acting.end(a)
	d.act(next)
}

func (d *Daemon) heartbeat(ctx context.Context, to membership.Member) []ownership.Action {
	sent := time.Now()
	d.metrics.heartbeats.Add(1)
	var response wire.Heartbeat
	if err := d.callMember(ctx, to, encodeDigest(d.node.Members().Digest(sent, to)), &response); err != nil {
		return d.due(err)
	}
	now := time.Now()
	d.node.Members().HandleReply(now, sent, decodeDigest(&response))
	return d.node.DueActions(now)
}

func (d *Daemon) askToJoin(ctx context.Context, to membership.Member) []ownership.Action {
	var response wire.JoinResponse
	if err := d.callMember(ctx, to, &wire.JoinRequest{From: encodeMember(d.node.View().Self)}, &response); err != nil {
		return d.due(err)
	}
	return d.node.HandleJoinReply(time.Now(), to, &ownership.JoinReply{
		From: decodeMember(response.From), Accepted: response.Accepted, Facts: decodeFacts(response.Facts),
	})
}

// fill sends a member what it must know, part after part.
func (d *Daemon) fill(ctx context.Context, to membership.Member) []ownership.Action {
	now := time.Now()
	parts, epoch := d.node.TransferFor(now, to)
	for _, part := range parts {
		d.metrics.fills.Add(1)
		var response wire.TransferResponse
		if err := d.callMember(ctx, to, encodeTransfer(now, part), &response); err != nil {
			return d.due(err)
		}
		if !response.Accepted {
			return nil
		}
	}
	return d.node.TransferDone(time.Now(), parts[0].From, to, epoch, parts)
}

// probe connects to a seed, which presents itself.
func (d *Daemon) probe(ctx context.Context, seed membership.Seed) {
	err := d.peers.Connect(ctx, seed.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.node.Members().SeedRefused(seed)
		d.act(d.node.DueActions(time.Now()))
	}
}

// due returns what is due after a failed call. One that is not a proof waits
// for the next tick.
func (d *Daemon) due(err error) []ownership.Action {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return d.node.DueActions(time.Now())
	}
	return nil
}

// callMember calls a member and notes where its address refuses connections.
// The member is known before the call begins, so a refusal is about it or its
// predecessors and not about a successor.
func (d *Daemon) callMember(ctx context.Context, to membership.Member, request, response wire.Message) error {
	err := d.peers.Call(ctx, to.Address, request, response)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		if d.node.Members().ConnectionRefused(time.Now(), to) {
			d.log.Info("member ended", slog.String("member", to.VM), slog.String("proof", membership.Refused.String()))
		}
	default:
		d.node.Members().MarkUnreachable(to)
	}
	return err
}

// suspect looks for a proof of the end of a member that failed to answer.
func (d *Daemon) suspect(m membership.Member) {
	d.act([]ownership.Action{{Kind: ownership.SendHeartbeat, To: m}})
}

// heard notes a peer that presented itself.
func (d *Daemon) heard(h wire.Hello) {
	d.node.Members().MarkReachable(time.Now(), memberOf(h))
	d.act(d.node.DueActions(time.Now()))
}

// disconnected looks for the reason why a connection ended.
func (d *Daemon) disconnected(h wire.Hello) {
	m := memberOf(h)
	if d.stopped.Load() || d.node.View().Terminated(m.ID()) {
		return
	}
	d.suspect(m)
	d.pool.PeerDisconnected(h)
}

func memberOf(h wire.Hello) membership.Member {
	return membership.Member{VM: h.VM, Incarnation: h.Incarnation, DataCentre: h.DataCentre, Address: h.Address}
}

// followView reports readiness and drops the connections to members that the
// platform's list and their silence have proved to have ended.
func (d *Daemon) followView() {
	view := d.node.View()
	for _, id := range view.Departed {
		if f, _ := view.Fact(id); f.Termination == membership.Listed && d.dropped.add(id) {
			d.log.Info("member ended", slog.String("member", f.Member.VM), slog.String("proof", f.Termination.String()))
			d.peers.Disconnect(f.Member.Address, errors.Newf("%s has ended", f.Member.VM))
		}
	}
}

// reincarnate makes this process a new incarnation, since the old one has been
// declared ended or could not join. Jobs of the old one start nothing more.
func (d *Daemon) reincarnate() {
	self := d.node.Reincarnate(time.Now(), uint64(time.Now().UnixMicro()))
	d.log.Warn("new incarnation", slog.Uint64("incarnation", self.Incarnation))
	d.peers.SetHello(d.hello(self))
	d.abortAll(verdict.Errorf(verdict.NotRun, verdict.CodeOwnerLost, "the owner was declared ended"))
	d.act(d.node.DueActions(time.Now()))
}

func (d *Daemon) hello(self membership.Member) wire.Hello {
	return wire.Hello{
		VM: self.VM, Incarnation: self.Incarnation, DataCentre: self.DataCentre, Address: self.Address, Version: Version,
	}
}

// handleMembers registers the handlers of the protocol between the daemons.
func (d *Daemon) handleMembers() {
	peer.Handle(d.peers, func(_ context.Context, _ *wire.Hello, m *wire.Heartbeat) wire.Message {
		now := time.Now()
		reply := d.node.Members().HandleDigest(now, decodeDigest(m))
		d.act(d.node.DueActions(now))
		return encodeDigest(reply)
	})
	peer.Handle(d.peers, func(_ context.Context, _ *wire.Hello, m *wire.JoinRequest) wire.Message {
		reply, actions := d.node.HandleJoin(time.Now(), &ownership.Join{From: decodeMember(m.From)})
		d.act(actions)
		return &wire.JoinResponse{
			From: encodeMember(reply.From), Accepted: reply.Accepted, Facts: encodeFacts(reply.Facts),
		}
	})
	peer.Handle(d.peers, func(_ context.Context, _ *wire.Hello, m *wire.TransferRequest) wire.Message {
		now := time.Now()
		reply, actions := d.node.HandleTransfer(now, decodeTransfer(now, m))
		d.act(actions)
		return &wire.TransferResponse{Accepted: reply.Accepted}
	})
	peer.Handle(d.peers, func(_ context.Context, _ *wire.Hello, m *wire.RecordRequest) wire.Message {
		now := time.Now()
		reply := d.node.HandleRecords(now, &ownership.Records{
			From: decodeMember(m.From), To: membership.ID(m.To), Records: decodeRecords(now, m.Records),
		})
		return &wire.RecordResponse{Accepted: reply.Accepted}
	})
}
