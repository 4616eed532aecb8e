package node

import (
	"log/slog"

	"github.com/mustardstep/mustardstep/scheduler"
)

// logProbations logs and counts upstreams whose probation has begun or ended.
func (n *Node) logProbations(changes []scheduler.ProbationChange) {
	for _, c := range changes {
		if !c.Began {
			n.log.Info("upstream is off probation", slog.String("upstream", c.Upstream), slog.Bool("completed_runs", c.Earned), slog.Int("falls", c.Falls))
			continue
		}
		reason := "crashed"
		if c.Failing {
			reason = "failing"
		}
		n.metrics.observeProbation(reason)
		n.log.Warn("upstream is on probation", slog.String("upstream", c.Upstream), slog.String("reason", reason),
			slog.Int("falls", c.Falls), slog.Int64("at_most_ms", c.Length.Milliseconds()))
	}
}
