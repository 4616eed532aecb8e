package dispatch

import "slices"

// Ejected returns the names of the upstreams that are ejected now, in order.
// It is safe for concurrent use.
func (d *Dispatcher) Ejected() []string {
	var names []string
	for _, p := range *d.pools.Load() {
		for _, s := range p.slots {
			names = append(names, s.ejectedNames()...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s *slotShard) ejectedNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, c := range s.known {
		if c.health.Ejected() {
			names = append(names, name)
		}
	}
	return names
}
