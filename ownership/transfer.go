package ownership

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
)

// Limits for one part of a transfer.
const (
	maxPartRecords = 1000
	maxPartBytes   = 1 << 20
)

// TransferFor returns the parts of the transfer to a member under the current
// view, and the epoch to pass to TransferDone once every part is acknowledged.
func (n *Node) TransferFor(now time.Time, to membership.Member) (parts []*Transfer, epoch uint64) {
	view := n.View()
	n.gaps.observeView(now, view)
	id := to.ID()
	part := n.newPart(view, id)
	bytes := 0
	n.submissions.Range(now, func(r submission.Record, hash uint64, replicas [2]membership.ID) {
		// Skip submissions that the member began, already has a record of, or
		// neither owns nor holds. A record with an outcome is sent again, because
		// the member's copy may lack the outcome.
		if r.Starter == id || slices.Contains(replicas[:], id) && r.Outcome == nil || !isOwnerOrHolder(view, hash, to) {
			return
		}
		part.Records = append(part.Records, r)
		bytes += r.Size()
		if len(part.Records) == maxPartRecords || bytes > maxPartBytes {
			parts, part, bytes = append(parts, part), n.newPart(view, id), 0
		}
	})
	part.Last = true
	part.Departed = view.Departed
	part.Gaps = n.gaps.active(now)
	return append(parts, part), view.Epoch
}

func (n *Node) newPart(view *membership.View, to membership.ID) *Transfer {
	return &Transfer{From: view.Self, To: to, Admitted: view.Admitted(view.Self.ID())}
}

// isOwnerOrHolder reports whether a member ranks first or second for a hash.
func isOwnerOrHolder(view *membership.View, hash uint64, m membership.Member) bool {
	first, second, _ := view.Ranked(view.Self.DataCentre, hash)
	return first == m || second == m
}

// TransferDone records that a member has acknowledged a transfer.
func (n *Node) TransferDone(now time.Time, from, to membership.Member, epoch uint64, parts []*Transfer) []Action {
	for _, part := range parts {
		for _, r := range part.Records {
			n.submissions.AddReplica(r.ID, to.ID())
		}
	}
	if from == n.View().Self {
		n.mu.Lock()
		n.transferred[to.ID()] = epoch
		close(n.transfersChanged)
		n.transfersChanged = make(chan struct{})
		n.mu.Unlock()
	}
	return n.DueActions(now)
}

// isUpToDate reports whether a member has acknowledged a transfer under a view,
// and so can hold records.
func (n *Node) isUpToDate(view *membership.View, m membership.Member) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	epoch, done := n.transferred[m.ID()]
	return done && epoch == view.Epoch
}

// HandleTransfer stores one part of a transfer. It rejects a part that is meant
// for another incarnation or comes from a terminated one.
func (n *Node) HandleTransfer(now time.Time, m *Transfer) (*TransferReply, []Action) {
	view := n.View()
	if m.To != view.Self.ID() || view.Terminated(m.From.ID()) {
		return &TransferReply{}, n.DueActions(now)
	}
	for _, r := range m.Records {
		if !n.storeRecord(now, r) {
			return &TransferReply{}, nil
		}
	}
	if m.Last {
		n.gaps.addTransfer(now, m)
		n.mu.Lock()
		n.admittedSenders[m.From.ID()] = n.admittedSenders[m.From.ID()] || m.Admitted
		n.mu.Unlock()
	}
	return &TransferReply{Accepted: true}, n.DueActions(now)
}

// storeRecord stores a transferred record, unless this process has begun the
// submission itself.
func (n *Node) storeRecord(now time.Time, r submission.Record) bool {
	return n.submissions.Owned(now, r.ID) != nil || n.submissions.StoreRecord(now, r)
}
