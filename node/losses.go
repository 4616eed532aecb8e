package node

import (
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/logging"
)

// logLosses logs which members are lost, and why others no longer are. It precedes notePeerLoss,
// so that the reason is known when the scheduler ends a split.
func (n *Node) logLosses(now time.Time, v *fleet.View) {
	n.losses.Observe(now, v.WatchedLost(), func(m fleet.LostMember) fleet.LossEnd { return n.fleet.WhyNotLost(now, m) })
}

// logSplit logs and counts the begin and the end of a split as of the last tick.
func (n *Node) logSplit(now time.Time, splits *logging.SplitLog) {
	if end, ended := splits.Observe(now, n.scheduler.SplitReport(), n.view.Load().Lost, n.losses.WorstEnd()); ended {
		n.metrics.observeSplitEnd(end)
	}
}
