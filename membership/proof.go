package membership

import (
	"slices"
	"time"
)

// ConnectionRefused records that a member's address refused a connection. The
// member must have been known before the attempt to connect. It reports whether
// this proves termination.
//
// It does so only within the data centre, if Config.RefusalProof is set, and if
// the address has answered before or the member has been known for two
// heartbeat intervals, since a process may start to listen some time after it
// becomes known.
func (t *Table) ConnectionRefused(now time.Time, m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.ID()]
	if p == nil {
		return false
	}
	p.unreachable = true
	if !t.config.RefusalProof || !t.isLocalPeer(m.ID(), p) || !t.established(now, p) {
		return false
	}
	t.mergeFact(now, Fact{Member: m, Termination: Refused})
	t.publish()
	return true
}

// established reports whether a member has answered at its address, or has been
// known long enough that it should have. The caller holds mu.
func (t *Table) established(now time.Time, p *peer) bool {
	return !p.confirmedAt.IsZero() || now.Sub(p.firstSeen) >= 2*t.config.Interval
}

// SeedRefused records that a seed's address refused a connection.
func (t *Table) SeedRefused(seed Seed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedSeeds[seed] = t.config.RefusalProof
}

// SeedsResolved reports whether the state of every seed of the local data
// centre is known: a member that is not terminated is on its VM, its address
// refused a connection, or the platform lists its VM as gone.
func (t *Table) SeedsResolved() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seed := range t.seeds {
		if seed.DataCentre != t.self.DataCentre || seed.VM == t.self.VM {
			continue
		}
		if !t.occupied(seed) && !t.refusedSeeds[seed] && !t.listedGone[seed.VM] {
			return false
		}
	}
	return true
}

// UpdatePlatformList takes the platform's list of VMs: the addresses of live
// VMs and the names of those that are gone. The list lags and may be wrong, so
// it is no proof of termination on its own.
func (t *Table) UpdatePlatformList(live []Seed, gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seed := range live {
		if !slices.Contains(t.seeds, seed) {
			t.seeds = append(t.seeds, seed)
		}
	}
	t.listedGone = map[string]bool{}
	for _, vm := range gone {
		t.listedGone[vm] = true
	}
}

// suspects returns the local peers that are listed as gone and silent for the
// fence time. The caller holds mu.
func (t *Table) suspects(now time.Time) []ID {
	var ids []ID
	for id, p := range t.peers {
		if t.isSuspect(now, id, p) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isSuspect reports whether a local peer is listed as gone and silent for the
// fence time. The caller holds mu.
func (t *Table) isSuspect(now time.Time, id ID, p *peer) bool {
	return t.isLocalPeer(id, p) && t.listedGone[p.fact.Member.VM] && now.Sub(p.lastMessageAt()) >= t.config.Fence
}

// lastMessageAt returns the time of the last message of a peer, or the time at
// which it became known if it has sent none.
func (p *peer) lastMessageAt() time.Time {
	if p.lastMessage.IsZero() {
		return p.firstSeen
	}
	return p.lastMessage
}

// terminateListed marks the peers as terminated that this process and every
// other member suspect. It does nothing until this process has joined. The
// caller holds mu.
func (t *Table) terminateListed(now time.Time) {
	if !t.peers[t.self.ID()].fact.Admitted {
		return
	}
	for _, id := range t.suspects(now) {
		if t.suspectedByAll(now, id) {
			t.mergeFact(now, Fact{Member: t.peers[id].fact.Member, Termination: Listed})
			t.publish()
		}
	}
}

// suspectedByAll reports whether every other member of the data centre suspects
// the incarnation too. Each must have said so in the answer to a heartbeat that
// was sent after the fence time ran out in this process. Members that are
// suspects themselves are skipped. The caller holds mu.
func (t *Table) suspectedByAll(now time.Time, suspect ID) bool {
	since := t.peers[suspect].lastMessageAt().Add(t.config.Fence)
	for id, p := range t.peers {
		if id == suspect || !t.isLocalPeer(id, p) || t.isSuspect(now, id, p) {
			continue
		}
		if p.report.sent.Before(since) || !slices.Contains(p.report.suspects, suspect) {
			return false
		}
	}
	return true
}
