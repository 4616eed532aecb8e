package node

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/scheduler"
)

const (
	// termCheckInterval is the longest time between two checks of the view.
	// Heartbeats and closed connections trigger a check at once.
	termCheckInterval = 40 * time.Millisecond
	// startupGrace is how long after its start a node dispatches only if it
	// reaches every member listed in the store. The platform starts VMs
	// within 0.3 s of each other, and the first heartbeat follows.
	startupGrace = 700 * time.Millisecond
	// startupGraceAlone replaces startupGrace while no other member is known. If
	// VMs start together, their first store entries appear several store calls
	// later.
	startupGraceAlone = 2 * time.Second
	// reclaimDelay is the delay before upstreams claimed by another dispatcher
	// are claimed again. By then the rival has stopped or has become reachable.
	reclaimDelay = 4 * time.Second
	// rivalTimeout is how long claims by a rival are still expected after every
	// present member has become reachable. The rival's outstanding orders are
	// resolved within a few polls.
	rivalTimeout = 3 * time.Second
	// reclaimDelayNoRival replaces reclaimDelay if no rival can exist. The claims
	// then come from a dispatcher that was paused and has stopped since.
	reclaimDelayNoRival = 300 * time.Millisecond
	// reclaimDelayKnownToken replaces reclaimDelay if a reachable member knows a
	// greater token than this node's and no other member dispatches. The rival's
	// term is then over, and only a heartbeat is outstanding.
	reclaimDelayKnownToken = 100 * time.Millisecond
	// maxReclaims limits how often the delay and the token increment are doubled.
	// Six doublings take reclaimDelayKnownToken to reclaimDelay.
	maxReclaims = 6
	// abandonMargin covers one scheduler tick, the time to stop runs and the
	// difference between the peer timeouts of two VMs, which depend on the number
	// of members that each knows.
	abandonMargin = 200 * time.Millisecond
)

// A fencing token is a counter of seconds followed by a hash of the process in its
// low bits. The hash keeps two processes from using the same token.
const (
	tokenHashBits = 20
	// tokenEpoch is the zero point of the counter. It keeps tokens below 2^53, so
	// that every JSON reader represents them exactly.
	tokenEpoch = 1_735_689_600 // 2025-01-01, as Unix time
	// tokenLead is added to the counter, in s, if no member knows a token because
	// all have restarted. A quick succession of terms moves the counter ahead of
	// the clock by 1 s per term, and upstreams may still hold such a token. The
	// lead assumes that a succession has fewer than 16 terms.
	tokenLead = 16
	// abandonBits is the number of low bits of a term that count how often the
	// jobs of an origin were abandoned. The bits above them are the token.
	abandonBits = 16
)

// term holds the state of this node's term as dispatcher.
type term struct {
	// transition is held while a term begins or ends. It is locked before mu.
	transition sync.Mutex

	mu          sync.Mutex // guards the fields below
	token       int64      // 0 while not dispatching
	startedAt   time.Time
	fencedSince time.Time // when an upstream was first seen claimed by another dispatcher; zero if none is
	reclaims    int       // consecutive reclaims
	claimKey    string    // of the view for which upstreams were claimed

	pausedAt time.Time // when a pause of this process last ended; zero if there was none

	rivalSeenAt time.Time // when a member that may dispatch was last not reachable; used by updateTerm only
	// strangerSeenAt is when an upstream was last claimed under a token that no heard member
	// knows; used by updateTerm only.
	strangerSeenAt time.Time
}

// origin is a VM whose jobs this node dispatches.
type origin struct {
	incarnation  uint64
	abandonCount uint64
	reachable    bool
}

// origins holds the VMs that have offered jobs.
type origins struct {
	mu   sync.Mutex // guards the field below
	byVM map[string]*origin
}

// abandonCount returns how often the jobs of a VM were abandoned.
func (o *origins) abandonCount(vm string) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.byVM[vm]; known != nil {
		return known.abandonCount
	}
	return 0
}

// current returns the token of the term, or 0 while not dispatching.
func (t *term) current() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.token
}

// termFor returns the term that a peer must name in its offers. It changes when
// the peer's jobs are abandoned, so that the peer offers them again.
func (n *Node) termFor(peer string) uint64 {
	token := n.term.current()
	if token == 0 {
		return 0
	}
	return uint64(token)<<abandonBits | n.origins.abandonCount(peer)&(1<<abandonBits-1)
}

// termLoop updates the view, starts and ends terms, and offers jobs.
func (n *Node) termLoop(ctx context.Context) error {
	ticker := time.NewTicker(termCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.termSignal:
		}
		n.updateTerm(time.Now())
	}
}

