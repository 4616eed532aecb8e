package node

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/stretchr/testify/require"
)

// fakeDispatcher is a VM that accepts offers and records the withdrawals that it receives.
type fakeDispatcher struct {
	member    fleet.Member
	withdrawn chan wire.WithdrawRequest
}

// listenDispatcher starts a fakeDispatcher. fault is called before the answer to each
// withdrawal, with the number of the earlier ones.
func listenDispatcher(t *testing.T, vm string, weight int, fault func(ctx context.Context, earlier int)) *fakeDispatcher {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &fakeDispatcher{
		member:    fleet.Member{VM: vm, Incarnation: 1, DataCentre: "a", Address: listener.Addr().String(), Weight: weight},
		withdrawn: make(chan wire.WithdrawRequest, 16),
	}
	transport := peer.New(peer.Config{
		Hello:       wire.Hello{VM: vm, Incarnation: 1, DataCentre: "a", Address: d.member.Address},
		DialTimeout: dialTimeout, MaxFrame: maxFrame, OnHello: func(wire.Hello) {},
	})
	peer.Handle(transport, func(context.Context, *wire.Hello, *wire.OfferRequest) wire.Message {
		return &wire.OfferResponse{Accepted: true}
	})
	received := make(chan int, 1)
	received <- 0
	peer.Handle(transport, func(ctx context.Context, _ *wire.Hello, r *wire.WithdrawRequest) wire.Message {
		earlier := <-received
		received <- earlier + 1
		d.withdrawn <- *r
		fault(ctx, earlier)
		return &wire.WithdrawResponse{}
	})
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- transport.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-served)
	})
	return d
}

// receive waits for a withdrawal.
func (d *fakeDispatcher) receive(t *testing.T, what string) wire.WithdrawRequest {
	select {
	case r := <-d.withdrawn:
		return r
	case <-time.After(waitTimeout):
		require.FailNow(t, "no withdrawal", what)
		return wire.WithdrawRequest{}
	}
}

// hear records that a dispatcher reports its term to a node.
func (d *fakeDispatcher) hear(n *Node, term uint64) {
	now := time.Now()
	n.fleet.RecordHeartbeat(now, fleet.Heartbeat{Member: d.member, Term: term}, true)
	v := n.fleet.View(now, 0)
	n.view.Store(&v)
}

// newOrigin returns a node that takes jobs and never dispatches.
func newOrigin(t *testing.T) *Node {
	n := New(Config{VM: "vm0", Incarnation: 1, DataCentre: "a", PeerAddress: "127.0.0.1:1", Weight: 100, LeaseMax: testLease},
		Dependencies{Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics()})
	t.Cleanup(n.Stop)
	return n
}

// addJob adds a job of a caller that waits for long.
func addJob(n *Node, id string) *intake.Job[Job] {
	now := time.Now()
	j, _ := n.jobs.AddOrJoin(now, id, Job{Queue: &testQueue, Deadline: now.Add(time.Hour)}, 1)
	return j
}

// A dispatcher that has not heard of a withdrawal renews the leases of the job's runs until the
// caller's deadline, while the caller may have sent the job again long since.
func TestWithdrawalThatFailedIsNotRepeated(t *testing.T) {
	for name, fault := range map[string]func(context.Context){
		"connection reset": func(context.Context) { panic("handler failed") },
		"answer lost":      func(ctx context.Context) { <-ctx.Done() },
	} {
		t.Run(name, func(t *testing.T) {
			const failing = 2
			d := listenDispatcher(t, "vm1", 400, func(ctx context.Context, earlier int) {
				if earlier < failing {
					fault(ctx)
				}
			})
			n := newOrigin(t)
			d.hear(n, 7)
			j := addJob(n, "a")
			n.jobs.Assign(j, "vm1", 7)
			n.expire(j)
			for range failing + 1 {
				r := d.receive(t, "until the dispatcher has acknowledged it")
				require.Equal(t, "a", r.Job)
				require.Equal(t, j.Submission, r.Submission)
			}
		})
	}
}

