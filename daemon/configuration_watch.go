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

// keepWatching waits on the watch of the platform's service while this VM is
// among the first in rank that answer.
func (c *configurator) keepWatching(ctx context.Context) error {
	var w watch
	for ctx.Err() == nil {
		watching := c.watches()
		if c.watching.Swap(watching) != watching {
			c.log.Info("watch of the configuration", slog.Bool("watching", watching))
		}
		if !watching {
			w = watch{}
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

// watches tells whether this VM is to wait on the watch.
func (c *configurator) watches() bool {
	ahead := 0
	for _, p := range c.ahead() {
		if c.answers(p) {
			ahead++
		}
	}
	return ahead < c.settings.Configuration.Watchers
}

// watch is how far this VM has followed the platform's service.
type watch struct {
	read     bool
	position int64 // revision of the service
}

// watchOnce reads the state, or waits for one change of it.
func (c *configurator) watchOnce(ctx context.Context, w *watch) {
	var state *configuration.State
	ok := false
	if w.read {
		events, at, err := c.store.Watch(ctx, w.position, c.settings.Platform.WatchWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			c.log.Info("history of the configuration dropped", slog.Int64("after", w.position))
		case err != nil:
			c.unanswered(ctx, "watch", err)
			return
		case len(events) == 0:
			w.position = at
			return
		default:
			w.position = at
			state, ok = configstore.ApplyEvents(c.table.Current(), events)
		}
	}
	if !ok {
		var err error
		if state, w.position, err = c.store.Read(ctx); err != nil {
			w.read = false
			c.unanswered(ctx, "read", err)
			return
		}
		w.read = true
	}
	if c.adopt(state) {
		c.notify(c.ranked(c.self.DataCentre))
	}
}

func (c *configurator) unanswered(ctx context.Context, what string, err error) {
	if ctx.Err() == nil {
		c.log.Warn("platform "+what, slog.Any("error", err))
	}
}

// commit makes a change and puts it into force. Its errors are those of
// configstore.Store.Commit.
func (c *configurator) commit(ctx context.Context, change *configuration.Change, repeated bool) (int64, error) {
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
	if next != nil && c.adopt(next) {
		c.notify(append(c.ranked(c.self.DataCentre), c.firsts()...))
	}
	return revision, nil
}
