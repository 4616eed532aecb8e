package ownership

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/membership"
)

// advanceJoin returns the actions that the join needs next. done is true once
// this incarnation is admitted.
func (n *Node) advanceJoin(now time.Time, view *membership.View) (actions []Action, done bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.joinStarted) > n.config.JoinTimeout && len(n.acknowledged) > 0 {
		return []Action{{Kind: StartNewIncarnation}}, false
	}
	members := n.members.LocalPeers()
	if n.joinable(view, members) {
		if !n.hasAdmittedSender(members) && (n.history == HistoryLost || len(view.DepartedOwners) > 0) {
			n.gaps.markAllLost(now)
		}
		n.members.MarkAdmitted(now)
		n.transferred = map[membership.ID]uint64{}
		return nil, true
	}
	for _, m := range members {
		if !n.acknowledged[m.ID()] {
			actions = append(actions, Action{Kind: SendJoin, To: m})
		}
	}
	return actions, false
}

// joinable reports whether every other member has acknowledged this incarnation
// and completed its transfer, and no unknown member can exist. It also updates
// needsHistory. The caller holds mu.
func (n *Node) joinable(view *membership.View, members []membership.Member) bool {
	for _, m := range members {
		if !n.acknowledged[m.ID()] || !n.gaps.hasTransferred(m.ID(), view.DepartedOwners) {
			return false
		}
	}
	// An admitted member knows every other member. Without one, every seed must
	// be accounted for.
	if n.hasAdmittedSender(members) {
		return true
	}
	n.needsHistory = n.members.SeedsResolved() && n.history == HistoryUnknown
	return n.members.SeedsResolved() && n.history != HistoryUnknown
}

// hasAdmittedSender reports whether an admitted, unterminated member has completed
// a transfer to this incarnation. A transfer from a member that has terminated
// since proves nothing about later starts. The caller holds mu.
func (n *Node) hasAdmittedSender(members []membership.Member) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return n.admittedSenders[m.ID()] })
}

// NeedsHistory reports whether the join waits only for SetHistory.
func (n *Node) NeedsHistory() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.needsHistory
}

// HandleJoin adds a joining incarnation to the ranking. Transfers bring it the
// records that it needs.
func (n *Node) HandleJoin(now time.Time, m *Join) (*JoinReply, []Action) {
	accepted := n.members.AddToRanking(now, m.From)
	view := n.View()
	reply := &JoinReply{From: view.Self, Accepted: accepted}
	for _, id := range view.Departed {
		if f, known := view.Fact(id); known {
			reply.Facts = append(reply.Facts, f)
		}
	}
	for _, member := range view.Members(view.Self.DataCentre) {
		if f, known := view.Fact(member.ID()); known {
			reply.Facts = append(reply.Facts, f)
		}
	}
	if f, known := view.Fact(m.From.ID()); known && !accepted {
		reply.Facts = append(reply.Facts, f)
	}
	return reply, n.DueActions(now)
}

// HandleJoinReply records that a member ranks this incarnation.
func (n *Node) HandleJoinReply(now time.Time, to membership.Member, r *JoinReply) []Action {
	if r.From != to {
		return nil
	}
	n.members.MergeFacts(now, r.Facts)
	if r.Accepted && n.members.AddToRanking(now, r.From) {
		n.mu.Lock()
		n.acknowledged[r.From.ID()] = true
		n.mu.Unlock()
	}
	return n.DueActions(now)
}
