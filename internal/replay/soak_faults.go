package replay

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wait"
)

// act begins a random fault; it ends on its own goroutine, so that faults overlap.
func (s *soak) act(ctx context.Context, acts *sync.WaitGroup) {
	v := s.vms[s.rng.IntN(len(s.vms))]
	u := s.upstreams[s.rng.IntN(len(s.upstreams))]
	faults := []func() func(){
		func() func() { return s.kill(v) },
		func() func() { return s.kill(v) },
		func() func() { return s.freeze(v) },
		func() func() { return s.planned(v) },
		func() func() { return s.cutOff(v) },
		func() func() { return s.cutOneWay(v) },
		func() func() { return s.cutDataCentre() },
		func() func() { return s.disturb(v, "reset", (*link).reset) },
		func() func() { return s.disturb(v, "silence", (*link).blackhole) },
		func() func() { return s.slowDown(v) },
		func() func() { return s.storeFault(api.PlatformFaults{Down: true}, "down") },
		func() func() { return s.storeFault(api.PlatformFaults{SlowMS: 300}, "slow") },
		func() func() { return s.storeFault(api.PlatformFaults{LoseAnswers: 20}, "loses answers") },
		func() func() { return s.storeFault(api.PlatformFaults{CutWatches: true}, "cuts watches") },
		func() func() { return s.compact() },
		func() func() { return s.turnAway(v) },
		func() func() { return s.crash(u) },
		func() func() { return s.spoil(u, api.UpstreamFault{Mode: api.UpstreamSlow, Factor: 6}) },
		func() func() { return s.spoil(u, api.UpstreamFault{Mode: api.UpstreamFailing}) },
		func() func() { return s.spoil(u, api.UpstreamFault{Mode: api.UpstreamRefusing}) },
		func() func() { return s.spoil(u, api.UpstreamFault{Mode: api.UpstreamAnswersLost}) },
		func() func() { return s.spoil(u, api.UpstreamFault{Mode: api.UpstreamAnswersLate, DelayMS: 400}) },
		func() func() { return s.hide(u) },
		func() func() { return s.drainUpstream(u) },
	}
	for range 1 + s.rng.IntN(2) {
		end := faults[s.rng.IntN(len(faults))]()
		length := s.between(200, 3500)
		acts.Go(func() {
			wait.For(ctx, length)
			end()
		})
	}
}

