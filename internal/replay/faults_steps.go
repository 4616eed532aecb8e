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
func nothing(*scene) error { return nil }

func killVictim(s *scene) error {
	s.kill(s.victim)
	return nil
}

func killNeighbour(s *scene) error {
	v, err := s.neighbour()
	if err == nil {
		s.kill(v)
	}
	return err
}

func (s *scene) kill(v *vm) {
	s.struck[v] = true
	s.cluster.kill(v)
}

func restartVictim(s *scene) error { return s.start(s.victim) }

func join(s *scene) error {
	v, err := s.cluster.addVM(s.victim.dataCentre)
	if err != nil {
		return err
	}
	s.names[v.http] = v.name
	return s.start(v)
}

// start starts a daemon and hands it to the balancer once it is ready.
func (s *scene) start(v *vm) error {
	s.load.balancer.remove(v.http)
	if err := s.cluster.spawn(v); err != nil {
		return err
	}
	s.started.Go(func() error {
		if err := s.cluster.settle(s.ctx, v); err != nil {
			return err
		}
		if err := awaitHTTP(s.ctx, v.http, "/readyz"); err != nil {
			return err
		}
		s.load.balancer.add(v.http)
		return nil
	})
	return nil
}

func drainVictim(s *scene) error {
	s.struck[s.victim] = true
	s.drain(s.victim)
	return nil
}

func drainNeighbour(s *scene) error {
	v, err := s.neighbour()
	if err == nil {
		s.struck[v] = true
		s.drain(v)
	}
	return err
}

// drain sends SIGTERM and does not wait for the exit. The balancer drops the
// VM when its readiness falls.
func (s *scene) drain(v *vm) {
	p := s.cluster.detach(v)
	stop := plannedStop{address: v.http, begin: time.Now()}
	ctx, exited := context.WithCancel(s.ctx)
	s.stopped.Go(func() {
		s.awaitUnready(ctx, v)
		s.load.balancer.remove(v.http)
	})
	s.stopped.Go(func() {
		stop.err = p.stop()
		stop.exit = time.Now()
		exited()
		v.shut()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stops = append(s.stops, stop)
	})
}

// awaitUnready waits until a VM is not ready any more, or has exited.
func (s *scene) awaitUnready(ctx context.Context, v *vm) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+v.http+"/readyz", time.Second)
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

func freezeVictim(s *scene) error {
	s.victim.process.freeze()
	return nil
}

func wakeVictim(s *scene) error {
	s.victim.process.wake()
	return nil
}

// cutDataCentres holds back what the data centres send to each other.
func cutDataCentres(s *scene) error {
	s.acrossDataCentres((*link).cut)
	return nil
}

// resetDataCentres ends the connections between the data centres and lets no
// new ones through.
func resetDataCentres(s *scene) error {
	s.acrossDataCentres((*link).cut)
	s.acrossDataCentres((*link).reset)
	return nil
}

// acrossDataCentres calls f for both directions of each pair of VMs in
// different data centres.
func (s *scene) acrossDataCentres(f func(*link)) {
	for _, a := range s.cluster.vms {
		for _, b := range s.cluster.vms {
			if a.dataCentre != b.dataCentre {
				f(s.cluster.links.get(a.name, b.name))
			}
		}
	}
}

// holdBackVictim lets the victim hear its peers, but not be heard.
func holdBackVictim(s *scene) error {
	for _, v := range s.cluster.vms {
		if v != s.victim {
			s.cluster.links.get(s.victim.name, v.name).cut()
		}
	}
	return nil
}

// cutPlatform cuts every VM off the platform.
func cutPlatform(s *scene) error {
	for _, v := range s.cluster.vms {
		s.cluster.links.get(v.name, platformName).cut()
		s.cluster.links.get(platformName, v.name).cut()
	}
	return nil
}

func healAll(s *scene) error {
	s.cluster.links.healAll()
	return nil
}

func listVictimGone(s *scene) error { return s.cluster.list(s.victim, api.VMGone) }

func loseAnswers(s *scene) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamAnswersLost})
}

func delayAnswers(s *scene) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamAnswersLate, DelayMS: answerDelayMS})
}

func slowUpstreams(s *scene) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamSlow, Factor: slowFactor})
}

func refuseTasks(s *scene) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamRefusing})
}

func failTasks(s *scene) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamFailing})
}

func recoverUpstreams(s *scene) error { return s.strikeUpstreams(api.UpstreamFault{}) }

// strikeUpstreams sets the fault of every second upstream of the victim's data
// centre.
func (s *scene) strikeUpstreams(fault api.UpstreamFault) error {
	for _, upstream := range s.struckUpstreams() {
		if err := standin.SetUpstreamFault(upstream.Address, fault); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) struckUpstreams() []api.VM {
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
func leaveUpstreams(s *scene) error {
	return s.strikeUpstreams(api.UpstreamFault{Mode: api.UpstreamLeaving})
}
