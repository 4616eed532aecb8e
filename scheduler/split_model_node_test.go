package scheduler_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/scheduler"
)

// The process at a VM in the split model. It follows package node, whose times these are, and
// leaves out what needs a network or a store.

const (
	termCheckInterval   = 40 * time.Millisecond
	startupGrace        = 700 * time.Millisecond
	reclaimDelay        = 4 * time.Second
	rivalTimeout        = 3 * time.Second
	reclaimNoRival      = 300 * time.Millisecond
	reclaimKnownToken   = 100 * time.Millisecond
	maxReclaims         = 6
	abandonMargin       = 200 * time.Millisecond
	maxPause            = 300 * time.Millisecond
	shortPause          = 2 * scheduler.TickInterval
	withdrawInterval    = 100 * time.Millisecond
	abandonLead         = 50 * time.Millisecond
	answerMargin        = 10 * time.Millisecond
	upstreamListTimeout = 150 * time.Millisecond
	lapsedRetention     = 10 * time.Second
	joinDelay           = time.Second
	staleListTime       = 500 * time.Millisecond
	deliverAttempts     = 2
	abandonBits         = 16
	// splitTokenBits is the number of low bits of a token that identify the process.
	splitTokenBits = 8
)

// splitSpec is what an origin keeps of a job.
type splitSpec struct {
	job      *modelJob
	deadline time.Time
}

type (
	splitJob   = intake.Job[splitSpec]
	splitOffer = intake.Offer[splitSpec]
)

// splitOrigin is what a dispatcher keeps of a VM that offers jobs.
type splitOrigin struct {
	incarnation, abandonCount uint64
	reachable                 bool
}

// splitWithdrawal is a withdrawal that the dispatcher has not acknowledged. It ends the job,
// or stops it in a former term if moved is set.
type splitWithdrawal struct {
	vm          string
	ref         withdrawnRef
	term        uint64
	moved       *splitJob
	from, until time.Time
	pending     bool // a call is pending
	over        bool
}

// withdrawnRef identifies a submission that its origin has withdrawn.
type withdrawnRef struct {
	origin, job string
	submission  uint64
}

// splitNode is a process at a VM.
type splitNode struct {
	*modelDispatcher
	m        *splitModel
	vm       int // position
	member   fleet.Member
	dead     bool
	started  time.Time
	listedAt time.Time       // time of the first list of upstreams
	unlisted map[string]bool // upstreams that the list lacks
	fleet    *fleet.Fleet
	view     fleet.View
	contacts map[string]bool // members to which a heartbeat is pending

	termStart, fencedSince, rivalSeenAt time.Time
	reclaims                            int
	claimKey                            string
	origins                             map[string]*splitOrigin
	withdrawn                           map[withdrawnRef]bool

	jobs        *intake.Table[splitSpec]
	requests    []*splitRequest
	withdrawals []*splitWithdrawal
}

func newSplitNode(m *splitModel, vm int, incarnation uint64, listedAt time.Time) *splitNode {
	name := fmt.Sprintf("vm%d", vm)
	member := fleet.Member{VM: name, Incarnation: incarnation, DataCentre: splitDataCentre(vm), Address: name, Weight: 1000}
	n := &splitNode{
		modelDispatcher: m.newDispatcher(name, scheduler.Config{CallerReturn: callerReturn, JoinDelay: joinDelay}), m: m, vm: vm, member: member, started: m.now, listedAt: listedAt, unlisted: map[string]bool{},
		fleet: fleet.New(member), contacts: map[string]bool{}, origins: map[string]*splitOrigin{}, withdrawn: map[withdrawnRef]bool{},
		jobs: intake.New[splitSpec](),
	}
	if listedAt.Before(modelStart) {
		n.started = listedAt
	}
	return n
}

func (n *splitNode) startLoops() {
	n.every(n.fleet.Interval(), n.sendHeartbeats)
	n.every(termCheckInterval, n.updateTerm)
	n.every(withdrawInterval, n.repeatWithdrawals)
}

// do executes what the process has to do, after its pause if it is frozen.
func (n *splitNode) do(f func()) {
	switch {
	case n.dead:
	case n.m.now.Before(n.frozenUntil):
		n.m.after(n.frozenUntil.Sub(n.m.now), func() { n.do(f) })
	default:
		f()
	}
}

