package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/scheduler"
)

// The callers and the faults of the split model.

const (
	splitPatience     = 1500 * time.Millisecond
	splitLongPatience = 9 * time.Second
	maxAttempts       = 3
)

// splitCaller is a caller that sends a job until it has the answer.
type splitCaller struct {
	id       string
	job      *modelJob
	patience time.Duration // time for which it waits for an answer
	attempts int           // number of times that the job was sent
	// vms are the positions of the VMs to which the job is sent, in order; nil means random
	// ones. breakAfter is the time after which its first connection breaks; 0 means random.
	vms        []int
	breakAfter time.Duration
}

// splitAttempt is one request of a caller.
type splitAttempt struct {
	m       *splitModel
	caller  *splitCaller
	node    *splitNode
	arrived time.Time // at its VM
	closed  bool      // the caller waits no longer
	missed  bool      // the connection has broken, and the VM does not notice
	request *splitRequest
}

// sendJobs lets callers send jobs, at random times.
func (m *splitModel) sendJobs(number int) {
	id := fmt.Sprintf("%016x", number)
	runTime := m.randomMillis(100, 1000)
	c := &splitCaller{id: id, patience: splitPatience}
	if m.returning || m.rand.IntN(2) == 0 {
		runTime = m.randomMillis(500, 4000)
		c.patience = splitLongPatience
	}
	c.job = &modelJob{
		job: scheduler.Job{
			Queue: "q", Service: "s", Size: scheduler.Size{MilliCPU: 3000, MemoryMB: 64}, Estimate: runTime, Stretch: 3, Slack: 200 * time.Millisecond, MaxAttempts: 3,
		},
		tasks: 1 + m.rand.IntN(2), histories: map[int]history.Task{}, runTime: func(int) time.Duration { return runTime },
	}
	m.callers[id], m.jobs[id] = c, c.job
	m.sendJob(c)
	m.after(m.randomMillis(50, 400), func() { m.sendJobs(number + 1) })
}

// sendJob sends a job to a VM.
func (m *splitModel) sendJob(c *splitCaller) {
	n := m.nodes[m.rand.IntN(len(m.nodes))]
	if c.vms != nil {
		n = m.nodes[c.vms[c.attempts]]
	}
	if n.dead || n.closed {
		m.after(m.randomMillis(10, 50), func() { m.sendJob(c) })
		return
	}
	c.attempts++
	a := &splitAttempt{m: m, caller: c, node: n}
	m.logf("%s is sent to %s, attempt %d of its caller", c.id, n.name, c.attempts)
	m.after(m.delay(), func() {
		a.arrived = m.now
		n.do(func() { n.receive(a) })
	})
	m.after(c.patience, func() {
		a.lose()
		a.cancel()
	})
	m.breakConnection(a)
}

// breakConnection lets some of the connections break.
func (m *splitModel) breakConnection(a *splitAttempt) {
	after, noticed := m.randomMillis(50, 1050), !m.missBreaks || m.rand.IntN(3) == 0
	switch c := a.caller; {
	case c.breakAfter != 0 && c.attempts == 1:
		after, noticed = c.breakAfter, false
	case m.returning && c.attempts == 1:
		after = m.randomMillis(20, 400)
	case c.vms != nil || m.rand.IntN(2) == 0:
		return
	}
	m.after(after, func() {
		if a.closed {
			return
		}
		m.logf("%s loses its connection to %s, which notices: %v", a.caller.id, a.node.name, noticed)
		a.missed = !noticed
		a.lose()
		if noticed {
			a.cancel()
		}
	})
}

// lose ends the attempt without an answer. The caller returns.
func (a *splitAttempt) lose() {
	if a.closed {
		return
	}
	a.closed = true
	if a.caller.attempts < maxAttempts && (a.caller.vms == nil || a.caller.attempts < len(a.caller.vms)) {
		a.m.after(callerReturn, func() { a.m.sendJob(a.caller) })
	}
}

// cancel lets the origin notice that its caller has gone, unless it misses that.
func (a *splitAttempt) cancel() {
	a.m.after(a.m.delay(), func() {
		if !a.missed {
			a.node.do(func() { a.node.cancel(a.request) })
		}
	})
}

