package node

import (
	"context"
	"log/slog"
	"time"
)

// confirmList tells the scheduler whether the list has all upstreams on which the dispatchers
// before may have started tasks: because it was read in this term, or because they have listed
// the same ones.
func (n *Node) confirmList(now time.Time) {
	token := n.term.current() // read first: the list may be older than the next term
	if token == 0 {
		return
	}
	evidence := n.listEvidence(now)
	if evidence == "" || !n.scheduler.ConfirmList(token) {
		return
	}
	readTo, newest := n.registry.readTo()
	n.log.Info("upstream list confirmed", slog.Int64("token", token), slog.String("evidence", evidence), slog.Int64("read_to", readTo), slog.Int64("newest", newest),
		slog.Int64("after_us", now.Sub(n.term.startTime()).Microseconds()))
}

// listEvidence returns what proves that the list has all upstreams of the dispatchers before, empty if
// nothing does.
func (n *Node) listEvidence(now time.Time) string {
	switch {
	case n.deps.Store == nil:
		return "no store"
	case n.registry.currentSince(n.term.startTime()):
		return "read in this term"
	case n.dispatchersListedSame(now):
		return "that of the dispatchers before"
	}
	return ""
}

// dispatchersListedSame reports whether the dispatchers before have listed the same upstreams.
func (n *Node) dispatchersListedSame(now time.Time) bool {
	return !n.term.pausedWithin(now, n.config.LapsedRetention) && n.fleet.DispatchersListed(now.Add(-n.config.LapsedRetention), n.registry.listDigest())
}

// revisionToReach returns the present revision of the store, up to which the list is to be read, or 0 while
// this node does not dispatch: its list then proves nothing, since it reads it again in its own term.
func (n *Node) revisionToReach(ctx context.Context) (int64, error) {
	if !n.scheduler.Dispatching() {
		return 0, nil
	}
	// No key begins so. The answer has the revision only.
	page, err := n.deps.Store.Range(ctx, n.config.MemberPrefix+n.config.VM+"/", "", false)
	return page.Revision, err
}
