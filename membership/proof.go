package membership

import (
	"slices"
	"time"
)

// ConnectionRefused records that a member's address refused a connection that was opened
// while it was known. It reports whether that proves its end: only for a VM of
// the same data centre, where the settings allow it, and where the address is
// known to have reached the member or the member has been known for a while,
// since an address may open later than the process.
func (t *Table) ConnectionRefused(now time.Time, m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.ID()]
	if p == nil {
		return false
	}
	p.failed = true
	if !t.config.RefusalProof || !t.local(m.ID(), p) || !t.established(now, p) {
		return false
	}
	t.learn(now, Fact{Member: m, Termination: Refused})
	t.publish()
	return true
}

// established tells whether a member has answered at its address, or has been
// known for so long that it should have. The caller holds mu.
func (t *Table) established(now time.Time, p *peer) bool {
	return !p.confirmed.IsZero() || now.Sub(p.since) >= 2*t.config.Interval
}

// SeedRefused records that a seed's address refused a connection.
func (t *Table) SeedRefused(seed Seed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vacant[seed] = t.config.RefusalProof
}

// SeedsResolved tells whether every seed of the own data centre is known to be a
// member, to have no process, or to be gone by the platform's list.
func (t *Table) SeedsResolved() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seed := range t.seeds {
		if seed.DataCentre != t.self.DataCentre || seed.VM == t.self.VM {
			continue
		}
		if !t.occupied(seed) && !t.vacant[seed] && !t.gone[seed.VM] {
			return false
		}
	}
	return true
}

// UpdatePlatformList takes the VMs that the platform lists: addresses of live ones and the
// names of those that are gone. The list lags and may be wrong, so alone it
// proves nothing.
func (t *Table) UpdatePlatformList(live []Seed, gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seed := range live {
		if !slices.Contains(t.seeds, seed) {
			t.seeds = append(t.seeds, seed)
		}
	}
	t.gone = map[string]bool{}
	for _, vm := range gone {
		t.gone[vm] = true
	}
}

// suspects returns the members that are listed as gone and silent for the
// fence time. The caller holds mu.
func (t *Table) suspects(now time.Time) []ID {
	var ids []ID
	for id, p := range t.peers {
		if t.suspected(now, id, p) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (t *Table) suspected(now time.Time, id ID, p *peer) bool {
	return t.local(id, p) && t.gone[p.fact.Member.VM] && now.Sub(p.lastHeard()) >= t.config.Fence
}

func (p *peer) lastHeard() time.Time {
	if p.heard.IsZero() {
		return p.since
	}
	return p.heard
}

// proveListed ends the members that this process suspects and that every other
// member confirms to suspect. The caller holds mu.
func (t *Table) proveListed(now time.Time) {
	if !t.peers[t.self.ID()].fact.Admitted {
		return
	}
	for _, id := range t.suspects(now) {
		if t.confirmedByAll(now, id) {
			t.learn(now, Fact{Member: t.peers[id].fact.Member, Termination: Listed})
			t.publish()
		}
	}
}

// confirmedByAll tells whether every other unended member of the data centre
// suspects the incarnation too, by an answer to a heartbeat that was sent
// after this process had begun to. Those that are suspected themselves are not
// asked.
func (t *Table) confirmedByAll(now time.Time, suspect ID) bool {
	since := t.peers[suspect].lastHeard().Add(t.config.Fence)
	for id, p := range t.peers {
		if id == suspect || !t.local(id, p) || t.suspected(now, id, p) {
			continue
		}
		if p.report.sent.Before(since) || !slices.Contains(p.report.suspects, suspect) {
			return false
		}
	}
	return true
}