// An offer names the time that is left. A pause of the origin after it has computed that time
// delays the dispatcher's deadline, and the job is withdrawn long after the caller's.
func TestWithdrawalAfterPauseIsNotRepeated(t *testing.T) {
	const failing, patience, pause = 2, 1500 * time.Millisecond, 5 * time.Second
	d := listenDispatcher(t, "vm1", 400, func(_ context.Context, earlier int) {
		if earlier < failing {
			panic("handler failed")
		}
	})
	n := newOrigin(t)
	d.hear(n, 7)
	arrived := time.Now().Add(-pause)
	j, _ := n.jobs.AddOrJoin(arrived, "a", Job{Queue: &testQueue, Deadline: arrived.Add(patience)}, 1)
	n.jobs.Assign(j, "vm1", 7)
	n.expire(j)
	for range failing + 1 {
		require.Equal(t, j.Submission, d.receive(t, "until the dispatcher has acknowledged it").Submission)
	}
}

// The network may deliver an offer seconds after the withdrawal of its job was acknowledged over
// another connection. The dispatcher's deadline is then as late as the offer.
func TestOfferIsAcceptedAfterItsWithdrawal(t *testing.T) {
	n := newOrigin(t)
	n.startTerm(time.Now(), n.view.Load(), "test")
	offer := &wire.OfferRequest{Job: "a", Origin: "vm9", Submission: 3, Term: n.termFor("vm9"), Queue: "alert", Service: "rota", Tasks: []int{0}, Resumed: true, DeadlineUS: time.Minute.Microseconds()}
	n.handleWithdraw(t.Context(), nil, &wire.WithdrawRequest{Origin: "vm9", Job: "a", Submission: 3})
	response := n.acceptOffer(offer)
	require.False(t, response.Accepted)
	require.False(t, response.WrongTerm, "the origin must not offer it again")
	require.Zero(t, n.scheduler.Waiting())
	offer.Submission = 4
	require.True(t, n.acceptOffer(offer).Accepted, "the next submission goes on")
}

func TestWithdrawnSubmissionsAreKeptForRetention(t *testing.T) {
	var w withdrawnSubmissions
	start := time.Now()
	ref := func(number uint64) submissionRef { return submissionRef{"vm9", "a", number} }
	const steps = 5
	step := withdrawnRetention/steps + 1
	for n := range uint64(4 * steps) {
		w.add(start.Add(time.Duration(n)*step), ref(n))
		for kept := n - min(n, steps-1); kept <= n; kept++ {
			require.True(t, w.contains(ref(kept)), "submission %d at step %d", kept, n)
		}
		require.False(t, w.contains(ref(n+1)))
	}
	require.False(t, w.contains(ref(0)), "memory is bounded")
}

// A dispatcher that the origin hears, while another one dispatches or none does, goes on with
// the origin's jobs: it abandons only those of origins that it cannot reach.
func TestJobStaysAtDispatcherThatViewDoesNotName(t *testing.T) {
	for name, prepare := range map[string]func(*Node, *intake.Job[Job]){
		"another dispatches": func(n *Node, j *intake.Job[Job]) {
			n.jobs.Assign(j, "vm1", 7)
			other := fakeDispatcher{member: fleet.Member{VM: "vm2", Incarnation: 1, DataCentre: "a", Weight: 800}}
			other.hear(n, 9)
		},
		"in another term": func(n *Node, j *intake.Job[Job]) { n.jobs.Assign(j, "vm1", 6) },
		"none dispatches": func(n *Node, j *intake.Job[Job]) {
			n.jobs.Assign(j, "vm1", 7)
			n.view.Store(&fleet.View{})
		},
		"the offer failed": func(n *Node, j *intake.Job[Job]) {
			o, _ := n.jobs.Assign(j, "vm1", 7)
			n.jobs.Unassign(o, "vm1", 7, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := listenDispatcher(t, "vm1", 400, func(context.Context, int) {})
			n := newOrigin(t)
			d.hear(n, 7)
			j := addJob(n, "a")
			prepare(n, j)
			n.expire(j)
			require.Equal(t, j.Submission, d.receive(t, name).Submission)
		})
	}
}

// A job ends while its offer is on its way, and the withdrawal arrives first.
func TestWithdrawalOvertakesOffer(t *testing.T) {
	for name, err := range map[string]error{"accepted": nil, "answer lost": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			d := listenDispatcher(t, "vm1", 400, func(context.Context, int) {})
			n := newOrigin(t)
			d.hear(n, 7)
			j := addJob(n, "a")
			o, _ := n.jobs.Assign(j, "vm1", 7)
			n.expire(j)
			d.receive(t, "before the offer")
			n.handleOfferResponse(o, n.view.Load(), &wire.OfferResponse{Accepted: true}, err)
			require.Equal(t, j.Submission, d.receive(t, "after the offer").Submission)
		})
	}
}

