package replay

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wait"
)

// injectFault injects one or two random faults. Each ends after a random time on its own
// goroutine, so faults overlap.
func (s *soakTest) injectFault(ctx context.Context, pending *sync.WaitGroup) {
	v := s.vms[s.rng.IntN(len(s.vms))]
	u := s.upstreams[s.rng.IntN(len(s.upstreams))]
	// Each function injects a fault and returns the function that ends it. A fault that is
	// listed twice is drawn twice as often.
	faults := []func() func(){
		func() func() { return s.disturbed(s.kill(v)) },
		func() func() { return s.disturbed(s.kill(v)) },
		func() func() { return s.disturbed(s.freeze(v)) },
		func() func() { return s.disturbed(s.stopGracefully(v)) },
		func() func() { return s.disturbed(s.isolate(v)) },
		func() func() { return s.disturbed(s.cutOutbound(v)) },
		func() func() { return s.disturbed(s.cutDataCentres()) },
		func() func() { return s.disturbed(s.disruptConnections(v, "reset", (*link).reset)) },
		func() func() { return s.disturbed(s.disruptConnections(v, "silence", (*link).blackhole)) },
		func() func() { return s.disturbed(s.delayTraffic(v)) },
		func() func() { return s.disturbed(s.injectStoreFault(api.PlatformFaults{Down: true}, "down")) },
		func() func() { return s.disturbed(s.injectStoreFault(api.PlatformFaults{SlowMS: 300}, "slow")) },
		func() func() {
			return s.disturbed(s.injectStoreFault(api.PlatformFaults{LoseAnswers: 20}, "lost answers"))
		},
		func() func() {
			return s.disturbed(s.injectStoreFault(api.PlatformFaults{CutWatches: true}, "cut watches"))
		},
		func() func() { return s.disturbed(s.compactStore()) },
		func() func() { return s.disturbed(s.cutStore(v)) },
		func() func() { return s.crashUpstream(u) },
		func() func() { return s.resize(u) },
		func() func() { return s.resize(u) },
		func() func() { return s.injectUpstreamFault(u, api.UpstreamFault{Mode: api.UpstreamSlow, Factor: 6}) },
		func() func() { return s.injectUpstreamFault(u, api.UpstreamFault{Mode: api.UpstreamFailing}) },
		func() func() { return s.injectUpstreamFault(u, api.UpstreamFault{Mode: api.UpstreamRefusing}) },
		func() func() { return s.injectUpstreamFault(u, api.UpstreamFault{Mode: api.UpstreamAnswersLost}) },
		func() func() {
			return s.injectUpstreamFault(u, api.UpstreamFault{Mode: api.UpstreamAnswersLate, DelayMS: 400})
		},
		func() func() { return s.disturbed(s.removeEntry(u)) },
		func() func() { return s.drainUpstream(u) },
		func() func() { return s.cutUpstream(u, s.vms, pathCut(s.rng.IntN(int(pathCuts)))) },
		func() func() { return s.cutUpstream(u, []*soakVM{v}, pathCut(s.rng.IntN(int(pathCuts)))) },
		func() func() { return s.resetUpstream(u, s.vms) },
		func() func() { return s.flap(u) },
	}
	for range 1 + s.rng.IntN(2) {
		endFault := faults[s.rng.IntN(len(faults))]()
		duration := s.randomMillis(200, 3500)
		pending.Go(func() {
			wait.For(ctx, duration)
			endFault()
		})
	}
}

// kill sends SIGKILL to the process of a VM. A new process starts when the fault ends.
func (s *soakTest) kill(v *soakVM) func() {
	s.recordEvent("kill %s", v.name)
	v.mu.Lock()
	if v.process != nil {
		v.process.kill()
		v.process = nil
	}
	v.mu.Unlock()
	for _, r := range v.relays {
		r.close()
	}
	return func() { s.restart(v) }
}

// restart starts a process on a VM unless it has one.
func (s *soakTest) restart(v *soakVM) {
	if err := s.spawn(v); err != nil {
		s.checker.mu.Lock()
		defer s.checker.mu.Unlock()
		s.checker.violation("%s failed to start: %v", v.name, err)
	}
}

func (s *soakTest) freeze(v *soakVM) func() {
	s.recordEvent("freeze %s", v.name)
	v.signal(syscall.SIGSTOP)
	return func() {
		s.recordEvent("resume %s", v.name)
		v.signal(syscall.SIGCONT)
	}
}

func (v *soakVM) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		v.process.signal(signal)
	}
}

// stopGracefully sends SIGHUP and SIGTERM to the process of a VM and starts a new one
// when the fault ends. A process that has not exited by the end of its grace period is
// killed; it may have been frozen by another fault.
func (s *soakTest) stopGracefully(v *soakVM) func() {
	s.recordEvent("stop %s", v.name)
	v.mu.Lock()
	p := v.process
	v.process = nil
	if p != nil {
		v.stopping = p
	}
	v.mu.Unlock()
	if p == nil {
		return func() { s.restart(v) }
	}
	handlesSignals := time.Since(p.startedAt) > soakSignalDelay
	if handlesSignals {
		p.signal(syscall.SIGHUP)
	}
	p.signal(syscall.SIGTERM)
	p.resume()
	return func() {
		timer := time.NewTimer(soakGraceSeconds * time.Second)
		defer timer.Stop()
		select {
		case <-p.exited:
			if p.err != nil && handlesSignals {
				s.checker.mu.Lock()
				s.checker.violation("%s exited after SIGTERM with an error: %v", v.name, p.err)
				s.checker.mu.Unlock()
			}
		case <-timer.C:
			s.recordEvent("kill %s at the end of its grace period", v.name)
			p.kill()
		}
		s.restart(v)
	}
}

