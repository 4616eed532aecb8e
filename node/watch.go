package node

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/store"
)

const (
	// watchWait is how long the store may hold a watch open. A connection that
	// has gone silent is detected only when its watch times out, and the VM must
	// still have a change in force within 3 s.
	watchWait = 1500 * time.Millisecond
	// memberWatchWait is the same for the member list. It may be longer, because
	// members also exchange heartbeats.
	memberWatchWait = 5 * time.Second
	// watchMargin is added to the wait of a watch to get its timeout, since the
	// store may be slow.
	watchMargin = 700 * time.Millisecond
	// storeTimeout limits any other call to the store. The store usually answers
	// in 4 ms, but at times takes sixty times as long.
	storeTimeout = time.Second
	// storeRetryDelay is the delay after a failed call. It keeps all VMs together
	// far below the rate limits of the store.
	storeRetryDelay = 250 * time.Millisecond
	// relistDelay is the delay before a new listing after ErrCompacted, and before
	// a new registration after ErrLeaseNotFound. It limits their rate if the error
	// recurs.
	relistDelay = 100 * time.Millisecond
)

// watcher keeps a copy of the entries under a prefix of the store.
type watcher struct {
	prefix string
	// onList receives a full listing, the revision after which it may lack changes, and the time
	// at which it was that of the store, or zero if that is unknown. onEvents receives the changes
	// since.
	onList   func(items []store.Item, revision int64, currentAt time.Time)
	onEvents func(events []store.Event)
	// onWatched is called after each answer to a watch, also without a change, with the time at which
	// the copy was that of the store, or zero if that is unknown, and the revision up to which no
	// change is missing. onCompacted is called if changes cannot be read any longer. Both may be nil.
	onWatched   func(currentAt time.Time, revision int64)
	onCompacted func()
	// head returns the present revision of the store, or 0 if it is not needed. An answer to a watch may
	// leave out later changes, so the copy is known to be that of the store only once it has been read up
	// to a revision that was asked for before. head may be nil; otherwise onWatched may not.
	head func(context.Context) (int64, error)
	// maxWait is the longest time that the store holds a watch open.
	maxWait time.Duration
	// interval is the delay between two watches. Events that arrive meanwhile are
	// batched.
	interval time.Duration
	// shouldWatch reports whether to watch the prefix. If it returns false, the
	// prefix is listed every listInterval while shouldList returns true. Such a
	// listing may be stale by seconds.
	shouldWatch, shouldList func() bool
	// relist requests a current reading. It may be nil.
	relist <-chan struct{}
	// resumeFrom returns the revision from which a current reading can continue instead of
	// listing the prefix again, or 0. It may be nil.
	resumeFrom func() int64

	// onConnected is called when the store begins to answer, or no longer does. It may be nil.
	onConnected func(bool)

	revision  int64 // the watch continues after it; 0 requests a current reading
	connected bool
	// target is the revision that the store had at targetAt, while changes up to it are to be read; 0 otherwise.
	target   int64
	targetAt time.Time
}

// setConnected notes whether the store answers.
func (w *watcher) setConnected(connected bool) {
	w.connected = connected
	if w.onConnected != nil {
		w.onConnected(connected)
	}
}

// listInterval is the interval between two listings of the members or the upstreams by a VM that does
// not watch them. Such a VM learns of changes from the heartbeats of others.
const listInterval = 2 * time.Second

// watch keeps the copy of a watcher up to date until the context is done.
func (n *Node) watch(ctx context.Context, w *watcher) error {
	for ctx.Err() == nil {
		pause, err := n.watchOnce(ctx, w)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			if !w.connected {
				w.setConnected(true)
				n.log.Info("store is reachable", slog.String("prefix", w.prefix), slog.Int64("revision", w.revision))
			}
		case errors.Is(err, store.ErrCompacted):
			n.log.Info("store history compacted, listing again", slog.String("prefix", w.prefix), slog.Int64("after", w.revision))
			w.revision, pause = 0, relistDelay
			if w.onCompacted != nil {
				w.onCompacted()
			}
		default:
			if w.connected {
				n.log.Warn("store is unreachable", slog.String("prefix", w.prefix), slog.Any("error", err))
			}
			w.setConnected(false)
			pause = storeRetryDelay
		}
		if !w.sleep(ctx, pause) {
			return nil
		}
	}
	return nil
}

