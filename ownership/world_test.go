package ownership

import (
	"slices"
	"time"

	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/submission"
	"pgregory.net/rapid"
)

const (
	interval  = time.Second
	fence     = 10 * time.Second
	retention = time.Hour
	patience  = 15 * time.Second // deadline of a call
	taskCount = 2
)

// process is one simulated daemon.
type process struct {
	vm, dataCentre string
	node           *Node
	alive, frozen  bool
	leaving, left  bool
	jobs           []*simJob
}

// simJob is a submission that a process may start.
type simJob struct {
	entry   *submission.Entry
	started int
	ended   bool
}

// attempt is a call at one process.
type attempt struct {
	at       *process
	call     Call
	deadline time.Time
	entry    *submission.Entry // awaited
	reply    func(submission.Outcome, StepKind)
	busy     bool // waits for a message
	done     bool
	hops     int
}

// founder is the platform's entry of a data centre.
type founder struct {
	member membership.Member
	lost   bool
}

// message is a request or a response on its way.
type message struct {
	from, to string // VM names
	late     bool
	deliver  func()
	lost     func()
}

// world is a system of processes with a network and upstreams that only log.
type world struct {
	t         *rapid.T
	now       time.Time
	processes map[string]*process // the last process at each VM
	order     []string
	seeds     []membership.Seed
	gone      map[string]bool
	cut       bool               // between the data centres
	muted     map[string]bool    // VMs cut off from all others
	founders  map[string]founder // by data centre, as the platform keeps them
	messages  []*message
	sent      map[sending]time.Time // when an action is given up
	attempts  []*attempt
	starts    map[string]int
	answers   map[string]int // by kind, for the test's own sanity
	birth     uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), processes: map[string]*process{}, gone: map[string]bool{}, muted: map[string]bool{},
		founders: map[string]founder{}, sent: map[sending]time.Time{}, starts: map[string]int{}, answers: map[string]int{},
	}
	for _, vm := range []string{"a1", "a2", "a3", "a4", "b1", "b2"} {
		w.order = append(w.order, vm)
		w.seeds = append(w.seeds, membership.Seed{VM: vm, DataCentre: vm[:1], Address: vm})
	}
	for _, vm := range []string{"a1", "a2", "a3", "b1", "b2"} {
		w.boot(vm)
	}
	w.advance(5)
	return w
}

func (w *world) boot(vm string) {
	if p := w.processes[vm]; p != nil && p.alive {
		return
	}
	w.birth++
	p := &process{vm: vm, dataCentre: vm[:1], alive: true}
	p.node = New(w.now, Config{
		Membership: membership.Config{
			Self:  membership.Member{VM: vm, Incarnation: w.birth, DataCentre: vm[:1], Address: vm},
			Seeds: w.seeds, Homes: map[string]string{"x": "a", "y": "b"},
			Interval: interval, Fence: fence, Retention: retention, RefusalProof: true,
		},
		JoinTimeout: 8 * time.Second, Budget: 1 << 20, Fanout: 3,
	})
	w.processes[vm] = p
	w.logf("%s boots as %d, id %d", vm, w.birth, p.node.View().Self.ID())
}

func (w *world) logf(format string, args ...any) {
	w.t.Logf("%s "+format, append([]any{w.now.Format("04:05")}, args...)...)
}

func (w *world) running(p *process) bool {
	return p.alive && !p.frozen && w.processes[p.vm] == p
}

// act sends what a node asks for.
func (w *world) act(p *process, actions []Action) {
	for _, a := range actions {
		if a.Kind != Reincarnate && !w.begin(p, a) {
			continue
		}
		switch a.Kind {
		case Reincarnate:
			w.birth++
			p.node.Reincarnate(w.now, w.birth)
			w.logf("%s is reborn as %d", p.vm, w.birth)
		case SendHeartbeat:
			w.heartbeat(p, a.To)
		case SendJoin:
			m := &Join{From: p.node.View().Self}
			w.send(p, a.To, func(q *process) func() {
				reply, next := q.node.HandleJoin(w.now, m)
				w.act(q, next)
				return func() {
					w.done(p, SendJoin, a.To)
					w.act(p, p.node.HandleJoinReply(w.now, a.To, reply))
				}
			}, nil)
		case SendTransfer:
			w.fill(p, a.To)
		case Probe:
			w.probe(p, a.Seed)
		}
	}
}

// sending is an action of a process.
type sending struct {
	by     *process
	action Action
}

// begin reports false for an action that is under way and not yet given up.
func (w *world) begin(p *process, a Action) bool {
	key := sending{p, a}
	if until, found := w.sent[key]; found && w.now.Before(until) {
		return false
	}
	w.sent[key] = w.now.Add(2 * interval)
	return true
}

func (w *world) done(p *process, kind ActionKind, to membership.Member) {
	delete(w.sent, sending{p, Action{Kind: kind, To: to}})
}

func (w *world) heartbeat(p *process, to membership.Member) {
	sent := w.now
	digest := p.node.Members().Digest(sent, to)
	w.send(p, to, func(q *process) func() {
		reply := q.node.Members().HandleDigest(w.now, digest)
		w.act(q, q.node.DueActions(w.now))
		return func() {
			w.done(p, SendHeartbeat, to)
			p.node.Members().HandleReply(w.now, sent, reply)
			w.act(p, p.node.DueActions(w.now))
		}
	}, nil)
}

