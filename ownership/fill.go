package ownership

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
)

// Limits of one part of a fill.
const (
	fillRecords = 1000
	fillBytes   = 1 << 20
)

// TransferFor returns the parts of the fill of a member under the current view,
// and the epoch to give to TransferDone when the last one is acknowledged.
func (n *Node) TransferFor(now time.Time, to membership.Member) (parts []*Transfer, epoch uint64) {
	view := n.View()
	n.coverage.judge(now, view)
	id := to.ID()
	part := n.newFill(view, id)
	bytes := 0
	n.submissions.Range(now, func(r submission.Record, hash uint64, placed [2]membership.ID) {
		if r.Starter == id || slices.Contains(placed[:], id) && r.Outcome == nil || !follows(view, hash, to) {
			return
		}
		part.Records = append(part.Records, r)
		bytes += r.Size()
		if len(part.Records) == fillRecords || bytes > fillBytes {
			parts, part, bytes = append(parts, part), n.newFill(view, id), 0
		}
	})
	part.Last = true
	part.Departed = view.Departed
	part.Gaps = n.coverage.current(now)
	return append(parts, part), view.Epoch
}

func (n *Node) newFill(view *membership.View, to membership.ID) *Transfer {
	return &Transfer{From: view.Self, To: to, Admitted: view.Admitted(view.Self.ID())}
}

// follows tells whether a member is first or second in rank.
func follows(view *membership.View, hash uint64, m membership.Member) bool {
	first, second, _ := view.Ranked(view.Self.DataCentre, hash)
	return first == m || second == m
}

// TransferDone notes that a member has acknowledged a fill.
func (n *Node) TransferDone(now time.Time, from, to membership.Member, epoch uint64, parts []*Transfer) []Action {
	for _, part := range parts {
		for _, r := range part.Records {
			n.submissions.AddReplica(r.ID, to.ID())
		}
	}
	if from == n.View().Self {
		n.mu.Lock()
		n.filled[to.ID()] = epoch
		close(n.changed)
		n.changed = make(chan struct{})
		n.mu.Unlock()
	}
	return n.DueActions(now)
}

// isFilled tells whether a member has what it needs to hold records under a
// view.
func (n *Node) isFilled(view *membership.View, m membership.Member) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	epoch, done := n.filled[m.ID()]
	return done && epoch == view.Epoch
}

// HandleTransfer stores what a member hands over. A fill for another
// incarnation, or of a member that has ended, does not count.
func (n *Node) HandleTransfer(now time.Time, m *Transfer) (*TransferReply, []Action) {
	view := n.View()
	if m.To != view.Self.ID() || view.Terminated(m.From.ID()) {
		return &TransferReply{}, n.DueActions(now)
	}
	for _, r := range m.Records {
		if !n.note(now, r) {
			return &TransferReply{}, nil
		}
	}
	if m.Last {
		n.coverage.fill(now, m)
		n.mu.Lock()
		n.vouching[m.From.ID()] = n.vouching[m.From.ID()] || m.Admitted
		n.mu.Unlock()
	}
	return &TransferReply{Accepted: true}, n.DueActions(now)
}

// note stores a record of a fill. One that this process has itself needs none.
func (n *Node) note(now time.Time, r submission.Record) bool {
	return n.submissions.Owned(now, r.ID) != nil || n.submissions.StoreRecord(now, r)
}
