package scheduler_test

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
)

// The platform's store in the split model. Entries of VMs and of upstreams lapse with their leases
// while their writers do not reach it.

const (
	entryTTL              = 4 * time.Second
	memberRenewInterval   = 1300 * time.Millisecond
	upstreamRenewInterval = 2 * time.Second
	listInterval          = 2 * time.Second
	storeRetryDelay       = 250 * time.Millisecond
	watchInterval         = 100 * time.Millisecond
)

// splitStore holds the entries.
type splitStore struct {
	revision  int64
	members   map[string]storedMember // by VM
	upstreams map[string]time.Time    // when the lease ends
	roster    map[string]fleet.Member // the last process of each VM; has no lease
}

type storedMember struct {
	member fleet.Member
	until  time.Time
}

func newSplitStore() *splitStore {
	return &splitStore{revision: 1, members: map[string]storedMember{}, upstreams: map[string]time.Time{}, roster: map[string]fleet.Member{}}
}

func (s *splitStore) putMember(now time.Time, member fleet.Member) {
	s.members[member.VM] = storedMember{member, now.Add(entryTTL)}
	s.roster[member.VM] = member
	s.revision++
}

func (s *splitStore) putUpstream(now time.Time, name string) {
	s.upstreams[name] = now.Add(entryTTL)
	s.revision++
}

// presentMembers returns the members whose entries have not lapsed.
func (s *splitStore) presentMembers(now time.Time) (members []fleet.Member) {
	for _, e := range s.members {
		if now.Before(e.until) {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, func(a, b fleet.Member) int { return int(a.Incarnation) - int(b.Incarnation) })
	return members
}

// presentUpstreams returns the upstreams whose entries have not lapsed, as of a revision.
func (s *splitStore) presentUpstreams(now time.Time) (names map[string]bool, revision int64) {
	names = map[string]bool{}
	for name, until := range s.upstreams {
		if now.Before(until) {
			names[name] = true
		}
	}
	return names, s.revision
}

// renewUpstream keeps the entry of an upstream.
func (m *splitModel) renewUpstream(name string) {
	if m.upstreamHasStore(name) && !m.down(name) {
		m.store.putUpstream(m.now, name)
	}
	m.after(upstreamRenewInterval, func() { m.renewUpstream(name) })
}

// startStore fills the store, with the entries of the first processes, and keeps the upstreams' entries.
func (m *splitModel) startStore() {
	for i, name := range m.names {
		m.store.putUpstream(m.now, name)
		m.after(time.Duration(i)*upstreamRenewInterval/splitUpstreams, func() { m.renewUpstream(name) })
	}
	for _, n := range m.nodes {
		m.store.putMember(m.now, n.member)
	}
	members := m.store.presentMembers(m.now)
	for _, n := range m.nodes {
		n.fleet.SetListed(members)
		n.fleet.SetRoster(members)
		n.rosterRead = true
	}
}

// renewMember keeps the entry of the process.
func (n *splitNode) renewMember() {
	if n.m.hasStore(n.vm) && !n.member.Draining {
		n.m.store.putMember(n.m.now, n.member)
	}
}

// watchStore lists the members and the upstreams, again and again. A process that dispatches, or ranks
// first in its data centre, learns of changes soon.
func (n *splitNode) watchStore() {
	n.do(func() {
		n.readStore()
		pause := listInterval
		if n.token != 0 || n.view.TopInDataCentre {
			pause = watchInterval
		}
		n.m.after(pause, n.watchStore)
	})
}

// readStore lists the members and the upstreams once.
func (n *splitNode) readStore() {
	m, begun := n.m, n.m.now
	m.after(m.delay(), func() {
		if !m.hasStore(n.vm) {
			return
		}
		members := m.store.presentMembers(m.now)
		names, revision := m.store.presentUpstreams(m.now)
		m.after(m.delay(), func() {
			n.do(func() {
				n.fleet.SetListed(members)
				n.updatedAt = m.now
				n.replaceUpstreams(names, revision)
				if n.token != 0 && !begun.Before(n.termStart) && len(n.hidden) == 0 {
					n.scheduler.ConfirmList(n.token)
				}
			})
		})
	})
}

// watchRoster reads the roster after the start, and while the process dispatches and a member is not heard.
func (n *splitNode) watchRoster() {
	n.do(func() {
		pause := listInterval
		if !n.rosterRead || n.token != 0 && n.view.Silence != fleet.SilenceNone {
			if n.m.hasStore(n.vm) {
				n.readRoster()
			} else {
				pause = storeRetryDelay
			}
		}
		n.m.after(pause, n.watchRoster)
	})
}

func (n *splitNode) readRoster() {
	m := n.m
	m.after(m.delay(), func() {
		if !m.hasStore(n.vm) {
			return
		}
		members := slices.SortedFunc(maps.Values(m.store.roster), func(a, b fleet.Member) int { return int(a.Incarnation) - int(b.Incarnation) })
		m.after(m.delay(), func() {
			n.do(func() {
				n.fleet.SetRoster(members)
				n.rosterRead = true
				n.updateTerm()
			})
		})
	})
}
