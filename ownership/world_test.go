package ownership

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"pgregory.net/rapid"
)

const (
	interval    = time.Second
	fence       = 10 * time.Second
	retention   = time.Hour
	callTimeout = 15 * time.Second // deadline of a call
	taskCount   = 2
)

// process simulates one daemon.
type process struct {
	vm, dataCentre string
	node           *Node
	alive, frozen  bool
	leaving, left  bool
	jobs           []*simJob
}

// simJob is a submission that a process may start.
type simJob struct {
	entry    *submission.Entry
	started  int
	finished bool
}

// attempt is a call handled by one process.
type attempt struct {
	at       *process
	call     Call
	deadline time.Time
	entry    *submission.Entry // awaited entry, or nil
	reply    func(submission.Outcome, StepKind)
	busy     bool // waits for a response
	done     bool
	hops     int
}

// firstMember is the platform's entry that names the first member of a data centre.
type firstMember struct {
	member membership.Member
	lost   bool // the records of earlier members are lost
}

// message is a request or a response in transit.
type message struct {
	from, to string // VM names
	late     bool
	deliver  func()
	lost     func()
}

// world simulates processes, the network between them and upstreams that record
// task starts.
type world struct {
	t               *rapid.T
	now             time.Time
	processes       map[string]*process // by VM; the latest one
	vms             []string
	seeds           []membership.Seed
	listedGone      map[string]bool        // VMs that the platform lists as gone
	partitioned     bool                   // no messages pass between data centres
	isolated        map[string]bool        // VMs that exchange no messages
	firstMembers    map[string]firstMember // by data centre, as the platform keeps them
	messages        []*message
	inFlight        map[sendKey]time.Time // timeout of each pending action
	attempts        []*attempt
	starts          map[string]int
	answers         map[string]int // by verdict, to check that calls complete
	lastIncarnation uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), processes: map[string]*process{}, listedGone: map[string]bool{}, isolated: map[string]bool{},
		firstMembers: map[string]firstMember{}, inFlight: map[sendKey]time.Time{}, starts: map[string]int{}, answers: map[string]int{},
	}
	for _, vm := range []string{"a1", "a2", "a3", "a4", "b1", "b2"} {
		w.vms = append(w.vms, vm)
		w.seeds = append(w.seeds, membership.Seed{VM: vm, DataCentre: vm[:1], Address: vm})
	}
	for _, vm := range []string{"a1", "a2", "a3", "b1", "b2"} {
		w.startProcess(vm)
	}
	w.advance(5)
	return w
}

func (w *world) startProcess(vm string) {
	if p := w.processes[vm]; p != nil && p.alive {
		return
	}
	w.lastIncarnation++
	p := &process{vm: vm, dataCentre: vm[:1], alive: true}
	p.node = New(w.now, Config{
		Membership: membership.Config{
			Self:  membership.Member{VM: vm, Incarnation: w.lastIncarnation, DataCentre: vm[:1], Address: vm},
			Seeds: w.seeds, Homes: map[string]string{"x": "a", "y": "b"},
			Interval: interval, Fence: fence, Retention: retention, RefusalProof: true,
		},
		JoinTimeout: 8 * time.Second, Budget: 1 << 20, Fanout: 3,
	})
	w.processes[vm] = p
	w.logf("%s starts as incarnation %d, ID %d", vm, w.lastIncarnation, p.node.View().Self.ID())
}

func (w *world) logf(format string, args ...any) {
	w.t.Logf("%s "+format, append([]any{w.now.Format("04:05")}, args...)...)
}

func (w *world) running(p *process) bool {
	return p.alive && !p.frozen && w.processes[p.vm] == p
}

// execute performs the actions that a node returned.
func (w *world) execute(p *process, actions []Action) {
	for _, a := range actions {
		if a.Kind != StartNewIncarnation && !w.markSent(p, a) {
			continue
		}
		switch a.Kind {
		case StartNewIncarnation:
			w.lastIncarnation++
			p.node.StartNewIncarnation(w.now, w.lastIncarnation)
			w.logf("%s becomes incarnation %d", p.vm, w.lastIncarnation)
		case SendHeartbeat:
			w.heartbeat(p, a.To)
		case SendJoin:
			m := &Join{From: p.node.View().Self}
			w.send(p, a.To, func(q *process) func() {
				reply, next := q.node.HandleJoin(w.now, m)
				w.execute(q, next)
				return func() {
					w.clearSent(p, SendJoin, a.To)
					w.execute(p, p.node.HandleJoinReply(w.now, a.To, reply))
				}
			}, nil)
		case SendTransfer:
			w.transfer(p, a.To)
		case Probe:
			w.probe(p, a.Seed)
		}
	}
}

// sendKey identifies a pending action of a process.
type sendKey struct {
	by     *process
	action Action
}

// markSent marks an action as pending. It reports false if the action is pending
// already and has not timed out.
func (w *world) markSent(p *process, a Action) bool {
	key := sendKey{p, a}
	if until, found := w.inFlight[key]; found && w.now.Before(until) {
		return false
	}
	w.inFlight[key] = w.now.Add(2 * interval)
	return true
}

func (w *world) clearSent(p *process, kind ActionKind, to membership.Member) {
	delete(w.inFlight, sendKey{p, Action{Kind: kind, To: to}})
}

func (w *world) heartbeat(p *process, to membership.Member) {
	sent := w.now
	digest := p.node.Membership().Digest(sent, to)
	w.send(p, to, func(q *process) func() {
		reply := q.node.Membership().HandleDigest(w.now, digest)
		w.execute(q, q.node.DueActions(w.now))
		return func() {
			w.clearSent(p, SendHeartbeat, to)
			p.node.Membership().HandleReply(w.now, sent, reply)
			w.execute(p, p.node.DueActions(w.now))
		}
	}, nil)
}