// eachLink calls f with both directions of the links between a VM and the store and
// between the VM and every other VM.
func (s *soakTest) eachLink(v *soakVM, f func(out, in *link)) {
	f(s.links.get(v.name, platformName), s.links.get(platformName, v.name))
	for _, other := range s.vms {
		if other != v {
			f(s.links.get(v.name, other.name), s.links.get(other.name, v.name))
		}
	}
}

func (s *soakTest) isolate(v *soakVM) func() {
	s.recordEvent("isolate %s", v.name)
	s.eachLink(v, func(out, in *link) { out.cut(); in.cut() })
	return func() {
		s.recordEvent("heal %s", v.name)
		s.eachLink(v, func(out, in *link) { out.heal(); in.heal() })
	}
}

func (s *soakTest) cutOutbound(v *soakVM) func() {
	s.recordEvent("cut outbound traffic of %s", v.name)
	s.eachLink(v, func(out, _ *link) { out.cut() })
	return func() {
		s.recordEvent("heal outbound traffic of %s", v.name)
		s.eachLink(v, func(out, _ *link) { out.heal() })
	}
}

func (s *soakTest) cutDataCentres() func() {
	s.recordEvent("partition the data centres")
	groups := s.separateDataCentres()
	s.eachLinkBetween(groups, (*link).cut)
	return func() {
		s.recordEvent("heal the partition of the data centres")
		s.eachLinkBetween(groups, (*link).heal)
	}
}

// disruptConnections calls f with every link of a VM. The fault event uses action as the
// verb for f.
func (s *soakTest) disruptConnections(v *soakVM, action string, f func(*link)) func() {
	s.recordEvent("%s the connections of %s", action, v.name)
	s.eachLink(v, func(out, in *link) { f(out); f(in) })
	return func() {}
}

func (s *soakTest) delayTraffic(v *soakVM) func() {
	delay := s.randomMillis(20, 150)
	s.recordEvent("delay traffic of %s by %v", v.name, delay)
	s.eachLink(v, func(out, in *link) { out.setDelay(delay); in.setDelay(delay) })
	return func() { s.eachLink(v, func(out, in *link) { out.setDelay(0); in.setDelay(0) }) }
}

func (s *soakTest) injectStoreFault(faults api.PlatformFaults, description string) func() {
	s.recordEvent("store fault: %s", description)
	s.setStoreFaults(faults)
	return func() { s.setStoreFaults(api.PlatformFaults{}) }
}

func (s *soakTest) setStoreFaults(faults api.PlatformFaults) {
	if err := s.store.SetFaults(faults); err != nil {
		s.recordEvent("setting the store faults failed: %v", err)
	}
}

func (s *soakTest) compactStore() func() {
	s.recordEvent("compact the store")
	s.store.Compact()
	return func() {}
}

func (s *soakTest) cutStore(v *soakVM) func() {
	s.recordEvent("cut %s off from the store", v.name)
	s.links.get(v.name, platformName).cut()
	return func() { s.links.get(v.name, platformName).heal() }
}

func (s *soakTest) injectUpstreamFault(u *soakUpstream, fault api.UpstreamFault) func() {
	s.recordEvent("upstream %s is %v", u.entry.Name, fault.Mode)
	if err := u.SetFault(fault); err != nil {
		s.recordEvent("setting the fault of upstream %s failed: %v", u.entry.Name, err)
	}
	return func() { _ = u.SetFault(api.UpstreamFault{}) } // cannot fail without a platform address
}

func (s *soakTest) removeEntry(u *soakUpstream) func() {
	s.recordEvent("remove the entry of upstream %s", u.entry.Name)
	u.update(func() { u.unregistered = true })
	return func() { u.update(func() { u.unregistered = false }) }
}

func (s *soakTest) drainUpstream(u *soakUpstream) func() {
	s.recordEvent("drain upstream %s", u.entry.Name)
	u.update(func() { u.entry.Draining, u.drainingAt = true, time.Now() })
	return func() { u.update(func() { u.entry.Draining = false }) }
}

func (u *soakUpstream) update(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

// healAll ends every fault and starts a process on each VM that has none.
func (s *soakTest) healAll() {
	s.recordEvent("heal all faults")
	s.links.healAll()
	s.setStoreFaults(api.PlatformFaults{})
	for _, u := range s.upstreams {
		_ = u.SetFault(api.UpstreamFault{}) // cannot fail without a platform address
		u.update(func() { u.unregistered, u.entry.Draining = false, false })
		s.eachPath(u, s.vms, (*upstreamPath).healFully)
	}
	for _, v := range s.vms {
		v.signal(syscall.SIGCONT)
		s.restart(v)
	}
}
