package replay

import (
	"context"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/valyala/fasthttp"
)

const (
	// slowFactor multiplies the run times on slow upstreams.
	slowFactor = 10
	// answerDelayMS is the delay of late answers, in milliseconds.
	answerDelayMS = 400
	// readinessInterval is the time between polls of a VM's readiness.
	readinessInterval = 5 * time.Millisecond
)

// noFault is the step of the control run.
func noFault(*testbed) error { return nil }

func killVictim(tb *testbed) error {
	tb.kill(tb.victim)
	return nil
}

func killNeighbour(tb *testbed) error {
	v, err := tb.neighbour()
	if err == nil {
		tb.kill(v)
	}
	return err
}

func (tb *testbed) kill(v *vm) {
	tb.affected[v] = true
	tb.cluster.kill(v)
}

func restartVictim(tb *testbed) error { return tb.start(tb.victim) }

func joinVM(tb *testbed) error {
	v, err := tb.cluster.addVM(tb.victim.dataCentre)
	if err != nil {
		return err
	}
	tb.vmNames[v.httpAddr] = v.name
	return tb.start(v)
}

// start starts a daemon and returns. In the background, it registers the VM and adds it
// to the balancer once it is ready.
func (tb *testbed) start(v *vm) error {
	tb.load.balancer.remove(v.httpAddr)
	if err := tb.cluster.spawn(v); err != nil {
		return err
	}
	tb.starting.Go(func() error {
		if err := tb.cluster.register(tb.ctx, v); err != nil {
			return err
		}
		if err := awaitHTTP(tb.ctx, v.httpAddr, "/readyz"); err != nil {
			return err
		}
		tb.load.balancer.add(v.httpAddr)
		return nil
	})
	return nil
}

func drainVictim(tb *testbed) error {
	tb.affected[tb.victim] = true
	tb.drain(tb.victim)
	return nil
}

func drainNeighbour(tb *testbed) error {
	v, err := tb.neighbour()
	if err == nil {
		tb.affected[v] = true
		tb.drain(v)
	}
	return err
}

// drain sends SIGTERM to the daemon of a VM without waiting for its exit. The VM leaves
// the balancer once it is not ready.
func (tb *testbed) drain(v *vm) {
	p := tb.cluster.takeProcess(v)
	stop := plannedStop{address: v.httpAddr, startedAt: time.Now()}
	ctx, cancel := context.WithCancel(tb.ctx)
	tb.stopping.Go(func() {
		tb.awaitNotReady(ctx, v)
		tb.load.balancer.remove(v.httpAddr)
	})
	tb.stopping.Go(func() {
		stop.err = p.stop()
		stop.exitedAt = time.Now()
		cancel()
		v.closeRelays()
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.stops = append(tb.stops, stop)
	})
}

// awaitNotReady polls a VM until it is not ready, cannot be reached, or ctx is done.
func (tb *testbed) awaitNotReady(ctx context.Context, v *vm) {
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

func freezeVictim(tb *testbed) error {
	tb.victim.process.freeze()
	return nil
}

func resumeVictim(tb *testbed) error {
	tb.victim.process.resume()
	return nil
}

// cutDataCentres cuts the links between the data centres.
func cutDataCentres(tb *testbed) error {
	tb.forEachLinkBetweenDataCentres((*link).cut)
	return nil
}

// resetDataCentres cuts the links between the data centres and closes the
// connections over them.
func resetDataCentres(tb *testbed) error {
	tb.forEachLinkBetweenDataCentres((*link).cut)
	tb.forEachLinkBetweenDataCentres((*link).reset)
	return nil
}

// forEachLinkBetweenDataCentres calls f with both links of each pair of VMs in different
// data centres.
func (tb *testbed) forEachLinkBetweenDataCentres(f func(*link)) {
	for _, a := range tb.cluster.vms {
		for _, b := range tb.cluster.vms {
			if a.dataCentre != b.dataCentre {
				f(tb.cluster.links.get(a.name, b.name))
			}
		}
	}
}

// cutVictimOutbound cuts the links from the victim to its peers. The victim still
// receives their messages.
func cutVictimOutbound(tb *testbed) error {
	for _, v := range tb.cluster.vms {
		if v != tb.victim {
			tb.cluster.links.get(tb.victim.name, v.name).cut()
		}
	}
	return nil
}

// cutPlatform cuts the links between every VM and the platform.
func cutPlatform(tb *testbed) error {
	for _, v := range tb.cluster.vms {
		tb.cluster.links.get(v.name, platformName).cut()
		tb.cluster.links.get(platformName, v.name).cut()
	}
	return nil
}

func healAll(tb *testbed) error {
	tb.cluster.links.healAll()
	return nil
}

func listVictimGone(tb *testbed) error { return tb.cluster.setListedState(tb.victim, api.VMGone) }

func loseAnswers(tb *testbed) error {
	return tb.setUpstreamFaults(api.UpstreamFault{Mode: api.UpstreamAnswersLost})
}

func delayAnswers(tb *testbed) error {
	return tb.setUpstreamFaults(api.UpstreamFault{Mode: api.UpstreamAnswersLate, DelayMS: answerDelayMS})
}

func slowUpstreams(tb *testbed) error {
	return tb.setUpstreamFaults(api.UpstreamFault{Mode: api.UpstreamSlow, Factor: slowFactor})
}

func refuseTasks(tb *testbed) error {
	return tb.setUpstreamFaults(api.UpstreamFault{Mode: api.UpstreamRefusing})
}

func failTasks(tb *testbed) error {
	return tb.setUpstreamFaults(api.UpstreamFault{Mode: api.UpstreamFailing})
}

func recoverUpstreams(tb *testbed) error { return tb.setUpstreamFaults(api.UpstreamFault{}) }

// setUpstreamFaults sets a fault on the faulty upstreams.
func (tb *testbed) setUpstreamFaults(fault api.UpstreamFault) error {
	for _, upstream := range tb.faultyUpstreams() {
		if err := standin.SetUpstreamFault(upstream.Address, fault); err != nil {
			return err
		}
	}
	return nil
}

// faultyUpstreams returns every second upstream of the victim's data centre.
func (tb *testbed) faultyUpstreams() []api.VM {
	var faulty []api.VM
	i := 0
	for _, upstream := range tb.cluster.upstreams {
		if upstream.DataCentre != tb.victim.dataCentre {
			continue
		}
		if i%2 == 0 {
			faulty = append(faulty, upstream)
		}
		i++
	}
	return faulty
}

// markUpstreamsLeaving makes the faulty upstreams refuse tasks and mark themselves as
// leaving in their entries.
func markUpstreamsLeaving(tb *testbed) error {
	return tb.setUpstreamFaults(api.UpstreamFault{Mode: api.UpstreamLeaving})
}
