package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/ownership"
	"github.com/mustardstep/mustardstep/store"
)

// firstMemberPrefix is the key prefix, in the platform's store, of the entries
// that name the first member of each data centre.
const firstMemberPrefix = "mustardstep/founder/"

// historyPollInterval is the interval at which resolveHistory checks whether the
// join needs the history.
const historyPollInterval = 20 * time.Millisecond

// resolveHistory determines whether the data centre had members before. It does so
// only if this incarnation finds no admitted member there when it joins. If no
// platform is configured, it assumes that there were none. If the platform does not
// answer, it assumes that there were and that their records are lost.
func (d *Daemon) resolveHistory(ctx context.Context) error {
	if d.store == nil {
		d.ownership.SetHistory(ownership.HistoryNone)
		d.perform(d.ownership.DueActions(time.Now()))
		return nil
	}
	for !d.ownership.Ready() && wait.For(ctx, historyPollInterval) {
		if d.ownership.NeedsHistory() {
			h := d.readHistory(ctx)
			d.log.Info("data centre history checked", slog.Bool("lost", h == ownership.HistoryLost))
			d.ownership.SetHistory(h)
			d.perform(d.ownership.DueActions(time.Now()))
		}
	}
	return nil
}

// readHistory reads the entry that names the data centre's first member. If there
// is no entry, or the incarnation that it names is unknown or has terminated, it
// writes one that names this incarnation.
func (d *Daemon) readHistory(ctx context.Context) ownership.History {
	self := d.ownership.View().Self
	key := firstMemberPrefix + self.DataCentre
	found, _, err := store.List(ctx, d.store, key, false)
	if err != nil {
		d.log.Warn("cannot read the first member of the data centre", slog.Any("error", err))
		return ownership.HistoryLost
	}
	own := wire.FirstMember{Member: encodeMember(self)}
	var revision int64
	for _, entry := range found {
		var first wire.FirstMember
		if entry.Key != key {
			continue
		}
		if _, err := first.UnmarshalMsg(entry.Value); err != nil {
			return ownership.HistoryLost
		}
		if d.notTerminated(decodeMember(first.Member)) {
			return historyFrom(first)
		}
		revision, own.HistoryLost = entry.Revision, true
	}
	value, err := own.MarshalMsg(nil)
	if err != nil {
		return ownership.HistoryLost
	}
	_, err = d.store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Revision: revision}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return ownership.HistoryUnknown // another incarnation was faster; the next call reads its entry
	}
	if err != nil {
		d.log.Warn("cannot register as the first member of the data centre", slog.Any("error", err))
		return ownership.HistoryLost
	}
	return historyFrom(own)
}

func historyFrom(first wire.FirstMember) ownership.History {
	if first.HistoryLost {
		return ownership.HistoryLost
	}
	return ownership.HistoryNone
}

// notTerminated reports whether an incarnation is known and not proved to have
// terminated.
func (d *Daemon) notTerminated(m membership.Member) bool {
	f, known := d.ownership.View().Fact(m.ID())
	return known && f.Termination == membership.NotTerminated
}
