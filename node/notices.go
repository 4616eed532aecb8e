package node

import (
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/scheduler"
)

// storeSource is the source of a list that was read from the store, for the log.
const storeSource = "store"

// recordNotice completes the departure notice of an entry that was decoded, from the one that
// was known before, and logs the part of the entry that was ignored. It is known since when
// the upstream drains if this VM has followed its entry: an upstream that was draining when
// its entry appeared, or after a gap between two readings, may have drained for long. The
// caller must hold the registry's lock.
func (n *Node) recordNotice(e *entry, known entry, fromStore bool) {
	u := &e.upstream
	if u.Ignored != "" && u.Ignored != known.upstream.Ignored {
		n.log.Warn("part of an upstream entry ignored", slog.String("key", e.item.Key), slog.String("reason", u.Ignored))
	}
	read := u.Notice
	u.Notice = nil
	if !u.Draining {
		return
	}
	now := time.Now()
	followed := known.valid && !known.odd && known.lapsedAt.IsZero()
	recent := fromStore && now.Sub(n.registry.currentAt) <= n.config.UpstreamDrain/2
	switch {
	case !followed:
	case !recent && known.upstream.Draining:
		u.Notice = known.upstream.Notice // the new one may have been written long ago
	case recent && read != nil:
		// The entry was written after the list was that of the store, which did not have it.
		u.Notice = &scheduler.DepartureNotice{Left: read.Left, ReadAt: n.registry.currentAt, DrainingSince: now}
		if known.upstream.Draining {
			u.Notice.DrainingSince = known.drainingSince()
		}
	}
	if !known.upstream.Draining && read != nil && read.Left > 0 {
		n.log.Info("upstream has announced its departure", slog.String("upstream", u.Name), slog.Int64("left_ms", read.Left.Milliseconds()),
			slog.Bool("takes_tasks", n.config.UpstreamDrain > 0 && u.Notice != nil))
	}
}

// drainingSince returns since when the upstream is known to drain, or zero.
func (e *entry) drainingSince() time.Time {
	if e.upstream.Notice == nil {
		return time.Time{}
	}
	return e.upstream.Notice.DrainingSince
}

// observePlacement counts a placement by the data centre of its upstream, and logs a task that
// was placed on a draining upstream.
func (n *Node) observePlacement(start *scheduler.Start) {
	n.metrics.observeNearness(start.Near)
	n.metrics.observePlacement(start.Placement)
	notice := start.Upstream.Notice
	if notice == nil {
		return
	}
	n.metrics.DrainingStarts.Inc()
	n.log.Info("task placed on a draining upstream", slog.String("job", start.Run.Job), slog.String("task", n.taskName(start.Run.Task)),
		slog.String("upstream", start.Upstream.Name), slog.Int64("left_ms", notice.Left.Milliseconds()),
		slog.Int64("read_ms", time.Since(notice.ReadAt).Milliseconds()), slog.Int64("expected_ms", start.Expected.Milliseconds()))
}
