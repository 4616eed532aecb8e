package ownership

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/membership"
)

// covers reports whether the history of the submission with a hash may be lost
// because of this gap.
func (g HistoryGap) covers(now time.Time, hash uint64) bool {
	if !now.Before(g.Until) {
		return false
	}
	ahead := func(id membership.ID) bool { return rendezvous.Before(hash, uint64(id), uint64(g.Observer)) }
	return g.All || ahead(g.Departed[0]) && ahead(g.Departed[1])
}

// gapTracker tracks the submissions whose history may be lost. The owner of a
// started submission and the next member in rank both know it. Its history is
// lost only if both depart before either has transferred it to the member that
// follows them.
type gapTracker struct {
	retention time.Duration

	mu        sync.Mutex // guards the fields below
	epoch     uint64     // epoch of the last observed view
	departed  map[membership.ID]time.Time
	accounted map[membership.ID]map[membership.ID]bool // by sender: departed incarnations that its transfers account for
	gaps      []HistoryGap
}

func newGapTracker(retention time.Duration) *gapTracker {
	return &gapTracker{
		retention: retention,
		departed:  map[membership.ID]time.Time{},
		accounted: map[membership.ID]map[membership.ID]bool{},
	}
}

// observeView records the departures of a view. Two departures leave a gap unless
// one of the two members completed a transfer to this process after the other had
// departed. A process that has not joined adds no gaps itself; it receives them
// in the transfers from other members.
func (t *gapTracker) observeView(now time.Time, view *membership.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.epoch == view.Epoch {
		return
	}
	t.epoch = view.Epoch
	self := view.Self.ID()
	for _, id := range view.DepartedOwners {
		if _, known := t.departed[id]; known || id == self {
			continue
		}
		if view.Admitted(self) {
			t.addGaps(now, self, id)
		}
		t.departed[id] = now
	}
}

// addGaps adds the gaps that a departure forms with earlier ones. The caller
// holds mu.
func (t *gapTracker) addGaps(now time.Time, self, id membership.ID) {
	for other, at := range t.departed {
		if now.Sub(at) > t.retention || t.accounted[id][other] || t.accounted[other][id] {
			continue
		}
		t.gaps = append(t.gaps, HistoryGap{
			Departed: [2]membership.ID{id, other}, Observer: self, Until: now.Add(t.retention),
		})
	}
}

// addTransfer records a completed transfer, given its last part.
func (t *gapTracker) addTransfer(now time.Time, m *Transfer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := m.From.ID()
	if t.accounted[id] == nil {
		t.accounted[id] = map[membership.ID]bool{}
	}
	for _, departed := range m.Departed {
		t.accounted[id][departed] = true
	}
	for _, g := range m.Gaps {
		if now.Before(g.Until) && !slices.Contains(t.gaps, g) {
			t.gaps = append(t.gaps, g)
		}
	}
}

// hasTransferred reports whether a member has completed a transfer to this
// process that accounts for the departure of every incarnation in owners.
func (t *gapTracker) hasTransferred(id membership.ID, owners []membership.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	accounted, known := t.accounted[id]
	for _, d := range owners {
		if !accounted[d] {
			return false
		}
	}
	return known
}

// markAllLost marks the history of every submission as lost.
func (t *gapTracker) markAllLost(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gaps = append(t.gaps, HistoryGap{All: true, Until: now.Add(t.retention)})
}

// mayBeLost reports whether the history of a submission may be lost.
func (t *gapTracker) mayBeLost(now time.Time, hash uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.gaps, func(g HistoryGap) bool { return g.covers(now, hash) })
}

// active deletes expired gaps and returns the others.
func (t *gapTracker) active(now time.Time) []HistoryGap {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gaps = slices.DeleteFunc(t.gaps, func(g HistoryGap) bool { return !now.Before(g.Until) })
	return slices.Clone(t.gaps)
}

// expire deletes departures older than twice the retention.
func (t *gapTracker) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, at := range t.departed {
		if now.Sub(at) > 2*t.retention {
			delete(t.departed, id)
			delete(t.accounted, id)
		}
	}
}
