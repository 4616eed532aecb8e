package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
	"golang.org/x/sys/unix"
)

func (n *Node) handleOffer(_ context.Context, _ *wire.Hello, r *wire.OfferRequest) wire.Message {
	return n.enter(r)
}

// enter takes an offered job into the scheduler.
func (n *Node) enter(r *wire.OfferRequest) *wire.OfferResponse {
	if r.Term == 0 || r.Term != n.termFor(r.Origin) {
		return &wire.OfferResponse{WrongTerm: true, Reason: "this VM does not dispatch in that term"}
	}
	now := time.Now()
	n.origins.note(r.Origin, r.OriginIncarnation)
	microseconds := func(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
	notices, failure := n.scheduler.Offer(now, scheduler.Job{
		ID: r.Job, Origin: r.Origin, OriginIncarnation: r.OriginIncarnation, Queue: r.Queue, Service: r.Service, Spec: r.Spec,
		Size:     scheduler.Size{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators},
		Priority: r.Priority, Estimate: microseconds(r.EstimateUS),
		Sent: now.Add(-microseconds(r.AgeUS)), Deadline: now.Add(microseconds(r.DeadlineUS)),
		Stretch: r.Stretch, Slack: microseconds(r.SlackUS), MaxAttempts: r.MaxAttempts,
		AtMostOnce: r.Once, Resumed: r.Resumed, PreviousToken: int64(r.Before >> dropBits), Tasks: r.Tasks, Items: r.Items,
	})
	if failure != nil {
		n.log.Info("offer refused", slog.String("job", r.Job), slog.String("origin", r.Origin), slog.String("reason", failure.Reason))
		return &wire.OfferResponse{Reason: failure.Reason, Code: uint8(failure.Code), RetryAfterUS: failure.RetryAfter.Microseconds()}
	}
	if len(notices) > 0 {
		n.act(scheduler.Actions{Notices: notices})
	}
	if r.Resumed {
		n.agents.wakeAll() // every upstream is looked at before its tasks start
	}
	n.wakePlacing()
	return &wire.OfferResponse{Accepted: true}
}

func (n *Node) handleWithdraw(_ context.Context, _ *wire.Hello, r *wire.WithdrawRequest) wire.Message {
	n.withdrawn(r.Origin, r.Jobs)
	return &wire.WithdrawResponse{}
}

func (n *Node) withdrawn(origin string, jobs []string) {
	n.act(n.scheduler.Withdraw(time.Now(), origin, jobs))
	n.wakePlacing()
}

// keepPlacing places tasks whenever jobs or room have come.
func (n *Node) keepPlacing(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.place:
		}
		now := time.Now()
		if !n.mayPlace(now) {
			continue // the next tick tries again
		}
		starts := n.scheduler.Place(now)
		for _, start := range starts {
			n.decisions.Placement(&start)
			go n.start(ctx, start)
		}
	}
}

// maxPause is the time between two ticks above which this process counts as
// having been paused: three times the tenth of a second for which a machine
// with a quota may stand still.
const maxPause = 300 * time.Millisecond

// bootTime reads the clock that goes on while the machine is suspended.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), errors.Wrap(err, "read the clock")
}

// keepTicking lets time pass for the scheduler, and notices pauses of this
// process.
func (n *Node) keepTicking(ctx context.Context) error {
	ticker := time.NewTicker(scheduler.TickInterval)
	defer ticker.Stop()
	last, err := bootTime()
	for err == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var now time.Duration
		if now, err = bootTime(); err != nil {
			break
		}
		if pause := now - last; pause > maxPause {
			n.restartTerm(time.Now(), pause)
		}
		last = now
		n.act(n.scheduler.Tick(time.Now()))
		n.wakePlacing()
	}
	return err // without the clock a suspension would go unnoticed, and tasks run twice
}

func (n *Node) start(ctx context.Context, start scheduler.Start) {
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, n.trips.patience())
	defer cancel()
	result, clock, err := n.deps.Upstreams.Start(call, start)
	now := time.Now()
	n.answered(result, now.Sub(sent))
	n.metrics.started(result, now.Sub(sent), start.Waited)
	if result != scheduler.OrderDone {
		n.log.Info("start failed", slog.String("job", start.Run.Job), slog.Int("task", start.Run.Index), slog.Int("attempt", start.Run.Attempt),
			slog.String("upstream", start.Upstream.Name), slog.String("result", result.String()), slog.Int64("took_us", now.Sub(sent).Microseconds()), slog.Any("error", err))
	}
	n.act(n.scheduler.HandleStartResult(now, start, result, clock))
	if result == scheduler.OrderDone {
		n.agents.wakeOne(start.Upstream.Name)
	} else {
		n.wakePlacing()
	}
}

// answered enters how long an order took.
func (n *Node) answered(result scheduler.OrderResult, took time.Duration) {
	if result == scheduler.OrderUnanswered {
		n.trips.lost()
	} else {
		n.trips.observe(took)
	}
}

// maxStopPause bounds the pause between two tries of a stop, which doubles.
const maxStopPause = 320 * time.Millisecond

func (n *Node) stopRun(ctx context.Context, stop scheduler.Stop) {
	for pause := time.Duration(0); ; {
		n.log.Info("stop run", slog.String("job", stop.Run.Job), slog.Int("task", stop.Run.Index), slog.Int("attempt", stop.Run.Attempt),
			slog.String("upstream", stop.Upstream.Name), slog.String("why", stop.Reason))
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, n.trips.patience())
		result, clock, err := n.deps.Upstreams.Stop(call, stop)
		cancel()
		if err != nil {
			n.log.Info("stop failed", slog.String("job", stop.Run.Job), slog.Int("task", stop.Run.Index), slog.Int("attempt", stop.Run.Attempt),
				slog.String("upstream", stop.Upstream.Name), slog.Any("error", err))
		}
		n.answered(result, time.Since(sent))
		n.metrics.Stops.Inc()
		actions, again, after := n.scheduler.HandleStopResult(time.Now(), stop, result, clock)
		n.act(actions)
		pause = min(max(2*pause, after), maxStopPause)
		if !again || !wait.For(ctx, pause) {
			return
		}
	}
}

