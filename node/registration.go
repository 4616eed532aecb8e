package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/store"
	"github.com/mustardstep/mustardstep/verdict"
)

// register writes this VM's entry on the roster, and the entry of the member with it if that is given. A
// write without an answer may still be executed, but not after a later one if it only updates the entry.
func (n *Node) register(ctx context.Context, member ...store.Write) error {
	sentAt, record, self := time.Now(), n.fleet.Record(), n.fleet.Self()
	value, err := json.Marshal(wire.RosterEntry{
		VM: self.VM, Incarnation: self.Incarnation, DataCentre: self.DataCentre, Address: self.Address, Draining: self.Draining, Weight: self.Weight,
		Removable: true, Scope: record.Scope, Neighbours: record.Neighbours,
	})
	if err != nil {
		return err
	}
	registration := &n.roster.registration
	registration.Send(sentAt, record)
	key := n.config.RosterPrefix + n.config.VM
	txn := store.Txn{Writes: append(member, store.Write{Key: key, Value: value})}
	if len(member) == 0 {
		txn.Conditions = []store.Condition{{Key: key, Revision: n.roster.ownRevision()}}
	}
	revision, err := n.deps.Store.Commit(ctx, txn)
	if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
		return errors.Wrap(store.ErrLeaseNotFound, "the entry on the roster has changed")
	}
	if err != nil {
		registration.Unanswered(time.Now())
		return err
	}
	registration.Written(sentAt)
	n.roster.noteEntered(revision)
	n.roster.noteWritten(time.Now())
	return nil
}

// keepRegistration renews the lease and confirms the registration, and updates the entry on the roster if
// it names other members than those that are known. It returns store.ErrLeaseNotFound if the VM must
// register again.
func (n *Node) keepRegistration(ctx context.Context, lease int64) error {
	sentAt := time.Now()
	if err := n.deps.Store.KeepAlive(ctx, lease); err != nil || n.roster.unused {
		return err
	}
	n.roster.noteAnswer(time.Now())
	registration := &n.roster.registration
	mayDispatch := n.view.Load().Candidate || n.scheduler.Dispatching()
	if (mayDispatch || n.fleet.Self().Barred) && !registration.HearsAll(sentAt) {
		sentAt = time.Now()
		if err := n.findOwnEntry(ctx); err != nil {
			return err
		}
	}
	registration.Confirm(sentAt)
	if registration.Current(n.fleet.Record()) || !mayDispatch && n.roster.writtenSince(sentAt.Add(-recordInterval)) {
		return nil
	}
	return n.register(ctx)
}

// recordInterval is the interval at which a VM that ranks low updates its entry on the roster. With every
// restart of another VM its record changes twice.
const recordInterval = 10 * time.Second

// findOwnEntry returns store.ErrLeaseNotFound if the store does not list this VM although it has renewed
// the lease.
func (n *Node) findOwnEntry(ctx context.Context) error {
	key := n.config.MemberPrefix + n.config.VM
	items, _, err := store.List(ctx, n.deps.Store, key, false)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(items, func(i store.Item) bool { return i.Key == key }) {
		n.log.Warn("the store has renewed the lease of this VM but does not list it")
		return store.ErrLeaseNotFound
	}
	return nil
}

// updateBarred determines whether this VM may not dispatch, because another one may have removed it
// from the roster.
func (n *Node) updateBarred(now time.Time) bool {
	if n.roster.unused {
		return false
	}
	registration := &n.roster.registration
	contact := n.fleet.Contact(now, registration.Records())
	barred := n.roster.ownRevision() != 0 && registration.MayHaveEnded(now, contact)
	if barred == n.fleet.Self().Barred {
		return barred
	}
	n.fleet.SetBarred(barred)
	n.log.Info("right to dispatch changed", slog.Bool("barred", barred), slog.Int64("store_age_ms", n.roster.storeAge(now).Milliseconds()),
		slog.Bool("hears_all", contact.All), slog.Bool("hears_data_centre", contact.DataCentre))
	return barred
}

// rejectBarred answers a job if no dispatcher is heard, and neither this VM nor one that it hears may
// become one. It reports whether it has.
func (n *Node) rejectBarred(j *intake.Job[Job], v *fleet.View) bool {
	if v.Dispatcher.VM != "" || !v.TopRanked.Barred || n.elsewhere.active() {
		return false
	}
	answer := intake.Answer{Outcome: intake.NotRun, Code: verdict.CodeNotReady, Reason: "no VM that is heard may dispatch: each is cut off from the store and from other VMs", RetryAfter: verdict.MinRetryAfter}
	if n.jobs.MayHaveStarted(j) {
		answer.Outcome = intake.Abandoned
	}
	n.end(j, answer)
	return true
}

// removeLost removes the VMs from the roster that have gone for good. The entries were read just now.
// next is the time until the next reading; 0 if none is needed soon.
func (n *Node) removeLost(ctx context.Context, entries []fleet.RosterEntry) (next time.Duration, err error) {
	v := n.view.Load()
	if len(v.Lost) == 0 {
		return 0, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listed, _, err := store.List(callCtx, n.deps.Store, n.config.MemberPrefix, false)
	if err != nil {
		return 0, err
	}
	present := map[string]bool{}
	for _, item := range listed {
		present[item.Key] = true
	}
	for i := range entries {
		entries[i].Listed = present[n.config.MemberPrefix+entries[i].Member.VM]
	}
	due, next := n.roster.removals.Observe(time.Now(), n.fleet, v, entries, n.config.LeaseMax)
	for _, e := range due {
		if err := n.removeFromRoster(callCtx, e); err != nil {
			return 0, err
		}
	}
	if len(due) > 0 {
		wake(n.rosterSignal) // the next reading shows that they are gone
	}
	return next, nil
}

// removeFromRoster removes the entry of a VM, unless it has registered again.
func (n *Node) removeFromRoster(ctx context.Context, e fleet.RosterEntry) error {
	vm := e.Member.VM
	_, err := n.deps.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: n.config.RosterPrefix + vm, Revision: e.Revision}, {Key: n.config.MemberPrefix + vm}},
		Deletes:    []string{n.config.RosterPrefix + vm},
	})
	switch conflict := (*store.ConflictError)(nil); {
	case errors.As(err, &conflict):
		n.log.Info("VM not removed from the roster: it has registered again, or another VM has removed it", slog.String("lost", vm))
	case err != nil:
		return errors.Wrapf(err, "remove %s from the roster", vm)
	default:
		n.metrics.Removals.Inc()
		n.log.Warn("VM removed from the roster: neither heard nor listed for longer than it dispatches", slog.String("lost", vm), slog.Uint64("incarnation", e.Member.Incarnation))
	}
	return nil
}