// updateTerm takes a new view of the fleet and starts or ends the term
// accordingly.
func (n *Node) updateTerm(now time.Time) {
	old := n.view.Load()
	barred := n.updateBarred(now)
	v := n.fleet.View(now, n.termFor(n.config.VM))
	if !v.Candidate && n.term.current() == 0 {
		v.Silence, v.Lost = fleet.SilenceNone, nil // most members send heartbeats here in rotation only
	}
	v.Silence = max(v.Silence, n.claimSilence(now))
	n.view.Store(&v)
	if v.UpstreamsUnread && !old.UpstreamsUnread {
		wake(n.relistSignal)
	}
	n.logView(old, &v)
	n.logLosses(now, &v)
	n.checkCallerReturn()
	if old.Scope != v.Scope {
		n.registry.setScopeSince(now)
		time.AfterFunc(scopeSettleTime, func() { n.applyUpstreams(time.Now()) })
	}
	if hasRivals(&v) {
		n.term.rivalSeenAt = now
	}
	if slices.ContainsFunc(v.Reachable, func(h fleet.Heartbeat) bool { return h.Term != 0 }) {
		n.scheduler.NotePeerDispatching(now)
	}
	before := n.scheduler.HasUnreachablePeers()
	n.scheduler.SetUnreachablePeers(now.Sub(n.term.rivalSeenAt) < rivalTimeout)
	if !before && n.scheduler.HasUnreachablePeers() {
		n.pollers.wakeAll() // with rivals, idle upstreams are polled too
	}
	n.notePeerLoss(v.Silence)
	n.noteLoss(now, old, &v)
	n.confirmList(now)
	n.checkEvacuatedNames(&v)
	n.updateElsewhere(now, &v)
	token := n.term.current()
	self := n.fleet.Self()
	switch {
	case token != 0 && barred:
		n.endTerm("this VM may have been removed from the roster")
	case token != 0 && v.Dispatcher.VM != self.VM:
		n.endTerm(v.Dispatcher.VM + " dispatches")
	case token == 0 && v.TopRanked.VM == self.VM && n.canStartTerm(now, &v) && n.fleet.RecordUpstreamCount(n.registry.size()):
		n.wakeTermLoop() // the next view has the reduced scope
	case token == 0 && v.TopRanked.VM == self.VM && n.canStartTerm(now, &v):
		n.startTerm(now, &v, "highest-ranked reachable member")
	case token != 0:
		n.checkClaims(now, &v)
	}
	n.abandonUnreachable(now, &v)
	if n.term.current() != token {
		changed := n.fleet.View(now, n.termFor(n.config.VM))
		n.view.Store(&changed)
		n.offerUnassigned(&changed)
		return
	}
	n.offerUnassigned(&v)
}

// notePeerLoss tells the scheduler whether members exist that may dispatch and are not heard.
func (n *Node) notePeerLoss(silence fleet.Silence) {
	loss := map[fleet.Silence]scheduler.PeerLoss{
		fleet.SilenceNone: scheduler.PeersHeard, fleet.SilenceShort: scheduler.PeerSilent, fleet.SilenceLong: scheduler.PeerLost,
	}[silence]
	if loss == n.scheduler.PeerLoss() {
		return
	}
	n.scheduler.SetPeerLoss(loss)
	if loss == scheduler.PeerLost {
		n.scheduler.SetUnreachablePeers(true)
	}
	n.pollers.wakeAll() // while a VM is not heard, idle upstreams are polled too
}

// noteLoss keeps the upstreams whose entries have lapsed while a member that may dispatch is not
// heard, and for LapsedRetention after that.
func (n *Node) noteLoss(now time.Time, old, v *fleet.View) {
	if v.Candidate && !old.Candidate {
		n.registry.recordCandidate(now)
	}
	switch {
	case v.Silence == fleet.SilenceLong:
		n.registry.recordLoss(now)
		if old.Silence != fleet.SilenceLong {
			wake(n.rosterSignal)
		}
	case old.Silence == fleet.SilenceLong:
		time.AfterFunc(n.config.LapsedRetention, func() { n.applyUpstreams(time.Now()) })
	}
	if n.registry.lackChanges(now, n.deps.Store != nil, v) {
		n.applyUpstreams(now)
	}
}

// logView logs a view that differs from the previous one in its dispatcher or its
// members.
func (n *Node) logView(old, v *fleet.View) {
	if old.Scope == v.Scope && old.Dispatcher.VM == v.Dispatcher.VM && old.Term == v.Term && len(old.Reachable) == len(v.Reachable) && len(old.Unreachable) == len(v.Unreachable) {
		return
	}
	n.log.Info("fleet view changed", slog.String("scope", v.Scope.String()), slog.String("dispatcher", v.Dispatcher.VM), slog.Uint64("term", v.Term), slog.String("first", v.TopRanked.VM),
		slog.Int("heard", len(v.Reachable)), slog.Int("unheard", len(v.Unreachable)), slog.Int("lost", len(v.WatchedLost())), slog.Bool("minority", v.Minority))
}