// Two dispatchers do not hear each other, and the origin hears both. The former one must not go
// on with a job that the origin has offered to the other.
func TestFormerDispatcherKeepsJobOfferedElsewhere(t *testing.T) {
	former := listenDispatcher(t, "vm1", 400, func(context.Context, int) {})
	next := listenDispatcher(t, "vm2", 800, func(context.Context, int) {})
	n := newOrigin(t)
	former.hear(n, 7)
	j := addJob(n, "a")
	n.offer(j, n.view.Load())
	next.hear(n, 9)
	n.offer(j, n.view.Load())
	r := former.receive(t, "after a hand-over")
	require.Equal(t, j.Submission, r.Submission)
	require.EqualValues(t, 7, r.Term, "a later offer of the submission to the same VM must go on")
	require.Empty(t, next.withdrawn)
	vm, _ := n.jobs.Progress(j)
	require.Equal(t, "vm2", vm)
}

// A withdrawal because of a hand-over arrives late. The job has been offered again since, in a
// later term.
func TestWithdrawalOfEarlierTermEndsJob(t *testing.T) {
	n := newOrigin(t)
	n.startTerm(time.Now(), n.view.Load(), "test")
	first := n.termFor("vm9")
	n.startTerm(time.Now(), n.view.Load(), "test")
	offer := &wire.OfferRequest{Job: "a", Origin: "vm9", Submission: 3, Term: n.termFor("vm9"), Queue: "alert", Service: "rota", Tasks: []int{0}, Resumed: true, DeadlineUS: time.Minute.Microseconds()}
	require.True(t, n.acceptOffer(offer).Accepted)
	r := &wire.WithdrawRequest{Origin: "vm9", Job: "a", Submission: 3, Term: first}
	n.handleWithdraw(t.Context(), nil, r)
	require.Equal(t, 1, n.scheduler.Waiting())
	r.Term = offer.Term
	n.handleWithdraw(t.Context(), nil, r)
	require.Zero(t, n.scheduler.Waiting())
}

// Withdrawals that no dispatcher acknowledges end with the jobs that they are for.
func TestWithdrawalIsRepeatedForever(t *testing.T) {
	n := newOrigin(t)
	now := time.Now()
	q := withdrawalQueue{repeating: true}
	q.putBack([]withdrawal{
		{request: wire.WithdrawRequest{Job: "over"}, until: now},
		{request: wire.WithdrawRequest{Job: "a"}, until: now.Add(time.Second)},
		{request: wire.WithdrawRequest{Job: "b"}, until: now.Add(2 * time.Second)},
	})
	take := func(at time.Time) (due []withdrawal) {
		due, early := sortWithdrawals(q.takeAll(), func(w *withdrawal) withdrawalState { return n.withdrawalState(at, "vm1", w) })
		require.Empty(t, early)
		return due
	}
	due := take(now)
	require.Len(t, due, 2)
	require.Equal(t, "a", due[0].request.Job)
	q.putBack(due)
	require.False(t, q.stopIfEmpty())
	due = take(now.Add(time.Second))
	require.Len(t, due, 1)
	require.Equal(t, "b", due[0].request.Job)
	require.Empty(t, take(now.Add(time.Second)))
	require.True(t, q.stopIfEmpty())
	require.False(t, q.repeating)
}

