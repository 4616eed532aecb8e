package fleet

import (
	"maps"
	"slices"
	"time"
)

// exchangeCount is the number of highest-ranked members of each other data centre to which the
// members of an evacuated data centre send heartbeats: the dispatcher and its next successor.
const exchangeCount = 2

// SetExchange sets whether this member sends heartbeats to the highest-ranked members of other
// scopes. It does while a dispatcher there may have jobs of this member, so that each notices
// the loss of the other as within a scope.
func (f *Fleet) SetExchange(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchange = on
}

// exchangeTargets calls add for the highest-ranked members of each other data centre that are not
// unresponsive, for one unresponsive member there in turn every slowRounds rounds, and for
// the dispatchers there that are reachable. The caller holds mu.
func (f *Fleet) exchangeTargets(now time.Time, ranked []*peer, add func(*peer)) {
	if !f.exchange || f.scope != ScopeDataCentre {
		return
	}
	for _, dataCentre := range f.otherDataCentres() {
		wanted := exchangeCount
		var unresponsive []*peer
		for _, p := range ranked {
			switch {
			case p.heartbeat.Member.DataCentre != dataCentre:
			case f.unresponsive(now, p) && !f.reachable(now, p):
				unresponsive = append(unresponsive, p)
			case wanted > 0 || p.heartbeat.Term != 0 && f.reachable(now, p):
				add(p)
				wanted--
			}
		}
		if len(unresponsive) > 0 && f.round%slowRounds == 0 {
			add(unresponsive[f.round/slowRounds%len(unresponsive)])
		}
	}
}

// OtherDataCentres returns the data centres other than the own one in which a member may be
// present, in ascending order.
func (f *Fleet) OtherDataCentres() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.otherDataCentres()
}

// otherDataCentres is OtherDataCentres for a caller that holds mu.
func (f *Fleet) otherDataCentres() []string {
	names := map[string]bool{}
	for _, p := range f.peers {
		if m := p.heartbeat.Member; m.DataCentre != f.self.DataCentre && m.DataCentre != "" && !f.gone(p) {
			names[m.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// timeoutOf returns the time without contact after which a member is unreachable. Data centres of
// different size use different intervals; across them the longer one counts on both sides. The
// caller holds mu.
func (f *Fleet) timeoutOf(p *peer) time.Duration {
	if f.inScope(p.heartbeat.Member) {
		return f.timeout()
	}
	return max(f.timeout(), HeartbeatTimeout(f.sizes[p.heartbeat.Member.DataCentre]))
}

// LongestTimeout returns the longest time without contact after which a dispatcher of this scope
// abandons the jobs of an origin, also of one in another data centre.
func (f *Fleet) LongestTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := f.timeout()
	if f.scope == ScopeDataCentre {
		for _, size := range f.sizes {
			longest = max(longest, HeartbeatTimeout(size))
		}
	}
	return longest
}

// addRemote adds a reachable member of another scope. The caller holds mu.
func (v *View) addRemote(f *Fleet, now time.Time, p *peer) {
	if f.reachable(now, p) {
		v.Remote = append(v.Remote, p.heartbeat)
	}
}

// RemoteDispatcher returns the highest-ranked member of another data centre that dispatches there
// and that hears this member, as it does not keep jobs of members that it does not hear.
func (v *View) RemoteDispatcher(dataCentre string) (Heartbeat, bool) {
	for _, h := range v.Remote {
		if h.Member.DataCentre == dataCentre && h.Term != 0 && h.Hears {
			return h, true
		}
	}
	return Heartbeat{}, false
}