// every calls f repeatedly.
func (n *splitNode) every(interval time.Duration, f func()) {
	n.do(func() {
		f()
		n.m.after(interval, func() { n.every(interval, f) })
	})
}

// freeze pauses the process.
func (n *splitNode) freeze(pause time.Duration) {
	n.frozenUntil = n.m.now.Add(pause)
	n.m.after(pause, func() {
		switch {
		case n.dead:
		case pause > maxPause && n.token != 0:
			n.view = n.fleet.View(n.m.now, n.termFor(n.name))
			n.startTerm("paused")
			n.updateTerm()
		case pause > shortPause:
			n.notePeerLoss(n.fleet.View(n.m.now, 0).Silence)
		}
	})
}

// kill ends the process. Nothing that waits for it is executed.
func (n *splitNode) kill() {
	n.dead, n.frozenUntil = true, n.m.now.Add(splitLength)
	for _, r := range n.requests {
		n.m.after(n.m.delay(), r.attempt.lose)
	}
}

func (n *splitNode) peerTimeout() time.Duration { return n.fleet.Timeout() }

// Heartbeats.

func (n *splitNode) sendHeartbeats() {
	for _, to := range n.fleet.HeartbeatTargets(n.m.now) {
		n.sendHeartbeat(to)
	}
}

func (n *splitNode) newHeartbeat(peer string) fleet.Heartbeat {
	return fleet.Heartbeat{Member: n.member, Term: n.termFor(peer), Token: n.fleet.Token(), Clock: time.Hour + n.m.now.Sub(modelStart), UpstreamsDigest: n.listDigest(), ContactAge: n.fleet.ContactAge(n.m.now, peer)}
}

func (n *splitNode) sendHeartbeat(to fleet.Member) {
	if n.contacts[to.VM] {
		return
	}
	n.contacts[to.VM] = true
	sent, answered := n.newHeartbeat(to.VM), n.fleet.Reachable(n.m.now, to.VM)
	handle := func(peer *splitNode, respond func(fleet.Heartbeat)) {
		peer.receiveHeartbeat(sent, answered)
		respond(peer.newHeartbeat(n.name))
	}
	call(n, n.m.position(to.VM), n.peerTimeout(), handle, func(answer fleet.Heartbeat, err error) {
		n.contacts[to.VM] = false
		switch err {
		case nil:
			answer.ContactAge = 0
			n.receiveHeartbeat(answer, true)
		case errRefused:
			n.fleet.RecordConnectionRefused(to.VM, to.Incarnation)
			n.updateTerm()
		}
	})
}

func (n *splitNode) receiveHeartbeat(h fleet.Heartbeat, bidirectional bool) {
	n.fleet.RecordHeartbeat(n.m.now, h, bidirectional)
	n.pullUpstreams(n.m.nodes[n.m.position(h.Member.VM)])
	isDispatcher := n.view.Dispatcher.VM == h.Member.VM
	if bidirectional && (isDispatcher && h.Term != n.view.Term || !isDispatcher && h.Term != 0) {
		n.m.after(0, func() { n.do(n.updateTerm) })
	}
}

// Terms.

// termFor returns the term that a VM must name in its offers; 0 while not dispatching.
func (n *splitNode) termFor(vm string) uint64 {
	if n.token == 0 {
		return 0
	}
	count := uint64(0)
	if o := n.origins[vm]; o != nil {
		count = o.abandonCount
	}
	return uint64(n.token)<<abandonBits | count
}

func (n *splitNode) updateTerm() {
	now := n.m.now
	n.view = n.fleet.View(now, n.termFor(n.name))
	v := &n.view
	if len(v.Unreachable) > 0 {
		n.rivalSeenAt = now
	}
	if slices.ContainsFunc(v.Reachable, func(h fleet.Heartbeat) bool { return h.Term != 0 }) {
		n.scheduler.NotePeerDispatching(now)
	}
	n.scheduler.SetUnreachablePeers(now.Sub(n.rivalSeenAt) < rivalTimeout)
	n.notePeerLoss(v.Silence)
	token := n.token
	switch {
	case token != 0 && v.Dispatcher.VM != n.name:
		n.endTerm()
	case token == 0 && v.TopRanked.VM == n.name && n.canStartTerm():
		n.startTerm("first")
	case token != 0:
		n.checkClaims()
	}
	n.abandonUnreachable()
	if n.token != token {
		n.view = n.fleet.View(now, n.termFor(n.name))
	}
	n.offerUnassigned()
}

