package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
)

const (
	// termCheckInterval is the longest time between two looks at the view; beats
	// and closed connections ask for one at once.
	termCheckInterval = 40 * time.Millisecond
	// startupGrace is the time after the start within which a node dispatches only
	// if it hears every member that the store lists: VMs start within 0.3 s of
	// each other (the platform's page on settings), and a beat follows.
	startupGrace = 700 * time.Millisecond
	// startupGraceAlone is the same where no other member is known: the first entries of
	// VMs that start together come some calls of the store later.
	startupGraceAlone = 2 * time.Second
	// reclaimDelay is the time after which upstreams that were claimed by another
	// dispatcher are claimed anew: the rival is gone or has joined by then.
	reclaimDelay = 4 * time.Second
	// rivalTimeout is the time for which a member that was not heard may have
	// claimed upstreams: its orders are settled a few looks after it is back.
	rivalTimeout = 3 * time.Second
	// reclaimDelayNoRival is the same where no rival can be present: a dispatcher that
	// was paused has claimed them in passing.
	reclaimDelayNoRival = 300 * time.Millisecond
	// reclaimDelayKnownToken is the same where a member that is heard knows a greater token
	// than the own one, while none but this node dispatches: the rival's term has
	// ended, and nothing but a beat is waited for.
	reclaimDelayKnownToken = 100 * time.Millisecond
	// maxReclaims bounds the doublings of the wait and of the step between tokens: from
	// fencedKnown, six reach fencedRetry.
	maxReclaims = 6
	// abandonMargin covers the difference between two VMs in what they know of the
	// fleet's size, a tick, and the stop of what ran.
	abandonMargin = 200 * time.Millisecond
)

// A fencing token is a counter of seconds with a hash of the process in its low
// bits, so that two processes never use the same one.
const (
	tokenHashBits = 20
	// tokenEpoch keeps tokens within 53 bits, which every JSON reader keeps
	// exact.
	tokenEpoch = 1_735_689_600 // 2025-01-01, in s since 1970
	// tokenLead is added where no member knows a token, in s: all have lost their
	// memory, and upstreams may hold one that is ahead of the clock by a second for
	// each term of a series. No series on the platform's days has begun 16 terms.
	tokenLead = 16
	// abandonBits leave room in a term for the number of times that an origin was
	// dropped.
	abandonBits = 16
)

// term is the own term of dispatching.
type term struct {
	mu     sync.Mutex // guards the fields below
	token  int64      // 0 while not dispatching
	startedAt  time.Time
	fencedSince time.Time // when an upstream was first found claimed by another
	reclaims  int       // times in a row that upstreams were claimed anew
	claims string    // the members that the claims of the term depend on

	rivalSeenAt time.Time // when a present member was not heard last; belongs to decideTerm
}

// origin is a VM whose jobs this node dispatches.
type origin struct {
	incarnation uint64
	abandons       uint64
	reachable       bool
}

// origins holds the VMs that offered jobs.
type origins struct {
	mu    sync.Mutex // guards the field below
	byVM map[string]*origin
}

// abandonCount returns how often the jobs of a VM were dropped.
func (o *origins) abandonCount(vm string) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.byVM[vm]; known != nil {
		return known.abandons
	}
	return 0
}

// current returns the token of the term; 0 while not dispatching.
func (t *term) current() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.token
}

// termFor returns the term as a peer is to name it in its offers: it changes
// when the peer's jobs are dropped, so that the peer offers them anew.
func (n *Node) termFor(peer string) uint64 {
	token := n.term.current()
	if token == 0 {
		return 0
	}
	return uint64(token)<<abandonBits | n.origins.abandonCount(peer)&(1<<abandonBits-1)
}

// termLoop takes the view, begins and ends terms, and offers jobs.
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

