package fleet

import (
	"slices"
	"time"
)

// maxDispatchReports limits the processes of a member whose reports are kept.
const maxDispatchReports = 8

// dispatchReport is the last report of a term by a process of a member. Within a process the list of
// upstreams only grows for as long as tasks may run on one; the next process may know fewer.
type dispatchReport struct {
	incarnation uint64
	at          time.Time
	digest      uint64 // of the upstreams
	revision    int64  // of the upstreams
}

// recordDispatch notes a report of a term.
func (p *peer) recordDispatch(r dispatchReport) {
	if n := len(p.dispatched); n > 0 && p.dispatched[n-1].incarnation == r.incarnation {
		p.dispatched[n-1] = r
		return
	}
	first := max(len(p.dispatched)+1-maxDispatchReports, 0)
	p.dispatched = append(slices.Clone(p.dispatched[first:]), r)
}

// dispatchReports returns the last reports of all processes in scope that have dispatched since a time.
// The caller holds mu.
func (f *Fleet) dispatchReports(since time.Time) (reports []dispatchReport) {
	for _, p := range f.peers {
		if !f.inScope(p.heartbeat.Member) {
			continue
		}
		for _, r := range p.dispatched {
			if r.at.After(since) {
				reports = append(reports, r)
			}
		}
	}
	return reports
}

// DispatchersListed reports whether all processes that have dispatched since a time have last
// listed the upstreams with the given digest.
func (f *Fleet) DispatchersListed(since time.Time, digest uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.dispatchReports(since), func(r dispatchReport) bool { return digest == 0 || r.digest != digest })
}

// DispatchersRevision returns the revision up to which all processes that have dispatched since a
// time had read the upstreams when they last reported a term; 0 if none has dispatched.
func (f *Fleet) DispatchersRevision(since time.Time) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	lowest := int64(0)
	for _, r := range f.dispatchReports(since) {
		if lowest == 0 || r.revision < lowest {
			lowest = r.revision
		}
	}
	return lowest
}
