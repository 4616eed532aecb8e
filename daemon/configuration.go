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

// endpoint locates a daemon.
type endpoint struct{ VM, DataCentre, Address string }

// configurationDeps holds what a configSyncer needs from the daemon.
type configurationDeps struct {
	self     endpoint
	settings settings.DaemonProgram
	log      *slog.Logger
	// store is nil if no platform is configured.
	store *configstore.Store
	// call sends a request to a peer.
	call func(ctx context.Context, address string, request, response wire.Message) error
	// endpoints returns the daemons that are not proved to have terminated,
	// including this one.
	endpoints func() []endpoint
	// seeds are the other daemons to contact at startup.
	seeds []endpoint
	// apply puts a state into force. Calls do not overlap, and no call passes an
	// older state than the one before.
	apply func(*configuration.State)
}

// configSyncer keeps the configuration of this VM up to date.
//
// The VMs of a data centre are ranked. The highest-ranked responsive ones that the platform's
// store answers watch it. Every VM periodically compares revision and fingerprint
// with the highest-ranked responsive VM of its data centre. That VM compares
// with the highest-ranked responsive VM of another data centre. The VM that is
// behind pulls the difference.
//
// A VM that receives a new revision from outside its data centre notifies its
// data centre at once. A VM that commits a change also notifies one VM of each
// other data centre. The periodic comparison makes up for lost notifications. A
// lower revision never replaces a higher one.
type configSyncer struct {
	configurationDeps
	table    *configuration.Table
	synced   atomic.Bool // a configuration was received since startup, or the wait for one is over
	watching atomic.Bool
	unread   atomic.Bool   // this VM watches, and the last call to the store has failed
	wake     chan struct{} // signals watchLoop that the ranking may have changed

	applyMu sync.Mutex // guards applied; held during apply
	applied *configuration.State

	mu                sync.Mutex // guards the fields below
	pulling           map[string]bool
	unresponsiveUntil map[string]time.Time // VMs that did not answer, and when to contact them again
	unreadUntil       map[string]time.Time // VMs that the store does not answer, and until when they do not count as watching
}

func newConfigSyncer(deps configurationDeps, initial *configuration.State) *configSyncer {
	c := &configSyncer{
		configurationDeps: deps,
		table:             configuration.NewTable(initial),
		wake:              make(chan struct{}, 1),
		pulling:           map[string]bool{},
		unresponsiveUntil: map[string]time.Time{},
		unreadUntil:       map[string]time.Time{},
	}
	c.applyCurrent()
	return c
}

// run keeps the configuration up to date until the context is done.
func (c *configSyncer) run(ctx context.Context) error {
	c.initialSync(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.compareLoop(ctx) })
	if c.store != nil {
		g.Go(func() error { return c.watchLoop(ctx) })
	}
	return g.Wait()
}

// initialSyncPause is the pause between rounds of initialSync.
const initialSyncPause = 200 * time.Millisecond

// initialSync retries until a peer or the platform's store has supplied a
// configuration. After StartWait, a VM with a services file becomes ready with
// that file, and the retries continue.
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
			c.log.Warn("no configuration from peers or the platform yet, using the services file")
		}
		wait.For(ctx, initialSyncPause)
	}
}

// initialSyncRound queries every peer and the store concurrently. It reports
// whether one of them supplied a configuration, even an empty one. Without a
// store it always succeeds.
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

// peersAndSeeds returns the other known daemons and the seeds that are not among
// them.
func (c *configSyncer) peersAndSeeds() []endpoint {
	known := c.peers()
	for _, seed := range c.seeds {
		if !slices.ContainsFunc(known, func(p endpoint) bool { return p.VM == seed.VM }) {
			known = append(known, seed)
		}
	}
	return known
}

// currentAttrs returns log attributes of the state in force.
func (c *configSyncer) currentAttrs() []any {
	s := c.table.Current()
	return []any{slog.Int64("revision", s.Revision()), slog.String("fingerprint", hex(s.Fingerprint()))}
}

// mergeStored merges a state from the platform's store and applies the result. It
// reports whether a new state is in force.
func (c *configSyncer) mergeStored(s *configuration.State) bool {
	return c.applyMerged(c.table.MergeState(s), "platform")
}

// applyMerged logs the result of a merge and applies the current state. It
// reports whether a new state is in force.
func (c *configSyncer) applyMerged(merged configuration.MergeResult, source string) bool {
	switch merged {
	case configuration.Corrupt:
		c.log.Error("received configuration rejected: fingerprint mismatch", slog.String("source", source))
	case configuration.Diverged:
		c.log.Error("configurations differ at the same revision, keeping the greater fingerprint",
			append(c.currentAttrs(), slog.String("source", source))...)
	}
	if !c.applyCurrent() {
		return false
	}
	c.log.Info("configuration in force", append(c.currentAttrs(), slog.String("source", source))...)
	return true
}

// applyCurrent applies the current state. It returns false if the state is already
// in force.
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

// jittered returns a random duration within 25% of d, so that VMs that start
// together do not send their requests at the same time.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
