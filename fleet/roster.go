package fleet

// SetRoster sets the members that the roster in the platform's store names. A member is on it from
// its first registration until it has stopped gracefully or operators have removed it, however
// long it has not been heard. It thus tells a process that starts during a split of members
// whose entries have lapsed, and proves that a member which is no longer on it has gone. A
// member with incarnation 0 is named without a description.
func (f *Fleet) SetRoster(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	named := map[string]bool{}
	for _, m := range members {
		if m.Incarnation != 0 {
			f.addMember(m)
		}
		named[m.VM] = true
	}
	f.rosterRead = true
	for vm, p := range f.peers {
		// One of which only other members tell was removed before this process started.
		known := p.rostered || !p.heard && !p.listed
		p.removed = known && !named[vm]
		p.rostered = p.rostered || named[vm]
	}
	f.recount()
}