func (w *world) transfer(p *process, to membership.Member) {
	parts, epoch := p.node.TransferFor(w.now, to)
	w.send(p, to, func(q *process) func() {
		accepted := true
		for _, part := range parts {
			reply, next := q.node.HandleTransfer(w.now, part)
			w.execute(q, next)
			accepted = accepted && reply.Accepted
		}
		return func() {
			w.clearSent(p, SendTransfer, to)
			if accepted {
				w.execute(p, p.node.TransferDone(w.now, parts[0].From, to, epoch, parts))
			}
		}
	}, nil)
}

func (w *world) probe(p *process, seed membership.Seed) {
	q := w.processes[seed.VM]
	switch {
	case w.isPartitioned(p.vm, seed.VM):
	case q == nil || !q.alive:
		p.node.Membership().SeedRefused(seed)
		w.execute(p, p.node.DueActions(w.now))
	case !q.frozen:
		q.node.Membership().MarkReachable(w.now, p.node.View().Self)
		p.node.Membership().MarkReachable(w.now, q.node.View().Self)
		w.execute(p, p.node.DueActions(w.now))
	}
}

func (w *world) isPartitioned(a, b string) bool {
	return w.isolated[a] || w.isolated[b] || w.partitioned && a[:1] != b[:1]
}

// send delivers a request to the process that has the address at that time, and
// returns its response. Either message can be late or lost.
func (w *world) send(p *process, to membership.Member, handle func(*process) func(), lost func()) {
	if len(w.messages) > 400 {
		w.notifyLost(lost)
		return
	}
	m := &message{from: p.vm, to: to.VM, lost: func() { w.notifyLost(lost) }}
	m.deliver = func() {
		q := w.processes[to.VM]
		if q == nil || !q.alive {
			if w.running(p) {
				p.node.Membership().ConnectionRefused(w.now, to)
				w.execute(p, p.node.DueActions(w.now))
			}
			w.notifyLost(lost)
			return
		}
		respond := handle(q)
		w.post(&message{from: to.VM, to: p.vm, lost: func() { w.notifyLost(lost) }, deliver: func() {
			if w.running(p) {
				respond()
			}
		}})
	}
	w.post(m)
}

func (w *world) notifyLost(lost func()) {
	if lost != nil {
		lost()
	}
}

func (w *world) post(m *message) {
	m.late = rapid.IntRange(0, 9).Draw(w.t, "late") == 0
	w.messages = append(w.messages, m)
}

// deliver delivers pending messages. It holds back late ones unless alsoLate is
// set, and those whose receiver is frozen or cut off by a partition.
func (w *world) deliver(alsoLate bool) {
	for round := 0; round < 30 && len(w.messages) > 0; round++ {
		batch := w.messages
		w.messages = nil
		for _, m := range batch {
			q := w.processes[m.to]
			if m.late && !alsoLate || q != nil && q.alive && q.frozen || w.isPartitioned(m.from, m.to) {
				w.messages = append(w.messages, m)
				continue
			}
			m.deliver()
		}
	}
}

// dropMessage drops a random message.
func (w *world) dropMessage() {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "lost")
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	m.lost()
}

// advance simulates intervals, in which every running process makes progress.
func (w *world) advance(intervals int) {
	for range intervals {
		w.now = w.now.Add(interval)
		w.eachRunning(func(p *process) {
			var gone []string
			for _, vm := range w.vms {
				if w.listedGone[vm] {
					gone = append(gone, vm)
				}
			}
			p.node.Membership().UpdatePlatformList(nil, gone)
			w.execute(p, p.node.Tick(w.now))
			w.answerHistory(p)
			w.advanceLeave(p)
		})
		w.deliver(false)
		w.progress()
	}
	w.eachRunning(func(p *process) {
		v := p.node.View()
		w.logf("%s admitted %v ranks %v departed %d gaps %v", p.vm, p.node.Ready(), v.Members(p.dataCentre), len(v.Departed), p.node.gaps.active(w.now))
	})
}

func (w *world) eachRunning(visit func(*process)) {
	for _, vm := range w.vms {
		if p := w.processes[vm]; p != nil && w.running(p) {
			visit(p)
		}
	}
}

// answerHistory answers a node's query for the history of its data centre as the
// platform does.
func (w *world) answerHistory(p *process) {
	if !p.node.NeedsHistory() {
		return
	}
	f, found := w.firstMembers[p.dataCentre]
	if found {
		fact, known := p.node.View().Fact(f.member.ID())
		if !known || fact.Termination != membership.NotTerminated {
			f = firstMember{p.node.View().Self, true}
		}
	} else {
		f = firstMember{p.node.View().Self, false}
	}
	w.firstMembers[p.dataCentre] = f
	h := HistoryNone
	if f.lost {
		h = HistoryLost
	}
	p.node.SetHistory(h)
	w.execute(p, p.node.DueActions(w.now))
}

// advanceLeave performs the next step of a planned stop.
func (w *world) advanceLeave(p *process) {
	if !p.leaving {
		return
	}
	if !p.left {
		p.left = p.node.Leave(w.now)
		w.execute(p, p.node.DueActions(w.now))
		return
	}
	if !slices.ContainsFunc(p.jobs, func(j *simJob) bool { return !j.finished }) {
		p.node.Membership().MarkTerminated(w.now)
		for _, m := range p.node.Membership().LocalPeers() {
			w.heartbeat(p, m)
		}
		p.alive = false
	}
}