// notePeerLoss tells the scheduler whether members exist that may dispatch and are not heard.
func (n *splitNode) notePeerLoss(silence fleet.Silence) {
	loss := map[fleet.Silence]scheduler.PeerLoss{
		fleet.SilenceNone: scheduler.PeersHeard, fleet.SilenceShort: scheduler.PeerSilent, fleet.SilenceLong: scheduler.PeerLost,
	}[silence]
	if loss == n.scheduler.PeerLoss() {
		return
	}
	n.scheduler.SetPeerLoss(loss)
	n.m.logf("fault: a member is %v at %s", loss, n.name)
	if loss == scheduler.PeerLost {
		n.scheduler.SetUnreachablePeers(true)
	}
	n.pollAll()
}

func (n *splitNode) pollAll() {
	for _, name := range n.m.names {
		n.m.pollLoop(n.modelDispatcher, name)
	}
}

func (n *splitNode) canStartTerm() bool {
	v := &n.view
	if v.Dispatcher.VM != "" && n.m.now.Sub(n.listedAt) < lapsedRetention {
		return false
	}
	return !v.HigherRankPending && (v.AllReachable || n.m.now.Sub(n.started) > startupGrace)
}

// viewKey identifies the members on which the claims depend.
func (n *splitNode) viewKey() (key string) {
	if n.view.Minority {
		for _, r := range n.view.Reachable {
			key += " " + r.Member.VM
		}
	}
	return key
}

func (n *splitNode) startTerm(reason string) {
	m := n.m
	counter := max(n.fleet.Token()>>splitTokenBits, m.now.Unix()-modelStart.Unix()) + 1<<n.reclaims
	n.token = n.fleet.NextToken(counter<<splitTokenBits | int64(n.member.Incarnation))
	n.termStart, n.fencedSince, n.claimKey = m.now, time.Time{}, n.viewKey()
	n.placeFrom = m.now.Add(upstreamListTimeout)
	m.logf("begin term on %s, token %d, %s, hears %d of %d", n.name, n.token, reason, len(n.view.Reachable), len(n.view.Reachable)+len(n.view.Unreachable))
	n.scheduler.DoubtList()
	n.scheduler.BeginTerm(m.now, n.token, modelResumeTimeout)
	n.applyUpstreams()
	n.confirmList()
	token := n.token
	m.after(m.randomMillis(5, 40), func() {
		n.do(func() {
			if n.token == token && len(n.unlisted) == 0 { // the store has answered
				n.scheduler.ConfirmList(n.token)
			}
		})
	})
	for _, r := range n.view.Reachable {
		n.sendHeartbeat(r.Member)
	}
}

func (n *splitNode) endTerm() {
	n.m.logf("end of the begin term on %s, %s dispatches", n.name, n.view.Dispatcher.VM)
	n.token = 0
	n.scheduler.EndTerm()
}

// listUpstream adds an upstream to the list.
func (n *splitNode) listUpstream(name string) {
	if n.unlisted[name] {
		n.m.logf("fault: %s lists %s", n.name, name)
		delete(n.unlisted, name)
		n.applyUpstreams()
		n.confirmList()
	}
}

// pullUpstreams fetches the list of a peer that lists more.
func (n *splitNode) pullUpstreams(from *splitNode) {
	m := n.m
	for _, name := range m.names {
		if n.unlisted[name] && !from.unlisted[name] {
			handle := func(_ *splitNode, respond func(string)) { respond(name) }
			m.after(m.randomMillis(pullDelayMin, pullDelayMax), func() {
				n.do(func() {
					call(n, from.vm, n.peerTimeout(), handle, func(name string, err error) {
						if err == nil {
							n.listUpstream(name)
						}
					})
				})
			})
		}
	}
}

// Limits of the time until a VM fetches the list of a peer, in ms.
const (
	pullDelayMin = 60
	pullDelayMax = 200
)