func (n *Node) updateTerm(now time.Time) {
	old := n.view.Load()
	v := n.fleet.View(now, n.termFor(n.config.VM))
	n.view.Store(&v)
	n.logView(old, &v)
	if len(v.Unheard) > 0 {
		n.term.rivalSeenAt = now
	}
	before := n.scheduler.Rivals()
	n.scheduler.SetRivals(now.Sub(n.term.rivalSeenAt) < rivalTimeout)
	if !before && n.scheduler.Rivals() {
		n.pollers.wakeAll() // idle upstreams are watched too
	}
	token := n.term.current()
	self := n.fleet.Self()
	switch {
	case token != 0 && v.Dispatcher.VM != self.VM:
		n.endTerm(v.Dispatcher.VM + " dispatches")
	case token == 0 && v.First.VM == self.VM && n.canStartTerm(now, &v):
		n.startTerm(now, &v, "first of the members that are heard")
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

func (n *Node) logView(old, v *fleet.View) {
	if old.Dispatcher.VM == v.Dispatcher.VM && old.Term == v.Term && len(old.Heard) == len(v.Heard) && len(old.Unheard) == len(v.Unheard) {
		return
	}
	n.log.Info("view", slog.String("dispatcher", v.Dispatcher.VM), slog.Uint64("term", v.Term), slog.String("first", v.First.VM),
		slog.Int("heard", len(v.Heard)), slog.Int("unheard", len(v.Unheard)), slog.Bool("minority", v.Minority))
}

// canStartTerm tells whether a term can begin.
func (n *Node) canStartTerm(now time.Time, v *fleet.View) bool {
	if !n.hasConfiguration() || n.deps.Store != nil && !n.registry.listed() {
		return false
	}
	if v.Dispatcher.VM != "" && !v.Dispatcher.Draining && n.registry.mayMissLapsed(now, n.config.LapsedRetention) {
		return false // a sound dispatcher knows upstreams that have lapsed before
	}
	settle := startupGrace
	if len(v.Heard)+len(v.Unheard) == 0 {
		settle = startupGraceAlone
	}
	return !v.Pending && (v.Complete || now.Sub(n.started) > settle)
}

// claimKey names what the claims of a view depend on.
func claimKey(v *fleet.View) string {
	if !v.Minority {
		return "all"
	}
	key := ""
	for _, r := range v.Heard {
		key += r.Member.VM + " "
	}
	return key
}

func (n *Node) startTerm(now time.Time, v *fleet.View, why string) {
	t := &n.term
	t.mu.Lock()
	counter := max(n.fleet.Token()>>tokenHashBits, time.Now().Unix()-tokenEpoch) + 1<<t.reclaims
	if n.fleet.Token() == 0 {
		counter += tokenLead
	}
	hash := int64(rendezvous.HashPair(n.config.VM, n.fleet.Self().Address) & (1<<tokenHashBits - 1))
	token := n.fleet.Raise(counter<<tokenHashBits | hash)
	t.token, t.startedAt, t.fencedSince, t.claims = token, now, time.Time{}, claimKey(v)
	t.mu.Unlock()
	n.log.Info("term begins", slog.Int64("token", token), slog.String("why", why), slog.Int("heard", len(v.Heard)),
		slog.Int("unheard", len(v.Unheard)), slog.Bool("minority", v.Minority))
	n.metrics.Terms.Inc()
	n.scheduler.Begin(now, token, resumeDelay(n.peerTimeout(), n.config.LeaseMax))
	wake(n.relistSignal)
	n.applyUpstreams(now)
	n.pollers.wakeAll()
}

// resumeDelay is the time after which nothing runs that a dispatcher started for
// an origin that it no longer hears: it has dropped the origin's jobs, and the
// lease that it renewed last has lapsed by an upstream's clock that is 2 % slow.
func resumeDelay(silence, leaseMax time.Duration) time.Duration {
	return silence + abandonMargin + leaseMax*106/100
}

func (n *Node) endTerm(why string) {
	t := &n.term
	t.mu.Lock()
	t.token = 0
	t.mu.Unlock()
	n.scheduler.End()
	n.log.Info("term ends", slog.String("why", why))
}

// checkClaims begins a new term where the claims change, or where upstreams
// were claimed by a dispatcher that is not heard.
func (n *Node) checkClaims(now time.Time, v *fleet.View) {
	t := &n.term
	fenced := n.scheduler.Fenced()
	t.mu.Lock()
	changed := t.claims != claimKey(v)
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
		retry = now.Sub(t.fencedSince) > reclaimWait(n.fleet.Token() > t.token, len(v.Unheard) > 0, t.reclaims)
		if retry {
			t.reclaims = min(t.reclaims+1, maxReclaims)
		}
	}
	t.mu.Unlock()
	switch {
	case changed:
		n.startTerm(now, v, "the members that are heard have changed")
	case retry && !v.Minority:
		n.startTerm(now, v, "another dispatcher has claimed upstreams")
	}
}

// reclaimWait returns the time after which upstreams that another dispatcher has claimed
// are claimed anew: known tells that a member that is heard knows a greater token than
// the own one, rivals that members are not heard, one of which may dispatch. Two that
// dispatch side by side take upstreams from each other ever more seldom.
func reclaimWait(known, rivals bool, tries int) time.Duration {
	wait := reclaimDelay
	switch {
	case known:
		wait = reclaimDelayKnownToken
	case !rivals:
		wait = reclaimDelayNoRival
	}
	if rivals {
		wait = min(wait<<tries, reclaimDelay)
	}
	return wait
}

// restartTerm begins a new term after a pause of this process: orders that it
// was about to send belong to the past.
func (n *Node) restartTerm(now time.Time, pause time.Duration) {
	n.log.Warn("paused", slog.Int64("for_ms", pause.Milliseconds()), slog.Bool("dispatching", n.term.current() != 0))
	if n.term.current() == 0 {
		return
	}
	v := n.fleet.View(now, n.termFor(n.config.VM))
	n.startTerm(now, &v, "this process was paused")
	n.wakeTermLoop()
}

// abandonUnreachable drops the jobs of VMs that are no longer heard.
func (n *Node) abandonUnreachable(now time.Time, v *fleet.View) {
	if n.term.current() == 0 || now.Sub(n.term.startTime()) < n.peerTimeout() {
		return
	}
	heard := map[string]uint64{n.config.VM: n.fleet.Self().Incarnation}
	for _, r := range v.Heard {
		heard[r.Member.VM] = r.Member.Incarnation
	}
	type drop struct {
		vm     string
		before uint64
	}
	var drops []drop
	n.origins.mu.Lock()
	for vm, o := range n.origins.byVM {
		incarnation, here := heard[vm]
		switch {
		case !here && o.reachable:
			o.reachable = false
			o.abandons++
			drops = append(drops, drop{vm, o.incarnation + 1})
		case here && incarnation > o.incarnation:
			drops = append(drops, drop{vm, incarnation})
			o.incarnation, o.reachable = incarnation, true
		case here:
			o.reachable = true
		}
	}
	n.origins.mu.Unlock()
	for _, d := range drops {
		n.log.Info("origin dropped", slog.String("origin", d.vm), slog.Uint64("before", d.before))
		n.apply(n.scheduler.DropOrigin(now, d.vm, d.before))
	}
	if len(drops) > 0 {
		n.wakePlaceLoop()
	}
}

// upstreamListTimeout is the time for which a new term waits for a fresh list of the
// upstreams: some answers of the store, after which the last known one is used.
const upstreamListTimeout = 150 * time.Millisecond

// canPlace tells whether the list of upstreams is as fresh as it can be.
func (n *Node) canPlace(now time.Time) bool {
	began := n.term.startTime()
	return now.Sub(began) > upstreamListTimeout || n.registry.updatedSince(began)
}

func (t *term) startTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAt
}

// record enters that a VM offers jobs.
func (o *origins) record(vm string, incarnation uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.byVM[vm]
	if known == nil {
		known = &origin{incarnation: incarnation}
		o.byVM[vm] = known
	}
	known.incarnation = max(known.incarnation, incarnation)
	known.reachable = true
}

// abandon counts that the jobs of a VM were dropped for another reason.
func (o *origins) abandon(vm string) (before uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.byVM[vm]
	if known == nil {
		return 0
	}
	known.abandons++
	return known.incarnation + 1
}
