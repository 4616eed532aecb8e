package scheduler_test

import (
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
)

// The faults of the model test.

// formerSize is a capacity that an upstream had until a time.
type formerSize struct {
	size  scheduler.Size
	until time.Time
}

// allowedSize returns the capacity of an upstream that dispatchers may still assume.
func (m *model) allowedSize(name string) scheduler.Size {
	allowed := m.upstreams[name].Info.Size
	for _, former := range m.formerSizes[name] {
		if m.now.Sub(former.until) <= modelListDelay {
			allowed.MilliCPU = max(allowed.MilliCPU, former.size.MilliCPU)
		}
	}
	return allowed
}

// resize changes the capacity of an upstream. Every dispatcher learns of it later, also one
// that origins have left.
func (m *model) resize(name string) {
	u := m.upstreams[name]
	m.formerSizes[name] = append(m.formerSizes[name], formerSize{u.Info.Size, m.now})
	u.Info.Size.MilliCPU = []int{5000, 8000, 14000, 16000}[m.rand.IntN(4)]
	m.logf("fault: %s has %d milli-CPU", name, u.Info.Size.MilliCPU)
	m.after(m.randomMillis(50, int(modelListDelay.Milliseconds())-50), func() {
		for _, d := range m.dispatchers {
			m.tellList(d, d.listed, d.partial)
		}
	})
}

// crash ends the process of an upstream. Dispatchers that reach it notice at once.
func (m *model) crash(name string) {
	m.logf("fault: %s crashes", name)
	m.restarts[name]++
	m.upstreams[name].Restart(m.now)
	m.downUntil[name] = m.now.Add(m.randomMillis(300, 2000))
	for _, d := range m.dispatchers {
		if !d.disconnected[name] && !m.now.Before(d.frozenUntil) {
			m.after(m.delay(), func() { m.execute(d, d.scheduler.HandleSuspectedCrash(m.now, name, "")) })
		}
	}
}

func (m *model) down(name string) bool { return m.now.Before(m.downUntil[name]) }

// injectFaults injects random faults at random times.
func (m *model) injectFaults() {
	m.after(m.randomMillis(300, 2500), func() {
		d := m.dispatchers[m.rand.IntN(2)]
		name := m.names[m.rand.IntN(len(m.names))]
		kind := m.rand.IntN(11)
		m.logf("fault %d: %s, %s", kind, d.name, name)
		switch kind {
		case 0:
			m.beginTerm(d)
		case 1: // freeze a dispatcher; if it is current, another one takes over
			d.frozenUntil = m.now.Add(m.randomMillis(200, 3000))
			if m.current == d {
				for _, other := range m.dispatchers {
					if other != d {
						m.beginTerm(other)
						break
					}
				}
			}
		case 2:
			d.disconnected[name] = true
			m.after(m.randomMillis(200, 3000), func() { d.disconnected[name] = false })
		case 3:
			m.restarts[name]++
			m.upstreams[name].Restart(m.now)
		case 6:
			m.injectCompetitor(name)
		case 7:
			m.resize(name)
		case 8:
			m.crash(name)
		case 10: // a pause that the dispatcher does not notice
			if pause := m.now.Add(m.randomMillis(50, 290)); pause.After(d.frozenUntil) {
				d.frozenUntil = pause
			}
		case 9: // looks like a crash, but the upstream works on
			d.disconnected[name] = true
			m.after(m.randomMillis(200, 3000), func() { d.disconnected[name] = false })
			if !m.now.Before(d.frozenUntil) {
				m.execute(d, d.scheduler.HandleSuspectedCrash(m.now, name, ""))
			}
		case 5: // the dispatcher loses contact with the origin, which offers its jobs again
			m.execute(m.current, m.current.scheduler.AbandonJobsOf(m.now, "front", 2))
			for _, id := range m.ids() {
				m.offer(m.jobs[id])
			}
		case 4:
			m.upstreams[name].Fail = !m.upstreams[name].Fail
		}
		m.injectFaults()
	})
}

// injectCompetitor disconnects the current dispatcher from an upstream, which the
// other dispatcher then claims until the connection is restored.
func (m *model) injectCompetitor(name string) {
	ours := m.current
	other := m.dispatchers[0]
	if other == ours {
		other = m.dispatchers[1]
	}
	if m.now.Before(other.frozenUntil) || ours.scheduler.HasUnreachablePeers() {
		return
	}
	ours.disconnected[name] = true
	token := ours.token
	m.after(m.randomMillis(400, 700), func() { ours.scheduler.SetUnreachablePeers(true) })
	m.after(m.randomMillis(500, 900), func() {
		if m.current != ours || ours.token != token {
			return
		}
		m.token += 10
		other.token = m.token
		m.logf("begin term on %s, token %d, competing for %s", other.name, other.token, name)
		other.scheduler.BeginTerm(m.now, other.token, modelResumeTimeout)
		m.tellList(other, []string{name}, true)
		m.pollLoop(other, name)
	})
	m.after(m.randomMillis(1500, 4000), func() {
		ours.disconnected[name] = false
		if m.current == ours {
			other.scheduler.EndTerm()
			m.beginTerm(ours)
		}
		m.after(3*time.Second, func() { ours.scheduler.SetUnreachablePeers(false) })
	})
}
