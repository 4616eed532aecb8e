package node

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/store"
)

// lapseGrace is how long an upstream that answers is still used after its entry
// has lapsed. Entries that lapsed during an outage of the store reappear within
// 2 s of its return.
const lapseGrace = 2500 * time.Millisecond

// maxReadGap is the time without an answer of the store after which upstreams may have joined and
// lapsed unnoticed. It covers the interval between two listings and a slow answer.
const maxReadGap = listInterval + storeTimeout/2

// staleListTime is how long another VM may still use an upstream that is no
// longer listed. It covers the interval between two watches and a slow answer.
const staleListTime = 500 * time.Millisecond

// upstreamWatchInterval is the delay between two watches of the upstreams. It
// batches changes, because every upstream updates its entry every two seconds. It
// is well below the 2 s for which a leaving upstream may still receive tasks.
const upstreamWatchInterval = 400 * time.Millisecond

// registry holds the store entries of the upstreams and of the configuration.
type registry struct {
	// applying is held by applyUpstreams, so that of two calls at the same time the one that read
	// the entries first does not replace the list of the other. It guards no state, and is locked
	// before mu and the locks of the scheduler.
	applying sync.Mutex

	storeless atomic.Bool // the store does not answer the watch or the listing of the upstreams

	mu            sync.Mutex // guards the fields below
	newest        int64      // revision of the latest change; 0 before the first listing
	listedAt      time.Time  // time of the first listing, or of the first one after a maxReadGap
	readAt        time.Time  // time of the last listing, or of the last answer to a watch
	readings      readings   // the last ones from the store
	updatedAt     time.Time  // when the store last answered; zero before that
	currentAt     time.Time  // the list has been that of the store at this time
	digest        uint64     // hash of the names of the listed upstreams; 0 if there is none
	digestAt      int64      // revision up to which the digest has the changes
	pulledAt      time.Time  // when a peer last sent the list
	entries       map[string]entry
	current       int // number of entries, without those that have lapsed longer than the retention ago
	configuration store.Item
	lacking       bool // mayLack, as of the last call of applyUpstreams
	// candidateAt is when this node became a candidate; zero if it always was. Others do not know
	// which members are lost, and forget upstreams that these use.
	candidateAt time.Time
	// lostAt is when a member that may dispatch was last not heard; zero if it was always heard.
	lostAt time.Time
	// scopeSince is the time since which dispatchers have claimed upstreams by the
	// present scope, as far as this process knows.
	scopeSince time.Time
}

// entry is the store entry of an upstream.
type entry struct {
	item      store.Item
	upstream  scheduler.Upstream
	valid     bool
	listedAt  time.Time // when this node first listed it
	lapsedAt  time.Time // when the entry was removed or became odd; zero before that
	coldUntil time.Time // when the upstream is no longer slow after its start; zero if unknown
	odd       bool      // the entry cannot be read; upstream is what it said before
}

// scopeSettleTime is how long the dispatchers of an earlier scope may still have runs on
// upstreams that this node does not claim in the present one. It covers the lease of
// such runs and the time for which their completions are listed.
const scopeSettleTime = scheduler.CompletionRetention

func (r *registry) init() { r.entries, r.scopeSince = map[string]entry{}, time.Now() }

// setScopeSince notes that the scope of the dispatchers has changed.
func (r *registry) setScopeSince(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scopeSince = now
}

// recordCandidate notes that this node has become a candidate.
func (r *registry) recordCandidate(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidateAt = now
}

// recordLoss notes that a member that may dispatch is not heard.
func (r *registry) recordLoss(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostAt = now
}

// mayLack reports whether upstreams that a lost member uses may be missing from the list: their
// entries lapsed before the list was kept without gaps, or appeared since the store last answered.
// The caller holds mu.
func (r *registry) mayLack(now time.Time, usesStore bool, v *fleet.View) bool {
	return v.LostBefore(later(r.listedAt, r.candidateAt)) || usesStore && len(v.Lost) > 0 && now.Sub(r.updatedAt) > maxReadGap
}