// canStartTerm reports whether this node may start a term.
func (n *Node) canStartTerm(now time.Time, v *fleet.View) bool {
	if !n.hasConfiguration() || n.deps.Store != nil && !n.registry.listed() {
		return false
	}
	if !n.roster.ready() || n.fleet.Self().Barred {
		return false
	}
	if v.Dispatcher.VM != "" && !v.Dispatcher.Draining && n.registry.mayMissLapsed(now, n.config.LapsedRetention) {
		return false // the current dispatcher knows upstreams that lapsed before the first listing here
	}
	grace := startupGrace
	if len(v.Reachable)+len(v.Unreachable) == 0 {
		grace = startupGraceAlone
	}
	return !v.HigherRankPending && (v.AllReachable || now.Sub(n.started) > grace)
}

// claimKey identifies the set of members on which the claims of a view depend.
func claimKey(v *fleet.View) string {
	key := v.Scope.String()
	if !v.Minority {
		return key
	}
	for _, r := range v.Reachable {
		key += " " + r.Member.VM
	}
	return key
}

// startTerm starts a term under a new token and claims the upstreams.
func (n *Node) startTerm(now time.Time, v *fleet.View, reason string) {
	n.term.transition.Lock()
	defer n.term.transition.Unlock()
	n.beginTerm(now, v, reason)
}

// beginTerm is startTerm for a caller that holds transition.
func (n *Node) beginTerm(now time.Time, v *fleet.View, reason string) {
	t := &n.term
	t.mu.Lock()
	counter := max(n.fleet.Token()>>tokenHashBits, time.Now().Unix()-tokenEpoch) + 1<<t.reclaims
	if n.fleet.Token() == 0 {
		counter += tokenLead
	}
	token := n.fleet.NextToken(counter<<tokenHashBits | processHash(n.fleet.Self()))
	t.startedAt, t.fencedSince, t.claimKey = now, time.Time{}, claimKey(v)
	t.mu.Unlock()
	n.log.Info("term started", slog.Int64("token", token), slog.String("why", reason), slog.String("scope", v.Scope.String()), slog.Int("heard", len(v.Reachable)),
		slog.Int("unheard", len(v.Unreachable)), slog.Bool("minority", v.Minority))
	n.metrics.Terms.Inc()
	n.scheduler.DoubtList()
	n.scheduler.BeginTerm(now, token, resumeDelay(n.fleet.LongestTimeout(), n.config.LeaseMax))
	// Offers name the new term only now: BeginTerm removes the jobs that it finds.
	t.mu.Lock()
	t.token = token
	t.mu.Unlock()
	wake(n.announceSignal)
	wake(n.relistSignal)
	n.applyUpstreams(now)
	n.confirmList(now)
	n.pollers.wakeAll()
}

// processHash returns the low bits of a process's tokens. They differ between successive
// processes of a VM, since orders of a former process may still be executed.
func processHash(m fleet.Member) int64 {
	process := rendezvous.Score(rendezvous.HashPair(m.VM, m.Address), m.Incarnation)
	return int64(process & (1<<tokenHashBits - 1))
}

// resumeDelay returns the time after which nothing runs that another dispatcher
// has started for an origin it can no longer reach. By then that dispatcher has
// abandoned the origin's jobs, and the last lease it renewed has expired even on
// an upstream whose clock is 2 % slow.
func resumeDelay(peerTimeout, leaseMax time.Duration) time.Duration {
	return peerTimeout + abandonMargin + leaseMax*106/100
}

// endTerm stops dispatching. Active runs continue under their leases.
func (n *Node) endTerm(reason string) {
	n.term.transition.Lock()
	defer n.term.transition.Unlock()
	n.stopTerm(reason)
}

// stopTerm is endTerm for a caller that holds transition.
func (n *Node) stopTerm(reason string) {
	t := &n.term
	t.mu.Lock()
	t.token = 0
	t.mu.Unlock()
	n.scheduler.EndTerm()
	n.pollers.stopWatches()
	n.log.Info("term ended", slog.String("why", reason))
}

