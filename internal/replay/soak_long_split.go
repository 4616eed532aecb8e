package replay

import (
	"context"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
)

// longSplit is a split that may outlast the timers of the daemons, together with the changes of
// VMs and upstreams that happen meanwhile.
type longSplit struct {
	parts []splitPart // the second one begins before the first has healed
	steps []splitStep
}

// splitPart is the separation of one set of groups. Its times count from the beginning of the
// long split.
type splitPart struct {
	split
	storeLossAt time.Duration // of the groups that lose the store
	beginAt     time.Duration
	endAt       time.Duration
}

// splitStep is a change during a long split.
type splitStep struct {
	at       time.Duration // since the beginning of the long split
	duration time.Duration // until the change is undone
	// begin makes the change and returns the function that undoes it.
	begin func() func()
}

// end returns the time from the beginning to the last heal.
func (l longSplit) end() time.Duration {
	var end time.Duration
	for _, p := range l.parts {
		end = max(end, p.endAt)
	}
	return end
}

// runLongSplit runs a long split and returns when everything is healed and undone.
func (s *soakTest) runLongSplit(ctx context.Context, l longSplit) {
	startedAt := time.Now()
	until := func(at time.Duration) { wait.For(ctx, time.Until(startedAt.Add(at))) }
	var running sync.WaitGroup
	for _, p := range l.parts {
		running.Go(func() {
			until(p.storeLossAt)
			healStore := s.cutStores(p.groups)
			until(p.beginAt)
			healNetwork := s.cutNetwork(p.split)
			until(p.endAt)
			healNetwork()
			healStore()
		})
	}
	for _, step := range l.steps {
		running.Go(func() {
			until(step.at)
			undo := step.begin()
			until(step.at + step.duration)
			undo()
		})
	}
	running.Wait()
}

// absentParts are the VMs and upstreams that join for the first time in a long split.
type absentParts struct {
	vms       []*soakVM
	upstreams []*soakUpstream
}

// soakAbsentShare is the number of VMs, and of upstreams, of which one is absent at the start if
// any can join.
const soakAbsentShare = 8

// absentOf returns how many of a number of VMs or upstreams are absent at the start.
func (s *soakTest) absentOf(n int) int {
	switch s.options.OnlyLongSplits {
	case anyLongSplit, "restarts", "changes":
		return n / soakAbsentShare
	}
	return 0
}

// joinVM starts the process of an absent VM. Nothing undoes that.
func (s *soakTest) joinVM(v *soakVM) func() {
	s.recordEvent("%s joins", v.name)
	s.restart(v)
	return func() {}
}

// joinUpstream writes the first entry of an absent upstream. Nothing undoes that.
func (s *soakTest) joinUpstream(u *soakUpstream) func() {
	s.recordEvent("upstream %s joins", u.entry.Name)
	u.update(func() { u.unregistered = false })
	return func() {}
}

// replaceUpstream replaces the process of an upstream, which is down for the given time.
func (s *soakTest) replaceUpstream(u *soakUpstream, down time.Duration) func() {
	s.recordEvent("replace %s", u.entry.Name)
	s.crash(u, down)
	return func() {}
}

// holdRequests holds what callers send to a VM through its balancer.
func (s *soakTest) holdRequests(v *soakVM) func() {
	s.recordEvent("hold requests to %s", v.name)
	l := s.links.get(soakCallers, v.name)
	l.cut()
	return l.heal
}
