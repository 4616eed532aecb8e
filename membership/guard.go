package membership

import (
	"sync/atomic"
	"time"
)

// guard tells whether this process may start tasks, without a lock.
type guard struct {
	until   atomic.Int64 // Unix nanoseconds at which the permission lapses
	stalled atomic.Bool
	lastRun atomic.Int64 // Unix nanoseconds of the last tick
	woken   atomic.Int64 // Unix nanoseconds at which the last stall was noticed
}

func (g *guard) tick(now time.Time) { g.lastRun.Store(now.UnixNano()) }

// MayStartUntil returns the time until which this process may send task starts.
// ok is false where it may send none: it has ended, is not admitted, or has
// been stalled or isolated for half the fence time and has not been confirmed
// by its peers since.
func (t *Table) MayStartUntil(now time.Time) (until time.Time, ok bool) {
	v := t.view.Load()
	until = time.Unix(0, t.guard.until.Load())
	return until, v.Admitted(v.Self.ID()) && !t.guard.stalled.Load() && now.Before(until)
}

// Tick renews the permission to start, notices a stall or an isolation, and
// ends members that the platform's list and their silence prove to have ended.
// It is called once per interval.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := time.Unix(0, t.guard.lastRun.Load())
	t.guard.tick(now)
	if now.Sub(last) > t.config.Fence/2 || t.isolated(now) {
		t.guard.stalled.Store(true)
		t.guard.woken.Store(now.UnixNano())
	}
	t.reconfirm(now)
	t.proveListed(now)
	t.forget(now)
}

// isolated tells whether no other member of the data centre has answered a
// heartbeat for half the fence time. Without another member it is false.
func (t *Table) isolated(now time.Time) bool {
	alone := true
	for id, p := range t.peers {
		if !t.local(id, p) || !p.counted {
			continue
		}
		alone = false
		if now.Sub(p.confirmedAt()) <= t.config.Fence/2 {
			return false
		}
	}
	return !alone
}

func (p *peer) confirmedAt() time.Time {
	if p.confirmed.IsZero() {
		return p.since
	}
	return p.confirmed
}

// reconfirm ends a stall once every other unended member has answered a
// heartbeat that was sent after it was noticed, and extends the permission to
// start. The caller holds mu.
func (t *Table) reconfirm(now time.Time) {
	woken := time.Unix(0, t.guard.woken.Load())
	if t.guard.stalled.Load() && t.confirmedSince(woken) {
		t.guard.stalled.Store(false)
	}
	last := time.Unix(0, t.guard.lastRun.Load())
	t.guard.until.Store(t.permission(last).UnixNano())
}

func (t *Table) confirmedSince(woken time.Time) bool {
	for id, p := range t.peers {
		if t.local(id, p) && p.counted && p.confirmed.Before(woken) {
			return false
		}
	}
	return true
}

// permission returns the end of the permission to start: half the fence time
// after the last tick, and after the last confirmation by any peer.
func (t *Table) permission(last time.Time) time.Time {
	var confirmed time.Time
	alone := true
	for id, p := range t.peers {
		if t.local(id, p) && p.counted {
			alone = false
			if at := p.confirmedAt(); at.After(confirmed) {
				confirmed = at
			}
		}
	}
	if !alone && confirmed.Before(last) {
		last = confirmed
	}
	return last.Add(t.config.Fence / 2)
}