// sleep waits before the next step, or until a current reading is requested. It
// returns false if the context is done.
func (w *watcher) sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.relist: // nil if nothing requests readings of the prefix
		w.revision, w.target = 0, 0
	case <-timer.C:
	}
	return true
}

// watchOnce lists the prefix or waits for a change. It returns the delay before
// the next step.
func (n *Node) watchOnce(ctx context.Context, w *watcher) (time.Duration, error) {
	watching := w.shouldWatch()
	if !watching && !w.shouldList() {
		w.revision = 0
		return storeRetryDelay, nil
	}
	after, wait, timeout := w.revision, w.maxWait, w.maxWait+watchMargin
	if after == 0 && watching && w.resumeFrom != nil {
		after, wait, timeout = w.resumeFrom(), 0, storeTimeout
	}
	if after == 0 || !watching {
		currentAt := time.Time{}
		if watching {
			currentAt = time.Now()
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		items, revision, err := store.List(callCtx, n.deps.Store, w.prefix, !watching)
		if err != nil {
			return 0, err
		}
		w.onList(items, revision, currentAt)
		w.revision, w.target = revision, 0
		if !watching {
			w.revision = 0
			return listInterval, nil
		}
		return 0, nil
	}
	if w.target != 0 {
		wait, timeout = 0, storeTimeout // the changes up to it may be those of other prefixes
	}
	if err := w.setTarget(ctx); err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	events, revision, err := n.deps.Store.Watch(callCtx, w.prefix, after, wait)
	if err != nil {
		return 0, err
	}
	if w.revision == 0 {
		n.log.Info("changes since the last reading", slog.String("prefix", w.prefix), slog.Int("events", len(events)),
			slog.Int64("after", after), slog.Int64("revision", revision), slog.Int64("head", w.target))
	}
	w.revision = max(revision, after)
	if len(events) > 0 {
		if w.target != 0 && events[0].Revision > w.target {
			w.onWatched(w.targetAt, w.target) // before the changes, which may be dated by it
			w.target = 0
		}
		w.onEvents(events)
	}
	currentAt := w.reachTarget()
	if w.onWatched != nil {
		w.onWatched(currentAt, w.revision)
	}
	if w.target != 0 && w.revision > after {
		return 0, nil // the store has left out changes
	}
	return w.interval, nil
}

// setTarget asks for the revision up to which changes are to be read, unless changes up to an earlier one
// are still to be read.
func (w *watcher) setTarget(ctx context.Context) (err error) {
	if w.head == nil || w.target != 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	w.targetAt = time.Now()
	w.target, err = w.head(ctx)
	return err
}

// reachTarget returns the time at which the copy was that of the store, or zero if changes up to the target
// are still to be read.
func (w *watcher) reachTarget() (currentAt time.Time) {
	if w.target == 0 || w.revision < w.target {
		return time.Time{}
	}
	w.target = 0
	return w.targetAt
}

// watchConfiguration keeps the configuration and the set of evacuated data centres up to date. Every
// VM watches them: the store may refuse any others from which this one could learn of changes. An
// answer without a change has no entries, so that watching takes fewer bytes than listing.
func (n *Node) watchConfiguration(ctx context.Context) error {
	if n.config.ConfigurationKey == "" {
		return nil
	}
	return n.watch(ctx, &watcher{
		prefix:      cmp.Or(n.config.OperatorPrefix, n.config.ConfigurationKey),
		maxWait:     watchWait,
		onConnected: n.storeAnswers.Store,
		shouldWatch: always,
		shouldList:  always,
		onList: func(items []store.Item, revision int64, currentAt time.Time) {
			n.listEvacuations(items, revision, currentAt)
			for _, item := range items {
				n.applyConfiguration(item, "store")
			}
		},
		onWatched: func(_ time.Time, revision int64) { n.confirmEvacuations(revision) },
		onEvents: func(events []store.Event) {
			n.changeEvacuations(events)
			for _, e := range events {
				if !e.Deleted {
					n.applyConfiguration(e.Item, "store")
				}
			}
		},
	})
}

// applyConfiguration puts a configuration into force if it is newer than the
// current one.
func (n *Node) applyConfiguration(item store.Item, source string) {
	if item.Key != n.config.ConfigurationKey {
		return
	}
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	old := n.table.Load()
	if old != nil && item.Revision <= old.Revision {
		return
	}
	table, err := n.deps.Decoder.Configuration(item)
	if err != nil {
		n.log.Error("configuration rejected", slog.Int64("revision", item.Revision), slog.Any("error", err))
		return
	}
	if old != nil && table.Version < old.Version {
		n.log.Error("configuration rejected", slog.Int64("revision", item.Revision), slog.Int64("version", table.Version),
			slog.Int64("in_force", old.Version), slog.String("error", "its version is lower than the version in force"))
		return
	}
	n.table.Store(table)
	n.registry.configuration = item
	n.log.Info("configuration applied", slog.Int64("version", table.Version), slog.Int64("revision", table.Revision),
		slog.Int("queues", table.Len()), slog.String("source", source))
	n.wakeTermLoop()
}

func always() bool { return true }

// watchesForPeers reports whether this node watches the members on behalf of other VMs, because it
// dispatches or ranks first in its data centre.
func (n *Node) watchesForPeers() bool {
	return n.view.Load().TopInDataCentre || n.scheduler.Dispatching()
}

// watchMembers keeps the list of present members up to date.
func (n *Node) watchMembers(ctx context.Context) error {
	members := map[string]fleet.Member{}
	apply := func() {
		var list []fleet.Member
		for _, m := range members {
			list = append(list, m)
		}
		n.fleet.SetListed(list)
	}
	put := func(item store.Item) {
		var m wire.FleetMember
		if err := json.Unmarshal(item.Value, &m); err != nil {
			n.log.Warn("member entry ignored", slog.String("key", item.Key), slog.Any("error", err))
			return
		}
		members[item.Key] = fromWire(m)
	}
	return n.watch(ctx, &watcher{
		prefix:      n.config.MemberPrefix,
		maxWait:     memberWatchWait,
		shouldWatch: n.watchesForPeers,
		shouldList:  always,
		onList: func(items []store.Item, _ int64, _ time.Time) {
			clear(members)
			for _, item := range items {
				put(item)
			}
			apply()
		},
		onEvents: func(events []store.Event) {
			for _, e := range events {
				if e.Deleted {
					delete(members, e.Key)
				} else {
					put(e.Item)
				}
			}
			apply()
		},
	})
}

const (
	// memberTTL is the lease of a member's entry. Once the entries of failed VMs
	// have expired, the remaining VMs claim all upstreams, however few they are.
	memberTTL = 4 * time.Second
	// renewInterval allows two attempts to renew within the lease.
	renewInterval = 1300 * time.Millisecond
)

// registerLoop keeps this node's entry in the store under a lease.
func (n *Node) registerLoop(ctx context.Context) error {
	lease := int64(0)
	for ctx.Err() == nil && !n.draining.Load() {
		err := n.renew(ctx, &lease)
		pause := renewInterval
		switch {
		case errors.Is(err, store.ErrLeaseNotFound):
			lease, pause = 0, relistDelay
		case err != nil:
			n.log.Debug("failed to write or renew member entry", slog.Any("error", err))
			pause = storeRetryDelay
		}
		wait.For(ctx, pause)
	}
	if lease != 0 && ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := n.deps.Store.Revoke(callCtx, lease); err != nil {
			n.log.Info("failed to remove member entry, it expires with its lease", slog.Any("error", err))
		}
	}
	return nil
}

// renew renews the lease, or obtains one and writes the entry.
func (n *Node) renew(ctx context.Context, lease *int64) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if *lease != 0 {
		return n.keepRegistration(callCtx, *lease)
	}
	granted, err := n.deps.Store.Grant(callCtx, memberTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(toWire(n.fleet.Self()))
	if err != nil {
		return err
	}
	member := store.Write{Key: n.config.MemberPrefix + n.config.VM, Value: value, Lease: granted}
	if n.roster.unused {
		_, err = n.deps.Store.Commit(callCtx, store.Txn{Writes: []store.Write{member}})
	} else {
		err = n.register(callCtx, member) // again with each lease: the entry may have been removed
	}
	if err != nil {
		return err
	}
	*lease = granted
	return nil
}