// confirmList tells the scheduler whether the dispatchers before have listed the same upstreams.
func (n *splitNode) confirmList() {
	if n.fleet.DispatchersListed(n.m.now.Add(-lapsedRetention), n.listDigest()) {
		n.scheduler.ConfirmList(n.token)
	}
}

func (n *splitNode) listDigest() (digest uint64) {
	for _, name := range n.m.names {
		if !n.unlisted[name] {
			digest ^= rendezvous.Hash(name)
		}
	}
	return digest
}

// applyUpstreams tells the scheduler which upstreams to claim.
func (n *splitNode) applyUpstreams() {
	m := n.m
	var list []string
	partial := false
	for _, name := range m.names {
		switch {
		case n.unlisted[name]:
		case n.view.ShouldClaim(n.member, name, m.upstreams[name].Info.DataCentre):
			list = append(list, name)
		default:
			partial = true
		}
	}
	completeSince := time.Time{}
	if m.now.Sub(n.listedAt) < lapsedRetention {
		completeSince = n.listedAt.Add(staleListTime)
	}
	n.scheduler.SetListCompleteSince(completeSince)
	m.tellList(n.modelDispatcher, list, partial)
	n.pollAll()
}

func (n *splitNode) checkClaims() {
	now, rivals, retry := n.m.now, len(n.view.Unreachable) > 0, false
	switch {
	case n.scheduler.FencedUpstreams() == 0:
		n.fencedSince = time.Time{}
		if now.Sub(n.termStart) > reclaimDelay {
			n.reclaims = 0
		}
	case n.fencedSince.IsZero():
		n.fencedSince = now
	default:
		wait := reclaimDelay
		switch {
		case n.fleet.Token() > n.token:
			wait = reclaimKnownToken
		case !rivals:
			wait = reclaimNoRival
		}
		if rivals {
			wait = min(wait<<n.reclaims, reclaimDelay)
		}
		if retry = now.Sub(n.fencedSince) > wait; retry {
			n.reclaims = min(n.reclaims+1, maxReclaims)
		}
	}
	switch {
	case n.claimKey != n.viewKey():
		n.startTerm("other members")
	case retry && !n.view.Minority:
		n.startTerm("fenced")
	}
}

func (n *splitNode) abandonUnreachable() {
	if n.token == 0 || n.m.now.Sub(n.termStart) < n.peerTimeout() {
		return
	}
	reachable := map[string]uint64{n.name: n.member.Incarnation}
	for _, r := range n.view.Reachable {
		reachable[r.Member.VM] = r.Member.Incarnation
	}
	for _, vm := range slices.Sorted(maps.Keys(n.origins)) {
		o := n.origins[vm]
		incarnation, isReachable := reachable[vm]
		switch {
		case !isReachable && o.reachable:
			o.reachable = false
			o.abandonCount++
			n.abandonJobsOf(vm, o.incarnation+1)
		case isReachable && incarnation > o.incarnation:
			o.incarnation, o.reachable = incarnation, true
			n.abandonJobsOf(vm, incarnation)
		case isReachable:
			o.reachable = true
		}
	}
}

func (n *splitNode) abandonJobsOf(vm string, before uint64) {
	n.m.logf("begin term on %s is over for %s", n.name, vm)
	n.m.execute(n.modelDispatcher, n.scheduler.AbandonJobsOf(n.m.now, vm, before))
	n.m.place(n.modelDispatcher)
}

// Offers.

