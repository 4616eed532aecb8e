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
	// soakGroupsHaltShare is the number of splits, other than of data centres, of which one
	// halts dispatchers.
	soakGroupsHaltShare = 3
	// soakSplitRefuseShare is the number of splits of which one refuses connections.
	soakSplitRefuseShare = 5
	// soakSplitResetShare is the number of splits of which one ends with resets.
	soakSplitResetShare = 3
	// soakHaltKillShare is the number of halts of which one kills the process.
	soakHaltKillShare = 5
)

// vmGroup is a group of VMs that hear each other during a split.
type vmGroup struct {
	vms       []*soakVM
	lost      []*soakUpstream // upstreams that the group does not reach
	storeless bool
}

func (g vmGroup) String() string {
	lost := make([]string, len(g.lost))
	for i, u := range g.lost {
		lost[i] = u.entry.Name
	}
	return fmt.Sprintf("%v without %v, storeless %t", vmNames(g.vms), lost, g.storeless)
}

// split is how groups of VMs are cut off from each other and from upstreams.
type split struct {
	groups []vmGroup
	how    pathCut // of VMs from upstreams; VMs always lose each other's traffic silently
	reset  bool    // the connections that were cut are reset at the end
	oneWay bool    // only what the first group sends to the other VMs is lost
}

func (c split) String() string {
	oneWay := ""
	if c.oneWay {
		oneWay = ", only traffic of the first group is lost"
	}
	return fmt.Sprintf("%v, %v, reset at the end %t%s", c.groups, c.how, c.reset, oneWay)
}

// halt suspends or replaces the process of a dispatcher.
type halt struct {
	duration time.Duration
	kill     bool
}

// split cuts groups of VMs off from each other and from the upstreams that they lose, and
// halts some dispatchers meanwhile.
func (s *soakTest) split(ctx context.Context, groups []vmGroup, haltCount int) func() {
	c := split{groups: groups, how: cutBoth, reset: s.rng.IntN(soakSplitResetShare) == 0}
	if s.rng.IntN(soakSplitRefuseShare) == 0 {
		c.how = cutRefuse
	}
	for i := range groups {
		groups[i].storeless = s.rng.IntN(2) == 0
	}
	duration, before := s.randomMillis(1000, 6000), s.randomMillis(0, 1200)
	halts := make([]halt, haltCount)
	for i := range halts {
		halts[i] = halt{duration: s.randomMillis(100, 1200), kill: s.rng.IntN(soakHaltKillShare) == 0}
	}
	return func() {
		heal := s.cutGroups(c)
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

// cutGroups begins a split and returns the function that heals the network.
func (s *soakTest) cutGroups(c split) func() {
	healNetwork := s.cutNetwork(c)
	healStore := s.cutStores(c.groups)
	return func() {
		healNetwork()
		healStore()
	}
}

// cutNetwork cuts groups off from each other and from the upstreams that they lose, and returns
// the function that heals the network.
func (s *soakTest) cutNetwork(c split) func() {
	s.recordEvent("split the VMs: %v", c)
	s.checker.recordSplit(len(c.groups))
	s.eachCutLink(c, (*link).cut)
	s.eachLostPath(c.groups, func(p *upstreamPath) error { return p.setCut(c.how) })
	return func() {
		s.recordEvent("heal the split of the VMs")
		if c.reset {
			s.eachCutLink(c, (*link).reset)
			s.eachLostPath(c.groups, func(p *upstreamPath) error { p.requests.reset(); return nil })
		}
		s.eachCutLink(c, (*link).heal)
		s.eachLostPath(c.groups, (*upstreamPath).heal)
	}
}

// cutStores cuts the groups that lose the store off from it and returns the function that heals
// the network.
func (s *soakTest) cutStores(groups []vmGroup) func() {
	var heals []func()
	for _, g := range groups {
		if g.storeless {
			for _, v := range g.vms {
				heals = append(heals, s.cutStore(v))
			}
		}
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

// eachCutLink calls f with the links between VMs that a split cuts.
func (s *soakTest) eachCutLink(c split, f func(*link)) {
	if !c.oneWay {
		s.eachLinkBetween(c.groups, f)
		return
	}
	for _, to := range c.groups[1:] {
		s.eachLinkFrom(c.groups[0], to, f)
	}
}

// eachLinkBetween calls f with the links between VMs of different groups.
func (s *soakTest) eachLinkBetween(groups []vmGroup, f func(*link)) {
	for i, from := range groups {
		for j, to := range groups {
			if i != j {
				s.eachLinkFrom(from, to, f)
			}
		}
	}
}

// eachLinkFrom calls f with the links from the VMs of a group to those of another one.
func (s *soakTest) eachLinkFrom(from, to vmGroup, f func(*link)) {
	for _, a := range from.vms {
		for _, b := range to.vms {
			f(s.links.get(a.name, b.name))
		}
	}
}

// eachLostPath calls f with the paths between each group and the upstreams that it loses.
func (s *soakTest) eachLostPath(groups []vmGroup, f func(*upstreamPath) error) {
	for _, g := range groups {
		for _, u := range g.lost {
			s.eachPath(u, g.vms, f)
		}
	}
}
