package daemon

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/configuration"
	"github.com/mustardstep/mustardstep/internal/configstore"
	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/verdict"
)

// watchLoop waits on the watch of the platform's service while this VM is
// among the first in rank that answer.
func (c *configSyncer) watchLoop(ctx context.Context) error {
	var w watchState
	for ctx.Err() == nil {
		watching := c.shouldWatch()
		if c.watching.Swap(watching) != watching {
			c.log.Info("watch of the configuration", slog.Bool("watching", watching))
		}
		if !watching {
			w = watchState{}
			select {
			case <-c.wake:
			case <-ctx.Done():
			}
			continue
		}
		if c.store.WaitBackoff(ctx) == nil {
			c.watchOnce(ctx, &w)
		}
	}
	return nil
}

// shouldWatch tells whether this VM is to wait on the watch.
func (c *configSyncer) shouldWatch() bool {
	ahead := 0
	for _, p := range c.higherRanked() {
		if c.responsive(p) {
			ahead++
		}
	}
	return ahead < c.settings.Configuration.Watchers
}

// watchState is how far this VM has followed the platform's service.
type watchState struct {
	initialized bool
	revision    int64 // revision of the service
}

// watchOnce reads the state, or waits for one change of it.
func (c *configSyncer) watchOnce(ctx context.Context, w *watchState) {
	var state *configuration.State
	ok := false
	if w.initialized {
		events, at, err := c.store.Watch(ctx, w.revision, c.settings.Platform.WatchWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			c.log.Info("history of the configuration dropped", slog.Int64("after", w.revision))
		case err != nil:
			c.logPlatformError(ctx, "watch", err)
			return
		case len(events) == 0:
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
			c.logPlatformError(ctx, "read", err)
			return
		}
		w.initialized = true
	}
	if c.mergeStored(state) {
		c.notify(c.ranked(c.self.DataCentre))
	}
}

func (c *configSyncer) logPlatformError(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		c.log.Warn("platform "+what, slog.Any("error", err))
	}
}

// commit makes a change and puts it into force. Its errors are those of
// configstore.Store.Commit.
func (c *configSyncer) commit(ctx context.Context, change *configuration.Change, repeated bool) (int64, error) {
	if c.store == nil {
		return 0, verdict.Errorf(verdict.NotRun, verdict.CodeUnreachable,
			"this VM has no platform: set -platform to keep a configuration that can change")
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Configuration.CommitTimeout)
	defer cancel()
	next, revision, err := c.store.Commit(ctx, c.table.Current, change, repeated)
	if err != nil {
		c.log.Info("change refused", slog.String("change", change.ID), slog.Any("error", err))
		return 0, errors.WithStack(err)
	}
	c.log.Info("change accepted", slog.String("change", change.ID), slog.String("author", change.Author),
		slog.Int64("revision", revision))
	if next != nil && c.mergeStored(next) {
		c.notify(append(c.ranked(c.self.DataCentre), c.topRankedRemotes()...))
	}
	return revision, nil
}
