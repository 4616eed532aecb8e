package scheduler_test

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/scheduler"
)

// The terms of the processes in the split model.

// termFor returns the term that a VM must name in its offers; 0 while not dispatching.
func (n *splitNode) termFor(vm string) uint64 {
	if n.token == 0 {
		return 0
	}
	count := uint64(0)
	if o := n.origins[vm]; o != nil {
		count = o.abandonCount
	}
	return uint64(n.token)<<abandonBits | count
}

func (n *splitNode) updateTerm() {
	now := n.m.now
	old := n.view
	n.view = n.fleet.View(now, n.termFor(n.name))
	v := &n.view
	if !v.Candidate && n.token == 0 {
		v.Silence, v.Lost = fleet.SilenceNone, nil
	}
	v.Silence = max(v.Silence, n.claimSilence())
	if hasRivals(v) {
		n.rivalSeenAt = now
	}
	if slices.ContainsFunc(v.Reachable, func(h fleet.Heartbeat) bool { return h.Term != 0 }) {
		n.scheduler.NotePeerDispatching(now)
	}
	n.scheduler.SetUnreachablePeers(now.Sub(n.rivalSeenAt) < rivalTimeout)
	n.notePeerLoss(v.Silence)
	n.noteLoss(&old, v)
	n.confirmList()
	token := n.token
	switch {
	case token != 0 && v.Dispatcher.VM != n.name:
		n.endTerm()
	case token == 0 && v.TopRanked.VM == n.name && n.canStartTerm():
		n.startTerm("first")
	case token != 0:
		n.checkClaims()
	}
	n.abandonUnreachable()
	if n.token != token {
		n.view = n.fleet.View(now, n.termFor(n.name))
	}
	n.offerUnassigned()
}

// claimSilence returns the silence of dispatchers that are not known here: only their claims show that
// they exist.
func (n *splitNode) claimSilence() fleet.Silence {
	now := n.m.now
	if n.token != 0 && n.fleet.Token() <= n.token && n.scheduler.FencedUpstreams() > 0 {
		n.strangerSeenAt = now
	}
	if !n.strangerSeenAt.IsZero() && now.Sub(n.strangerSeenAt) < rivalTimeout {
		return fleet.SilenceShort
	}
	return fleet.SilenceNone
}

// hasRivals reports whether members are not reachable that may dispatch, listed in the store or not.
func hasRivals(v *fleet.View) bool {
	return len(v.Unreachable) > 0 || slices.ContainsFunc(v.Lost, func(m fleet.LostMember) bool {
		return m.Reason == fleet.LossNotHeard || m.Reason == fleet.LossNeverHeard
	})
}

// notePeerLoss tells the scheduler whether members exist that may dispatch and are not heard.
func (n *splitNode) notePeerLoss(silence fleet.Silence) {
	loss := map[fleet.Silence]scheduler.PeerLoss{
		fleet.SilenceNone: scheduler.PeersHeard, fleet.SilenceShort: scheduler.PeerSilent, fleet.SilenceLong: scheduler.PeerLost,
	}[silence]
	if loss == n.scheduler.PeerLoss() {
		return
	}
	n.scheduler.SetPeerLoss(loss)
	n.m.logf("fault: a member is %v at %s", loss, n.name)
	if loss == scheduler.PeerLost {
		n.scheduler.SetUnreachablePeers(true)
	}
	n.pollAll()
}

func (n *splitNode) pollAll() {
	for _, name := range n.m.names {
		n.m.pollLoop(n.modelDispatcher, name)
	}
}

func (n *splitNode) canStartTerm() bool {
	v := &n.view
	if n.revision == 0 || !n.rosterRead && len(v.Reachable) == 0 || v.Dispatcher.VM != "" && !v.Dispatcher.Draining && n.mayMissLapsed() {
		return false
	}
	grace := startupGrace
	if len(v.Reachable)+len(v.Unreachable) == 0 {
		grace = startupGraceAlone
	}
	return !v.HigherRankPending && (v.AllReachable || n.m.now.Sub(n.started) > grace)
}

// viewKey identifies the members on which the claims depend.
func (n *splitNode) viewKey() (key string) {
	if n.view.Minority {
		for _, r := range n.view.Reachable {
			key += " " + r.Member.VM
		}
	}
	return key
}

func (n *splitNode) startTerm(reason string) {
	m := n.m
	counter := max(n.fleet.Token()>>splitTokenBits, m.now.Unix()-modelStart.Unix()) + 1<<n.reclaims
	if n.fleet.Token() == 0 {
		counter += tokenLead
	}
	n.token = n.fleet.NextToken(counter<<splitTokenBits | int64(n.member.Incarnation))
	n.termStart, n.fencedSince, n.claimKey = m.now, time.Time{}, n.viewKey()
	n.placeFrom = m.now.Add(upstreamListTimeout)
	m.logf("begin term on %s, token %d, %s, hears %d of %d", n.name, n.token, reason, len(n.view.Reachable), len(n.view.Reachable)+len(n.view.Unreachable))
	n.scheduler.DoubtList()
	n.scheduler.BeginTerm(m.now, n.token, modelResumeTimeout)
	n.applyUpstreams()
	n.confirmList()
	n.readStore()
	for _, r := range n.view.Reachable {
		n.sendHeartbeat(r.Member)
	}
}

func (n *splitNode) endTerm() {
	n.m.logf("end of the begin term on %s, %s dispatches", n.name, n.view.Dispatcher.VM)
	n.token = 0
	n.scheduler.EndTerm()
}

func (n *splitNode) checkClaims() {
	now, rivals, retry := n.m.now, hasRivals(&n.view), false
	switch {
	case n.scheduler.FencedUpstreams() == 0:
		n.fencedSince = time.Time{}
		if now.Sub(n.termStart) > reclaimDelay {
			n.reclaims = 0
		}
	case n.fencedSince.IsZero():
		n.fencedSince = now
	default:
		wait := reclaimDelay
		switch {
		case n.fleet.Token() > n.token:
			wait = reclaimKnownToken
		case !rivals:
			wait = reclaimNoRival
		}
		if rivals {
			wait = min(wait<<n.reclaims, reclaimDelay)
		}
		if retry = now.Sub(n.fencedSince) > wait; retry {
			n.reclaims = min(n.reclaims+1, maxReclaims)
		}
	}
	switch {
	case n.claimKey != n.viewKey():
		n.startTerm("other members")
	case retry && !n.view.Minority:
		n.startTerm("fenced")
	}
}

func (n *splitNode) abandonUnreachable() {
	if n.token == 0 || n.m.now.Sub(n.termStart) < n.peerTimeout() {
		return
	}
	reachable := map[string]uint64{n.name: n.member.Incarnation}
	for _, r := range n.view.Reachable {
		reachable[r.Member.VM] = r.Member.Incarnation
	}
	for _, vm := range slices.Sorted(maps.Keys(n.origins)) {
		o := n.origins[vm]
		incarnation, isReachable := reachable[vm]
		switch {
		case !isReachable && o.reachable:
			o.reachable = false
			o.abandonCount++
			n.abandonJobsOf(vm, o.incarnation+1)
		case isReachable && incarnation > o.incarnation:
			o.incarnation, o.reachable = incarnation, true
			n.abandonJobsOf(vm, incarnation)
		case isReachable:
			o.reachable = true
		}
	}
}

func (n *splitNode) abandonJobsOf(vm string, before uint64) {
	n.m.logf("begin term on %s is over for %s", n.name, vm)
	n.m.execute(n.modelDispatcher, n.scheduler.AbandonJobsOf(n.m.now, vm, before))
	n.m.place(n.modelDispatcher)
}
