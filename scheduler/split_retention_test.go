package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/stretchr/testify/require"
)

// Splits that outlast the times after which VMs or upstreams are forgotten. In each case a caller
// whose connection breaks sends its job to the other side while the run goes on.

// splitCaseOf returns a split model without random faults, with four VMs, of which vm0 dispatches.
func splitCaseOf(t *testing.T) *splitModel {
	const seed = 4
	m := newSplitModel(t, seed, true)
	require.Len(t, m.nodes, 4)
	m.latePercent = 0
	return m
}

// newPartition returns a partition with the given VMs on side 1. Each character of upstreams is the
// side of one.
func (m *splitModel) newPartition(upstreams string, side1 ...int) *partition {
	p := &partition{vms: make([]int, len(m.nodes)), upstreams: map[string]int{}}
	for _, vm := range side1 {
		p.vms[vm] = 1
	}
	for i, side := range upstreams {
		p.upstreams[m.names[i]] = int(side - '0')
	}
	return p
}

// block cuts VMs off from upstreams, which keep their entries.
func (m *splitModel) block(vms []int, upstreams ...string) {
	for _, vm := range vms {
		for _, name := range upstreams {
			m.blocked[path{vm, name}]++
		}
	}
	m.updateReach()
}

// The VMs of the other side have lost the store. They are not heard for longer than their entries last.
func TestSplitOutlivesRetentionOfLostVM(t *testing.T) {
	m := splitCaseOf(t)
	m.start()
	m.at(300, func() {
		p := m.newPartition("2222222", 2, 3)
		p.storeless[1] = true
		m.startPartition(p)
		m.block([]int{0, 1}, "u3", "u4", "u5", "u6")
		m.block([]int{2, 3}, "u0", "u1", "u2")
	})
	m.at(12000, func() { m.sendLongJob(100*time.Millisecond, 0, 2) })
	m.process(16 * time.Second)
}

// A VM starts during the split. It has only listed the others, and their entries lapse.
func TestSplitOutlivesEntriesOfVMsThatWereNeverHeard(t *testing.T) {
	m := splitCaseOf(t)
	m.start()
	m.at(300, func() {
		p := m.newPartition("2222222", 1, 2, 3)
		p.storeless[1] = true
		m.startPartition(p)
		m.block([]int{0}, "u3", "u4", "u5", "u6")
		m.block([]int{1, 2, 3}, "u0", "u1", "u2")
	})
	m.at(1000, func() { m.nodes[0].kill() })
	m.at(1700, func() { m.startNode(0) })
	m.at(7000, func() { m.sendLongJob(100*time.Millisecond, 0, 1) })
	m.process(10 * time.Second)
}

// The store is lost by all shortly after the start, when each VM has only listed itself.
func TestSplitOutlivesRetentionOfVMsWithoutStore(t *testing.T) {
	m := splitCaseOf(t)
	m.start()
	p := m.newPartition("0001111", 2, 3)
	p.storeless, p.storeOnly = [2]bool{true, true}, true
	m.startPartition(p)
	for _, n := range m.nodes {
		n.fleet.SetListed([]fleet.Member{n.member})
	}
	m.at(1000, func() {
		p.storeOnly = false
		m.updateReach()
	})
	m.at(13000, func() { m.sendLongJob(100*time.Millisecond, 0, 2) })
	m.process(17 * time.Second)
}

// The upstreams of the other side are forgotten, while its VM, which has been heard for longer, is known as
// lost. That VM has neither the store nor, by its rank, the list of a peer.
func TestSplitOutlivesRetentionOfUpstreams(t *testing.T) {
	m := splitCaseOf(t)
	m.start()
	p := m.newPartition("0001111", 3)
	p.storeless[1], p.storeOnly = true, true
	m.at(300, func() { m.startPartition(p) })
	m.at(8000, func() {
		p.storeOnly = false
		m.updateReach()
	})
	m.at(15000, func() { m.sendLongJob(100*time.Millisecond, 0, 3) })
	m.process(19 * time.Second)
}

// The store goes first: the upstreams of one side are forgotten where their entries lapse, but not by a
// VM without the store, which later has a side of its own.
func TestSplitBeginsAfterUpstreamsWereForgotten(t *testing.T) {
	m := splitCaseOf(t)
	m.start()
	p := m.newPartition("0001111", 3)
	p.storeless[1], p.storeOnly = true, true
	m.at(300, func() { m.startPartition(p) })
	m.at(16000, func() {
		p.storeOnly = false
		m.updateReach()
	})
	m.at(17500, func() { m.sendLongJob(100*time.Millisecond, 0, 3) })
	m.process(21 * time.Second)
}

