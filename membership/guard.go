package membership

import (
	"sync/atomic"
	"time"
)

// startGuard holds the permission of this process to start tasks. It is read
// without a lock.
type startGuard struct {
	startUntil atomic.Int64 // Unix nanoseconds at which the permission expires
	stalled    atomic.Bool  // stalled or isolated, and not every peer has answered since
	lastTick   atomic.Int64 // Unix nanoseconds of the last Tick
	stalledAt  atomic.Int64 // Unix nanoseconds at which the last stall or isolation was detected
}

func (g *startGuard) recordTick(now time.Time) { g.lastTick.Store(now.UnixNano()) }

// MayStartUntil returns the time until which this process may send task starts.
// ok is false if it may send none: it is not admitted, was marked as terminated,
// or was stalled or isolated for half the fence time and not every peer has
// answered a heartbeat since.
func (t *Table) MayStartUntil(now time.Time) (until time.Time, ok bool) {
	v := t.view.Load()
	until = time.Unix(0, t.guard.startUntil.Load())
	return until, v.Admitted(v.Self.ID()) && !t.guard.stalled.Load() && now.Before(until)
}

// Tick renews the permission to start tasks, detects stalls and isolation, and
// marks members as terminated that are listed as gone and silent. It is called
// once per heartbeat interval.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lastTick := time.Unix(0, t.guard.lastTick.Load())
	t.guard.recordTick(now)
	if now.Sub(lastTick) > t.config.Fence/2 || t.isolated(now) {
		t.guard.stalled.Store(true)
		t.guard.stalledAt.Store(now.UnixNano())
	}
	t.renewPermission(now)
	t.terminateListed(now)
	t.pruneTerminated(now)
}

// isolated reports whether no other ranked member of the data centre has
// answered a heartbeat for half the fence time. It is false if there is no
// other member. The caller holds mu.
func (t *Table) isolated(now time.Time) bool {
	alone := true
	for id, p := range t.peers {
		if !t.isLocalPeer(id, p) || !p.inRanking {
			continue
		}
		alone = false
		if now.Sub(p.lastConfirmed()) <= t.config.Fence/2 {
			return false
		}
	}
	return !alone
}

// lastConfirmed returns the time at which the last heartbeat that the peer
// answered was sent, or the time at which the peer became known if it has
// answered none.
func (p *peer) lastConfirmed() time.Time {
	if p.confirmedAt.IsZero() {
		return p.firstSeen
	}
	return p.confirmedAt
}

// renewPermission ends a stall once every other ranked member of the data
// centre has answered a heartbeat sent after the stall was detected, and
// extends the permission to start tasks. The caller holds mu.
func (t *Table) renewPermission(now time.Time) {
	stalledAt := time.Unix(0, t.guard.stalledAt.Load())
	if t.guard.stalled.Load() && t.confirmedSince(stalledAt) {
		t.guard.stalled.Store(false)
	}
	lastTick := time.Unix(0, t.guard.lastTick.Load())
	t.guard.startUntil.Store(t.permissionEnd(lastTick).UnixNano())
}

// confirmedSince reports whether every other ranked member of the data centre
// has answered a heartbeat sent at or after start. The caller holds mu.
func (t *Table) confirmedSince(start time.Time) bool {
	for id, p := range t.peers {
		if t.isLocalPeer(id, p) && p.inRanking && p.confirmedAt.Before(start) {
			return false
		}
	}
	return true
}

// permissionEnd returns the time at which the permission to start tasks
// expires: half the fence time after the last tick or after the latest
// lastConfirmed of all peers, whichever is earlier. The caller holds mu.
func (t *Table) permissionEnd(lastTick time.Time) time.Time {
	var confirmed time.Time
	alone := true
	for id, p := range t.peers {
		if t.isLocalPeer(id, p) && p.inRanking {
			alone = false
			if at := p.lastConfirmed(); at.After(confirmed) {
				confirmed = at
			}
		}
	}
	if !alone && confirmed.Before(lastTick) {
		lastTick = confirmed
	}
	return lastTick.Add(t.config.Fence / 2)
}
