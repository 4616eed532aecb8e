package replay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
)

const (
	// soakMaxHalts bounds the halts of dispatchers, one after another, during a split.
	soakMaxHalts = 3
	// soakSplitRefuseShare is the number of splits of which one refuses connections.
	soakSplitRefuseShare = 5
	// soakSplitResetShare is the number of splits of which one ends with resets.
	soakSplitResetShare = 3
	// soakHaltKillShare is the number of halts of which one kills the process.
	soakHaltKillShare = 5
)

// split is how the data centres are cut off from each other.
type split struct {
	how       pathCut // of VMs from upstreams; VMs always lose each other's traffic silently
	storeless []bool  // by data centre; its VMs are cut off from the store
	reset     bool    // the connections between the data centres are reset at the end
}

func (c split) String() string {
	return fmt.Sprintf("%v, storeless %v, reset at the end %t", c.how, c.storeless, c.reset)
}

// halt suspends or replaces the process of a dispatcher.
type halt struct {
	duration time.Duration
	kill     bool
}

// splitDataCentres cuts the data centres off from each other, including the upstreams, and
// halts dispatchers meanwhile.
func (s *soakTest) splitDataCentres(ctx context.Context) func() {
	c := split{how: cutBoth, storeless: make([]bool, soakDataCentres), reset: s.rng.IntN(soakSplitResetShare) == 0}
	if s.rng.IntN(soakSplitRefuseShare) == 0 {
		c.how = cutRefuse
	}
	for i := range c.storeless {
		c.storeless[i] = s.rng.IntN(2) == 0
	}
	duration, before := s.randomMillis(1000, 6000), s.randomMillis(0, 1200)
	halts := make([]halt, 1+s.rng.IntN(soakMaxHalts))
	for i := range halts {
		halts[i] = halt{duration: s.randomMillis(100, 1200), kill: s.rng.IntN(soakHaltKillShare) == 0}
	}
	return func() {
		heal := s.cutBetweenDataCentres(c)
		var halted sync.WaitGroup
		halted.Go(func() {
			wait.For(ctx, before)
			s.haltDispatchers(ctx, halts)
		})
		wait.For(ctx, duration)
		heal()
		halted.Wait()
	}
}

// haltDispatchers halts the dispatcher with the highest token, and the next one as the
// previous one resumes, so that each finds the runs of the other.
func (s *soakTest) haltDispatchers(ctx context.Context, halts []halt) {
	var halted *soakVM
	resume := func() {}
	for _, h := range halts {
		next := s.dispatcher(halted)
		resumeNext := func() {}
		if next != nil && h.kill {
			resumeNext = s.kill(next)
		} else if next != nil {
			resumeNext = s.freeze(next)
		}
		resume()
		halted, resume = next, resumeNext
		wait.For(ctx, h.duration)
	}
	resume()
}

// cutBetweenDataCentres cuts the VMs of each data centre off from the VMs and the upstreams
// of the others, and returns the function that heals the network.
func (s *soakTest) cutBetweenDataCentres(c split) func() {
	s.recordEvent("split the data centres %v", c)
	s.eachLinkBetween((*link).cut)
	s.eachPathBetween(func(p *upstreamPath) error { return p.setCut(c.how) })
	var heals []func()
	for i, v := range s.vms {
		if c.storeless[i%soakDataCentres] {
			heals = append(heals, s.cutStore(v))
		}
	}
	return func() {
		s.recordEvent("heal the split of the data centres")
		if c.reset {
			s.eachLinkBetween((*link).reset)
			s.eachPathBetween(func(p *upstreamPath) error { p.requests.reset(); return nil })
		}
		s.eachLinkBetween((*link).heal)
		s.eachPathBetween((*upstreamPath).heal)
		for _, heal := range heals {
			heal()
		}
	}
}

// eachLinkBetween calls f with the links between VMs of different data centres.
func (s *soakTest) eachLinkBetween(f func(*link)) {
	for _, a := range s.vms {
		for _, b := range s.vms {
			if a.dataCentre != b.dataCentre {
				f(s.links.get(a.name, b.name))
			}
		}
	}
}

// eachPathBetween calls f with the paths between VMs and the upstreams of other data centres.
func (s *soakTest) eachPathBetween(f func(*upstreamPath) error) {
	for _, u := range s.upstreams {
		var others []*soakVM
		for _, v := range s.vms {
			if v.dataCentre != u.entry.DataCentre {
				others = append(others, v)
			}
		}
		s.eachPath(u, others, f)
	}
}
