package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/configstore"
	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/verdict"
)

// watchLoop watches the platform's store while this VM is among the
// highest-ranked responsive VMs of its data centre.
func (c *configSyncer) watchLoop(ctx context.Context) error {
	var w watchState
	for ctx.Err() == nil {
		watching := c.shouldWatch()
		if c.watching.Swap(watching) != watching {
			c.log.Info("configuration watch changed", slog.Bool("watching", watching))
		}
		if !watching {
			w = watchState{}
			c.unread.Store(false)
			select {
			case <-c.wake:
			case <-ctx.Done():
			}
			continue
		}
		if c.store.WaitBackoff(ctx) == nil {
			c.watchOnce(ctx, &w)
		}
		if c.unread.Load() {
			c.pauseStandIn(ctx)
		}
	}
	return nil
}

// standInPause is the pause of a VM that watches in place of higher-ranked ones, after the store has not
// answered it either. It keeps the calls to a store that is down few, whatever the number of VMs.
const standInPause = 30 * time.Second

// pauseStandIn waits for standInPause, as long as this VM watches in place of others.
func (c *configSyncer) pauseStandIn(ctx context.Context) {
	for until := time.Now().Add(standInPause); time.Now().Before(until) && c.ahead(c.responsive) >= c.settings.Configuration.Watchers; {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
	}
}

// shouldWatch reports whether fewer than Watchers responsive VMs of this data centre that the store
// answers rank above this one.
func (c *configSyncer) shouldWatch() bool {
	ahead := c.ahead(func(p endpoint) bool { return c.responsive(p) && c.reads(p) })
	return ahead < c.settings.Configuration.Watchers
}

// ahead returns the number of matching VMs of this data centre that rank above this one.
func (c *configSyncer) ahead(match func(endpoint) bool) int {
	ahead := 0
	for _, p := range c.higherRanked() {
		if match(p) {
			ahead++
		}
	}
	return ahead
}

// watchState is the position of the watch in the platform's store.
type watchState struct {
	initialized bool
	revision    int64 // store revision up to which changes were seen
}

// watchOnce waits for the next change in the store. If it has no position to
// watch from, or cannot apply the events, it reads the full state instead.
func (c *configSyncer) watchOnce(ctx context.Context, w *watchState) {
	var state *configuration.State
	ok := false
	if w.initialized {
		events, at, err := c.store.Watch(ctx, w.revision, c.settings.Platform.WatchWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			c.log.Info("configuration watch position compacted, reading the full state", slog.Int64("after", w.revision))
		case err != nil:
			c.unread.Store(true)
			c.logPlatformError(ctx, "watch", err)
			return
		case len(events) == 0:
			c.unread.Store(false)
			w.revision = at
			return
		default:
			w.revision = at
			state, ok = configstore.ApplyEvents(c.table.Current(), events)
		}
	}
	if !ok {
		var err error
		if state, w.revision, err = c.store.Read(ctx); err != nil {
			w.initialized = false
			c.unread.Store(true)
			c.logPlatformError(ctx, "read", err)
			return
		}
		w.initialized = true
	}
	c.unread.Store(false)
	if c.mergeStored(state) {
		c.notify(c.ranked(c.self.DataCentre))
	}
}

func (c *configSyncer) logPlatformError(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		c.log.Warn("platform "+what+" failed", slog.Any("error", err))
	}
}

// commit writes a change to the store and applies it. repeated is true if the
// change may already have been written. The errors are those of
// configstore.Store.Commit.
func (c *configSyncer) commit(ctx context.Context, change *configuration.Change, repeated bool) (int64, error) {
	if c.store == nil {
		return 0, verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable,
			"no platform configured: configuration changes require -platform")
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Configuration.CommitTimeout)
	defer cancel()
	next, revision, err := c.store.Commit(ctx, c.table.Current, change, repeated)
	if err != nil {
		c.log.Info("configuration change failed", slog.String("change", change.ID), slog.Any("error", err))
		return 0, errors.WithStack(err)
	}
	c.log.Info("configuration change accepted", slog.String("change", change.ID), slog.String("author", change.Author),
		slog.Int64("revision", revision))
	if next != nil && c.mergeStored(next) {
		c.notify(append(c.ranked(c.self.DataCentre), c.topRankedRemotes()...))
	}
	return revision, nil
}
