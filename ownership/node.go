// Package ownership decides which incarnation may start a submission, so that
// none of its tasks starts twice.
//
// The first in rank within the home data centre owns a submission and alone
// starts its tasks, after the second in rank has stored a start record. When
// the owner is proved to have ended, the second follows it and answers that the
// submissions it holds records of may have run. When the second ends, the owner
// first fills the next one with its entries. A new incarnation ranks once every
// unended member of its data centre has acknowledged it and handed over the
// entries for which it ranks first or second. What nobody can know any more is
// answered with the verdict MayHaveRun for the retention time.
//
// A Node takes messages, the time and the ends of its own sends, and returns
// what to do. It imports no network package and reads no clock.
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
	// JoinTimeout is how long an incarnation waits for its join before it
	// gives up and starts anew.
	JoinTimeout time.Duration
	// Budget is the memory for records and answers, in bytes.
	Budget int
	// Fanout is the number of heartbeats per interval in the data centre.
	Fanout int
}

// Node is the protocol of one process. It is safe for concurrent use.
type Node struct {
	config      Config
	members     *membership.Table
	submissions *submission.Table
	coverage    *coverage
	pending     atomic.Int64 // submissions between Begin and their start
	leaving     atomic.Bool

	mu       sync.Mutex // guards the fields below
	joining  time.Time  // when this incarnation began to join
	accepted map[membership.ID]bool
	vouching map[membership.ID]bool   // admitted members that have filled this incarnation
	filled   map[membership.ID]uint64 // epoch of the last fill that a member acknowledged
	history  History
	asking   bool          // the join waits for history only
	changed  chan struct{} // closed and replaced whenever filled changes
}

// History tells what is known about earlier incarnations of a data centre in
// which no member is left.
type History uint8

// Histories of a data centre.
const (
	// HistoryUnknown means that the question is still open.
	HistoryUnknown History = iota
	// HistoryNone means that the data centre had no member before.
	HistoryNone
	// HistoryLost means that it had members of which nothing is left.
	HistoryLost
)

// New returns the node of a fresh incarnation.
func New(now time.Time, config Config) *Node {
	n := &Node{
		config:      config,
		members:     membership.NewTable(now, config.Membership),
		submissions: submission.NewTable(config.Budget),
		coverage:    newCoverage(config.Membership.Retention),
		changed:     make(chan struct{}),
	}
	n.reset(now)
	return n
}

// reset forgets what belongs to an incarnation. The caller holds mu, but for
// New.
func (n *Node) reset(now time.Time) {
	n.joining = now
	n.vouching = map[membership.ID]bool{}
	n.accepted = map[membership.ID]bool{}
	n.filled = map[membership.ID]uint64{}
}

// Members returns the facts about the members.
func (n *Node) Members() *membership.Table { return n.members }

// Submissions returns the entries.
func (n *Node) Submissions() *submission.Table { return n.submissions }

// View returns the current view of the members.
func (n *Node) View() *membership.View { return n.members.View() }

// Ready tells whether this incarnation owns submissions.
func (n *Node) Ready() bool {
	v := n.View()
	return v.Admitted(v.Self.ID()) && !n.leaving.Load()
}

// TransfersChanged returns a channel that is closed when another member has been filled.
// It must be taken before the call whose answer it may change.
func (n *Node) TransfersChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// SetHistory tells what the platform knows of earlier members.
func (n *Node) SetHistory(h History) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.history, n.asking = h, false
}

// Action is something to send.
type Action struct {
	Kind ActionKind
	// To is the receiver, but for Probe.
	To membership.Member
	// Seed is the address to probe.
	Seed membership.Seed
}

// ActionKind tells what an Action sends.
type ActionKind uint8

// Kinds of actions.
const (
	// SendHeartbeat sends Members().Digest.
	SendHeartbeat ActionKind = iota
	// SendJoin sends a Join.
	SendJoin
	// SendTransfer sends what TransferFor returns.
	SendTransfer
	// Probe connects to a seed to learn which member is there.
	Probe
	// Reincarnate makes this process a new incarnation by Node.Reincarnate.
	Reincarnate
)

// Tick renews this process's permission to start and returns what is due. It is
// called once per interval and after every change.
func (n *Node) Tick(now time.Time) []Action {
	n.members.Tick(now)
	n.submissions.Sweep(now)
	n.coverage.forget(now)
	actions := n.DueActions(now)
	for _, m := range n.members.Targets(n.config.Fanout) {
		actions = append(actions, Action{Kind: SendHeartbeat, To: m})
	}
	for _, seed := range n.members.UnoccupiedSeeds() {
		actions = append(actions, Action{Kind: Probe, Seed: seed})
	}
	return actions
}

// DueActions returns what the present state asks for beside heartbeats.
func (n *Node) DueActions(now time.Time) []Action {
	view := n.View()
	n.coverage.judge(now, view)
	if view.Terminated(view.Self.ID()) {
		if n.leaving.Load() {
			return nil
		}
		return []Action{{Kind: Reincarnate}}
	}
	if !view.Admitted(view.Self.ID()) {
		if actions, done := n.join(now, view); !done {
			return append(actions, n.fills(view)...)
		}
		view = n.View()
		return append(n.announce(view), n.fills(view)...)
	}
	return n.fills(view)
}

// announce returns heartbeats to every member of any data centre, so that all
// learn at once that this incarnation has been admitted.
func (n *Node) announce(view *membership.View) []Action {
	var actions []Action
	for _, m := range view.NotTerminated() {
		if m != view.Self {
			actions = append(actions, Action{Kind: SendHeartbeat, To: m})
		}
	}
	return actions
}

// fills returns the fills that members lack. They are due to every counted
// member, joined or not.
func (n *Node) fills(view *membership.View) []Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	var actions []Action
	for _, m := range view.Members(view.Self.DataCentre) {
		id := m.ID()
		if epoch, done := n.filled[id]; id == view.Self.ID() || done && epoch == view.Epoch {
			continue
		}
		actions = append(actions, Action{Kind: SendTransfer, To: m})
	}
	return actions
}

// Reincarnate makes this process a new incarnation, which has to join. Submissions
// of the old one start nothing more.
func (n *Node) Reincarnate(now time.Time, incarnation uint64) membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reset(now)
	return n.members.Reincarnate(now, incarnation)
}

// Leave stops this process from beginning submissions. Once none is between
// its beginning and its start, and with every later DueActions, it is no longer ranked.
func (n *Node) Leave(now time.Time) (left bool) {
	n.leaving.Store(true)
	if n.pending.Load() > 0 {
		return false
	}
	n.members.MarkLeaving(now)
	return true
}