// kill ends the process of a VM; the fault ends with a new one.
func (s *soak) kill(v *soakVM) func() {
	s.note("kill %s", v.name)
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

// restart starts a process on a VM that has none.
func (s *soak) restart(v *soakVM) {
	if err := s.spawn(v); err != nil {
		s.judge.mu.Lock()
		defer s.judge.mu.Unlock()
		s.judge.breach("%s does not start: %v", v.name, err)
	}
}

func (s *soak) freeze(v *soakVM) func() {
	s.note("freeze %s", v.name)
	v.signal(syscall.SIGSTOP)
	return func() {
		s.note("wake %s", v.name)
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

// planned stops a VM by SIGTERM, with a SIGHUP before, and starts it again. The
// process must end by itself in its grace, unless it was frozen meanwhile.
func (s *soak) planned(v *soakVM) func() {
	s.note("stop %s", v.name)
	v.mu.Lock()
	p := v.process
	v.process = nil
	if p != nil {
		v.ending = p
	}
	v.mu.Unlock()
	if p == nil {
		return func() { s.restart(v) }
	}
	started := time.Since(p.startedAt) > soakReceives
	if started {
		p.signal(syscall.SIGHUP)
	}
	p.signal(syscall.SIGTERM)
	p.resume()
	return func() {
		timer := time.NewTimer(soakGraceS * time.Second)
		defer timer.Stop()
		select {
		case <-p.exited:
			if p.err != nil && started {
				s.judge.mu.Lock()
				s.judge.breach("%s ended after SIGTERM with %v", v.name, p.err)
				s.judge.mu.Unlock()
			}
		case <-timer.C:
			s.note("%s is killed after its grace", v.name)
			p.kill()
		}
		s.restart(v)
	}
}

// eachLink calls do for both directions between a VM and every other one and the
// store.
func (s *soak) eachLink(v *soakVM, do func(out, in *link)) {
	do(s.links.get(v.name, platformName), s.links.get(platformName, v.name))
	for _, other := range s.vms {
		if other != v {
			do(s.links.get(v.name, other.name), s.links.get(other.name, v.name))
		}
	}
}

func (s *soak) cutOff(v *soakVM) func() {
	s.note("cut %s off", v.name)
	s.eachLink(v, func(out, in *link) { out.cut(); in.cut() })
	return func() {
		s.note("heal %s", v.name)
		s.eachLink(v, func(out, in *link) { out.heal(); in.heal() })
	}
}

func (s *soak) cutOneWay(v *soakVM) func() {
	s.note("cut what %s sends", v.name)
	s.eachLink(v, func(out, _ *link) { out.cut() })
	return func() {
		s.note("heal what %s sends", v.name)
		s.eachLink(v, func(out, _ *link) { out.heal() })
	}
}

func (s *soak) cutDataCentre() func() {
	s.note("cut the data centres")
	each := func(do func(*link)) {
		for _, a := range s.vms {
			for _, b := range s.vms {
				if a.dataCentre != b.dataCentre {
					do(s.links.get(a.name, b.name))
				}
			}
		}
	}
	each((*link).cut)
	return func() {
		s.note("heal the data centres")
		each((*link).heal)
	}
}

func (s *soak) disturb(v *soakVM, what string, do func(*link)) func() {
	s.note("%s the connections of %s", what, v.name)
	s.eachLink(v, func(out, in *link) { do(out); do(in) })
	return func() {}
}

func (s *soak) slowDown(v *soakVM) func() {
	delay := s.between(20, 150)
	s.note("delay %s by %v", v.name, delay)
	s.eachLink(v, func(out, in *link) { out.setDelay(delay); in.setDelay(delay) })
	return func() { s.eachLink(v, func(out, in *link) { out.setDelay(0); in.setDelay(0) }) }
}

func (s *soak) storeFault(faults api.PlatformFaults, what string) func() {
	s.note("the store %s", what)
	s.setStore(faults)
	return func() { s.setStore(api.PlatformFaults{}) }
}

func (s *soak) setStore(faults api.PlatformFaults) {
	if err := s.store.SetFaults(faults); err != nil {
		s.note("store fault: %v", err)
	}
}

func (s *soak) compact() func() {
	s.note("the store drops its history")
	s.store.Compact()
	return func() {}
}

func (s *soak) turnAway(v *soakVM) func() {
	s.note("the store turns %s away", v.name)
	s.links.get(v.name, platformName).cut()
	return func() { s.links.get(v.name, platformName).heal() }
}

func (s *soak) crash(u *soakUpstream) func() {
	s.note("crash %s", u.entry.Name)
	u.Crash()
	return func() {}
}

func (s *soak) spoil(u *soakUpstream, fault api.UpstreamFault) func() {
	s.note("%s is %v", u.entry.Name, fault.Mode)
	if err := u.SetFault(fault); err != nil {
		s.note("fault of %s: %v", u.entry.Name, err)
	}
	return func() { _ = u.SetFault(api.UpstreamFault{}) } // registers nowhere
}

func (s *soak) hide(u *soakUpstream) func() {
	s.note("the entry of %s lapses", u.entry.Name)
	u.set(func() { u.hidden = true })
	return func() { u.set(func() { u.hidden = false }) }
}

func (s *soak) drainUpstream(u *soakUpstream) func() {
	s.note("%s drains", u.entry.Name)
	u.set(func() { u.entry.Draining = true })
	return func() { u.set(func() { u.entry.Draining = false }) }
}

func (u *soakUpstream) set(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

// heal ends every fault and sees that each VM has a process.
func (s *soak) heal() {
	s.note("heal everything")
	s.links.healAll()
	s.setStore(api.PlatformFaults{})
	for _, u := range s.upstreams {
		_ = u.SetFault(api.UpstreamFault{}) // registers nowhere
		u.set(func() { u.hidden, u.entry.Draining = false, false })
	}
	for _, v := range s.vms {
		v.signal(syscall.SIGCONT)
		s.restart(v)
	}
}
