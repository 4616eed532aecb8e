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

// rankKey ranks the VMs of a data centre for the watch.
var rankKey = rendezvous.Hash("configuration")

// unresponsiveIntervals is the number of intervals for which a VM that did not answer
// is passed over.
const unresponsiveIntervals = 5

func hex(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// peers returns the known daemons without this one.
func (c *configSyncer) peers() []endpoint {
	return slices.DeleteFunc(c.endpoints(), func(p endpoint) bool { return p.VM == c.self.VM })
}

// ranked returns the daemons of a data centre in the order in which they take
// over its watch.
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

// higherRanked returns the daemons of this data centre that rank before this one.
func (c *configSyncer) higherRanked() []endpoint {
	ranked := c.ranked(c.self.DataCentre)
	return ranked[:max(0, slices.IndexFunc(ranked, func(p endpoint) bool { return p.VM == c.self.VM }))]
}

// topRankedRemotes returns the first in rank that answers of each other data centre.
func (c *configSyncer) topRankedRemotes() []endpoint {
	byDataCentre := map[string]bool{c.self.DataCentre: true}
	var firsts []endpoint
	for _, p := range c.peers() {
		if byDataCentre[p.DataCentre] {
			continue
		}
		byDataCentre[p.DataCentre] = true
		ranked := c.ranked(p.DataCentre)
		if i := slices.IndexFunc(ranked, c.responsive); i >= 0 {
			firsts = append(firsts, ranked[i])
		} else {
			firsts = append(firsts, ranked[rand.N(len(ranked))])
		}
	}
	return firsts
}

// responsive tells whether a VM is not being passed over.
func (c *configSyncer) responsive(p endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.unresponsiveUntil[p.VM])
}

func (c *configSyncer) noteResult(p endpoint, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unresponsiveUntil[p.VM] = time.Now().Add(unresponsiveIntervals * c.settings.Configuration.Interval)
		return
	}
	delete(c.unresponsiveUntil, p.VM)
}

// compareLoop compares with a peer once an interval.
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

// compareRound compares with the first in rank that answers, or, where that is
// this VM, with the first of another data centre.
func (c *configSyncer) compareRound(ctx context.Context) {
	for _, p := range c.higherRanked() {
		if c.responsive(p) && c.compareWithTimeout(ctx, p) == nil {
			return
		}
	}
	if firsts := c.topRankedRemotes(); len(firsts) > 0 {
		// The next round takes another one, at random.
		_ = c.compareWithTimeout(ctx, firsts[rand.N(len(firsts))])
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

// compare tells a peer what this VM holds and takes what it lacks. It tells
// whether the peer has taken a configuration since its start.
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

// handle answers a comparison and pulls from a peer that is ahead.
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
	return encodeDifference(d, c.synced.Load())
}

// pull compares with a peer that is ahead, once at a time.
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
		// A failure is healed by the next comparison.
		_, _ = c.compare(ctx, p)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pulling, p.VM)
	}()
}

// notify tells peers of the revision in force, which then pull. The next
// comparison reaches those that it misses.
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
