package fleet

// Scope is the set of members that share one dispatcher.
//
// A single dispatcher makes the best use of the upstreams, but all starts load its
// processor and its link. A fleet whose upstreams exceed the capacity of its most
// capable member is therefore divided by data centre: each data centre has a dispatcher
// of its own for its own upstreams, and its callers' tasks stay within it.
//
// The division is a fact that only spreads: a member that dispatches, or is about to,
// divides the fleet, the others learn of it with heartbeats, and the fleet stays
// divided as long as any of its processes runs. A list of upstreams that is short for
// a while, because entries lapsed during an outage of the store, thus makes no
// dispatcher give up its claims.
type Scope uint8

// Scopes.
const (
	// ScopeFleet means that one member dispatches for the whole fleet.
	ScopeFleet Scope = iota
	// ScopeDataCentre means that one member dispatches in each data centre.
	ScopeDataCentre
)

// String returns the name used in logs.
func (s Scope) String() string { return [...]string{"fleet", "data centre"}[s] }

// upstreamsPerCore is the number of upstreams for which a member with one full core
// dispatches alone. A start takes about 0.11 ms of a core, an upstream up to 10 starts
// per second, and bursts and takeovers need half of the core.
const upstreamsPerCore = 400

// RecordUpstreamCount divides the fleet if its upstreams are too many for one
// dispatcher, and reports whether it did so now. Only a member that dispatches or is about
// to may call it: one that has just started may not know the more capable members yet.
func (f *Fleet) RecordUpstreamCount(count int) (divided bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.scope == ScopeDataCentre || 1000*count <= upstreamsPerCore*f.greatestWeight() {
		return false
	}
	f.divide()
	return true
}

// RecordDivision records that a member has learnt that the fleet is divided.
func (f *Fleet) RecordDivision() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.divide()
}

// divide reduces the scope to the own data centre. The caller holds mu.
func (f *Fleet) divide() {
	if f.scope == ScopeDataCentre {
		return
	}
	f.scope = ScopeDataCentre
	f.recount()
}

// recount determines the size of the scope. Members of which only others or the roster tell do not
// count: they may have terminated long ago, and heartbeats must not become rarer with their
// number. The caller holds mu.
func (f *Fleet) recount() {
	f.scopeSize, f.sizes = 1, map[string]int{}
	for _, p := range f.peers {
		if !p.heard && !p.listed && (f.listRead || p.rostered) {
			continue
		}
		f.sizes[p.heartbeat.Member.DataCentre]++
		if f.inScope(p.heartbeat.Member) {
			f.scopeSize++
		}
	}
}

// ScopeSize returns the number of known members of the scope, including this one.
func (f *Fleet) ScopeSize() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scopeSize
}

// Divided reports whether the fleet is divided by data centre.
func (f *Fleet) Divided() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scope == ScopeDataCentre
}

// greatestWeight returns the capacity of the most capable member, reachable or not, in
// thousandths of a core. The caller holds mu.
func (f *Fleet) greatestWeight() int {
	greatest := f.self.Weight
	for _, p := range f.peers {
		greatest = max(greatest, p.heartbeat.Member.Weight)
	}
	return greatest
}

// inScope reports whether a member shares its dispatcher with this one. The caller
// holds mu.
func (f *Fleet) inScope(m Member) bool {
	return f.scope == ScopeFleet || m.DataCentre == f.self.DataCentre
}
