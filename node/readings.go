package node

import "time"

// reading is a reading of the upstreams from the store. The list lacks no change up to revision.
type reading struct {
	at       time.Time
	revision int64
}

// readings holds the last readings, oldest first. An upstream that joins and whose entry goes
// between two listings is in neither of them; the changes after the revision of the first reading
// show it. There is none if changes may have been missed.
type readings []reading

// add adds a listing. It drops the readings that are not needed for the changes of the
// retention time.
func (r *readings) add(now time.Time, revision int64, retention time.Duration) {
	*r = append(*r, reading{now, revision})
	for len(*r) > 1 && now.Sub((*r)[1].at) >= retention {
		*r = (*r)[1:]
	}
}

// dropBefore drops the readings before the newest one that lacks no change up to a revision.
func (r *readings) dropBefore(complete int64) {
	for i := len(*r) - 1; i > 0; i-- {
		if (*r)[i].revision <= complete {
			*r = (*r)[i:]
			return
		}
	}
}

// recordListing notes that the list has been read. If changes may have been missed since the
// reading before, the list counts as incomplete, unless it is that of the dispatchers before.
func (n *Node) recordListing(now time.Time, revision int64) {
	complete := n.fleet.DispatchersRevision(now.Add(-n.config.LapsedRetention)) // read first: what they list may grow
	same := n.dispatchersListedSame(now)
	r := &n.registry
	r.mu.Lock()
	incomplete := len(r.readings) == 0 && !same
	if incomplete {
		r.listedAt = now
	}
	r.readings.add(now, revision, n.config.LapsedRetention)
	if same {
		r.readings.dropBefore(complete)
	}
	r.mu.Unlock()
	if incomplete {
		n.applyUpstreams(now)
	}
}

// recordWatched notes that a watch was answered: no change up to a revision is missing. currentAt is the
// time at which the list was that of the store; zero if later changes may be missing.
func (r *registry) recordWatched(now, currentAt time.Time, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt, r.updatedAt = now, now
	r.readings = readings{{now, revision}}
	r.currentAt = later(r.currentAt, currentAt)
}

// resumeFrom returns the revision after which changes may be missing, or 0 if the upstreams have
// to be listed again: none has been read, or so long ago that there are too many changes.
func (r *registry) resumeFrom(now time.Time, retention time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.readings) == 0 || now.Sub(r.readings[0].at) > retention+2*maxReadGap {
		r.readings = nil
		return 0
	}
	return r.readings[0].revision
}

// readTo returns the revision up to which no change is missing, 0 if there is none, and the revision of
// the latest change that is known. A listing may know later changes than it is complete for.
func (r *registry) readTo() (complete, newest int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.readings) > 0 {
		complete = r.readings[len(r.readings)-1].revision
	}
	return complete, r.newest
}

// dropReadings notes that changes since the last readings can no longer be read.
func (r *registry) dropReadings() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readings = nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
