package daemon

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// rankKey is the key of the rendezvous hashing that ranks the VMs of a data centre.
var rankKey = rendezvous.Hash("configuration")

// unresponsiveIntervals is the number of intervals for which a VM that did not
// answer is skipped.
const unresponsiveIntervals = 5

// hex formats a fingerprint.
func hex(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// peers returns the other known daemons.
func (c *configSyncer) peers() []endpoint {
	return slices.DeleteFunc(c.endpoints(), func(p endpoint) bool { return p.VM == c.self.VM })
}

// ranked returns the daemons of a data centre by descending rank. Watchers are
// chosen in this order.
func (c *configSyncer) ranked(dataCentre string) []endpoint {
	ranked := slices.DeleteFunc(c.endpoints(), func(p endpoint) bool { return p.DataCentre != dataCentre })
	slices.SortFunc(ranked, func(a, b endpoint) int {
		hashA, hashB := rendezvous.Hash(a.VM), rendezvous.Hash(b.VM)
		if order := cmp.Compare(rendezvous.Score(rankKey, hashB), rendezvous.Score(rankKey, hashA)); order != 0 {
			return order
		}
		return cmp.Compare(a.VM, b.VM)
	})
	return ranked
}

// higherRanked returns the daemons of this data centre that rank above this one.
func (c *configSyncer) higherRanked() []endpoint {
	ranked := c.ranked(c.self.DataCentre)
	return ranked[:max(0, slices.IndexFunc(ranked, func(p endpoint) bool { return p.VM == c.self.VM }))]
}

// topRankedRemotes returns the highest-ranked responsive daemon of each other
// data centre, or a random one if none is responsive.
func (c *configSyncer) topRankedRemotes() []endpoint {
	seen := map[string]bool{c.self.DataCentre: true}
	var remotes []endpoint
	for _, p := range c.peers() {
		if seen[p.DataCentre] {
			continue
		}
		seen[p.DataCentre] = true
		ranked := c.ranked(p.DataCentre)
		if i := slices.IndexFunc(ranked, c.responsive); i >= 0 {
			remotes = append(remotes, ranked[i])
		} else {
			remotes = append(remotes, ranked[rand.N(len(ranked))])
		}
	}
	return remotes
}

// responsive returns false for a VM that did not answer and is skipped for
// unresponsiveIntervals.
func (c *configSyncer) responsive(p endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.unresponsiveUntil[p.VM])
}

// reads returns false for a VM that has reported that the store does not answer it. It is asked again
// every interval.
func (c *configSyncer) reads(p endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.unreadUntil[p.VM])
}

// noteUnread records whether the store answers a VM that should watch it.
func (c *configSyncer) noteUnread(p endpoint, unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if unread {
		c.unreadUntil[p.VM] = time.Now().Add(unresponsiveIntervals * c.settings.Configuration.Interval)
		return
	}
	delete(c.unreadUntil, p.VM)
}

// noteResult records whether a VM answered.
func (c *configSyncer) noteResult(p endpoint, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unresponsiveUntil[p.VM] = time.Now().Add(unresponsiveIntervals * c.settings.Configuration.Interval)
		return
	}
	delete(c.unresponsiveUntil, p.VM)
}

