package node

import (
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
	// watchWait is the longest wait of a watch. A connection that went silent is
	// noticed by its end: VMs whose connections were reset or went silent have 3 s
	// before a change must be in force there.
	watchWait = 1500 * time.Millisecond
	// memberWait is the same for the list of members, who hear each other anyway.
	memberWait = 5 * time.Second
	// watchMargin is the time beyond its wait within which a watch is answered;
	// the store may be slow.
	watchMargin = 700 * time.Millisecond
	// callTimeout is the longest wait for another call of the store, which
	// answers in 4 ms and is at times sixty times as slow.
	callTimeout = time.Second
	// storeRetry is the pause after a failed call: all VMs together stay far
	// below the store's rates.
	storeRetry = 250 * time.Millisecond
	// rereadPause spaces full listings where watches end at once.
	rereadPause = 100 * time.Millisecond
)

// follower keeps a copy of the entries under a prefix.
type follower struct {
	prefix string
	// reset takes a full listing, change the events since.
	reset  func(items []store.Item)
	change func(events []store.Event)
	// wait is the longest wait of a watch.
	wait time.Duration
	// spacing is the pause between two watches, which gathers events.
	spacing time.Duration
	// watches tells whether changes are followed as they come. Otherwise the
	// prefix is listed now and then, which may show it seconds old, while lists
	// is true.
	watches, lists func() bool
	// relist asks for a fresh listing; it may be nil.
	relist <-chan struct{}

	revision  int64 // from which the watch goes on; 0 asks for a listing
	connected bool
}

// pollInterval is the time between two listings by a VM that does not watch: it
// learns of changes from the beats of others.
const pollInterval = 2 * time.Second

// follow keeps the copy until the context ends.
func (n *Node) follow(ctx context.Context, f *follower) error {
	for ctx.Err() == nil {
		pause, err := n.followOnce(ctx, f)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			if !f.connected {
				f.connected = true
				n.log.Info("store regained", slog.String("prefix", f.prefix), slog.Int64("revision", f.revision))
			}
		case errors.Is(err, store.ErrCompacted):
			n.log.Info("store history dropped", slog.String("prefix", f.prefix), slog.Int64("after", f.revision))
			f.revision, pause = 0, rereadPause
		default:
			if f.connected {
				f.connected = false
				n.log.Warn("store lost", slog.String("prefix", f.prefix), slog.Any("error", err))
			}
			pause = storeRetry
		}
		if !f.rest(ctx, pause) {
			return nil
		}
	}
	return nil
}

// rest waits before the next step, less where a fresh listing is asked for.
func (f *follower) rest(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.relist: // nil for a prefix that nobody asks for
		f.revision = 0
	case <-timer.C:
	}
	return true
}

// followOnce lists the prefix, or waits for a change of it. It returns the pause
// before the next step.
func (n *Node) followOnce(ctx context.Context, f *follower) (time.Duration, error) {
	watches := f.watches()
	if !watches && !f.lists() {
		f.revision = 0
		return storeRetry, nil
	}
	if f.revision == 0 || !watches {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		items, at, err := store.List(call, n.deps.Store, f.prefix, !watches)
		if err != nil {
			return 0, err
		}
		f.reset(items)
		f.revision = at
		if !watches {
			f.revision = 0
			return pollInterval, nil
		}
		return 0, nil
	}
	call, cancel := context.WithTimeout(ctx, f.wait+watchMargin)
	defer cancel()
	events, at, err := n.deps.Store.Watch(call, f.prefix, f.revision, f.wait)
	if err != nil {
		return 0, err
	}
	f.revision = max(at, f.revision)
	if len(events) > 0 {
		f.change(events)
	}
	return f.spacing, nil
}

// followConfiguration keeps the configuration in force.
func (n *Node) followConfiguration(ctx context.Context) error {
	if n.config.ConfigurationKey == "" {
		return nil
	}
	return n.follow(ctx, &follower{
		prefix:  n.config.ConfigurationKey,
		wait:    watchWait,
		watches: func() bool { return n.leads() || n.table.Load() == nil },
		lists:   always,
		reset: func(items []store.Item) {
			for _, item := range items {
				n.configure(item, "store")
			}
		},
		change: func(events []store.Event) {
			for _, e := range events {
				if !e.Deleted {
					n.configure(e.Item, "store")
				}
			}
		},
	})
}

// configure puts a configuration in force, if it is newer than the one that is.
func (n *Node) configure(item store.Item, source string) {
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
			slog.Int64("in_force", old.Version), slog.String("error", "its version is lower than the one in force"))
		return
	}
	n.table.Store(table)
	n.registry.configuration = item
	n.log.Info("reload", slog.Int64("version", table.Version), slog.Int64("revision", table.Revision),
		slog.Int("queues", table.Len()), slog.String("source", source))
	n.wakeControl()
}

func always() bool { return true }

// leads tells whether this node follows the store for others: it dispatches, or
// is the first of its data centre.
func (n *Node) leads() bool { return n.view.Load().TopInDataCentre || n.scheduler.Dispatching() }

// followMembers learns which VMs are present.
func (n *Node) followMembers(ctx context.Context) error {
	members := map[string]fleet.Member{}
	apply := func() {
		var list []fleet.Member
		for _, m := range members {
			list = append(list, m)
		}
		n.fleet.SetListed(list)
	}
	enter := func(item store.Item) {
		var m wire.FleetMember
		if err := json.Unmarshal(item.Value, &m); err != nil {
			n.log.Warn("member entry ignored", slog.String("key", item.Key), slog.Any("error", err))
			return
		}
		members[item.Key] = fromWire(m)
	}
	return n.follow(ctx, &follower{
		prefix:  n.config.MemberPrefix,
		wait:    memberWait,
		watches: n.leads,
		lists:   always,
		reset: func(items []store.Item) {
			clear(members)
			for _, item := range items {
				enter(item)
			}
			apply()
		},
		change: func(events []store.Event) {
			for _, e := range events {
				if e.Deleted {
					delete(members, e.Key)
				} else {
					enter(e.Item)
				}
			}
			apply()
		},
	})
}

const (
	// memberTTL is the time after which a VM that renews nothing is no longer
	// listed, so that a small group that is left takes all upstreams.
	memberTTL = 4 * time.Second
	// renewInterval leaves time for two tries within the lease.
	renewInterval = 1300 * time.Millisecond
)

// keepRegistered keeps the own entry in the store under a lease.
func (n *Node) keepRegistered(ctx context.Context) error {
	lease := int64(0)
	for ctx.Err() == nil && !n.draining.Load() {
		err := n.renew(ctx, &lease)
		pause := renewInterval
		switch {
		case errors.Is(err, store.ErrLeaseNotFound):
			lease, pause = 0, rereadPause
		case err != nil:
			n.log.Debug("registration failed", slog.Any("error", err))
			pause = storeRetry
		}
		wait.For(ctx, pause)
	}
	if lease != 0 && ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := n.deps.Store.Revoke(call, lease); err != nil {
			n.log.Info("registration left to its lease", slog.Any("error", err))
		}
	}
	return nil
}

// renew keeps the lease, or gets one and writes the entry.
func (n *Node) renew(ctx context.Context, lease *int64) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *lease != 0 {
		return n.deps.Store.KeepAlive(call, *lease)
	}
	granted, err := n.deps.Store.Grant(call, memberTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(toWire(n.fleet.Self()))
	if err != nil {
		return err
	}
	if err := store.Put(call, n.deps.Store, n.config.MemberPrefix+n.config.VM, value, granted); err != nil {
		return err
	}
	*lease = granted
	return nil
}
