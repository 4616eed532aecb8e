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

// quietIntervals is the number of intervals for which a VM that did not answer
// is passed over.
const quietIntervals = 5

func hex(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// others returns the known daemons without this one.
func (c *configurator) others() []place {
	return slices.DeleteFunc(c.places(), func(p place) bool { return p.VM == c.self.VM })
}

// ranked returns the daemons of a data centre in the order in which they take
// over its watch.
func (c *configurator) ranked(dataCentre string) []place {
	ranked := slices.DeleteFunc(c.places(), func(p place) bool { return p.DataCentre != dataCentre })
	slices.SortFunc(ranked, func(a, b place) int {
		hashA, hashB := rendezvous.Hash(a.VM), rendezvous.Hash(b.VM)
		if order := cmp.Compare(rendezvous.Score(rankKey, hashB), rendezvous.Score(rankKey, hashA)); order != 0 {
			return order
		}
		return cmp.Compare(a.VM, b.VM)
	})
	return ranked
}

// ahead returns the daemons of this data centre that rank before this one.
func (c *configurator) ahead() []place {
	ranked := c.ranked(c.self.DataCentre)
	return ranked[:max(0, slices.IndexFunc(ranked, func(p place) bool { return p.VM == c.self.VM }))]
}

// firsts returns the first in rank that answers of each other data centre.
func (c *configurator) firsts() []place {
	byDataCentre := map[string]bool{c.self.DataCentre: true}
	var firsts []place
	for _, p := range c.others() {
		if byDataCentre[p.DataCentre] {
			continue
		}
		byDataCentre[p.DataCentre] = true
		ranked := c.ranked(p.DataCentre)
		if i := slices.IndexFunc(ranked, c.answers); i >= 0 {
			firsts = append(firsts, ranked[i])
		} else {
			firsts = append(firsts, ranked[rand.N(len(ranked))])
		}
	}
	return firsts
}

// answers tells whether a VM is not being passed over.
func (c *configurator) answers(p place) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.quiet[p.VM])
}

func (c *configurator) noteAnswer(p place, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.quiet[p.VM] = time.Now().Add(quietIntervals * c.settings.Configuration.Interval)
		return
	}
	delete(c.quiet, p.VM)
}

// keepComparing compares with a peer once an interval.
func (c *configurator) keepComparing(ctx context.Context) error {
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
func (c *configurator) compareRound(ctx context.Context) {
	for _, p := range c.ahead() {
		if c.answers(p) && c.compareWithin(ctx, p) == nil {
			return
		}
	}
	if firsts := c.firsts(); len(firsts) > 0 {
		// The next round takes another one, at random.
		_ = c.compareWithin(ctx, firsts[rand.N(len(firsts))])
	}
}

func (c *configurator) compareWithin(ctx context.Context, p place) error {
	ctx, cancel := context.WithTimeout(ctx, min(c.settings.Configuration.Interval, c.settings.Network.PeerTimeout))
	defer cancel()
	_, err := c.compare(ctx, p)
	if ctx.Err() == nil || err != nil {
		c.noteAnswer(p, err)
	}
	return err
}

// compare tells a peer what this VM holds and takes what it lacks. It tells
// whether the peer has taken a configuration since its start.
func (c *configurator) compare(ctx context.Context, p place) (synced bool, err error) {
	response, err := c.ask(ctx, p, false)
	if err != nil {
		return false, err
	}
	merged := c.table.Merge(decodeDifference(response))
	if merged == configuration.FullNeeded {
		if response, err = c.ask(ctx, p, true); err != nil {
			return false, err
		}
		merged = c.table.Merge(decodeDifference(response))
	}
	if c.taken(merged, p.VM) && p.DataCentre != c.self.DataCentre {
		c.notify(c.ranked(c.self.DataCentre))
	}
	return response.Synced, nil
}

func (c *configurator) ask(ctx context.Context, p place, full bool) (*wire.ConfigurationResponse, error) {
	s := c.table.Current()
	var response wire.ConfigurationResponse
	err := c.call(ctx, p.Address, &wire.ConfigurationRequest{
		Revision: s.Revision(), Fingerprint: s.Fingerprint(), Full: full,
	}, &response)
	return &response, err
}

// handle answers a comparison and pulls from a peer that is ahead.
func (c *configurator) handle(_ context.Context, from *wire.Hello, m *wire.ConfigurationRequest) wire.Message {
	s := c.table.Current()
	diverged := m.Revision == s.Revision() && m.Revision > 0 && m.Fingerprint != s.Fingerprint()
	if m.Revision > s.Revision() || diverged {
		c.pull(place{VM: from.VM, DataCentre: from.DataCentre, Address: from.Address})
	}
	d := s.Since(m.Revision)
	if m.Full || diverged {
		d = s.Full()
	}
	return encodeDifference(d, c.synced.Load())
}

// pull compares with a peer that is ahead, once at a time.
func (c *configurator) pull(p place) {
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
func (c *configurator) notify(peers []place) {
	if !c.settings.Configuration.Notify {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.settings.Network.PeerTimeout)
		defer cancel()
		var wg sync.WaitGroup
		for _, p := range peers {
			if p.VM != c.self.VM {
				wg.Go(func() { _, _ = c.ask(ctx, p, false) })
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