// The runs of a job that is offered to another dispatcher go on if the former one hands over.
func TestHandOverStopsRuns(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*Node, intake.Offer[Job], *fakeDispatcher)
		early   bool // before the former dispatcher must have heard of the new term
		want    withdrawalState
	}{
		"it goes on":                  {func(*Node, intake.Offer[Job], *fakeDispatcher) {}, false, withdrawalDue},
		"it may hear of the new term": {func(*Node, intake.Offer[Job], *fakeDispatcher) {}, true, withdrawalEarly},
		"its term is over":            {func(n *Node, _ intake.Offer[Job], d *fakeDispatcher) { d.hear(n, 0) }, false, withdrawalUnneeded},
		"it is in its next term":      {func(n *Node, _ intake.Offer[Job], d *fakeDispatcher) { d.hear(n, 8) }, false, withdrawalUnneeded},
		"the new dispatcher refused":  {func(n *Node, o intake.Offer[Job], _ *fakeDispatcher) { n.jobs.Unassign(o, "vm2", 9, true) }, false, withdrawalUnneeded},
		"the new one may have it":     {func(n *Node, o intake.Offer[Job], _ *fakeDispatcher) { n.jobs.Unassign(o, "vm2", 9, false) }, false, withdrawalDue},
		"it has the job again":        {func(n *Node, o intake.Offer[Job], _ *fakeDispatcher) { n.jobs.Assign(o.Job, "vm1", 7) }, false, withdrawalUnneeded},
		"the job ends before that":    {func(n *Node, o intake.Offer[Job], _ *fakeDispatcher) { n.expire(o.Job) }, true, withdrawalDue},
		"the job ends, its term over": {func(n *Node, o intake.Offer[Job], d *fakeDispatcher) { d.hear(n, 0); n.expire(o.Job) }, true, withdrawalUnneeded},
	} {
		t.Run(name, func(t *testing.T) {
			n := newOrigin(t)
			n.Stop() // the withdrawal stays pending
			d := &fakeDispatcher{member: fleet.Member{VM: "vm1", Incarnation: 1, DataCentre: "a", Weight: 400}}
			d.hear(n, 7)
			j := addJob(n, "a")
			n.jobs.Assign(j, "vm1", 7)
			o, _ := n.jobs.Assign(j, "vm2", 9)
			n.withdrawMoved(o, "vm2")
			w := n.withdrawals.byVM["vm1"].pending[0]
			c.prepare(n, o, d)
			at := w.from
			if c.early {
				at = at.Add(-1)
			}
			require.Equal(t, c.want, n.withdrawalState(at, "vm1", &w))
		})
	}
}

// Several jobs end while their dispatcher is unreachable. One withdrawal finds out that it
// answers again; the others must follow.
func TestOnlyFirstPendingWithdrawalIsSent(t *testing.T) {
	d := listenDispatcher(t, "vm1", 400, func(context.Context, int) {})
	n := newOrigin(t)
	d.hear(n, 7)
	want := map[string]bool{}
	for _, id := range []string{"a", "b", "c"} {
		j := addJob(n, id)
		n.jobs.Assign(j, "vm1", 7)
		w := n.newWithdrawal(j)
		n.withdrawals.add(n, "vm1", w)
		want[id] = true
	}
	got := map[string]bool{}
	for range want {
		got[d.receive(t, "of each job").Job] = true
	}
	require.Equal(t, want, got)
}

// A split delays an offer until its origin has given it up and has offered the job elsewhere.
// The receiver would give the job all the time that was left when the offer was sent.
func TestOfferIsAcceptedAfterItsCallTimedOut(t *testing.T) {
	for _, c := range []struct {
		delay    time.Duration
		unknown  bool // the origin does not know the dispatcher's clock
		accepted bool
	}{{0, false, true}, {100 * time.Millisecond, false, true}, {6 * time.Second, false, false}, {6 * time.Second, true, true}} {
		n := newOrigin(t)
		n.startTerm(time.Now(), n.view.Load(), "test")
		clock, err := bootTime()
		require.NoError(t, err)
		const left = time.Minute
		offer := &wire.OfferRequest{Job: "a", Origin: "vm9", Submission: 3, Term: n.termFor("vm9"), Queue: "alert", Service: "rota", Tasks: []int{0}, Resumed: true, DeadlineUS: left.Microseconds()}
		if !c.unknown {
			offer.DeadlineClockUS = (clock + left - c.delay).Microseconds()
		}
		response := n.acceptOffer(offer)
		require.Equal(t, c.accepted, response.Accepted, "%v late", c.delay)
		require.Equal(t, !c.accepted, response.WrongTerm)
	}
}

// A delay that the call outlasts does not prolong the deadline.
func TestOfferDelay(t *testing.T) {
	clock, err := bootTime()
	require.NoError(t, err)
	delay, err := offerDelay(&wire.OfferRequest{DeadlineUS: time.Second.Microseconds(), DeadlineClockUS: (clock + 900*time.Millisecond).Microseconds()})
	require.NoError(t, err)
	require.GreaterOrEqual(t, delay, 100*time.Millisecond)
	delay, err = offerDelay(&wire.OfferRequest{DeadlineUS: time.Second.Microseconds(), DeadlineClockUS: (clock + time.Hour).Microseconds()})
	require.NoError(t, err)
	require.Zero(t, delay)
}
