package node

import (
	"slices"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
)

// addConstraints adds the constraints of a job to its offer. completed holds the upstreams of the
// tasks that have completed.
func addConstraints(r *wire.OfferRequest, c *scheduler.Constraints, completed map[int]string) {
	if c == nil {
		return
	}
	r.Rack, r.SameRack, r.SpreadFactor, r.Label, r.MaxPerUpstream = c.Rack, c.SameRack, c.SpreadFactor, c.Label, c.MaxPerUpstream
	if c.Label != "" || c.MaxPerUpstream > 0 {
		r.Service, r.Constrained = "", r.Service
	}
	if c.MaxPerUpstream > 0 {
		for index, upstream := range completed {
			r.Completed = append(r.Completed, wire.CompletedTask{Index: index, Upstream: upstream})
		}
		slices.SortFunc(r.Completed, func(a, b wire.CompletedTask) int { return a.Index - b.Index })
	}
}

// constraintsOf returns the service and the constraints of an offer; nil if it has none.
func constraintsOf(r *wire.OfferRequest) (service string, c *scheduler.Constraints) {
	service = r.Service
	if r.Constrained != "" {
		service = r.Constrained
	}
	if r.Rack == "" && !r.SameRack && r.Label == "" && r.MaxPerUpstream <= 0 {
		return service, nil
	}
	c = &scheduler.Constraints{Rack: r.Rack, SameRack: r.SameRack, SpreadFactor: max(r.SpreadFactor, 1), Label: r.Label, MaxPerUpstream: max(r.MaxPerUpstream, 0)}
	for _, done := range r.Completed {
		if c.Completed == nil {
			c.Completed = map[int]string{}
		}
		c.Completed[done.Index] = done.Upstream
	}
	return service, c
}
