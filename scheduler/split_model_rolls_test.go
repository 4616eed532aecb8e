package scheduler_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
)

// Planned restarts in series in the split model: the dispatcher drains, its successors drain soon
// after, and each VM returns with a younger process while others drain.

const (
	rollingVMs      = 8
	rollsLength     = 20 * time.Second
	overlapInterval = 5 * time.Millisecond
	// maxCalmOverlap is the longest time for which two VMs dispatch that hear each other: the heartbeat
	// to the earlier one may already be under way, without the term.
	maxCalmOverlap = 2 * fleet.MinHeartbeatInterval
)

// rollFaults are the faults beside the restarts.
type rollFaults struct {
	freezes bool // of the dispatcher
	cuts    bool // of the dispatcher from all other VMs
	joins   bool // of upstreams, most of which lapse later
}

// rollingModel returns a model with enough VMs that some are no candidates.
func rollingModel(t *testing.T, seed uint64, missBreaks bool) *splitModel {
	m := newSplitModel(t, seed, missBreaks)
	for len(m.nodes) < rollingVMs {
		m.nodes, m.dispatchers = append(m.nodes, nil), append(m.dispatchers, nil)
		m.createFirstNode(len(m.nodes) - 1)
	}
	return m
}

// runRolls executes a simulation with planned restarts. Its callers return unless their connections hold.
func (m *splitModel) runRolls(faults rollFaults) {
	m.returning = m.rand.IntN(2) == 0
	if faults == (rollFaults{}) {
		m.latePercent = 0
	}
	m.start()
	if faults.joins {
		for _, name := range m.names[:splitUpstreams/2] {
			m.joinUpstream(name, m.randomMillis(500, 12000))
		}
	}
	m.after(splitStartTime, func() {
		m.sendJobs(0)
		m.roll(1 + m.rand.IntN(2))
		if faults.freezes {
			m.injectFreezes()
		}
		if faults.cuts {
			m.injectCuts()
		}
		if faults.joins {
			m.loseRegistrations()
		}
	})
	overlaps := m.watchOverlaps()
	m.process(rollsLength)
	m.t.Logf("longest time with two dispatchers: %v", *overlaps)
	if faults == (rollFaults{}) && *overlaps > maxCalmOverlap {
		m.fail("drains", "two VMs that hear each other dispatched for %v", *overlaps)
	}
}

// roll stops several VMs at a time, again and again, the dispatcher first.
func (m *splitModel) roll(together int) {
	for range together {
		n := m.nodes[m.rand.IntN(len(m.nodes))]
		if d := m.dispatching(); len(d) > 0 && m.rand.IntN(4) != 0 {
			n = d[m.rand.IntN(len(d))]
		}
		m.restart(n)
	}
	m.after(m.randomMillis(500, 1300), func() { m.roll(together) })
}

// dispatching returns the processes that dispatch. A frozen one starts nothing.
func (m *splitModel) dispatching() (nodes []*splitNode) {
	for _, n := range m.nodes {
		if !n.dead && n.token != 0 && !m.now.Before(n.frozenUntil) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// restart stops a process gracefully, unless too few others would be left. Another one starts soon.
func (m *splitModel) restart(n *splitNode) {
	staying := 0
	for _, other := range m.nodes {
		if !other.dead && !other.member.Draining {
			staying++
		}
	}
	if n.dead || n.member.Draining || staying <= 2 {
		return
	}
	m.logf("fault: %s drains", n.name)
	n.drain()
	closed := m.randomMillis(300, 2300)
	m.after(closed, func() { n.closed = true })
	m.after(closed+m.randomMillis(0, 1500), func() {
		if n.dead {
			return
		}
		m.logf("fault: %s stops", n.name)
		n.stop()
		m.after(m.randomMillis(50, 1000), func() {
			m.logf("fault: %s starts", n.name)
			m.startNode(n.vm)
		})
	})
}

// injectFreezes pauses dispatchers.
func (m *splitModel) injectFreezes() {
	for _, n := range m.dispatching() {
		m.freeze(n, m.randomMillis(50, 2500))
	}
	m.after(m.randomMillis(1000, 5000), m.injectFreezes)
}

// injectCuts cuts dispatchers off from all other VMs, or one way.
func (m *splitModel) injectCuts() {
	clear(m.cut)
	for _, n := range m.dispatching() {
		oneWay := m.rand.IntN(3) == 0
		m.logf("fault: %s is cut off from the other VMs, one way: %v", n.name, oneWay)
		for other := range m.nodes {
			if other != n.vm {
				m.cut[link{n.vm, other}], m.cut[link{other, n.vm}] = true, !oneWay
			}
		}
	}
	m.after(m.randomMillis(300, 4000), func() {
		m.logf("fault: all VMs hear each other again")
		clear(m.cut)
		m.after(m.randomMillis(500, 3000), m.injectCuts)
	})
}

// watchOverlaps measures the longest time for which several VMs dispatch.
func (m *splitModel) watchOverlaps() *time.Duration {
	longest, since := new(time.Duration), time.Time{}
	var watch func()
	watch = func() {
		switch {
		case len(m.dispatching()) < 2:
			since = time.Time{}
		case since.IsZero():
			since = m.now
		default:
			*longest = max(*longest, m.now.Sub(since))
		}
		m.after(overlapInterval, watch)
	}
	watch()
	return longest
}

var rollsSchedules = flag.Int("rolls.schedules", 1, "number of random schedules of planned restarts in series")

func TestPlannedRestartsInSeriesRunNoTaskTwice(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults rollFaults
	}{
		{"calm", rollFaults{}},
		{"freezes", rollFaults{freezes: true}},
		{"cuts", rollFaults{cuts: true}},
		{"joins", rollFaults{joins: true}},
		{"all", rollFaults{freezes: true, cuts: true, joins: true}},
	} {
		for i := range *rollsSchedules {
			seed := *splitSeed + uint64(i)
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) { rollingModel(t, seed, i%2 == 0).runRolls(c.faults) })
		}
	}
}
