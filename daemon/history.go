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

// firstMemberPrefix is the place of the founders in the platform's service.
const firstMemberPrefix = "mustardstep/founder/"

// historyPollInterval is the time between looks at whether the join needs the history.
const historyPollInterval = 20 * time.Millisecond

// resolveHistory finds out, for an incarnation that meets no admitted member,
// whether its data centre had members before. Without a platform it takes it
// that there were none; with one that does not answer, that there were.
func (d *Daemon) resolveHistory(ctx context.Context) error {
	if d.store == nil {
		d.node.SetHistory(ownership.HistoryNone)
		d.perform(d.node.DueActions(time.Now()))
		return nil
	}
	for !d.node.Ready() && wait.For(ctx, historyPollInterval) {
		if d.node.NeedsHistory() {
			h := d.readHistory(ctx)
			d.log.Info("history", slog.Bool("lost", h == ownership.HistoryLost))
			d.node.SetHistory(h)
			d.perform(d.node.DueActions(time.Now()))
		}
	}
	return nil
}

// readHistory reads the founder's entry and makes this incarnation the founder
// where there is none or where it has ended.
func (d *Daemon) readHistory(ctx context.Context) ownership.History {
	self := d.node.View().Self
	key := firstMemberPrefix + self.DataCentre
	found, _, err := store.List(ctx, d.store, key, false)
	if err != nil {
		d.log.Warn("founder of the data centre", slog.Any("error", err))
		return ownership.HistoryLost
	}
	mine := wire.FirstMember{Member: encodeMember(self)}
	var revision int64
	for _, entry := range found {
		var founder wire.FirstMember
		if entry.Key != key {
			continue
		}
		if _, err := founder.UnmarshalMsg(entry.Value); err != nil {
			return ownership.HistoryLost
		}
		if d.notTerminated(decodeMember(founder.Member)) {
			return historyOf(founder)
		}
		revision, mine.HistoryLost = entry.Revision, true
	}
	value, err := mine.MarshalMsg(nil)
	if err != nil {
		return ownership.HistoryLost
	}
	_, err = d.store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Revision: revision}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return ownership.HistoryUnknown // another incarnation was first; it is read next
	}
	if err != nil {
		d.log.Warn("founder of the data centre", slog.Any("error", err))
		return ownership.HistoryLost
	}
	return historyOf(mine)
}

func historyOf(founder wire.FirstMember) ownership.History {
	if founder.HistoryLost {
		return ownership.HistoryLost
	}
	return ownership.HistoryNone
}

// notTerminated tells whether an incarnation is one of the members.
func (d *Daemon) notTerminated(m membership.Member) bool {
	f, known := d.node.View().Fact(m.ID())
	return known && f.Termination == membership.NotTerminated
}
