package ownership

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/membership"
)

// join returns what brings the join forward; done is true once this
// incarnation is admitted.
func (n *Node) join(now time.Time, view *membership.View) (actions []Action, done bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.joining) > n.config.JoinTimeout && len(n.accepted) > 0 {
		return []Action{{Kind: Reincarnate}}, false
	}
	members := n.members.LocalPeers()
	if n.joinable(view, members) {
		if !n.vouched(members) && (n.history == HistoryLost || len(view.DepartedOwners) > 0) {
			n.coverage.lose(now)
		}
		n.members.MarkAdmitted(now)
		n.filled = map[membership.ID]uint64{}
		return nil, true
	}
	for _, m := range members {
		if !n.accepted[m.ID()] {
			actions = append(actions, Action{Kind: SendJoin, To: m})
		}
	}
	return actions, false
}

// joinable tells whether every other member has acknowledged this incarnation
// and handed over, and whether no member can exist that is not known. The
// caller holds mu.
func (n *Node) joinable(view *membership.View, members []membership.Member) bool {
	for _, m := range members {
		if !n.accepted[m.ID()] || !n.coverage.filled(m.ID(), view.DepartedOwners) {
			return false
		}
	}
	// An admitted member knows every other; without one, every seed must be
	// accounted for.
	if n.vouched(members) {
		return true
	}
	n.asking = n.members.SeedsResolved() && n.history == HistoryUnknown
	return n.members.SeedsResolved() && n.history != HistoryUnknown
}

// vouched tells whether an admitted member that has not ended has filled this
// incarnation. What members that have ended meanwhile had filled proves nothing
// about what they or others started later. The caller holds mu.
func (n *Node) vouched(members []membership.Member) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return n.vouching[m.ID()] })
}

// NeedsHistory tells whether the join waits for SetHistory only.
func (n *Node) NeedsHistory() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asking
}

// HandleJoin counts a joining incarnation. What it must know follows by fills.
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

// HandleJoinReply notes that a member counts this incarnation.
func (n *Node) HandleJoinReply(now time.Time, to membership.Member, r *JoinReply) []Action {
	if r.From != to {
		return nil
	}
	n.members.MergeFacts(now, r.Facts)
	if r.Accepted && n.members.AddToRanking(now, r.From) {
		n.mu.Lock()
		n.accepted[r.From.ID()] = true
		n.mu.Unlock()
	}
	return n.DueActions(now)
}