func (a *splitAttempt) receiveAnswer(answer intake.Answer) {
	if a.closed {
		return
	}
	a.m.logf("%s is answered by %s: %v (%s)", a.caller.id, a.node.name, answer.Outcome, answer.Reason)
	if answer.Outcome == intake.Succeeded || answer.Outcome == intake.NotRun {
		a.closed = true
		a.m.done++
		return
	}
	a.lose()
}

// injectFaults injects random faults at random times. They overlap.
func (m *splitModel) injectFaults() {
	n := m.nodes[m.rand.IntN(len(m.nodes))]
	name := m.names[m.rand.IntN(len(m.names))]
	switch kind := m.rand.IntN(9); {
	case kind < 4:
		m.split()
	case kind == 4:
		m.disconnect(n, name)
	case kind == 5: // too short to be noticed
		m.freeze(n, m.randomMillis(50, 290))
	case kind == 6:
		m.freeze(n, m.randomMillis(310, 2500))
	case kind == 7:
		m.kill(n)
	case kind == 8:
		m.crash(name)
	}
	m.after(m.randomMillis(100, 1500), m.injectFaults)
}

// split divides the VMs into groups that do not hear each other, or of which only one hears
// the other. A group may lose upstreams.
func (m *splitModel) split() {
	clear(m.cut)
	groups := m.randomGroups()
	oneWay := m.rand.IntN(4) == 0
	for _, a := range groups[0] {
		for _, b := range groups[1] {
			m.cut[link{a, b}], m.cut[link{b, a}] = true, !oneWay
		}
	}
	m.logf("fault: groups %s, one way: %v", m.describe(groups), oneWay)
	for _, group := range groups {
		for _, name := range m.names {
			if m.rand.IntN(4) == 0 {
				for _, vm := range group {
					m.disconnect(m.nodes[vm], name)
				}
			}
		}
	}
	if m.rand.IntN(2) == 0 {
		m.after(m.randomMillis(500, 4000), func() {
			m.logf("fault: all VMs hear each other again")
			clear(m.cut)
		})
	}
}

// randomGroups divides the VMs into two groups.
func (m *splitModel) randomGroups() (groups [2][]int) {
	vms := m.rand.Perm(len(m.nodes))
	first := 1 + m.rand.IntN(len(vms)-1)
	groups[0], groups[1] = vms[:first], vms[first:]
	slices.Sort(groups[0])
	slices.Sort(groups[1])
	return groups
}

// disconnect cuts an upstream off from a VM.
func (m *splitModel) disconnect(n *splitNode, name string) {
	m.logf("fault: %s does not reach %s", n.name, name)
	m.blocked[path{n.vm, name}]++
	m.updateReach()
	m.after(m.randomMillis(300, 4000), func() {
		m.logf("fault: %s reaches %s again", n.name, name)
		m.blocked[path{n.vm, name}]--
		m.updateReach()
	})
}

func (m *splitModel) freeze(n *splitNode, pause time.Duration) {
	if n.dead || m.now.Before(n.frozenUntil) {
		return
	}
	m.logf("fault: %s pauses for %v", n.name, pause)
	n.freeze(pause)
}

// kill ends the process at a VM. Another one starts later.
func (m *splitModel) kill(n *splitNode) {
	if n.dead {
		return
	}
	m.logf("fault: %s is killed", n.name)
	n.kill()
	m.after(m.randomMillis(300, 2000), func() {
		m.logf("fault: %s starts", n.name)
		started := m.startNode(n.vm)
		if m.rand.IntN(3) == 0 { // an entry has lapsed
			m.hideUpstream(started, m.names[m.rand.IntN(len(m.names))], m.randomMillis(300, 2500))
		}
	})
}

// hideUpstream lets a VM have a list of upstreams that lacks one for a while.
func (m *splitModel) hideUpstream(n *splitNode, name string, length time.Duration) {
	m.logf("fault: %s does not list %s", n.name, name)
	n.hidden[name] = true
	delete(n.lapsed, name)
	m.after(length, func() {
		n.do(func() { n.listUpstream(name) })
	})
}

// hideNewUpstream lets some VMs have a list from before an upstream was registered.
func (m *splitModel) hideNewUpstream() {
	if m.rand.IntN(2) == 0 {
		return
	}
	name, groups, length := m.names[m.rand.IntN(len(m.names))], m.randomGroups(), m.randomMillis(1000, 8000)
	for _, vm := range groups[0] {
		m.hideUpstream(m.nodes[vm], name, length)
	}
}
