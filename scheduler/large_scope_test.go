package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
)

// The heartbeat timeout of a large scope is so long that a run whose origin falls silent would end,
// by the timeout alone, after its caller may have sent the job again. A dispatcher notices the silence
// after three quarters of it, which is before another one can begin its term.
func TestEarlierDispatcherOfLargeScopeRenews(t *testing.T) {
	const viewCheck = 40 * time.Millisecond // longest time between two checks of the view
	for _, members := range []int{3, 20, 41, 60, 80, 200} {
		timeout := fleet.HeartbeatTimeout(members)
		for returns := -1500 * time.Millisecond; returns <= 1050*time.Millisecond; returns += 150 * time.Millisecond {
			if returns < -timeout || callerReturn+returns < timeout {
				continue // the caller has returned to this dispatcher, or the run starts after the cut
			}
			for _, paused := range []time.Duration{0, 290 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d VMs, paused %v, caller returns after %v", members, paused, returns), func(t *testing.T) {
					h := newHandoverAfter(t, returns, timeout*3/4+viewCheck, timeout)
					h.paused = paused
					h.resume = func() { h.next = h.b.newGroup(200, []string{"u1", "u2"}, []string{h.reached()}) }
					h.check(returns)
				})
			}
		}
	}
}
