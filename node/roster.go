package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/store"
)

const (
	// leaveTimeout limits the time to remove the entry in the roster at the end of a graceful stop.
	leaveTimeout = 200 * time.Millisecond
	// leaveRetryDelay is the delay before another attempt within it.
	leaveRetryDelay = 50 * time.Millisecond
)

// roster is what this process knows of the roster in the store: an entry without a lease for
// each VM that has registered, until it has stopped gracefully or was removed.
type roster struct {
	mu       sync.Mutex // guards the fields below
	unused   bool       // there is no roster
	read     bool       // it has been read
	revision int64      // of the own entry as last written; 0 if it was not
	// answeredAt is when the store last answered a call on the roster or on the own lease.
	answeredAt time.Time
	writtenAt  time.Time // when the own entry was last written
	// registration tells whether the own entry may have been removed by another VM.
	registration fleet.Registration
	// removals is used by rosterLoop only.
	removals fleet.Removals
}

func (r *roster) init(unused bool) { r.unused = unused }

// known reports whether the members that may be lost are known.
func (r *roster) known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unused || r.read
}

// ready reports whether this process may dispatch: it knows the members that may be lost, and those
// that start later will know of it.
func (r *roster) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unused || r.read && r.revision != 0
}

func (r *roster) noteEntered(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = revision
}

func (r *roster) noteRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read = true
}

// noteAnswer notes that the store has answered.
func (r *roster) noteAnswer(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = now
}

// noteWritten notes that the store has written the own entry.
func (r *roster) noteWritten(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt, r.writtenAt = now, now
}

// writtenSince reports whether the own entry was written after a time.
func (r *roster) writtenSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writtenAt.After(t)
}

// noStoreAge is reported as the time since the store has last answered by a process that it never has.
const noStoreAge = time.Hour

// storeAge returns the time since the store last answered a call on the roster or on the own lease.
func (r *roster) storeAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeredAt.IsZero() {
		return noStoreAge
	}
	return max(now.Sub(r.answeredAt), time.Microsecond)
}

// ownRevision returns the revision of the own entry, or 0.
func (r *roster) ownRevision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// rosterLoop reads the roster after the start, and while this node dispatches and members are not
// heard: the removal of one proves that it has gone, and the entry of one that no heard member
// knows tells of it.
func (n *Node) rosterLoop(ctx context.Context) error {
	if n.roster.unused {
		return nil
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	warned := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.rosterSignal:
		case <-timer.C:
		}
		pause := listInterval
		v := n.view.Load()
		if !n.roster.known() || (n.scheduler.Dispatching() || v.Candidate) && v.Silence != fleet.SilenceNone {
			next, err := n.readRoster(ctx)
			if next != 0 {
				pause = next
			}
			if err != nil {
				level, waits := slog.LevelDebug, !n.roster.known()
				if waits && !warned {
					level, warned = slog.LevelWarn, true
				}
				n.log.Log(ctx, level, "the roster cannot be read", slog.Bool("term_waits", waits), slog.Any("error", err))
				pause = storeRetryDelay
			}
		}
		timer.Reset(pause)
	}
}

// readRoster reads the roster, and removes the VMs that have gone for good. A stale copy would not
// do: it may lack a member that has registered since. next is the time until
// the next reading; 0 if none is needed soon.
func (n *Node) readRoster(ctx context.Context) (next time.Duration, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, _, err := store.List(callCtx, n.deps.Store, n.config.RosterPrefix, false)
	if err != nil {
		return 0, err
	}
	n.roster.noteAnswer(time.Now())
	members, entries := make([]fleet.Member, 0, len(items)), make([]fleet.RosterEntry, 0, len(items))
	for _, item := range items {
		e, err := n.decodeRosterEntry(item)
		if err != nil {
			n.log.Warn("roster entry cannot be read", slog.String("key", item.Key), slog.Any("error", err))
		}
		members, entries = append(members, e.Member), append(entries, e)
	}
	n.fleet.SetRoster(members)
	n.roster.noteRead()
	n.wakeTermLoop()
	return n.removeLost(ctx, entries)
}

// decodeRosterEntry decodes an entry of the roster. With an error, it returns an entry that only names
// the VM.
func (n *Node) decodeRosterEntry(item store.Item) (fleet.RosterEntry, error) {
	var e wire.RosterEntry
	vm := strings.TrimPrefix(item.Key, n.config.RosterPrefix)
	err := json.Unmarshal(item.Value, &e)
	if err == nil && e.VM != vm {
		err = errors.Newf("it describes VM %q", e.VM)
	}
	if err != nil {
		return fleet.RosterEntry{Member: fleet.Member{VM: vm}, Revision: item.Revision}, err
	}
	return fleet.RosterEntry{
		Member:   fleet.Member{VM: e.VM, Incarnation: e.Incarnation, DataCentre: e.DataCentre, Address: e.Address, Draining: e.Draining, Weight: e.Weight},
		Revision: item.Revision, Removable: e.Removable, Record: fleet.Record{Scope: e.Scope, Neighbours: e.Neighbours},
	}, nil
}

// leaveRoster ends the term, if no other VM has taken over, and removes the own entry after a
// graceful stop. An entry that is left counts as that of a VM which may dispatch, until its next
// process replaces it.
func (n *Node) leaveRoster() {
	revision := n.roster.ownRevision()
	if revision == 0 {
		return
	}
	if n.scheduler.Dispatching() {
		n.endTerm("this VM stops")
	}
	ctx, cancel := context.WithTimeout(n.runCtx, leaveTimeout)
	defer cancel()
	key := n.config.RosterPrefix + n.config.VM
	txn := store.Txn{Conditions: []store.Condition{{Key: key, Revision: revision}}, Deletes: []string{key}}
	for {
		_, err := n.deps.Store.Commit(ctx, txn)
		switch conflict := (*store.ConflictError)(nil); {
		case err == nil:
			return
		case errors.As(err, &conflict):
			n.log.Info("the roster entry is gone or that of another process", slog.Any("error", err))
			return
		case !wait.For(ctx, leaveRetryDelay):
			n.log.Warn("failed to leave the roster, this VM counts as lost until its next process starts or it is removed", slog.Any("error", err))
			return
		}
	}
}