// lackChanges reports whether mayLack has changed since the last call of applyUpstreams.
func (r *registry) lackChanges(now time.Time, usesStore bool, v *fleet.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lacking != r.mayLack(now, usesStore, v)
}

// forgets reports whether an entry has lapsed for so long that its upstream runs no tasks. A member
// that is not heard may not have learnt that the entry has gone, and use the upstream. The
// caller holds mu.
func (r *registry) forgets(now time.Time, e entry, retention time.Duration) bool {
	return !e.lapsedAt.IsZero() && now.Sub(e.lapsedAt) >= retention && (r.lostAt.IsZero() || now.Sub(r.lostAt) >= retention)
}

func (r *registry) revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// size returns the number of upstreams, including those whose entries have lapsed recently.
func (r *registry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// recordPull notes that a peer has sent the list.
func (r *registry) recordPull(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulledAt = now
}

// recordUpdate notes that the store has sent the list or changes of it.
func (r *registry) recordUpdate(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updatedAt = now
}

// recordCurrent notes that the list has been that of the store at a time.
func (r *registry) recordCurrent(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentAt = later(r.currentAt, at)
}

// currentSince reports whether the list has been that of the store at a time or later.
func (r *registry) currentSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.currentAt.Before(t)
}

// announced returns the digest of the list and the revision up to which it has the changes.
func (r *registry) announced() (revision int64, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digestAt, r.digest
}

// listDigest returns the hash of the names of the listed upstreams.
func (r *registry) listDigest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// updatedSince reports whether the store has answered after a time.
func (r *registry) updatedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.updatedAt.After(t)
}

// mayMissLapsed reports whether the list may lack upstreams that still run tasks
// because their entries lapsed before the first listing.
func (r *registry) mayMissLapsed(now time.Time, retention time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.listedAt) < retention
}

// listed reports whether the upstreams have been listed.
func (r *registry) listed() bool { return r.revision() > 0 }

// watchUpstreams keeps the list of upstreams up to date.
func (n *Node) watchUpstreams(ctx context.Context) error {
	return n.watch(ctx, &watcher{
		prefix:      n.config.UpstreamPrefix,
		maxWait:     watchWait,
		interval:    upstreamWatchInterval,
		shouldWatch: n.watchesUpstreams,
		shouldList:  n.mayDispatchSoon,
		relist:      n.relistSignal,
		onConnected: func(connected bool) { n.registry.storeless.Store(!connected) },
		resumeFrom:  func() int64 { return n.registry.resumeFrom(time.Now(), n.config.LapsedRetention) },
		onCompacted: n.registry.dropReadings,
		head:        n.revisionToReach,
		onWatched: func(currentAt time.Time, revision int64) {
			now := time.Now()
			n.registry.recordWatched(now, currentAt, revision)
			n.confirmList(now)
		},
		onList: func(items []store.Item, revision int64, currentAt time.Time) {
			n.registry.recordUpdate(time.Now())
			newest := int64(0)
			for _, item := range items {
				newest = max(newest, item.Revision)
			}
			newest = max(1, min(newest, revision)) // an empty list counts as listed; the pages are not one snapshot
			n.replaceUpstreams(items, newest, storeSource)
			n.recordListing(time.Now(), revision)
			n.registry.recordCurrent(currentAt)
			n.confirmList(time.Now())
		},
		onEvents: func(events []store.Event) {
			now := time.Now()
			n.registry.recordUpdate(now)
			n.registry.mu.Lock()
			for _, e := range events {
				n.registry.newest = max(n.registry.newest, e.Revision)
				if e.Deleted {
					if n.registry.entries[e.Key].item.Revision <= e.Revision { // it may have been read before, and come back
						n.markLapsed(now, e.Key)
					}
				} else {
					n.putUpstream(e.Item, true)
				}
			}
			n.registry.mu.Unlock()
			n.applyUpstreams(now)
		},
	})
}