// checkClaims starts a new term if the claims have to change, or if a dispatcher
// that is not reachable has claimed upstreams.
func (n *Node) checkClaims(now time.Time, v *fleet.View) {
	t := &n.term
	fenced := n.scheduler.FencedUpstreams()
	t.mu.Lock()
	changed := t.claimKey != claimKey(v)
	retry := false
	switch {
	case fenced == 0:
		t.fencedSince = time.Time{}
		if now.Sub(t.startedAt) > reclaimDelay {
			t.reclaims = 0
		}
	case t.fencedSince.IsZero():
		t.fencedSince = now
	default:
		retry = now.Sub(t.fencedSince) > reclaimWait(n.fleet.Token() > t.token, hasRivals(v), t.reclaims)
		if retry {
			t.reclaims = min(t.reclaims+1, maxReclaims)
		}
	}
	t.mu.Unlock()
	switch {
	case changed:
		n.startTerm(now, v, "the reachable members have changed")
	case retry && !v.Minority:
		n.startTerm(now, v, "another dispatcher has claimed upstreams")
	}
}

// hasRivals reports whether members are not reachable that may dispatch, listed in the store or not.
func hasRivals(v *fleet.View) bool {
	return len(v.Unreachable) > 0 || slices.ContainsFunc(v.Lost, func(m fleet.LostMember) bool {
		return m.Reason == fleet.LossNotHeard || m.Reason == fleet.LossNeverHeard
	})
}

// reclaimWait returns the delay before upstreams claimed by another dispatcher
// are claimed again. tokenKnown means that a reachable member knows a greater token
// than this node's, rivals that a member is not reachable and may dispatch.
// With rivals the delay doubles with each reclaim, so that two dispatchers that
// cannot reach each other take upstreams from each other less and less often.
func reclaimWait(tokenKnown, rivals bool, reclaims int) time.Duration {
	wait := reclaimDelay
	switch {
	case tokenKnown:
		wait = reclaimDelayKnownToken
	case !rivals:
		wait = reclaimDelayNoRival
	}
	if rivals {
		wait = min(wait<<reclaims, reclaimDelay)
	}
	return wait
}

// abandonUnreachable abandons the jobs of VMs that have become unreachable, and
// the jobs of earlier incarnations of the reachable VMs.
func (n *Node) abandonUnreachable(now time.Time, v *fleet.View) {
	if n.term.current() == 0 || now.Sub(n.term.startTime()) < n.peerTimeout() {
		return
	}
	reachable := map[string]uint64{n.config.VM: n.fleet.Self().Incarnation}
	for _, r := range slices.Concat(v.Reachable, v.Remote) {
		reachable[r.Member.VM] = r.Member.Incarnation
	}
	type abandonedOrigin struct {
		vm     string
		before uint64
	}
	var abandoned []abandonedOrigin
	n.origins.mu.Lock()
	for vm, o := range n.origins.byVM {
		incarnation, isReachable := reachable[vm]
		switch {
		case !isReachable && o.reachable:
			o.reachable = false
			o.abandonCount++
			abandoned = append(abandoned, abandonedOrigin{vm, o.incarnation + 1})
		case isReachable && incarnation > o.incarnation:
			abandoned = append(abandoned, abandonedOrigin{vm, incarnation})
			o.incarnation, o.reachable = incarnation, true
		case isReachable:
			o.reachable = true
		}
	}
	n.origins.mu.Unlock()
	for _, o := range abandoned {
		n.log.Info("abandoning jobs of origin", slog.String("origin", o.vm), slog.Uint64("before", o.before))
		n.apply(n.scheduler.AbandonJobsOf(now, o.vm, o.before))
	}
	if len(abandoned) > 0 {
		n.wakePlaceLoop()
	}
}

// upstreamListTimeout is how long a new term waits for a fresh list of upstreams
// before it uses the last known one. It covers a few store calls.
const upstreamListTimeout = 150 * time.Millisecond

// canPlace reports whether tasks may be placed: the list of upstreams is fresh, or
// the wait for it has timed out.
func (n *Node) canPlace(now time.Time) bool {
	start := n.term.startTime()
	return now.Sub(start) > upstreamListTimeout || n.registry.currentSince(start)
}

// pausedWithin reports whether this process was paused within a time before now. It then may not
// have heard who has dispatched meanwhile.
func (t *term) pausedWithin(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.pausedAt.IsZero() && now.Sub(t.pausedAt) < d
}

func (t *term) startTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAt
}

// record notes that an incarnation of a VM has offered a job. It returns the newest incarnation
// that has.
func (o *origins) record(vm string, incarnation uint64) (newest uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.byVM[vm]
	if known == nil {
		known = &origin{incarnation: incarnation}
		o.byVM[vm] = known
	}
	known.incarnation = max(known.incarnation, incarnation)
	known.reachable = true
	return known.incarnation
}

// countAbandon counts that the jobs of a VM are abandoned because it did not accept
// a report. It returns the incarnation below which the VM's jobs are affected.
func (o *origins) countAbandon(vm string) (before uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.byVM[vm]
	if known == nil {
		return 0
	}
	known.abandonCount++
	return known.incarnation + 1
}