func (n *splitNode) offerUnassigned() {
	v := &n.view
	if v.Dispatcher.VM == "" {
		return
	}
	jobs := n.jobs.Unassigned(v.Dispatcher.VM, v.Term)
	slices.SortFunc(jobs, func(a, b *splitJob) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range jobs {
		n.offer(j)
	}
}

type offerResponse struct {
	accepted, wrongTerm bool
	reason              string // why the job is refused
}

func (n *splitNode) offer(j *splitJob) {
	vm, term := n.view.Dispatcher.VM, n.view.Term
	if vm == "" {
		return
	}
	o, ok := n.jobs.Assign(j, vm, term)
	if !ok {
		return
	}
	n.withdrawMoved(o, vm)
	m := n.m
	m.logf("%s is offered by %s to %s, resumed %v", j.ID, n.name, vm, o.Resumed)
	offered := j.Spec.job.job
	offered.ID, offered.Origin, offered.OriginIncarnation, offered.Submission, offered.Term = j.ID, n.name, n.member.Incarnation, j.Submission, term
	offered.Sent, offered.Deadline = j.Arrived, j.Spec.deadline.Add(-abandonLead)
	offered.Tasks, offered.Resumed, offered.PreviousToken, offered.Histories = o.Tasks, o.Resumed, int64(o.PreviousTerm>>abandonBits), o.Histories
	if vm == n.name {
		n.handleOfferResponse(o, vm, term, n.acceptOffer(offered, m.now), nil)
		return
	}
	sent := m.now
	handle := func(peer *splitNode, respond func(offerResponse)) { respond(peer.acceptOffer(offered, sent)) }
	call(n, m.position(vm), n.peerTimeout(), handle, func(r offerResponse, err error) { n.handleOfferResponse(o, vm, term, r, err) })
}

// acceptOffer passes an offered job to the scheduler.
func (n *splitNode) acceptOffer(j scheduler.Job, sent time.Time) offerResponse {
	m := n.m
	if j.Term == 0 || j.Term != n.termFor(j.Origin) || m.now.Sub(sent) > n.peerTimeout() {
		return offerResponse{wrongTerm: true}
	}
	if n.withdrawn[withdrawnRef{j.Origin, j.ID, j.Submission}] {
		return offerResponse{reason: "withdrawn"}
	}
	o := n.origins[j.Origin]
	if o == nil {
		o = &splitOrigin{}
		n.origins[j.Origin] = o
	}
	o.incarnation, o.reachable = max(o.incarnation, j.OriginIncarnation), true
	actions, failure := n.scheduler.Offer(m.now, j)
	if failure != nil {
		return offerResponse{reason: failure.Reason}
	}
	m.execute(n.modelDispatcher, actions)
	n.pollAll()
	m.place(n.modelDispatcher)
	return offerResponse{accepted: true}
}

func (n *splitNode) handleOfferResponse(o splitOffer, vm string, term uint64, r offerResponse, err error) {
	if (err != nil || r.accepted) && isDone(o.Job) {
		n.withdraw(vm, term, o.Job)
	}
	switch {
	case err != nil:
		n.jobs.Unassign(o, vm, term, false)
	case r.wrongTerm:
		n.jobs.Unassign(o, vm, term, true)
	case !r.accepted:
		outcome := intake.NotRun
		if o.Resumed {
			outcome = intake.Abandoned
		}
		n.jobs.FinishBy(o.Job.ID, o.Job.Submission, vm, term, intake.Answer{Outcome: outcome, Reason: r.reason})
		n.answerRequests()
	}
}

func isDone(j *splitJob) bool {
	select {
	case <-j.Done():
		return true
	default:
		return false
	}
}

// Withdrawals.

// withdraw ends a submission at the dispatcher that may have it.
func (n *splitNode) withdraw(vm string, term uint64, j *splitJob) {
	if term == 0 {
		return
	}
	n.m.logf("%s is withdrawn by %s from %s", j.ID, n.name, vm)
	ref := withdrawnRef{n.name, j.ID, j.Submission}
	if vm == n.name {
		n.withdrawJob(ref, 0)
		return
	}
	w := &splitWithdrawal{vm: vm, ref: ref, until: n.withdrawUntil(j)}
	n.withdrawals = append(n.withdrawals, w)
	n.sendWithdrawal(w)
}

// withdrawMoved stops a job at its former dispatcher if that one goes on in its term.
func (n *splitNode) withdrawMoved(o splitOffer, vm string) {
	if o.PreviousTerm == 0 || o.PreviousVM == n.name || o.PreviousVM == vm {
		return
	}
	n.withdrawals = append(n.withdrawals, &splitWithdrawal{
		vm: o.PreviousVM, ref: withdrawnRef{n.name, o.Job.ID, o.Job.Submission}, term: o.PreviousTerm, moved: o.Job,
		from: n.m.now.Add(n.peerTimeout()), until: n.withdrawUntil(o.Job),
	})
}

func (n *splitNode) withdrawUntil(j *splitJob) time.Time {
	return n.m.now.Add(j.Spec.deadline.Sub(j.Arrived) + abandonMargin)
}

func (n *splitNode) repeatWithdrawals() {
	for _, w := range n.withdrawals {
		n.sendWithdrawal(w)
	}
	n.withdrawals = slices.DeleteFunc(n.withdrawals, func(w *splitWithdrawal) bool { return w.over })
}

func (n *splitNode) sendWithdrawal(w *splitWithdrawal) {
	now := n.m.now
	switch {
	case w.pending || w.over:
		return
	case !now.Before(w.until):
		w.over = true
		return
	case w.moved != nil && now.Before(w.from) && !isDone(w.moved):
		return
	case w.moved != nil:
		if last, _ := n.jobs.LastOffer(w.moved); last == w.vm || n.fleet.Term(w.vm) != w.term {
			w.over = true // the job is back, or the term is over
			return
		}
	}
	w.pending = true
	handle := func(peer *splitNode, respond func(struct{})) {
		peer.withdrawJob(w.ref, w.term)
		respond(struct{}{})
	}
	call(n, n.m.position(w.vm), n.peerTimeout()/2, handle, func(_ struct{}, err error) {
		w.pending = false
		w.over = w.over || err == nil
		if j := w.moved; j != nil {
			if last, term := n.jobs.LastOffer(j); last == w.vm && term == w.term {
				n.jobs.Unassign(splitOffer{Job: j}, w.vm, term, false)
			}
		}
	})
}

// withdrawJob ends a submission, for good unless a term is given.
func (n *splitNode) withdrawJob(ref withdrawnRef, term uint64) {
	switch {
	case term == 0:
		n.withdrawn[ref] = true
	case term != n.termFor(ref.origin):
		return
	}
	n.m.execute(n.modelDispatcher, n.scheduler.Withdraw(n.m.now, ref.origin, ref.job, ref.submission))
	n.m.place(n.modelDispatcher)
}

// Reports.

// deliver reports a notice to its origin. If the origin does not answer, its jobs are
// abandoned.
func (n *splitNode) deliver(notice scheduler.Notice, attempts int) {
	m, term := n.m, n.termFor(notice.Origin)
	confirm := func() { n.scheduler.ConfirmDelivery([]scheduler.CompletionRef{notice.Completion}) }
	if notice.Kind != scheduler.TaskDone && notice.Kind != scheduler.TaskRetried && notice.Term != term {
		confirm()
		return
	}
	if notice.Origin == n.name {
		n.applyNotice(n.name, term, notice, func(complete bool) {
			if complete {
				confirm()
			}
		})
		return
	}
	handle := func(peer *splitNode, respond func(bool)) { peer.applyNotice(n.name, term, notice, respond) }
	call(n, m.position(notice.Origin), n.peerTimeout()/2, handle, func(complete bool, err error) {
		switch {
		case err == nil && complete:
			confirm()
		case err != nil && attempts > 1:
			n.deliver(notice, attempts-1)
		default:
			m.after(scheduler.CompletionRetention, func() { n.do(confirm) })
			if o := n.origins[notice.Origin]; o != nil {
				o.abandonCount++
				n.abandonJobsOf(notice.Origin, o.incarnation+1)
			}
		}
	})
}

// applyNotice processes a notice at the origin. complete tells whether the present dispatcher
// of the job knows as well.
func (n *splitNode) applyNotice(dispatcher string, term uint64, notice scheduler.Notice, complete func(bool)) {
	m, id := n.m, notice.Task.Job
	m.logf("%s: %s has notice %d of task %d from %s", id, n.name, notice.Kind, notice.Task.Index, dispatcher)
	defer n.answerRequests()
	switch notice.Kind {
	case scheduler.TaskRetried:
		n.jobs.MergeHistory(id, notice.Task.Index, notice.History)
	case scheduler.TaskDone:
		if _, known := m.reported[notice.Task]; !known {
			m.reported[notice.Task] = m.now
		}
		vm, current := n.jobs.CompleteTask(id, notice.Task.Index, notice.Result)
		if current != 0 && (vm != dispatcher || current != term) {
			n.forwardCompletion(vm, notice, complete)
			return
		}
	case scheduler.TaskFailed:
		n.jobs.FinishBy(id, notice.Submission, dispatcher, term, intake.Answer{Outcome: intake.Failed, Reason: notice.Reason})
	case scheduler.JobNotRun:
		n.jobs.FinishBy(id, notice.Submission, dispatcher, term, intake.Answer{Outcome: intake.NotRun, Reason: notice.Reason})
	default:
		n.jobs.FinishBy(id, notice.Submission, dispatcher, term, intake.Answer{Outcome: intake.Abandoned, Reason: notice.Reason})
	}
	complete(true)
}

// forwardCompletion tells the present dispatcher of a job that a task has completed under an
// earlier one.
func (n *splitNode) forwardCompletion(vm string, notice scheduler.Notice, complete func(bool)) {
	handle := func(peer *splitNode, respond func(bool)) {
		respond(peer.scheduler.CompleteElsewhere(n.m.now, notice.Task, notice.Result))
	}
	if vm == n.name {
		handle(n, complete)
		return
	}
	call(n, n.m.position(vm), n.peerTimeout()/2, handle, func(known bool, err error) { complete(known && err == nil) })
}

// Callers' requests.

// splitRequest is a request of a caller for a job.
type splitRequest struct {
	attempt  *splitAttempt
	job      *splitJob
	number   int // of the request among those for the job
	answered bool
}

// receive takes a job from a caller. The request may have waited for the process.
func (n *splitNode) receive(a *splitAttempt) {
	deadline := a.arrived.Add(a.caller.patience)
	left := deadline.Sub(n.m.now) - answerMargin
	if left <= 0 {
		n.refuseLate(a)
		return
	}
	j, number := n.jobs.AddOrJoin(a.arrived, a.caller.id, splitSpec{a.caller.job, deadline}, a.caller.job.tasks)
	a.request = &splitRequest{attempt: a, job: j, number: number}
	n.requests = append(n.requests, a.request)
	n.m.logf("%s is received by %s %v after its arrival, deadline in %v, request %d", j.ID, n.name, n.m.now.Sub(a.arrived), left, number)
	if number == 1 {
		n.offer(j)
	}
	n.m.after(left, func() { n.do(func() { n.expire(a.request) }) })
	n.answerRequests()
}

// refuseLate answers a request whose deadline has passed.
func (n *splitNode) refuseLate(a *splitAttempt) {
	answer := intake.Answer{Outcome: intake.NotRun, Reason: "the deadline had passed when the request was read"}
	if j := n.jobs.Find(a.caller.id); j != nil {
		answer.Outcome = intake.Abandoned
		if !a.arrived.Before(j.Arrived) {
			n.expireJob(j)
		}
	}
	n.m.after(n.m.delay(), func() { a.receiveAnswer(answer) })
}

// expire ends a job at its deadline.
func (n *splitNode) expire(r *splitRequest) {
	if !r.answered {
		n.expireJob(r.job)
	}
}

func (n *splitNode) expireJob(j *splitJob) {
	answer := intake.Answer{Outcome: intake.Abandoned, Reason: "the deadline has passed"}
	if !n.jobs.MayHaveStarted(j) {
		answer.Outcome = intake.NotRun
	}
	if vm, term, ended := n.jobs.Finish(j.ID, j.Submission, answer); ended {
		n.withdraw(vm, term, j)
	}
	n.answerRequests()
}

// cancel ends a request whose caller has gone.
func (n *splitNode) cancel(r *splitRequest) {
	if r == nil || r.answered {
		return
	}
	n.m.logf("%s: %s sees that its caller has gone", r.job.ID, n.name)
	if vm, term, ended := n.jobs.EndRequest(r.job, r.number); ended {
		n.withdraw(vm, term, r.job)
	}
	n.answerRequests()
}

// answerRequests answers the requests whose jobs are done.
func (n *splitNode) answerRequests() {
	n.requests = slices.DeleteFunc(n.requests, func(r *splitRequest) bool {
		if r.answered || !isDone(r.job) {
			return false
		}
		r.answered = true
		answer, _ := n.jobs.Answer(r.job)
		n.m.after(n.m.delay(), func() { r.attempt.receiveAnswer(answer) })
		return true
	})
}
