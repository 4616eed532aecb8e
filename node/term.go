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
	// controlInterval is the longest time between two looks at the view; beats
	// and closed connections ask for one at once.
	controlInterval = 40 * time.Millisecond
	// settleTime is the time after the start within which a node dispatches only
	// if it hears every member that the store lists: VMs start within 0.3 s of
	// each other (the platform's page on settings), and a beat follows.
	settleTime = 700 * time.Millisecond
	// aloneTime is the same where no other member is known: the first entries of
	// VMs that start together come some calls of the store later.
	aloneTime = 2 * time.Second
	// fencedRetry is the time after which upstreams that were claimed by another
	// dispatcher are claimed anew: the rival is gone or has joined by then.
	fencedRetry = 4 * time.Second
	// rivalMemory is the time for which a member that was not heard may have
	// claimed upstreams: its orders are settled a few looks after it is back.
	rivalMemory = 3 * time.Second
	// fencedAlone is the same where no rival can be present: a dispatcher that
	// was paused has claimed them in passing.
	fencedAlone = 300 * time.Millisecond
	// fencedKnown is the same where a member that is heard knows a greater token
	// than the own one, while none but this node dispatches: the rival's term has
	// ended, and nothing but a beat is waited for.
	fencedKnown = 100 * time.Millisecond
	// maxTries bounds the doublings of the wait and of the step between tokens: from
	// fencedKnown, six reach fencedRetry.
	maxTries = 6
	// dropMargin covers the difference between two VMs in what they know of the
	// fleet's size, a tick, and the stop of what ran.
	dropMargin = 200 * time.Millisecond
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
	// dropBits leave room in a term for the number of times that an origin was
	// dropped.
	dropBits = 16
)

// term is the own term of dispatching.
type term struct {
	mu     sync.Mutex // guards the fields below
	token  int64      // 0 while not dispatching
	began  time.Time
	fenced time.Time // when an upstream was first found claimed by another
	tries  int       // times in a row that upstreams were claimed anew
	claims string    // the members that the claims of the term depend on

	rivals time.Time // when a present member was not heard last; belongs to decideTerm
}

// origin is a VM whose jobs this node dispatches.
type origin struct {
	incarnation uint64
	drops       uint64
	heard       bool
}

// origins holds the VMs that offered jobs.
type origins struct {
	mu    sync.Mutex // guards the field below
	known map[string]*origin
}

// drops returns how often the jobs of a VM were dropped.
func (o *origins) drops(vm string) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.known[vm]; known != nil {
		return known.drops
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
	return uint64(token)<<dropBits | n.origins.drops(peer)&(1<<dropBits-1)
}

// keepTerm takes the view, begins and ends terms, and offers jobs.
func (n *Node) keepTerm(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-n.control:
		}
		n.decideTerm(time.Now())
	}
}

func (n *Node) decideTerm(now time.Time) {
	old := n.view.Load()
	v := n.fleet.View(now, n.termFor(n.config.VM))
	n.view.Store(&v)
	n.logView(old, &v)
	if len(v.Unreachable) > 0 {
		n.term.rivals = now
	}
	before := n.scheduler.HasUnreachablePeers()
	n.scheduler.SetUnreachablePeers(now.Sub(n.term.rivals) < rivalMemory)
	if !before && n.scheduler.HasUnreachablePeers() {
		n.agents.wakeAll() // idle upstreams are watched too
	}
	token := n.term.current()
	self := n.fleet.Self()
	switch {
	case token != 0 && v.Dispatcher.VM != self.VM:
		n.endTerm(v.Dispatcher.VM + " dispatches")
	case token == 0 && v.TopRanked.VM == self.VM && n.mayDispatch(now, &v):
		n.beginTerm(now, &v, "first of the members that are heard")
	case token != 0:
		n.checkClaims(now, &v)
	}
	n.dropSilent(now, &v)
	if n.term.current() != token {
		changed := n.fleet.View(now, n.termFor(n.config.VM))
		n.view.Store(&changed)
		n.offerUnassigned(&changed)
		return
	}
	n.offerUnassigned(&v)
}

func (n *Node) logView(old, v *fleet.View) {
	if old.Dispatcher.VM == v.Dispatcher.VM && old.Term == v.Term && len(old.Reachable) == len(v.Reachable) && len(old.Unreachable) == len(v.Unreachable) {
		return
	}
	n.log.Info("view", slog.String("dispatcher", v.Dispatcher.VM), slog.Uint64("term", v.Term), slog.String("first", v.TopRanked.VM),
		slog.Int("heard", len(v.Reachable)), slog.Int("unheard", len(v.Unreachable)), slog.Bool("minority", v.Minority))
}

// mayDispatch tells whether a term can begin.
func (n *Node) mayDispatch(now time.Time, v *fleet.View) bool {
	if !n.configured() || n.deps.Store != nil && !n.registry.known() {
		return false
	}
	if v.Dispatcher.VM != "" && !v.Dispatcher.Draining && n.registry.young(now, n.config.LapseMemory) {
		return false // a sound dispatcher knows upstreams that have lapsed before
	}
	settle := settleTime
	if len(v.Reachable)+len(v.Unreachable) == 0 {
		settle = aloneTime
	}
	return !v.HigherRankPending && (v.AllReachable || now.Sub(n.started) > settle)
}

// claimKey names what the claims of a view depend on.
func claimKey(v *fleet.View) string {
	if !v.Minority {
		return "all"
	}
	key := ""
	for _, r := range v.Reachable {
		key += r.Member.VM + " "
	}
	return key
}

