package ownership

import (
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/membership"
)

// matches tells whether a submission's history may be lost.
func (u Gap) matches(now time.Time, hash uint64) bool {
	if !now.Before(u.Until) {
		return false
	}
	ahead := func(id membership.ID) bool { return rendezvous.Before(hash, uint64(id), uint64(u.Observer)) }
	return u.All || ahead(u.Departed[0]) && ahead(u.Departed[1])
}

// coverage holds which histories this process may lack. A submission that its
// owner started is known to the next in rank; it is lost only where an owner
// and the next in rank depart before either could fill the one after them.
type coverage struct {
	retention time.Duration

	mu        sync.Mutex // guards the fields below
	epoch     uint64     // epoch of the last view whose departures are judged
	departed  map[membership.ID]time.Time
	markers   map[membership.ID]map[membership.ID]bool // by member: departures that its fills account for
	uncovered []Gap
}

func newCoverage(retention time.Duration) *coverage {
	return &coverage{
		retention: retention,
		departed:  map[membership.ID]time.Time{},
		markers:   map[membership.ID]map[membership.ID]bool{},
	}
}

// judge notes the departures of a view. Two of them leave a gap unless one has
// filled this process after the other had departed. A process that has not
// joined takes its gaps from the members that fill it instead.
func (c *coverage) judge(now time.Time, view *membership.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == view.Epoch {
		return
	}
	c.epoch = view.Epoch
	self := view.Self.ID()
	for _, id := range view.DepartedOwners {
		if _, known := c.departed[id]; known || id == self {
			continue
		}
		if view.Admitted(self) {
			c.pair(now, self, id)
		}
		c.departed[id] = now
	}
}

// pair adds the gaps between a departure and the earlier ones. The caller
// holds mu.
func (c *coverage) pair(now time.Time, self, id membership.ID) {
	for other, at := range c.departed {
		if now.Sub(at) > c.retention || c.markers[id][other] || c.markers[other][id] {
			continue
		}
		c.uncovered = append(c.uncovered, Gap{
			Departed: [2]membership.ID{id, other}, Observer: self, Until: now.Add(c.retention),
		})
	}
}

// fill notes the last part of a fill.
func (c *coverage) fill(now time.Time, m *Transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := m.From.ID()
	if c.markers[id] == nil {
		c.markers[id] = map[membership.ID]bool{}
	}
	for _, departed := range m.Departed {
		c.markers[id][departed] = true
	}
	for _, u := range m.Gaps {
		if now.Before(u.Until) && !slices.Contains(c.uncovered, u) {
			c.uncovered = append(c.uncovered, u)
		}
	}
}

// filled tells whether a member has filled this process and accounted for the
// departures of all who may have owned submissions.
func (c *coverage) filled(id membership.ID, owners []membership.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	markers, known := c.markers[id]
	for _, d := range owners {
		if !markers[d] {
			return false
		}
	}
	return known
}

// lose marks every history as lost.
func (c *coverage) lose(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uncovered = append(c.uncovered, Gap{All: true, Until: now.Add(c.retention)})
}

// lacks tells whether the history of a submission may be lost.
func (c *coverage) lacks(now time.Time, hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.uncovered, func(u Gap) bool { return u.matches(now, hash) })
}

// current drops the gaps that are past the retention and returns the others.
func (c *coverage) current(now time.Time) []Gap {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uncovered = slices.DeleteFunc(c.uncovered, func(u Gap) bool { return !now.Before(u.Until) })
	return slices.Clone(c.uncovered)
}

// forget drops departures past twice the retention.
func (c *coverage) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.departed {
		if now.Sub(at) > 2*c.retention {
			delete(c.departed, id)
			delete(c.markers, id)
		}
	}
}