// replaceUpstreams replaces the list of upstreams by a newer one.
func (n *Node) replaceUpstreams(items []store.Item, revision int64, source string) {
	now := time.Now()
	n.registry.mu.Lock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		n.putUpstream(item, source == storeSource)
	}
	for key := range n.registry.entries {
		if !listed[key] {
			n.markLapsed(now, key)
		}
	}
	n.registry.newest = max(n.registry.newest, revision)
	if n.registry.listedAt.IsZero() || now.Sub(n.registry.readAt) > maxReadGap {
		n.registry.listedAt = now
	}
	n.registry.readAt = now
	n.registry.mu.Unlock()
	n.log.Info("upstreams listed", slog.Int("entries", len(items)), slog.Int64("revision", revision), slog.String("source", source))
	n.applyUpstreams(now)
	n.wakeTermLoop()
}

// putUpstream adds or updates an entry. fromStore means that it was read from the store,
// not received from a peer. The caller must hold the registry's lock.
func (n *Node) putUpstream(item store.Item, fromStore bool) {
	known, present := n.registry.entries[item.Key]
	if present && known.item.Revision >= item.Revision {
		if known.item.Revision == item.Revision && !known.lapsedAt.IsZero() && !known.odd {
			known.lapsedAt = time.Time{}
			n.registry.entries[item.Key] = known
		}
		return
	}
	e := entry{item: item, listedAt: known.listedAt}
	if !present {
		e.listedAt = time.Now()
	}
	upstream, err := n.decodeUpstream(item)
	if err != nil {
		n.log.Warn("upstream entry ignored", slog.String("key", item.Key), slog.Any("error", err))
		if present && known.valid {
			// The upstream gets no tasks, but may still run some.
			e.upstream, e.valid, e.odd = known.upstream, true, true
			e.upstream.Draining, e.upstream.Notice = true, nil
			e.lapsedAt = known.lapsedAt
			if e.lapsedAt.IsZero() {
				e.lapsedAt = time.Now()
			}
		}
	} else {
		e.upstream, e.valid, e.coldUntil = upstream, true, n.coldUntil(time.Now(), &upstream)
		n.recordNotice(&e, known, fromStore)
		if problem := upstream.LabelProblem; problem != "" && problem != known.upstream.LabelProblem {
			n.log.Warn("labels of upstream ignored", slog.String("upstream", upstream.Name), slog.String("reason", problem))
		}
		if !present || known.upstream.Draining != upstream.Draining || known.upstream.Address != upstream.Address {
			n.log.Info("upstream entry changed", slog.String("upstream", upstream.Name), slog.Bool("draining", upstream.Draining),
				slog.String("address", upstream.Address), slog.Int64("revision", item.Revision))
		}
	}
	n.registry.entries[item.Key] = e
}

// decodeUpstream decodes an entry. Any writer may have left it, so a panic of the decoder
// counts as an invalid entry.
func (n *Node) decodeUpstream(item store.Item) (u scheduler.Upstream, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("the decoder panicked: %v", r)
		}
	}()
	return n.deps.Decoder.Upstream(item)
}

// markLapsed records that an entry is gone from the store. The caller must hold
// the registry's lock.
func (n *Node) markLapsed(now time.Time, key string) {
	e, present := n.registry.entries[key]
	switch {
	case !present || !e.lapsedAt.IsZero():
	case !e.valid:
		delete(n.registry.entries, key)
	default:
		e.lapsedAt = now
		n.registry.entries[key] = e
		n.log.Info("upstream entry lapsed", slog.String("upstream", e.upstream.Name))
		for _, d := range []time.Duration{lapseGrace, n.config.LapsedRetention} {
			time.AfterFunc(d, func() { n.applyUpstreams(time.Now()) })
		}
	}
}

