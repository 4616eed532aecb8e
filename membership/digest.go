package membership

import (
	"slices"
	"strings"
	"time"
)

// maxFacts bounds the facts of one digest.
const maxFacts = 64

// Digest is a heartbeat or its answer: the facts that changed since the last
// one that the receiver has merged. A digest without news has no facts.
type Digest struct {
	From Member
	// Version numbers the sender's last change that Facts covers.
	Version uint64
	// Acked is the receiver's version that the sender has merged.
	Acked uint64
	Facts []Fact
	// Suspects are incarnations that the platform lists as gone and that the
	// sender has not heard for the fence time.
	Suspects []ID
}

// Digest returns the heartbeat for a member.
func (t *Table) Digest(now time.Time, to Member) *Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest(now, to.ID())
}

func (t *Table) digest(now time.Time, to ID) *Digest {
	d := &Digest{From: t.self, Version: t.version, Suspects: t.suspects(now)}
	after := uint64(0)
	if p := t.peers[to]; p != nil {
		after, d.Acked = p.acked, p.seen
	}
	var news []*peer
	for _, p := range t.peers {
		if p.changed > after {
			news = append(news, p)
		}
	}
	slices.SortFunc(news, func(a, b *peer) int { return int(a.changed) - int(b.changed) })
	if len(news) > maxFacts {
		news = news[:maxFacts]
		d.Version = news[maxFacts-1].changed
	}
	for _, p := range news {
		d.Facts = append(d.Facts, p.fact)
	}
	return d
}

// HandleDigest merges a heartbeat and returns the answer.
func (t *Table) HandleDigest(now time.Time, d *Digest) *Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, d)
	return t.digest(now, d.From.ID())
}

// HandleReply merges the answer to a heartbeat sent at a time.
func (t *Table) HandleReply(now, sent time.Time, d *Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.merge(now, d)
	if sent.After(p.confirmed) {
		p.confirmed = sent
	}
	if sent.After(p.report.sent) {
		p.report = report{sent, d.Suspects}
	}
	t.reconfirm(now)
}

func (t *Table) merge(now time.Time, d *Digest) *peer {
	before := t.version
	p := t.hear(now, d.From)
	for _, f := range d.Facts {
		t.learn(now, f)
	}
	p.seen = max(p.seen, d.Version)
	p.acked = max(p.acked, d.Acked)
	if t.version != before {
		t.publish()
	}
	return p
}

// MarkUnreachable records that a member could not be reached, which proves nothing.
func (t *Table) MarkUnreachable(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[m.ID()]; p != nil {
		p.failed = true
	}
}

// Reachable tells whether any admitted member of a data centre answered when
// it was last tried.
func (t *Table) Reachable(dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.fact.Member.DataCentre == dataCentre && p.fact.Termination == NotTerminated && !p.failed {
			return true
		}
	}
	return false
}

// Targets returns the members that get a heartbeat now: up to fanout of the
// own data centre and one elsewhere, in rotation. With news, all of the own
// data centre that lack them are returned; while this process is stalled, all.
func (t *Table) Targets(fanout int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, far, behind []Member
	for id, p := range t.peers {
		switch {
		case t.local(id, p):
			near = append(near, p.fact.Member)
			if p.acked < t.version || t.guard.stalled.Load() {
				behind = append(behind, p.fact.Member)
			}
		case p.fact.Termination == NotTerminated && id != t.self.ID():
			far = append(far, p.fact.Member)
		}
	}
	t.next++
	targets := append(behind, rotate(near, t.next*fanout, fanout)...)
	targets = append(targets, rotate(far, t.next, 1)...)
	sortMembers(targets)
	return slices.Compact(targets)
}

// UnoccupiedSeeds returns the seeds at which no unended member is known.
func (t *Table) UnoccupiedSeeds() []Seed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var seeds []Seed
	for _, seed := range t.seeds {
		if seed.VM != t.self.VM && !t.gone[seed.VM] && !t.occupied(seed) {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (t *Table) occupied(seed Seed) bool {
	for _, p := range t.peers {
		if p.fact.Termination == NotTerminated && p.fact.Member.VM == seed.VM {
			return true
		}
	}
	return false
}

// rotate returns count members from a place in their order, going around.
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

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		if c := strings.Compare(a.VM, b.VM); c != 0 {
			return c
		}
		return int(int64(a.Incarnation) - int64(b.Incarnation))
	})
}
