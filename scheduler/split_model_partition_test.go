package scheduler_test

import (
	"fmt"
	"strings"
	"time"
)

// Partitions of the network in the split model, which last longer than any time after which a process
// forgets VMs or upstreams.

// partition divides the VMs into two sides, by position. An upstream belongs to a side, or to both.
type partition struct {
	vms       []int
	upstreams map[string]int
	// storeless tells which sides do not reach the store.
	storeless [2]bool
	// storeOnly means that the sides hear each other, oneWay that side 1 is heard by side 0.
	storeOnly, oneWay bool
}

// bothSides is the side of an upstream that both sides reach.
const bothSides = 2

func (p *partition) String() string {
	sides := [bothSides + 1][]string{}
	for vm, side := range p.vms {
		sides[side] = append(sides[side], fmt.Sprintf("vm%d", vm))
	}
	for i := range splitUpstreams {
		name := fmt.Sprintf("u%d", i)
		sides[p.upstreams[name]] = append(sides[p.upstreams[name]], name)
	}
	var text []string
	for _, side := range sides {
		text = append(text, strings.Join(side, " "))
	}
	return fmt.Sprintf("%s, without the store %v, only the store %v, one way %v", strings.Join(text, " | "), p.storeless, p.storeOnly, p.oneWay)
}

// startPartition adds a partition. Partitions overlap.
func (m *splitModel) startPartition(p *partition) {
	m.logf("fault: partition %v", p)
	m.partitions[p] = true
	m.updateReach()
}

func (m *splitModel) endPartition(p *partition) {
	m.logf("fault: the partition %v is over", p)
	delete(m.partitions, p)
	m.updateReach()
}

// hears reports whether messages pass from one VM to another.
func (m *splitModel) hears(from, to int) bool {
	if m.cut[link{from, to}] {
		return false
	}
	for p := range m.partitions {
		if !p.storeOnly && p.vms[from] != p.vms[to] && !(p.oneWay && p.vms[from] == 1) {
			return false
		}
	}
	return true
}

// reaches reports whether a VM reaches an upstream.
func (m *splitModel) reaches(vm int, name string) bool {
	for p := range m.partitions {
		if side := p.upstreams[name]; !p.storeOnly && side != bothSides && side != p.vms[vm] {
			return false
		}
	}
	return m.blocked[path{vm, name}] == 0
}

func (m *splitModel) hasStore(vm int) bool {
	for p := range m.partitions {
		if p.storeless[p.vms[vm]] {
			return false
		}
	}
	return true
}

func (m *splitModel) upstreamHasStore(name string) bool {
	for p := range m.partitions {
		if side := p.upstreams[name]; side == bothSides && p.storeless == [2]bool{true, true} || side != bothSides && p.storeless[side] {
			return false
		}
	}
	return m.unregistered[name] == 0
}

// joinUpstream lets an upstream, which no process lists yet, register for the first time after a while.
func (m *splitModel) joinUpstream(name string, after time.Duration) {
	m.unregistered[name]++
	delete(m.store.upstreams, name)
	for _, n := range m.nodes {
		delete(n.lapsed, name)
	}
	m.after(after, func() {
		m.logf("fault: %s joins", name)
		m.unregistered[name]--
	})
}

// loseRegistrations lets upstreams that work on lose the store, at random times.
func (m *splitModel) loseRegistrations() {
	name := m.names[m.rand.IntN(len(m.names))]
	m.logf("fault: %s loses the store", name)
	m.unregistered[name]++
	m.after(m.randomMillis(1000, maxPartition), func() {
		m.logf("fault: %s reaches the store again", name)
		m.unregistered[name]--
	})
	m.after(m.randomMillis(1000, 6000), m.loseRegistrations)
}

// updateReach tells the processes which upstreams they reach.
func (m *splitModel) updateReach() {
	for _, n := range m.nodes {
		for _, name := range m.names {
			n.disconnected[name] = !m.reaches(n.vm, name)
		}
	}
}

// drainDelay is the time for which callers still reach a VM that drains.
const drainDelay = 2300 * time.Millisecond

// maxPartition is the length of the longest partition, in ms.
const maxPartition = 18000

// injectPartitions starts partitions at random times. One may begin before another is over.
func (m *splitModel) injectPartitions() {
	p := &partition{vms: make([]int, len(m.nodes)), upstreams: map[string]int{}, oneWay: m.rand.IntN(6) == 0}
	for _, vm := range m.randomGroups()[1] {
		p.vms[vm] = 1
	}
	for _, name := range m.names {
		p.upstreams[name] = m.rand.IntN(bothSides + 1)
	}
	switch m.rand.IntN(4) {
	case 0, 1:
		p.storeless[m.rand.IntN(2)] = true
	case 2:
		p.storeless = [2]bool{true, true}
	}
	length := m.randomMillis(1000, maxPartition)
	split := time.Duration(0)
	if m.rand.IntN(3) == 0 { // the store goes first
		p.storeOnly = true
		split = m.randomMillis(500, maxPartition)
		m.after(split, func() {
			p.storeOnly = false
			m.logf("fault: the sides of %v do not hear each other", p)
			m.updateReach()
		})
	}
	m.startPartition(p)
	m.after(split+length, func() { m.endPartition(p) })
	m.after(m.randomMillis(2000, 16000), m.injectPartitions)
}

// injectRestarts kills, stops and pauses processes at random times, without other faults.
func (m *splitModel) injectRestarts() {
	n := m.nodes[m.rand.IntN(len(m.nodes))]
	switch m.rand.IntN(4) {
	case 0:
		m.freeze(n, m.randomMillis(50, 2500))
	case 1:
		m.stop(n)
	default:
		m.kill(n)
	}
	m.after(m.randomMillis(1000, 8000), m.injectRestarts)
}

// stop stops a process gracefully. Callers still reach it for drainDelay. Another one starts later.
func (m *splitModel) stop(n *splitNode) {
	if n.dead || n.member.Draining {
		return
	}
	m.logf("fault: %s drains", n.name)
	n.drain()
	m.after(drainDelay, func() { n.closed = true })
	m.after(drainDelay+m.randomMillis(0, 4000), func() {
		if n.dead {
			return
		}
		m.logf("fault: %s stops", n.name)
		n.stop()
		m.after(m.randomMillis(300, 4000), func() {
			m.logf("fault: %s starts", n.name)
			m.startNode(n.vm)
		})
	})
}

// join starts a process at another VM.
func (m *splitModel) join() {
	vm := len(m.nodes)
	for p := range m.partitions {
		p.vms = append(p.vms, m.rand.IntN(2))
	}
	m.nodes, m.dispatchers = append(m.nodes, nil), append(m.dispatchers, nil)
	m.logf("fault: vm%d joins", vm)
	m.startNode(vm)
}
