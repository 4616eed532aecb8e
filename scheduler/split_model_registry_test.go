package scheduler_test

import (
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

// The list of upstreams of the processes in the split model.

// listUpstream adds an upstream to the list.
func (n *splitNode) listUpstream(name string) {
	if n.unlisted[name] {
		n.m.logf("fault: %s lists %s", n.name, name)
		delete(n.unlisted, name)
		n.applyUpstreams()
		n.confirmList()
	}
}

// pullUpstreams fetches the list of a peer that lists more.
func (n *splitNode) pullUpstreams(from *splitNode) {
	m := n.m
	for _, name := range m.names {
		if n.unlisted[name] && !from.unlisted[name] {
			handle := func(_ *splitNode, respond func(string)) { respond(name) }
			m.after(m.randomMillis(pullDelayMin, pullDelayMax), func() {
				n.do(func() {
					call(n, from.vm, n.peerTimeout(), handle, func(name string, err error) {
						if err == nil {
							n.listUpstream(name)
						}
					})
				})
			})
		}
	}
}

// Limits of the time until a VM fetches the list of a peer, in ms.
const (
	pullDelayMin = 60
	pullDelayMax = 200
)

// confirmList tells the scheduler whether the dispatchers before have listed the same upstreams.
func (n *splitNode) confirmList() {
	if n.fleet.DispatchersListed(n.m.now.Add(-lapsedRetention), n.listDigest()) {
		n.scheduler.ConfirmList(n.token)
	}
}

func (n *splitNode) listDigest() (digest uint64) {
	for _, name := range n.m.names {
		if !n.unlisted[name] {
			digest ^= rendezvous.Hash(name)
		}
	}
	return digest
}

// applyUpstreams tells the scheduler which upstreams to claim.
func (n *splitNode) applyUpstreams() {
	m := n.m
	var list []string
	partial := false
	for _, name := range m.names {
		switch {
		case n.unlisted[name]:
		case n.view.ShouldClaim(n.member, name, m.upstreams[name].Info.DataCentre):
			list = append(list, name)
		default:
			partial = true
		}
	}
	completeSince := time.Time{}
	if m.now.Sub(n.listedAt) < lapsedRetention {
		completeSince = n.listedAt.Add(staleListTime)
	}
	n.scheduler.SetListCompleteSince(completeSince)
	m.tellList(n.modelDispatcher, list, partial)
	n.pollAll()
}
