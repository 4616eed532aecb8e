package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/configstore"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"golang.org/x/sync/errgroup"
)

// endpoint is where a daemon of the system runs.
type endpoint struct{ VM, DataCentre, Address string }

// configurationDeps connect a configurator to the daemon.
type configurationDeps struct {
	self     endpoint
	settings settings.DaemonProgram
	log      *slog.Logger
	// store is nil without a platform.
	store *configstore.Store
	// call calls a peer.
	call func(ctx context.Context, address string, request, response wire.Message) error
	// endpoints returns the daemons that are not known to have ended, this one
	// included.
	endpoints func() []endpoint
	// seeds are the daemons to ask at start, without this one.
	seeds []endpoint
	// apply puts a state into force. Calls do not overlap and never go back.
	apply func(*configuration.State)
}

// configSyncer keeps the configuration of this VM up to date.
//
// The first in rank of each data centre waits on the watch of the platform's
// service. Every VM compares revision and fingerprint with the first in rank
// of its data centre that answers, and that one with its like in another data
// centre; whoever is behind pulls the difference. A VM that takes a new
// revision from outside of its data centre tells the others there at once, and
// one that makes a change tells one VM of each data centre besides; the
// comparison heals what such a notice misses. A lower revision is never taken.
type configSyncer struct {
	configurationDeps
	table    *configuration.Table
	synced   atomic.Bool // a configuration has been taken since the start
	watching atomic.Bool
	wake     chan struct{} // tells the watch that the rank may have changed

	applyMu sync.Mutex // guards applied; held while a state is put into force
	applied *configuration.State

	mu                sync.Mutex // guards the fields below
	pulling           map[string]bool
	unresponsiveUntil map[string]time.Time // VMs that did not answer, until when they are passed over
}

func newConfigSyncer(deps configurationDeps, initial *configuration.State) *configSyncer {
	c := &configSyncer{
		configurationDeps: deps,
		table:             configuration.NewTable(initial),
		wake:              make(chan struct{}, 1),
		pulling:           map[string]bool{},
		unresponsiveUntil: map[string]time.Time{},
	}
	c.applyCurrent()
	return c
}

// run keeps the configuration up to date until the context ends.
func (c *configSyncer) run(ctx context.Context) error {
	c.initialSync(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.compareLoop(ctx) })
	if c.store != nil {
		g.Go(func() error { return c.watchLoop(ctx) })
	}
	return g.Wait()
}

// initialSyncPause is the time between rounds of a start that found no configuration.
const initialSyncPause = 200 * time.Millisecond

// initialSync takes the newest configuration that the peers and the platform's
// service show. A VM that finds neither goes on with its services file, if it
// has one, when the wait is over.
func (c *configSyncer) initialSync(ctx context.Context) {
	began := time.Now()
	warned := false
	for ctx.Err() == nil {
		if c.initialSyncRound(ctx) {
			c.synced.Store(true)
			c.log.Info("configuration taken", c.currentAttrs()...)
			return
		}
		if !warned && time.Since(began) >= c.settings.Configuration.StartWait && c.table.Current().Len() > 0 {
			warned = true
			c.synced.Store(true)
			c.log.Warn("no peer and no platform answered: the services file is in force")
		}
		wait.For(ctx, initialSyncPause)
	}
}

// initialSyncRound asks every peer and the service at once and tells whether one of
// them had a configuration, or can tell that there is none.
func (c *configSyncer) initialSyncRound(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Network.PeerTimeout)
	defer cancel()
	var found atomic.Bool
	var wg sync.WaitGroup
	for _, p := range c.peersAndSeeds() {
		wg.Go(func() {
			if synced, err := c.compare(ctx, p); err == nil && synced {
				found.Store(true)
			}
		})
	}
	if c.store == nil {
		found.Store(true)
	} else {
		wg.Go(func() {
			if state, _, err := c.store.Read(ctx); err == nil {
				c.mergeStored(state)
				found.Store(true)
			}
		})
	}
	wg.Wait()
	return found.Load()
}

// peersAndSeeds returns the other daemons, among them the seeds that this VM has not
// heard of yet.
func (c *configSyncer) peersAndSeeds() []endpoint {
	known := c.peers()
	for _, seed := range c.seeds {
		if !slices.ContainsFunc(known, func(p endpoint) bool { return p.VM == seed.VM }) {
			known = append(known, seed)
		}
	}
	return known
}

// currentAttrs describes the state in force for a log line.
func (c *configSyncer) currentAttrs() []any {
	s := c.table.Current()
	return []any{slog.Int64("revision", s.Revision()), slog.String("fingerprint", hex(s.Fingerprint()))}
}

// mergeStored takes a state from the platform's service.
func (c *configSyncer) mergeStored(s *configuration.State) bool {
	return c.applyMerged(c.table.MergeState(s), "platform")
}

// applyMerged puts a newer state into force and tells whether there was one.
func (c *configSyncer) applyMerged(merged configuration.MergeResult, source string) bool {
	switch merged {
	case configuration.Corrupt:
		c.log.Error("configuration refused: its entries do not have its fingerprint", slog.String("source", source))
	case configuration.Diverged:
		c.log.Error("two configurations have one revision: the greater fingerprint stays",
			append(c.currentAttrs(), slog.String("source", source))...)
	}
	if !c.applyCurrent() {
		return false
	}
	c.log.Info("configuration in force", append(c.currentAttrs(), slog.String("source", source))...)
	return true
}

// applyCurrent applies the current state unless that was done.
func (c *configSyncer) applyCurrent() bool {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	s := c.table.Current()
	if s == c.applied {
		return false
	}
	c.apply(s)
	c.applied = s
	return true
}

// jittered returns a time within a quarter of d, so that VMs that started
// together do not call together.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