// act sends what the scheduler asks for.
func (n *Node) act(a scheduler.Actions) {
	for _, stop := range a.Stops {
		go n.stopRun(n.serving, stop)
	}
	for _, upstream := range a.Polls {
		go n.quickLook(n.serving, upstream)
	}
	for _, l := range a.Lost {
		n.log.Info("run lost", slog.String("job", l.Job), slog.Int("task", l.Index), slog.Int("attempt", l.Attempt),
			slog.String("upstream", l.Upstream), slog.Bool("started", l.MayHaveRun), slog.String("why", l.Reason))
	}
	byOrigin := map[string]*ends{}
	for _, notice := range a.Notices {
		r := byOrigin[notice.Origin]
		if r == nil {
			r = &ends{EndsRequest: wire.EndsRequest{Term: n.termFor(notice.Origin)}}
			byOrigin[notice.Origin] = r
		}
		if notice.Completion != (scheduler.CompletionRef{}) {
			r.receipts = append(r.receipts, notice.Completion)
		}
		switch notice.Kind {
		case scheduler.TaskDone, scheduler.TaskFailed:
			r.Ends = append(r.Ends, wire.TaskEnd{Job: notice.Task.Job, Index: notice.Task.Index, Failed: notice.Kind == scheduler.TaskFailed, Result: notice.Result})
		default:
			n.log.Info("job dropped", slog.String("job", notice.Task.Job), slog.String("origin", notice.Origin),
				slog.String("reason", notice.Reason), slog.Bool("started", notice.Kind == scheduler.JobAbandoned))
			r.Drops = append(r.Drops, wire.JobDrop{
				Job: notice.Task.Job, Started: notice.Kind == scheduler.JobAbandoned,
				Reason: notice.Reason, Code: uint8(notice.Code), RetryAfterUS: notice.RetryAfter.Microseconds(),
			})
		}
	}
	for origin, r := range byOrigin {
		if origin == n.config.VM {
			n.ended(n.config.VM, &r.EndsRequest)
			n.scheduler.ConfirmDelivery(r.receipts)
		} else {
			n.outboxes.add(n, origin, r)
		}
	}
}

// ends are what an origin is to be told, with what is acknowledged to upstreams
// once it has been.
type ends struct {
	wire.EndsRequest
	receipts []scheduler.CompletionRef
}

// outboxes hold the ends that are on their way to their origins.
type outboxes struct {
	mu   sync.Mutex // guards the field below
	byVM map[string]*outbox
}

// outbox gathers ends for one origin while a message is under way.
type outbox struct {
	mu      sync.Mutex // guards the fields below
	next    ends
	sending bool
}

func (o *outboxes) add(n *Node, origin string, r *ends) {
	o.mu.Lock()
	box := o.byVM[origin]
	if box == nil {
		box = &outbox{}
		o.byVM[origin] = box
	}
	o.mu.Unlock()
	box.mu.Lock()
	defer box.mu.Unlock()
	if box.next.Term != r.Term {
		// What was told in an earlier term has been offered anew since.
		box.release(n, box.next.receipts)
		box.next = ends{EndsRequest: wire.EndsRequest{Term: r.Term}}
	}
	box.next.Ends = append(box.next.Ends, r.Ends...)
	box.next.Drops = append(box.next.Drops, r.Drops...)
	box.next.receipts = append(box.next.receipts, r.receipts...)
	if !box.sending {
		box.sending = true
		go box.send(n, origin)
	}
}

// send delivers what has gathered. Where the origin does not answer, its jobs
// are dropped: it offers them anew once it is heard.
func (b *outbox) send(n *Node, origin string) {
	for {
		b.mu.Lock()
		r := b.next
		b.next = ends{EndsRequest: wire.EndsRequest{Term: r.Term}}
		if len(r.Ends)+len(r.Drops) == 0 {
			b.sending = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		if err := n.deliver(origin, &r.EndsRequest); err == nil {
			n.scheduler.ConfirmDelivery(r.receipts)
		} else {
			b.release(n, r.receipts)
			n.log.Info("ends not delivered", slog.String("origin", origin), slog.Int("ends", len(r.Ends)), slog.Any("error", err))
			before := n.origins.drop(origin)
			n.act(n.scheduler.AbandonJobsOf(time.Now(), origin, before))
		}
	}
}

// release acknowledges ends that the origin could not be told of, once no
// dispatcher can be offered their jobs any more.
func (b *outbox) release(n *Node, receipts []scheduler.CompletionRef) {
	if len(receipts) > 0 {
		time.AfterFunc(scheduler.CompletionRetention, func() { n.scheduler.ConfirmDelivery(receipts) })
	}
}

// deliverAttempts is the number of times that ends are sent: once more on a
// fresh connection.
const deliverAttempts = 2

func (n *Node) deliver(origin string, r *wire.EndsRequest) error {
	var err error
	for range deliverAttempts {
		address := ""
		for _, m := range n.fleet.Peers() {
			if m.VM == origin {
				address = m.Address
			}
		}
		ctx, cancel := context.WithTimeout(n.serving, n.silence()/2)
		err = n.peers.Call(ctx, address, r, &wire.EndsResponse{})
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
