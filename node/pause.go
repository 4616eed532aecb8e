package node

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/scheduler"
	"golang.org/x/sys/unix"
)

// maxPause is the time without activity above which this process counts as
// paused. It is three times the 100 ms for which a CPU quota may stop a VM.
const maxPause = 300 * time.Millisecond

// shortPause is the time without activity above which a VM that fell silent meanwhile may
// have gone unnoticed.
const shortPause = 2 * scheduler.TickInterval

// pauseDetector finds pauses of this process. The tick loop checks it every
// scheduler.TickInterval, so that a longer gap between two checks is a pause.
type pauseDetector struct {
	mu     sync.Mutex    // guards the fields below; held while a pause is handled
	last   time.Duration // boot time of the last check; 0 before the first one
	lastAt time.Time     // time of the last check, by a clock that stands still while the machine is suspended
}

// bootTime reads the boot clock, which also advances while the machine is
// suspended.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), errors.Wrap(err, "read the boot clock")
}

// checkPause starts a new term if this process was paused since the last check: what it
// knows is outdated. Whatever decides on the start of tasks or renews leases must call it first, since
// after a pause it may run before the tick loop.
func (n *Node) checkPause() error {
	n.pauses.mu.Lock()
	defer n.pauses.mu.Unlock()
	now, err := bootTime()
	if err != nil {
		return err // without the clock, pauses stay undetected and tasks may run twice
	}
	at := time.Now()
	switch last := n.pauses.last; {
	case last == 0:
	case now-last > maxPause:
		n.roster.registration.NoteSuspended(max(now-last-at.Sub(n.pauses.lastAt), 0))
		n.restartTerm(at, now-last)
	case now-last > shortPause:
		n.notePeerLoss(n.fleet.View(time.Now(), 0).Silence)
	}
	n.pauses.last, n.pauses.lastAt = now, at
	return nil
}

// restartTerm starts a new term after a pause of this process, because orders
// that it was about to send are outdated.
func (n *Node) restartTerm(now time.Time, pause time.Duration) {
	n.term.transition.Lock()
	defer n.term.transition.Unlock()
	n.term.mu.Lock()
	n.term.pausedAt = now
	n.term.mu.Unlock()
	dispatching := n.term.current() != 0
	n.log.Warn("process was paused", slog.Int64("for_ms", pause.Milliseconds()), slog.Bool("dispatching", dispatching))
	if n.updateBarred(now) || !dispatching {
		if dispatching {
			n.stopTerm("this process was paused, and its VM may have been removed from the roster")
		}
		return
	}
	v := n.fleet.View(now, n.termFor(n.config.VM))
	n.beginTerm(now, &v, "this process was paused")
	n.wakeTermLoop()
}
