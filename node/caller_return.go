package node

import (
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
)

// minCallerReturn returns the shortest Config.CallerReturn for which a run is over before its
// caller can send the job again, although the origin of the job has fallen silent: the time until
// the dispatcher counts it as unreachable, a pause of the dispatcher that goes unnoticed, and the
// time until the last lease has expired.
func minCallerReturn(heartbeatTimeout time.Duration) time.Duration {
	return heartbeatTimeout + maxPause + scheduler.ShortLeaseTime()
}

// checkCallerReturn logs when the fleet becomes too large for CallerReturn, and when it no longer
// is: the heartbeat timeout grows with the number of VMs of the scope.
func (n *Node) checkCallerReturn() {
	if n.config.CallerReturn == 0 {
		return // reported by the start
	}
	timeout := n.fleet.Timeout()
	needed := minCallerReturn(timeout)
	short := n.config.CallerReturn < needed
	if short == n.callerReturnShort {
		return
	}
	n.callerReturnShort = short
	attrs := []any{
		slog.Int64("caller_return_ms", n.config.CallerReturn.Milliseconds()), slog.Int64("needed_ms", needed.Milliseconds()),
		slog.Int64("heartbeat_timeout_ms", timeout.Milliseconds()), slog.Int("members", n.fleet.Size()),
	}
	if short {
		n.log.Warn("callers may send jobs again before their runs are over", attrs...)
	} else {
		n.log.Info("runs are over before callers can send their jobs again", attrs...)
	}
}

// reportCallerReturn warns if callers are taken never to send a job again.
func (n *Node) reportCallerReturn() {
	if n.config.CallerReturn == 0 {
		n.log.Warn("callers are assumed never to send a job again, a split does not bound its runs")
	}
}
