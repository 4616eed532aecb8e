package ownership

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/membership"
)

// covers tells whether a submission's history may be lost.
func (u Gap) covers(now time.Time, hash uint64) bool {
	if !now.Before(u.Until) {
		return false
	}
	ahead := func(id membership.ID) bool { return rendezvous.Before(hash, uint64(id), uint64(u.Observer)) }
	return u.All || ahead(u.Departed[0]) && ahead(u.Departed[1])
}

// gapTracker holds which histories this process may lack. A submission that its
// owner started is known to the next in rank; it is lost only where an owner
// and the next in rank depart before either could fill the one after them.
type gapTracker struct {
	retention time.Duration

	mu        sync.Mutex // guards the fields below
	epoch     uint64     // epoch of the last view whose departures are judged
	departed  map[membership.ID]time.Time
	accounted map[membership.ID]map[membership.ID]bool // by member: departures that its fills account for
	gaps      []Gap
}

func newGapTracker(retention time.Duration) *gapTracker {
	return &gapTracker{
		retention: retention,
		departed:  map[membership.ID]time.Time{},
		accounted: map[membership.ID]map[membership.ID]bool{},
	}
}

// observeView notes the departures of a view. Two of them leave a gap unless one has
// filled this process after the other had departed. A process that has not
// joined takes its gaps from the members that fill it instead.
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

// addGaps adds the gaps between a departure and the earlier ones. The caller
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

// addTransfer notes the last part of a addTransfer.
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

// hasTransferred tells whether a member has hasTransferred this process and accounted for the
// departures of all who may have owned submissions.
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

// markAllLost marks every history as lost.
func (c *gapTracker) markAllLost(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaps = append(c.gaps, Gap{All: true, Until: now.Add(c.retention)})
}

// mayBeLost tells whether the history of a submission may be lost.
func (c *gapTracker) mayBeLost(now time.Time, hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.gaps, func(u Gap) bool { return u.covers(now, hash) })
}

// active drops the gaps that are past the retention and returns the others.
func (c *gapTracker) active(now time.Time) []Gap {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaps = slices.DeleteFunc(c.gaps, func(u Gap) bool { return !now.Before(u.Until) })
	return slices.Clone(c.gaps)
}

// expire drops departures past twice the retention.
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
