package replay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/standin"
	"github.com/mustardstep/mustardstep/platform"
	"github.com/mustardstep/mustardstep/store"
)

// upstreamPath is the simulated network between a VM and an upstream. It is safe for
// concurrent use.
type upstreamPath struct {
	relay     *relay
	requests  *link
	responses *link

	mu       sync.Mutex // guards the fields below
	cuts     int        // active cuts
	cut      bool       // packets are dropped, so that nothing can refuse a connection
	refusing bool       // the network refuses connections
	down     bool       // no process listens at the upstream's address
}

// update changes the path and opens or closes its relay accordingly.
func (p *upstreamPath) update(change func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	if p.refusing || p.down && !p.cut {
		p.relay.close()
		return nil
	}
	return p.relay.open()
}

// pathCut is how a path is cut.
type pathCut int

const (
	cutBoth      pathCut = iota // drops the traffic in both directions
	cutRequests                 // drops the traffic to the upstream
	cutResponses                // drops the traffic from the upstream
	cutRefuse                   // drops the traffic of open connections and refuses new ones
	pathCuts                    // number of values
)

func (c pathCut) String() string {
	return [...]string{"silently", "towards the upstream", "from the upstream", "refusing connections"}[c]
}

func (p *upstreamPath) setCut(how pathCut) error {
	if how != cutResponses {
		p.requests.cut()
	}
	if how != cutRequests {
		p.responses.cut()
	}
	return p.update(func() {
		p.cuts++
		p.cut, p.refusing = how != cutRefuse, how == cutRefuse
	})
}

// heal ends a cut. The path works again once as many cuts have ended as began.
func (p *upstreamPath) heal() error {
	p.mu.Lock()
	p.cuts = max(p.cuts-1, 0)
	left := p.cuts
	p.mu.Unlock()
	if left > 0 {
		return nil
	}
	return p.healFully()
}

// healFully ends every cut.
func (p *upstreamPath) healFully() error {
	err := p.update(func() { p.cuts, p.cut, p.refusing = 0, false, false })
	p.requests.healFully()
	p.responses.healFully()
	return err
}

// setDown records that the process of an upstream ends or starts.
func (s *soakTest) setDown(u *soakUpstream, down bool) {
	s.eachPath(u, s.vms, func(p *upstreamPath) error { return p.update(func() { p.down = down }) })
}

// eachPath calls f with the paths between an upstream and some VMs.
func (s *soakTest) eachPath(u *soakUpstream, vms []*soakVM, f func(*upstreamPath) error) {
	for _, v := range vms {
		if err := f(v.paths[u.entry.Name]); err != nil {
			s.recordEvent("changing the network between %s and %s failed: %v", v.name, u.entry.Name, err)
		}
	}
}

// cutUpstream cuts an upstream off from some VMs.
func (s *soakTest) cutUpstream(u *soakUpstream, vms []*soakVM, how pathCut) func() {
	s.recordEvent("cut %s off from %s %v", u.entry.Name, vmNames(vms), how)
	s.eachPath(u, vms, func(p *upstreamPath) error { return p.setCut(how) })
	return func() {
		s.recordEvent("heal %s and %s", u.entry.Name, vmNames(vms))
		s.eachPath(u, vms, (*upstreamPath).heal)
	}
}

// resetUpstream closes the connections between an upstream, which works on, and some VMs.
func (s *soakTest) resetUpstream(u *soakUpstream, vms []*soakVM) func() {
	s.recordEvent("reset the connections of %s to %s", vmNames(vms), u.entry.Name)
	s.eachPath(u, vms, func(p *upstreamPath) error {
		p.requests.reset()
		return nil
	})
	return func() {}
}

func vmNames(vms []*soakVM) []string {
	names := make([]string, len(vms))
	for i, v := range vms {
		names[i] = v.name
	}
	return names
}

// addPaths creates the paths between a VM and all upstreams.
func (s *soakTest) addPaths(v *soakVM) error {
	addresses, err := freeAddresses(len(s.upstreams))
	if err != nil {
		return err
	}
	v.paths = map[string]*upstreamPath{}
	for i, u := range s.upstreams {
		name := u.entry.Name
		p := &upstreamPath{
			relay:    &relay{name: name, address: addresses[i], target: u.entry.Address, links: s.links, identify: identifyAs(v.name)},
			requests: s.links.get(v.name, name), responses: s.links.get(name, v.name),
		}
		if err := p.relay.open(); err != nil {
			return err
		}
		v.paths[name] = p
	}
	return nil
}

// vmStore is the store as one VM sees it: the addresses of upstreams are those of the VM's
// relays.
type vmStore struct {
	*standin.FaultyStore
	vm *soakVM
}

func (s vmStore) readdress(item store.Item) store.Item {
	return platform.WithUpstreamAddress(item, func(name string) string { return s.vm.paths[name].relay.address })
}

// Range implements store.Store.
func (s vmStore) Range(ctx context.Context, prefix, after string, stale bool) (store.Page, error) {
	page, err := s.FaultyStore.Range(ctx, prefix, after, stale)
	page.Items = slices.Clone(page.Items)
	for i := range page.Items {
		page.Items[i] = s.readdress(page.Items[i])
	}
	return page, err
}

// Watch implements store.Store.
func (s vmStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	events, at, err := s.FaultyStore.Watch(ctx, prefix, after, wait)
	events = slices.Clone(events)
	for i := range events {
		if !events[i].Deleted {
			events[i].Item = s.readdress(events[i].Item)
		}
	}
	return events, at, err
}