// The dispatcher begins a term again and again, because others claim its upstreams. The last one
// begins between two ticks, shortly before the caller returns.
func TestSplitIsForgottenInNextTerm(t *testing.T) {
	for last := 1100; last < 1260; last += 8 {
		t.Run(fmt.Sprintf("last term after %d ms", last), func(t *testing.T) {
			m := splitCaseOf(t)
			m.fixedDelay = 2 * time.Millisecond
			m.start()
			m.at(300, func() { m.startPartition(m.newPartition("0001111", 2, 3)) })
			m.at(3000, func() { m.sendLongJob(time.Millisecond, 0, 2) })
			for before := 0; before <= 800; before += 200 {
				m.at(3000+last-before, func() {
					m.nodes[0].startTerm("fenced")
					m.nodes[0].updateTerm()
				})
			}
			m.process(4500 * time.Millisecond)
		})
	}
}

// The dispatcher is killed in a split. The next one begins its first term, and adopts the run, shortly
// before the caller returns.
func TestSplitIsUnknownToNextDispatcher(t *testing.T) {
	for killed := 1020; killed < 1260; killed += 20 {
		t.Run(fmt.Sprintf("killed after %d ms", killed), func(t *testing.T) {
			m := splitCaseOf(t)
			m.fixedDelay = 2 * time.Millisecond
			m.start()
			m.at(300, func() { m.startPartition(m.newPartition("0001111", 2, 3)) })
			m.at(3000, func() { m.sendLongJob(time.Millisecond, 1, 2) })
			m.at(3000+killed, m.nodes[0].kill)
			m.process(4500 * time.Millisecond)
		})
	}
}

// A VM that drains is cut off, while callers still reach it, and dispatches for them.
func TestSplitFromDrainingVM(t *testing.T) {
	m := splitCaseOf(t)
	m.start()
	m.at(3000, m.nodes[3].drain)
	m.at(3400, func() {
		m.startPartition(m.newPartition("2222222", 3))
		m.block([]int{0, 1, 2}, "u3", "u4", "u5", "u6")
		m.block([]int{3}, "u0", "u1", "u2")
	})
	m.at(3800, func() { m.sendLongJob(100*time.Millisecond, 0, 3) })
	m.process(7 * time.Second)
}

// An upstream joins at the other side of a split. A VM without the store holds all upstreams that it lists.
func TestUpstreamJoinsAtOtherSideOfSplit(t *testing.T) {
	m := splitCaseOf(t)
	m.start()
	m.joinUpstream("u6", 2*time.Second)
	m.at(300, func() {
		p := m.newPartition("0000001", 2, 3)
		p.storeless[0] = true
		m.startPartition(p)
	})
	m.at(8000, func() { m.sendLongJob(100*time.Millisecond, 0, 2) })
	m.process(11 * time.Second)
}

// A split ends long after the entries of one side have lapsed. The origin of a job there offers it to
// the dispatcher of the other side, while its run goes on.
func TestJobHandedOverAtEndOfSplitStartsBesideItsRun(t *testing.T) {
	for sent := 50; sent <= 400; sent += 50 {
		t.Run(fmt.Sprintf("sent %d ms before the end", sent), func(t *testing.T) {
			m := splitCaseOf(t)
			m.fixedDelay = 2 * time.Millisecond
			m.start()
			p := m.newPartition("0001111", 2, 3)
			p.storeless[1] = true
			m.at(300, func() { m.startPartition(p) })
			m.at(20000-sent, func() { m.sendLongJob(time.Minute, 2) })
			m.at(20000, func() { m.endPartition(p) })
			m.process(25 * time.Second)
		})
	}
}

// The store goes with the split, in which an upstream joins at once. The other side uses it before a VM
// without the store takes its list for old.
func TestUpstreamJoinsAsSplitBegins(t *testing.T) {
	m := splitCaseOf(t)
	m.start()
	m.joinUpstream("u6", 1600*time.Millisecond)
	m.at(1600, func() {
		p := m.newPartition("0000001", 2, 3)
		p.storeless[0] = true
		m.startPartition(p)
	})
	m.at(1800, func() { m.sendLongJob(100*time.Millisecond, 0, 2) })
	m.process(5 * time.Second)
}

// A VM that is no candidate, but first in its data centre, forgets the upstreams of a split. The
// candidates are killed, and it dispatches.
func TestSplitIsUnknownToVMThatWasNoCandidate(t *testing.T) {
	m := splitCaseOf(t)
	m.nodes, m.dispatchers = append(m.nodes, nil), append(m.dispatchers, nil)
	m.createFirstNode(4)
	m.start()
	for _, vm := range []int{2, 3} { // they rank last from then on
		m.at(500, m.nodes[vm].kill)
		m.at(1000+100*vm, func() { m.startNode(vm) })
	}
	m.at(4000, func() {
		p := m.newPartition("0001111", 3)
		p.storeless[1] = true
		m.startPartition(p)
	})
	m.at(20000, func() {
		for _, vm := range []int{0, 1, 4} {
			m.nodes[vm].kill()
		}
	})
	m.at(23000, func() { m.sendLongJob(100*time.Millisecond, 2, 3) })
	m.process(27 * time.Second)
}
