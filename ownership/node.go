// Package ownership decides which incarnation may start a submission, so that
// none of its tasks starts twice.
//
// Rendezvous hashing ranks the members of a submission's home data centre. The
// member that ranks first owns the submission and is the only one to start its
// tasks. Before the first start, the member that ranks second, the record holder,
// stores a start record. Once the owner is proved terminated, the record holder
// becomes the owner and answers MayHaveRun for submissions that it has records
// of. If the record holder terminates, the owner transfers its entries to the next
// member in rank before it starts further submissions.
//
// A new incarnation is admitted once every unterminated member of its data centre
// has acknowledged it and transferred the entries for which it ranks first or
// second. A submission whose history, that is, its records, may be lost is answered
// MayHaveRun until the retention period is over.
//
// A Node takes messages, the time and the results of its own sends, and returns
// the actions to perform. The package imports no network package and reads no
// clock.
package ownership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
)

// Config holds the timing and the limits of a Node.
type Config struct {
	Membership membership.Config
	// JoinTimeout is how long an incarnation tries to join before the process
	// abandons it and joins as a new one.
	JoinTimeout time.Duration
	// Budget is the memory limit for records and answers, in bytes.
	Budget int
	// Fanout is the number of heartbeats sent per interval within the data
	// centre.
	Fanout int
}

// Node runs the ownership protocol for one process. It is safe for concurrent use.
type Node struct {
	config      Config
	members     *membership.Table
	submissions *submission.Table
	gaps        *gapTracker
	pending     atomic.Int64 // submissions between Begin and the acknowledgement of their record
	leaving     atomic.Bool

	mu               sync.Mutex // guards the fields below
	joinStarted      time.Time  // when this incarnation started to join
	acknowledged     map[membership.ID]bool
	admittedSenders  map[membership.ID]bool   // admitted members that have completed a transfer to this incarnation
	transferred      map[membership.ID]uint64 // epoch of the last transfer that each member acknowledged
	history          History
	needsHistory     bool          // the join waits only for SetHistory
	transfersChanged chan struct{} // closed and replaced when a member acknowledges a transfer
}

// History says whether a data centre without remaining members had members
// before.
type History uint8

// History values.
const (
	// HistoryUnknown means that the platform has not been asked or has not
	// answered.
	HistoryUnknown History = iota
	// HistoryNone means that the data centre had no member before.
	HistoryNone
	// HistoryLost means that it had members, whose records are lost.
	HistoryLost
)

// New returns a node for a new incarnation, which has not joined.
func New(now time.Time, config Config) *Node {
	n := &Node{
		config:           config,
		members:          membership.NewTable(now, config.Membership),
		submissions:      submission.NewTable(config.Budget),
		gaps:             newGapTracker(config.Membership.Retention),
		transfersChanged: make(chan struct{}),
	}
	n.reset(now)
	return n
}

// reset clears the state of the previous incarnation. The caller holds mu, except
// in New.
func (n *Node) reset(now time.Time) {
	n.joinStarted = now
	n.admittedSenders = map[membership.ID]bool{}
	n.acknowledged = map[membership.ID]bool{}
	n.transferred = map[membership.ID]uint64{}
}

// Membership returns the membership table.
func (n *Node) Membership() *membership.Table { return n.members }

// Submissions returns the submission table.
func (n *Node) Submissions() *submission.Table { return n.submissions }

// View returns the current membership view.
func (n *Node) View() *membership.View { return n.members.View() }

// Ready reports whether this incarnation is admitted and not leaving.
func (n *Node) Ready() bool {
	v := n.View()
	return v.Admitted(v.Self.ID()) && !n.leaving.Load()
}

// TransfersChanged returns a channel that is closed when another member has
// acknowledged a transfer. Take it before calling Begin, so that no change is
// missed.
func (n *Node) TransfersChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.transfersChanged
}

// SetHistory sets what the platform knows about earlier members.
func (n *Node) SetHistory(h History) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.history, n.needsHistory = h, false
}

// Action is an operation that the caller must perform.
type Action struct {
	Kind ActionKind
	// To is the receiver; unused by Probe and StartNewIncarnation.
	To membership.Member
	// Seed is the address to probe; used only by Probe.
	Seed membership.Seed
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// SendHeartbeat sends the digest returned by Membership().Digest.
	SendHeartbeat ActionKind = iota
	// SendJoin sends a Join.
	SendJoin
	// SendTransfer sends the parts returned by TransferFor.
	SendTransfer
	// Probe connects to a seed to learn which member runs there.
	Probe
	// StartNewIncarnation calls Node.StartNewIncarnation.
	StartNewIncarnation
)

// Tick renews this process's permission to start tasks and returns the actions that
// are due, including heartbeats. Call it once per Config.Membership.Interval.
func (n *Node) Tick(now time.Time) []Action {
	n.members.Tick(now)
	n.submissions.Sweep(now)
	n.gaps.expire(now)
	actions := n.DueActions(now)
	for _, m := range n.members.Targets(n.config.Fanout) {
		actions = append(actions, Action{Kind: SendHeartbeat, To: m})
	}
	for _, seed := range n.members.UnoccupiedSeeds() {
		actions = append(actions, Action{Kind: Probe, Seed: seed})
	}
	return actions
}

// DueActions returns the actions that the current state requires, other than
// periodic heartbeats.
func (n *Node) DueActions(now time.Time) []Action {
	view := n.View()
	n.gaps.observeView(now, view)
	if view.Terminated(view.Self.ID()) {
		if n.leaving.Load() {
			return nil
		}
		return []Action{{Kind: StartNewIncarnation}}
	}
	if !view.Admitted(view.Self.ID()) {
		if actions, done := n.advanceJoin(now, view); !done {
			return append(actions, n.dueTransfers(view)...)
		}
		view = n.View()
		return append(n.announceAdmission(view), n.dueTransfers(view)...)
	}
	return n.dueTransfers(view)
}

// announceAdmission returns a heartbeat to every member of every data centre, so
// that all of them learn of the admission at once.
func (n *Node) announceAdmission(view *membership.View) []Action {
	var actions []Action
	for _, m := range view.NotTerminated() {
		if m != view.Self {
			actions = append(actions, Action{Kind: SendHeartbeat, To: m})
		}
	}
	return actions
}

// dueTransfers returns a transfer for every ranked member, admitted or not, that
// has not acknowledged one under this view.
func (n *Node) dueTransfers(view *membership.View) []Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	var actions []Action
	for _, m := range view.Members(view.Self.DataCentre) {
		id := m.ID()
		if epoch, done := n.transferred[id]; id == view.Self.ID() || done && epoch == view.Epoch {
			continue
		}
		actions = append(actions, Action{Kind: SendTransfer, To: m})
	}
	return actions
}

// StartNewIncarnation replaces this process's incarnation by a new one, which has
// to join. Submissions of the old incarnation start no more tasks.
func (n *Node) StartNewIncarnation(now time.Time, incarnation uint64) membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reset(now)
	return n.members.StartNewIncarnation(now, incarnation)
}

// Leave stops this process from beginning submissions. Once no record awaits its
// acknowledgement, Leave removes the process from the ranking and returns true.
func (n *Node) Leave(now time.Time) (left bool) {
	n.leaving.Store(true)
	if n.pending.Load() > 0 {
		return false
	}
	n.members.MarkLeaving(now)
	return true
}