func (w *world) fill(p *process, to membership.Member) {
	parts, epoch := p.node.TransferFor(w.now, to)
	w.send(p, to, func(q *process) func() {
		accepted := true
		for _, part := range parts {
			reply, next := q.node.HandleTransfer(w.now, part)
			w.act(q, next)
			accepted = accepted && reply.Accepted
		}
		return func() {
			w.done(p, SendTransfer, to)
			if accepted {
				w.act(p, p.node.TransferDone(w.now, parts[0].From, to, epoch, parts))
			}
		}
	}, nil)
}

func (w *world) probe(p *process, seed membership.Seed) {
	q := w.processes[seed.VM]
	switch {
	case w.isCut(p.vm, seed.VM):
	case q == nil || !q.alive:
		p.node.Members().SeedRefused(seed)
		w.act(p, p.node.DueActions(w.now))
	case !q.frozen:
		q.node.Members().MarkReachable(w.now, p.node.View().Self)
		p.node.Members().MarkReachable(w.now, q.node.View().Self)
		w.act(p, p.node.DueActions(w.now))
	}
}

func (w *world) isCut(a, b string) bool {
	return w.muted[a] || w.muted[b] || w.cut && a[:1] != b[:1]
}

// send carries a request to whatever process is at the address then, and its
// response back. Either can be late or lost.
func (w *world) send(p *process, to membership.Member, handle func(*process) func(), lost func()) {
	if len(w.messages) > 400 {
		w.drop(lost)
		return
	}
	m := &message{from: p.vm, to: to.VM, lost: func() { w.drop(lost) }}
	m.deliver = func() {
		q := w.processes[to.VM]
		if q == nil || !q.alive {
			if w.running(p) {
				p.node.Members().ConnectionRefused(w.now, to)
				w.act(p, p.node.DueActions(w.now))
			}
			w.drop(lost)
			return
		}
		respond := handle(q)
		w.post(&message{from: to.VM, to: p.vm, lost: func() { w.drop(lost) }, deliver: func() {
			if w.running(p) {
				respond()
			}
		}})
	}
	w.post(m)
}

func (w *world) drop(lost func()) {
	if lost != nil {
		lost()
	}
}

func (w *world) post(m *message) {
	m.late = rapid.IntRange(0, 9).Draw(w.t, "late") == 0
	w.messages = append(w.messages, m)
}

// deliver carries the messages that are not late; a frozen receiver gets
// nothing yet, and a cut holds messages back.
func (w *world) deliver(alsoLate bool) {
	for round := 0; round < 30 && len(w.messages) > 0; round++ {
		batch := w.messages
		w.messages = nil
		for _, m := range batch {
			q := w.processes[m.to]
			if m.late && !alsoLate || q != nil && q.alive && q.frozen || w.isCut(m.from, m.to) {
				w.messages = append(w.messages, m)
				continue
			}
			m.deliver()
		}
	}
}

// lose drops a message.
func (w *world) lose() {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "lost")
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	m.lost()
}

// advance lets intervals pass, in which processes that are not frozen work.
func (w *world) advance(intervals int) {
	for range intervals {
		w.now = w.now.Add(interval)
		w.eachRunning(func(p *process) {
			var gone []string
			for _, vm := range w.order {
				if w.gone[vm] {
					gone = append(gone, vm)
				}
			}
			p.node.Members().UpdatePlatformList(nil, gone)
			w.act(p, p.node.Tick(w.now))
			w.found(p)
			w.leave(p)
		})
		w.deliver(false)
		w.work()
	}
	w.eachRunning(func(p *process) {
		v := p.node.View()
		w.logf("%s admitted %v ranks %v departed %d uncovered %v", p.vm, p.node.Ready(), v.Members(p.dataCentre), len(v.Departed), p.node.coverage.current(w.now))
	})
}

func (w *world) eachRunning(visit func(*process)) {
	for _, vm := range w.order {
		if p := w.processes[vm]; p != nil && w.running(p) {
			visit(p)
		}
	}
}

// found answers the question for the history of a data centre truthfully.
func (w *world) found(p *process) {
	if !p.node.NeedsHistory() {
		return
	}
	f, founded := w.founders[p.dataCentre]
	if founded {
		fact, known := p.node.View().Fact(f.member.ID())
		if !known || fact.Termination != membership.NotTerminated {
			f = founder{p.node.View().Self, true}
		}
	} else {
		f = founder{p.node.View().Self, false}
	}
	w.founders[p.dataCentre] = f
	h := HistoryNone
	if f.lost {
		h = HistoryLost
	}
	p.node.SetHistory(h)
	w.act(p, p.node.DueActions(w.now))
}

// leave brings a planned stop forward.
func (w *world) leave(p *process) {
	if !p.leaving {
		return
	}
	if !p.left {
		p.left = p.node.Leave(w.now)
		w.act(p, p.node.DueActions(w.now))
		return
	}
	if !slices.ContainsFunc(p.jobs, func(j *simJob) bool { return !j.ended }) {
		p.node.Members().MarkTerminated(w.now)
		for _, m := range p.node.Members().LocalPeers() {
			w.heartbeat(p, m)
		}
		p.alive = false
	}
}