// ApplyDrains applies a change of the upstreams that operators have drained.
func (n *Node) ApplyDrains() { n.applyUpstreams(time.Now()) }

// applyUpstreams passes to the scheduler the upstreams that this node claims.
func (n *Node) applyUpstreams(now time.Time) {
	n.registry.applying.Lock()
	defer n.registry.applying.Unlock()
	v := n.view.Load()
	self := n.fleet.Self()
	var list []scheduler.Upstream
	n.registry.mu.Lock()
	// Upstreams whose entries lapsed before the first listing are unknown here.
	// Another VM may have started tasks on them until it saw them lapse, at most
	// staleListTime after that listing.
	var completeSince time.Time
	if now.Sub(n.registry.listedAt) < n.config.LapsedRetention {
		completeSince = n.registry.listedAt.Add(staleListTime)
	}
	digest, current := uint64(0), 0
	evacuated := n.evacuatedAt(time.Now(), v) // the process may have been paused since now
	// Whether upstreams that this node does not claim may have runs of its jobs.
	partial := n.registry.mayLack(now, n.deps.Store != nil, v)
	n.registry.lacking = partial
	for key, e := range n.registry.entries {
		lapsedFor := now.Sub(e.lapsedAt)
		if n.registry.forgets(now, e, n.config.LapsedRetention) {
			delete(n.registry.entries, key)
			continue
		}
		if e.lapsedAt.IsZero() || lapsedFor < n.config.LapsedRetention {
			current++
		}
		if e.valid && v.InScope(self, e.upstream.DataCentre) {
			digest ^= rendezvous.Hash(key)
		}
		switch {
		case !e.valid:
		case v.ShouldClaim(self, e.upstream.Name, e.upstream.DataCentre):
			upstream := e.upstream
			upstream.ListedAt = e.listedAt
			upstream.Evacuated, upstream.ColdUntil = slices.Contains(evacuated, upstream.DataCentre), e.coldUntil
			if n.deps.Drained != nil && n.deps.Drained(upstream.Name) {
				upstream.Draining, upstream.Notice = true, nil
			}
			upstream.Missing = !e.lapsedAt.IsZero() && (lapsedFor >= lapseGrace || !e.lapsedAt.After(e.listedAt))
			list = append(list, upstream)
		default:
			partial = partial || v.InScope(self, e.upstream.DataCentre) || now.Sub(n.registry.scopeSince) < scopeSettleTime
		}
	}
	n.registry.digest, n.registry.digestAt, n.registry.current = digest, n.registry.newest, current
	n.registry.mu.Unlock()
	if n.scheduler.Dispatching() && n.fleet.RecordUpstreamCount(n.registry.size()) {
		n.wakeTermLoop()
	}
	n.scheduler.SetListCompleteSince(completeSince)
	for _, added := range n.scheduler.SetUpstreams(now, list, partial) {
		n.ensurePoller(added)
	}
	n.pollers.wakeAll()
	n.wakePlaceLoop()
}

// upstreamsUnread reports whether this node dispatches and the store does not tell it of changes of the
// upstreams.
func (n *Node) upstreamsUnread() bool {
	return n.scheduler.Dispatching() && n.registry.storeless.Load()
}

// watchesUpstreams reports whether this node needs the changes of the upstreams at once: it dispatches, or
// the store answers it and not the dispatcher, which then learns of them from this node. Every such node
// watches, whatever its rank: the store may refuse all that rank high.
func (n *Node) watchesUpstreams() bool {
	return n.scheduler.Dispatching() || n.view.Load().UpstreamsUnread && n.storeAnswers.Load()
}

// mayDispatchSoon reports whether this node ranks so high that it needs the list of
// upstreams before it becomes the dispatcher.
func (n *Node) mayDispatchSoon() bool {
	v := n.view.Load()
	return v.TopInDataCentre || v.Candidate
}
