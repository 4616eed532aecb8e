package membership

import (
	"slices"
	"strings"
	"time"
)

// maxDigestFacts is the maximum number of facts in one digest.
const maxDigestFacts = 64

// Digest is the content of a heartbeat or its answer: the facts that changed
// since the last digest that the receiver acknowledged. It has no facts if
// nothing changed.
type Digest struct {
	From Member
	// Version is the sender's table version up to which Facts is complete.
	Version uint64
	// Acked is the receiver's table version up to which the sender has merged
	// the receiver's facts.
	Acked uint64
	Facts []Fact
	// Suspects are incarnations that the platform lists as gone and from which
	// the sender has received no message for the fence time.
	Suspects []ID
}

// Digest returns the heartbeat to send to a member.
func (t *Table) Digest(now time.Time, to Member) *Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buildDigest(now, to.ID())
}

// buildDigest returns the digest for an incarnation. The caller holds mu.
func (t *Table) buildDigest(now time.Time, to ID) *Digest {
	d := &Digest{From: t.self, Version: t.version, Suspects: t.suspects(now)}
	after := uint64(0)
	if p := t.peers[to]; p != nil {
		after, d.Acked = p.ackedVersion, p.mergedVersion
	}
	var changed []*peer
	for _, p := range t.peers {
		if p.changed > after {
			changed = append(changed, p)
		}
	}
	slices.SortFunc(changed, func(a, b *peer) int { return int(a.changed) - int(b.changed) })
	if len(changed) > maxDigestFacts {
		changed = changed[:maxDigestFacts]
		d.Version = changed[maxDigestFacts-1].changed
	}
	for _, p := range changed {
		d.Facts = append(d.Facts, p.fact)
	}
	return d
}

// HandleDigest merges a received heartbeat and returns the answer.
func (t *Table) HandleDigest(now time.Time, d *Digest) *Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeDigest(now, d)
	return t.buildDigest(now, d.From.ID())
}

// HandleReply merges the answer to a heartbeat. sent is the time at which the
// heartbeat was sent.
func (t *Table) HandleReply(now, sent time.Time, d *Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.mergeDigest(now, d)
	if sent.After(p.confirmedAt) {
		p.confirmedAt = sent
	}
	if sent.After(p.report.sent) {
		p.report = suspectReport{sent, d.Suspects}
	}
	t.renewPermission(now)
}

// mergeDigest merges the facts and versions of a digest and returns the
// sender's entry. The caller holds mu.
func (t *Table) mergeDigest(now time.Time, d *Digest) *peer {
	before := t.version
	p := t.recordMessage(now, d.From)
	for _, f := range d.Facts {
		t.mergeFact(now, f)
	}
	p.mergedVersion = max(p.mergedVersion, d.Version)
	p.ackedVersion = max(p.ackedVersion, d.Acked)
	if t.version != before {
		t.publish()
	}
	return p
}

// MarkUnreachable records that the last attempt to reach a member failed. This
// is no proof of termination.
func (t *Table) MarkUnreachable(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[m.ID()]; p != nil {
		p.unreachable = true
	}
}

// Reachable reports whether a data centre has a member that is not terminated
// and whose last contact attempt did not fail.
func (t *Table) Reachable(dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.fact.Member.DataCentre == dataCentre && p.fact.Termination == NotTerminated && !p.unreachable {
			return true
		}
	}
	return false
}

// Targets returns the members that receive a heartbeat in this round: up to
// fanout members of the local data centre and one of another, in rotation. It
// also includes every local member that has not acknowledged the latest facts
// or, while this process is stalled, every local member.
func (t *Table) Targets(fanout int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var local, remote, outdated []Member
	for id, p := range t.peers {
		switch {
		case t.isLocalPeer(id, p):
			local = append(local, p.fact.Member)
			if p.ackedVersion < t.version || t.guard.stalled.Load() {
				outdated = append(outdated, p.fact.Member)
			}
		case p.fact.Termination == NotTerminated && id != t.self.ID():
			remote = append(remote, p.fact.Member)
		}
	}
	t.rotation++
	targets := append(outdated, rotate(local, t.rotation*fanout, fanout)...)
	targets = append(targets, rotate(remote, t.rotation, 1)...)
	sortMembers(targets)
	return slices.Compact(targets)
}

// UnoccupiedSeeds returns the seeds on whose VM no member is known, or only
// terminated ones. It leaves out this VM and VMs that the platform lists as
// gone.
func (t *Table) UnoccupiedSeeds() []Seed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var seeds []Seed
	for _, seed := range t.seeds {
		if seed.VM != t.self.VM && !t.listedGone[seed.VM] && !t.occupied(seed) {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// occupied reports whether a member that is not terminated is known on the VM
// of the seed. The caller holds mu.
func (t *Table) occupied(seed Seed) bool {
	for _, p := range t.peers {
		if p.fact.Termination == NotTerminated && p.fact.Member.VM == seed.VM {
			return true
		}
	}
	return false
}

// rotate returns up to count members in sorted order, starting at index from
// and wrapping around.
func rotate(members []Member, from, count int) []Member {
	if len(members) == 0 {
		return nil
	}
	sortMembers(members)
	var out []Member
	for i := range min(count, len(members)) {
		out = append(out, members[(from+i)%len(members)])
	}
	return out
}

// sortMembers sorts by VM name, then by incarnation.
func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		if c := strings.Compare(a.VM, b.VM); c != 0 {
			return c
		}
		return int(int64(a.Incarnation) - int64(b.Incarnation))
	})
}
