package dispatch

import "time"

// Peer is a VM that may lend slots.
type Peer struct {
	VM string
	// Near tells that it is in the same data centre.
	Near bool
}

// Waits before a lender that gave nothing is asked again.
const (
	minLenderWait = 50 * time.Millisecond
	maxLenderWait = 800 * time.Millisecond
)

// lenders remembers what each peer last had to lend. Its owner guards it.
type lenders struct {
	known []lender
	next  int
}

type lender struct {
	Peer
	left  int // slots that it could still lend when last asked
	wait  time.Duration
	until time.Time // not to be asked before
}

func (l *lenders) set(peers []Peer) {
	old := map[string]lender{}
	for _, known := range l.known {
		old[known.VM] = known
	}
	l.known = l.known[:0]
	for _, peer := range peers {
		one := old[peer.VM]
		one.Peer = peer
		l.known = append(l.known, one)
	}
}

// choose returns the peer that had most to lend, a near one where two are
// alike. Peers of which nothing is known take turns.
func (l *lenders) choose(now time.Time) (string, bool) {
	best := -1
	l.next++
	for i := range l.known {
		at := (l.next + i) % len(l.known)
		one := &l.known[at]
		if now.Before(one.until) {
			continue
		}
		if best < 0 || one.left > l.known[best].left ||
			(one.left == l.known[best].left && one.Near && !l.known[best].Near) {
			best = at
		}
	}
	if best < 0 {
		return "", false
	}
	return l.known[best].VM, true
}

// report enters what a peer lent and has left.
func (l *lenders) report(now time.Time, vm string, lent, left int) {
	for i := range l.known {
		one := &l.known[i]
		if one.VM != vm {
			continue
		}
		one.left = left
		if lent > 0 {
			one.wait = 0
		} else {
			one.wait = min(max(2*one.wait, minLenderWait), maxLenderWait)
		}
		one.until = now.Add(one.wait)
	}
}
