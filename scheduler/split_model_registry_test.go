package scheduler_test

import (
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/scheduler"
)

// The list of upstreams of the processes in the split model.

const (
	lapsedRetention = 10 * time.Second
	lapseGrace      = 2500 * time.Millisecond
	staleListTime   = 500 * time.Millisecond
	maxReadGap      = listInterval + 500*time.Millisecond
	registryMaxAge  = 2*listInterval + 500*time.Millisecond
	// Limits of the time until a VM fetches the list of a peer, in ms.
	pullDelayMin = 60
	pullDelayMax = 200
)

// splitRegistry is the list of upstreams of a process.
type splitRegistry struct {
	listedAt  time.Time // time of the first listing, or of the first one after a maxReadGap
	readAt    time.Time // time of the last listing
	updatedAt time.Time // when the store last answered
	revision  int64     // 0 before the first listing
	lostAt    time.Time // when a member that may dispatch was last not heard
	pulling   bool
	// candidateAt is when the process became a candidate; zero if it always was.
	candidateAt time.Time
	lacking     bool // mayLack, as of the last call of applyUpstreams
	// lapsed tells by upstream when its entry has lapsed; zero if it has not.
	lapsed map[string]time.Time
	// hidden holds the upstreams that the list lacks because it is old.
	hidden map[string]bool
}

// replaceUpstreams replaces the list by a newer one.
func (n *splitNode) replaceUpstreams(listed map[string]bool, revision int64) {
	now := n.m.now
	for _, name := range n.m.names {
		at, known := n.lapsed[name]
		switch {
		case listed[name] && !n.hidden[name] && (!known || !at.IsZero()):
			n.m.logf("fault: %s lists %s", n.name, name)
			n.lapsed[name] = time.Time{}
		case !listed[name] && known && at.IsZero():
			n.m.logf("fault: %s sees that the entry of %s has lapsed", n.name, name)
			n.lapsed[name] = now
			for _, d := range []time.Duration{lapseGrace, lapsedRetention} {
				n.m.after(d, func() { n.do(n.applyUpstreams) })
			}
		}
	}
	n.revision = max(n.revision, revision)
	if n.listedAt.IsZero() || now.Sub(n.readAt) > maxReadGap {
		n.listedAt = now
	}
	n.readAt = now
	n.applyUpstreams()
}

// noteLoss keeps the upstreams whose entries have lapsed while a member that may dispatch is not heard,
// and for lapsedRetention after that.
func (n *splitNode) noteLoss(old, v *fleet.View) {
	if v.Candidate && !old.Candidate {
		n.candidateAt = n.m.now
	}
	switch {
	case v.Silence == fleet.SilenceLong:
		n.lostAt = n.m.now
		if old.Silence != fleet.SilenceLong {
			n.readRoster()
		}
	case old.Silence == fleet.SilenceLong:
		n.m.after(lapsedRetention, func() { n.do(n.applyUpstreams) })
	}
	if n.lacking != n.mayLack() {
		n.applyUpstreams()
	}
}

// mayLack reports whether upstreams that a lost member uses may be missing from the list.
func (n *splitNode) mayLack() bool {
	return n.view.LostBefore(later(n.listedAt, n.candidateAt)) || len(n.view.Lost) > 0 && n.m.now.Sub(n.updatedAt) > maxReadGap
}

// forgets reports whether an entry that has lapsed at a time is dropped.
func (n *splitNode) forgets(at time.Time) bool {
	now := n.m.now
	return !at.IsZero() && now.Sub(at) >= lapsedRetention && (n.lostAt.IsZero() || now.Sub(n.lostAt) >= lapsedRetention)
}

// listUpstream adds an upstream that the list has lacked because it is old.
func (n *splitNode) listUpstream(name string) {
	if n.hidden[name] {
		n.m.logf("fault: %s lists %s", n.name, name)
		delete(n.hidden, name)
		n.lapsed[name] = time.Time{}
		n.applyUpstreams()
		n.confirmList()
	}
}

// pullUpstreams fetches the list of a peer that lists more, or, while the store does not answer, one
// that is newer.
func (n *splitNode) pullUpstreams(from *splitNode, revision int64) {
	m := n.m
	for _, name := range m.names {
		if at, listed := from.lapsed[name]; n.hidden[name] && listed && at.IsZero() {
			m.after(m.randomMillis(pullDelayMin, pullDelayMax), func() {
				n.pull(from.vm, func(listed map[string]bool, _ int64) {
					if listed[name] {
						n.listUpstream(name)
					}
				})
			})
		}
	}
	if n.pulling || revision <= n.revision || m.now.Sub(n.updatedAt) < registryMaxAge || !n.view.TopInDataCentre && !n.view.Candidate {
		return
	}
	n.pulling = true
	m.after(m.randomMillis(pullDelayMin, pullDelayMax), func() {
		n.pulling = false
		n.pull(from.vm, func(listed map[string]bool, revision int64) {
			if revision > n.revision {
				n.replaceUpstreams(listed, revision)
				n.confirmList()
			}
		})
	})
}

// pull fetches the list of a peer.
func (n *splitNode) pull(from int, apply func(listed map[string]bool, revision int64)) {
	type state struct {
		listed   map[string]bool
		revision int64
	}
	handle := func(peer *splitNode, respond func(state)) {
		s := state{map[string]bool{}, peer.revision}
		for name, at := range peer.lapsed {
			if at.IsZero() {
				s.listed[name] = true
			}
		}
		respond(s)
	}
	n.do(func() {
		call(n, from, n.peerTimeout(), handle, func(s state, err error) {
			if err == nil {
				apply(s.listed, s.revision)
			}
		})
	})
}

// mayMissLapsed reports whether the list may lack upstreams whose entries lapsed before the first
// listing.
func (n *splitNode) mayMissLapsed() bool { return n.m.now.Sub(n.listedAt) < lapsedRetention }

// confirmList tells the scheduler whether the dispatchers before have listed the same upstreams.
func (n *splitNode) confirmList() {
	now := n.m.now
	paused := !n.pausedAt.IsZero() && now.Sub(n.pausedAt) < lapsedRetention
	if n.token != 0 && !paused && n.fleet.DispatchersListed(now.Add(-lapsedRetention), n.listDigest()) {
		n.scheduler.ConfirmList(n.token)
	}
}

func (n *splitNode) listDigest() (digest uint64) {
	for name := range n.lapsed {
		digest ^= rendezvous.Hash(name)
	}
	return digest
}

// applyUpstreams tells the scheduler which upstreams to claim.
func (n *splitNode) applyUpstreams() {
	m := n.m
	var list []scheduler.Upstream
	var names []string
	partial := n.mayLack()
	n.lacking = partial
	for _, name := range m.names {
		at, known := n.lapsed[name]
		lapsedFor := m.now.Sub(at)
		switch {
		case !known:
		case n.forgets(at):
			m.logf("fault: %s forgets %s, whose entry has lapsed", n.name, name)
			delete(n.lapsed, name)
		case n.view.ShouldClaim(n.member, name, m.upstreams[name].Info.DataCentre):
			u := m.upstreams[name].Info
			u.Missing = !at.IsZero() && lapsedFor >= lapseGrace
			list, names = append(list, u), append(names, name)
		default:
			partial = true
		}
	}
	completeSince := time.Time{}
	if n.mayMissLapsed() {
		completeSince = n.listedAt.Add(staleListTime)
	}
	n.scheduler.SetListCompleteSince(completeSince)
	n.listed, n.partial = names, partial
	n.scheduler.SetUpstreams(m.now, list, partial)
	n.pollAll()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
