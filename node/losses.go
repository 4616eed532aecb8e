package node

import (
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/logging"
)

// logLosses logs which members are lost, and why others no longer are. It precedes notePeerLoss,
// so that the reason is known when the scheduler ends a split. Members that are neither
// candidates nor dispatch hear only some of the others regularly.
func (n *Node) logLosses(now time.Time, v *fleet.View) {
	if now.Sub(n.started) < startupGrace || !v.Candidate && n.term.current() == 0 {
		n.losses.Forget()
		return
	}
	n.losses.Observe(now, v.Lost, func(m fleet.LostMember) fleet.LossEnd { return n.fleet.WhyNotLost(now, m) })
}

// logSplit logs and counts the begin and the end of a split as of the last tick.
func (n *Node) logSplit(now time.Time, splits *logging.SplitLog) {
	if end, ended := splits.Observe(now, n.scheduler.SplitReport(), n.view.Load().Lost, n.losses.WorstEnd()); ended {
		n.metrics.observeSplitEnd(end)
	}
}
