package ownership

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/membership"
)

// covers reports whether the history of a submission may be lost.
func (u Gap) covers(now time.Time, hash uint64) bool {
	if !now.Before(u.Until) {
		return false
	}
	ahead := func(id membership.ID) bool { return rendezvous.Before(hash, uint64(id), uint64(u.Observer)) }
	return u.All || ahead(u.Departed[0]) && ahead(u.Departed[1])
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
	gaps      []Gap
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
func (c *gapTracker) observeView(now time.Time, view *membership.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == view.Epoch {
		return
	}
	c.epoch = view.Epoch
	self := view.Self.ID()
	for _, id := range view.Owners {
		if _, known := c.departed[id]; known || id == self {
			continue
		}
		if view.Admitted(self) {
			c.addGaps(now, self, id)
		}
		c.departed[id] = now
	}
}

// addGaps adds the gaps that a departure forms with earlier ones. The caller
// holds mu.
func (c *gapTracker) addGaps(now time.Time, self, id membership.ID) {
	for other, at := range c.departed {
		if now.Sub(at) > c.retention || c.accounted[id][other] || c.accounted[other][id] {
			continue
		}
		c.gaps = append(c.gaps, Gap{
			Departed: [2]membership.ID{id, other}, Observer: self, Until: now.Add(c.retention),
		})
	}
}

// addTransfer records a completed transfer, given its last part.
func (c *gapTracker) addTransfer(now time.Time, m *Transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := m.From.ID()
	if c.accounted[id] == nil {
		c.accounted[id] = map[membership.ID]bool{}
	}
	for _, departed := range m.Departed {
		c.accounted[id][departed] = true
	}
	for _, u := range m.Gaps {
		if now.Before(u.Until) && !slices.Contains(c.gaps, u) {
			c.gaps = append(c.gaps, u)
		}
	}
}

// hasTransferred reports whether a member has completed a transfer to this
// process that accounts for the departure of every incarnation in owners.
func (c *gapTracker) hasTransferred(id membership.ID, owners []membership.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	markers, known := c.accounted[id]
	for _, d := range owners {
		if !markers[d] {
			return false
		}
	}
	return known
}

// markAllLost marks the history of every submission as lost.
func (c *gapTracker) markAllLost(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaps = append(c.gaps, Gap{All: true, Until: now.Add(c.retention)})
}

// mayBeLost reports whether the history of a submission may be lost.
func (c *gapTracker) mayBeLost(now time.Time, hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.gaps, func(u Gap) bool { return u.covers(now, hash) })
}

// active deletes expired gaps and returns the others.
func (c *gapTracker) active(now time.Time) []Gap {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaps = slices.DeleteFunc(c.gaps, func(u Gap) bool { return !now.Before(u.Until) })
	return slices.Clone(c.gaps)
}

// expire deletes departures older than twice the retention.
func (c *gapTracker) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.departed {
		if now.Sub(at) > 2*c.retention {
			delete(c.departed, id)
			delete(c.accounted, id)
		}
	}
}
