package replay

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/valyala/fasthttp"
)

const (
	// slowFactor is the factor of the run times on slow upstreams.
	slowFactor = 10
	// answerDelayMS is the lateness of late answers, in milliseconds.
	answerDelayMS = 400
	// readinessInterval is the time between two looks at a VM's readiness.
	readinessInterval = 5 * time.Millisecond
)

// nothing is the step of the control run.
func nothing(*testbed) error { return nil }

func killVictim(s *testbed) error {
	s.kill(s.victim)
	return nil
}

func killNeighbour(s *testbed) error {
	v, err := s.neighbour()
	if err == nil {
		s.kill(v)
	}
	return err
}

func (s *testbed) kill(v *vm) {
	s.struck[v] = true
	s.cluster.kill(v)
}

func restartVictim(s *testbed) error { return s.start(s.victim) }

func join(s *testbed) error {
	v, err := s.cluster.addVM(s.victim.dataCentre)
	if err != nil {
		return err
	}
	s.names[v.httpAddr] = v.name
	return s.start(v)
}

// start starts a daemon and hands it to the balancer once it is ready.
func (s *testbed) start(v *vm) error {
	s.load.balancer.remove(v.httpAddr)
	if err := s.cluster.spawn(v); err != nil {
		return err
	}
	s.started.Go(func() error {
		if err := s.cluster.register(s.ctx, v); err != nil {
			return err
		}
		if err := awaitHTTP(s.ctx, v.httpAddr, "/readyz"); err != nil {
			return err
		}
		s.load.balancer.add(v.httpAddr)
		return nil
	})
	return nil
}

func drainVictim(s *testbed) error {
	s.struck[s.victim] = true
	s.drain(s.victim)
	return nil
}

func drainNeighbour(s *testbed) error {
	v, err := s.neighbour()
	if err == nil {
		s.struck[v] = true
		s.drain(v)
	}
	return err
}

// drain sends SIGTERM and does not wait for the exit. The balancer drops the
// VM when its readiness falls.
func (s *testbed) drain(v *vm) {
	p := s.cluster.takeProcess(v)
	stop := plannedStop{address: v.httpAddr, begin: time.Now()}
	ctx, exited := context.WithCancel(s.ctx)
	s.stopped.Go(func() {
		s.awaitUnready(ctx, v)
		s.load.balancer.remove(v.httpAddr)
	})
	s.stopped.Go(func() {
		stop.err = p.stop()
		stop.exit = time.Now()
		exited()
		v.closeRelays()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stops = append(s.stops, stop)
	})
}

// awaitUnready waits until a VM is not ready any more, or has exited.
func (s *testbed) awaitUnready(ctx context.Context, v *vm) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+v.httpAddr+"/readyz", time.Second)
		if err != nil || status != fasthttp.StatusOK {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func freezeVictim(s *testbed) error {
	s.victim.process.freeze()
	return nil
}

func wakeVictim(s *testbed) error {
	s.victim.process.resume()
	return nil
}

// cutDataCentres holds back what the data centres send to each other.
func cutDataCentres(s *testbed) error {
	s.acrossDataCentres((*link).cut)
	return nil
}

// resetDataCentres ends the connections between the data centres and lets no
// new ones through.
func resetDataCentres(s *testbed) error {
	s.acrossDataCentres((*link).cut)
	s.acrossDataCentres((*link).reset)
	return nil
}

// acrossDataCentres calls f for both directions of each pair of VMs in
// different data centres.
func (s *testbed) acrossDataCentres(f func(*link)) {
	for _, a := range s.cluster.vms {
		for _, b := range s.cluster.vms {
			if a.dataCentre != b.dataCentre {
				f(s.cluster.links.get(a.name, b.name))
			}
		}
	}
}

// holdBackVictim lets the victim hear its peers, but not be heard.
func holdBackVictim(s *testbed) error {
	for _, v := range s.cluster.vms {
		if v != s.victim {
			s.cluster.links.get(s.victim.name, v.name).cut()
		}
	}
	return nil
}

// cutPlatform cuts every VM off the platform.
func cutPlatform(s *testbed) error {
	for _, v := range s.cluster.vms {
		s.cluster.links.get(v.name, platformName).cut()
		s.cluster.links.get(platformName, v.name).cut()
	}
	return nil
}

func healAll(s *testbed) error {
	s.cluster.links.healAll()
	return nil
}

func listVictimGone(s *testbed) error { return s.cluster.setListedState(s.victim, api.VMGone) }

func loseAnswers(s *testbed) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamAnswersLost})
}

func delayAnswers(s *testbed) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamAnswersLate, DelayMS: answerDelayMS})
}

func slowUpstreams(s *testbed) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamSlow, Factor: slowFactor})
}

func refuseTasks(s *testbed) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamRefusing})
}

func failTasks(s *testbed) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamFailing})
}

func recoverUpstreams(s *testbed) error { return s.strikeUpstreams(api.UpstreamFault{}) }

// strikeUpstreams sets the fault of every second upstream of the victim's data
// centre.
func (s *testbed) strikeUpstreams(fault api.UpstreamFault) error {
	for _, upstream := range s.struckUpstreams() {
		if err := standin.SetUpstreamFault(upstream.Address, fault); err != nil {
			return err
		}
	}
	return nil
}

func (s *testbed) struckUpstreams() []api.VM {
	var struck []api.VM
	local := 0
	for _, upstream := range s.cluster.upstreams {
		if upstream.DataCentre != s.victim.dataCentre {
			continue
		}
		if local%2 == 0 {
			struck = append(struck, upstream)
		}
		local++
	}
	return struck
}

// leaveUpstreams lets the struck upstreams refuse tasks and say in their entries
// that they leave.
func leaveUpstreams(s *testbed) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamLeaving})
}