// compareLoop compares with a peer once per interval until the context is done.
func (c *configSyncer) compareLoop(ctx context.Context) error {
	for {
		wait.For(ctx, jittered(c.settings.Configuration.Interval))
		if ctx.Err() != nil {
			return nil
		}
		c.compareRound(ctx)
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// compareRound compares with the highest-ranked VM above this one that answers and that the store
// answers. If there is none, it compares with the top-ranked VM of a random other data centre.
func (c *configSyncer) compareRound(ctx context.Context) {
	for _, p := range c.higherRanked() {
		if c.responsive(p) && c.compareWithTimeout(ctx, p) == nil && c.reads(p) {
			return
		}
	}
	if remotes := c.topRankedRemotes(); len(remotes) > 0 {
		// If this one fails, the next round picks a data centre at random again.
		_ = c.compareWithTimeout(ctx, remotes[rand.N(len(remotes))])
	}
}

func (c *configSyncer) compareWithTimeout(ctx context.Context, p endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, min(c.settings.Configuration.Interval, c.settings.Network.PeerTimeout))
	defer cancel()
	_, err := c.compare(ctx, p)
	if ctx.Err() == nil || err != nil {
		c.noteResult(p, err)
	}
	return err
}

// compare sends this VM's revision and fingerprint to a peer and merges the
// difference in the answer. synced reports whether the peer has received a
// configuration since startup, or no longer waits for one.
func (c *configSyncer) compare(ctx context.Context, p endpoint) (synced bool, err error) {
	response, err := c.requestDifference(ctx, p, false)
	if err != nil {
		return false, err
	}
	merged := c.table.Merge(decodeDifference(response))
	if merged == configuration.FullNeeded {
		if response, err = c.requestDifference(ctx, p, true); err != nil {
			return false, err
		}
		merged = c.table.Merge(decodeDifference(response))
	}
	c.noteUnread(p, response.Unread)
	if c.applyMerged(merged, p.VM) && p.DataCentre != c.self.DataCentre {
		c.notify(c.ranked(c.self.DataCentre))
	}
	return response.Synced, nil
}

func (c *configSyncer) requestDifference(ctx context.Context, p endpoint, full bool) (*wire.ConfigurationResponse, error) {
	s := c.table.Current()
	var response wire.ConfigurationResponse
	err := c.call(ctx, p.Address, &wire.ConfigurationRequest{
		Revision: s.Revision(), Fingerprint: s.Fingerprint(), Full: full,
	}, &response)
	return &response, err
}

// handle answers a peer's comparison. If the peer is ahead or has diverged, it
// also pulls from the peer.
func (c *configSyncer) handle(_ context.Context, from *wire.Hello, m *wire.ConfigurationRequest) wire.Message {
	s := c.table.Current()
	diverged := m.Revision == s.Revision() && m.Revision > 0 && m.Fingerprint != s.Fingerprint()
	if m.Revision > s.Revision() || diverged {
		c.pull(endpoint{VM: from.VM, DataCentre: from.DataCentre, Address: from.Address})
	}
	d := s.Since(m.Revision)
	if m.Full || diverged {
		d = s.Full()
	}
	response := encodeDifference(d, c.synced.Load())
	response.Unread = c.unread.Load()
	return response
}

// pull compares with a peer in the background, unless such a pull is in progress.
func (c *configSyncer) pull(p endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pulling[p.VM] {
		return
	}
	c.pulling[p.VM] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.settings.Network.PeerTimeout)
		defer cancel()
		// After a failure, the next periodic comparison catches up.
		_, _ = c.compare(ctx, p)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pulling, p.VM)
	}()
}

// notify sends the revision in force to peers, so that they pull it. Peers that
// cannot be reached catch up at their next periodic comparison.
func (c *configSyncer) notify(peers []endpoint) {
	if !c.settings.Configuration.Notify {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.settings.Network.PeerTimeout)
		defer cancel()
		var wg sync.WaitGroup
		for _, p := range peers {
			if p.VM != c.self.VM {
				wg.Go(func() { _, _ = c.requestDifference(ctx, p, false) })
			}
		}
		wg.Wait()
	}()
}

func decodeDifference(m *wire.ConfigurationResponse) configuration.Difference {
	d := configuration.Difference{After: m.After, Revision: m.Revision, Fingerprint: m.Fingerprint, Full: m.Full}
	for _, e := range m.Entries {
		d.Entries = append(d.Entries, configuration.Entry(e))
	}
	return d
}

func encodeDifference(d configuration.Difference, synced bool) *wire.ConfigurationResponse {
	m := &wire.ConfigurationResponse{
		Synced: synced, After: d.After, Revision: d.Revision, Fingerprint: d.Fingerprint, Full: d.Full,
	}
	for _, e := range d.Entries {
		m.Entries = append(m.Entries, wire.ConfigurationEntry(e))
	}
	return m
}