func (n *Node) beginTerm(now time.Time, v *fleet.View, why string) {
	t := &n.term
	t.mu.Lock()
	counter := max(n.fleet.Token()>>tokenHashBits, time.Now().Unix()-tokenEpoch) + 1<<t.tries
	if n.fleet.Token() == 0 {
		counter += tokenLead
	}
	hash := int64(rendezvous.HashPair(n.config.VM, n.fleet.Self().Address) & (1<<tokenHashBits - 1))
	token := n.fleet.NextToken(counter<<tokenHashBits | hash)
	t.token, t.began, t.fenced, t.claims = token, now, time.Time{}, claimKey(v)
	t.mu.Unlock()
	n.log.Info("term begins", slog.Int64("token", token), slog.String("why", why), slog.Int("heard", len(v.Reachable)),
		slog.Int("unheard", len(v.Unreachable)), slog.Bool("minority", v.Minority))
	n.metrics.Terms.Inc()
	n.scheduler.BeginTerm(now, token, resumeTime(n.silence(), n.config.LeaseMax))
	wake(n.relist)
	n.applyUpstreams(now)
	n.agents.wakeAll()
}

// resumeTime is the time after which nothing runs that a dispatcher started for
// an origin that it no longer hears: it has dropped the origin's jobs, and the
// lease that it renewed last has lapsed by an upstream's clock that is 2 % slow.
func resumeTime(silence, leaseMax time.Duration) time.Duration {
	return silence + dropMargin + leaseMax*106/100
}

func (n *Node) endTerm(why string) {
	t := &n.term
	t.mu.Lock()
	t.token = 0
	t.mu.Unlock()
	n.scheduler.EndTerm()
	n.log.Info("term ends", slog.String("why", why))
}

// checkClaims begins a new term where the claims change, or where upstreams
// were claimed by a dispatcher that is not heard.
func (n *Node) checkClaims(now time.Time, v *fleet.View) {
	t := &n.term
	fenced := n.scheduler.FencedUpstreams()
	t.mu.Lock()
	changed := t.claims != claimKey(v)
	retry := false
	switch {
	case fenced == 0:
		t.fenced = time.Time{}
		if now.Sub(t.began) > fencedRetry {
			t.tries = 0
		}
	case t.fenced.IsZero():
		t.fenced = now
	default:
		retry = now.Sub(t.fenced) > claimWait(n.fleet.Token() > t.token, len(v.Unreachable) > 0, t.tries)
		if retry {
			t.tries = min(t.tries+1, maxTries)
		}
	}
	t.mu.Unlock()
	switch {
	case changed:
		n.beginTerm(now, v, "the members that are heard have changed")
	case retry && !v.Minority:
		n.beginTerm(now, v, "another dispatcher has claimed upstreams")
	}
}

// claimWait returns the time after which upstreams that another dispatcher has claimed
// are claimed anew: known tells that a member that is heard knows a greater token than
// the own one, rivals that members are not heard, one of which may dispatch. Two that
// dispatch side by side take upstreams from each other ever more seldom.
func claimWait(known, rivals bool, tries int) time.Duration {
	wait := fencedRetry
	switch {
	case known:
		wait = fencedKnown
	case !rivals:
		wait = fencedAlone
	}
	if rivals {
		wait = min(wait<<tries, fencedRetry)
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
	n.beginTerm(now, &v, "this process was paused")
	n.wakeControl()
}

// dropSilent drops the jobs of VMs that are no longer heard.
func (n *Node) dropSilent(now time.Time, v *fleet.View) {
	if n.term.current() == 0 || now.Sub(n.term.beganAt()) < n.silence() {
		return
	}
	heard := map[string]uint64{n.config.VM: n.fleet.Self().Incarnation}
	for _, r := range v.Reachable {
		heard[r.Member.VM] = r.Member.Incarnation
	}
	type drop struct {
		vm     string
		before uint64
	}
	var drops []drop
	n.origins.mu.Lock()
	for vm, o := range n.origins.known {
		incarnation, here := heard[vm]
		switch {
		case !here && o.heard:
			o.heard = false
			o.drops++
			drops = append(drops, drop{vm, o.incarnation + 1})
		case here && incarnation > o.incarnation:
			drops = append(drops, drop{vm, incarnation})
			o.incarnation, o.heard = incarnation, true
		case here:
			o.heard = true
		}
	}
	n.origins.mu.Unlock()
	for _, d := range drops {
		n.log.Info("origin dropped", slog.String("origin", d.vm), slog.Uint64("before", d.before))
		n.act(n.scheduler.AbandonJobsOf(now, d.vm, d.before))
	}
	if len(drops) > 0 {
		n.wakePlacing()
	}
}

// listTime is the time for which a new term waits for a fresh list of the
// upstreams: some answers of the store, after which the last known one is used.
const listTime = 150 * time.Millisecond

// mayPlace tells whether the list of upstreams is as fresh as it can be.
func (n *Node) mayPlace(now time.Time) bool {
	began := n.term.beganAt()
	return now.Sub(began) > listTime || n.registry.freshSince(began)
}

func (t *term) beganAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.began
}

// note enters that a VM offers jobs.
func (o *origins) note(vm string, incarnation uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.known[vm]
	if known == nil {
		known = &origin{incarnation: incarnation}
		o.known[vm] = known
	}
	known.incarnation = max(known.incarnation, incarnation)
	known.heard = true
}

// drop counts that the jobs of a VM were dropped for another reason.
func (o *origins) drop(vm string) (before uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.known[vm]
	if known == nil {
		return 0
	}
	known.drops++
	return known.incarnation + 1
}
