package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/history"
	"github.com/mustardstep/mustardstep/internal/logging"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/scheduler"
	"github.com/mustardstep/mustardstep/verdict"
)

func (n *Node) handleOffer(_ context.Context, _ *wire.Hello, r *wire.OfferRequest) wire.Message {
	return n.acceptOffer(r)
}

// acceptOffer passes an offered job to the scheduler.
func (n *Node) acceptOffer(r *wire.OfferRequest) *wire.OfferResponse {
	if err := n.checkPause(); err != nil {
		return &wire.OfferResponse{WrongTerm: true, Reason: err.Error()}
	}
	if r.Term == 0 || r.Term != n.termFor(r.Origin) {
		return &wire.OfferResponse{WrongTerm: true, Reason: "this VM does not dispatch in the offer's term"}
	}
	submission := submissionRef{r.Origin, r.Job, r.Submission}
	withdrawn := wire.OfferResponse{Reason: "the origin has withdrawn the submission", Code: uint8(verdict.CodeCancelled)}
	if n.withdrawn.contains(submission) {
		return &withdrawn
	}
	now := time.Now()
	microseconds := func(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
	late, err := offerDelay(r)
	switch {
	case err != nil:
		return &wire.OfferResponse{WrongTerm: true, Reason: err.Error()}
	case late > n.peerTimeout():
		n.log.Info("job offer refused", slog.String("job", r.Job), slog.String("origin", r.Origin), slog.String("reason", "late"), slog.Int64("late_ms", late.Milliseconds()))
		return &wire.OfferResponse{WrongTerm: true, Reason: "the offer arrived after its origin had given it up"}
	}
	service, constraints := constraintsOf(r)
	actions, failure := n.scheduler.Offer(now, scheduler.Job{
		ID: r.Job, Origin: r.Origin, OriginIncarnation: r.OriginIncarnation, DataCentre: n.originDataCentre(r.Origin), Submission: r.Submission, Term: r.Term, Queue: r.Queue, Service: service, Constraints: constraints, Spec: r.Spec,
		Size:     scheduler.Size{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators},
		Priority: r.Priority, Estimate: microseconds(r.EstimateUS),
		Sent: now.Add(-microseconds(r.AgeUS) - late), Deadline: now.Add(microseconds(r.DeadlineUS) - late),
		Stretch: r.Stretch, Slack: microseconds(r.SlackUS), MaxAttempts: r.MaxAttempts,
		AtMostOnce: r.AtMostOnce, Resumed: r.Resumed, PreviousToken: int64(r.PreviousTerm >> abandonBits), Histories: historiesFromWire(r.Histories), Account: n.account(r), Tasks: r.Tasks, Items: r.Items,
	})
	// Recorded last, so that the next check of the origin finds the job.
	if newest := n.origins.record(r.Origin, r.OriginIncarnation); newest != r.OriginIncarnation {
		n.apply(n.scheduler.AbandonJobsOf(now, r.Origin, newest))
	}
	if failure != nil {
		n.log.Info("job offer refused", slog.String("job", r.Job), slog.String("origin", r.Origin), slog.String("reason", failure.Reason))
		return &wire.OfferResponse{Reason: failure.Reason, Code: uint8(failure.Code), RetryAfterUS: failure.RetryAfter.Microseconds()}
	}
	if accepted, ok := n.scheduler.Offered(r.Job); ok {
		n.decisions.Accepted(r.Job, r.Origin, r.Submission, time.Duration(r.AgeUS)*time.Microsecond+late, len(r.Tasks), &accepted)
	}
	n.apply(actions)
	if n.withdrawn.contains(submission) { // since the check above
		n.withdrawJob(r.Origin, r.Job, r.Submission)
		return &withdrawn
	}
	if r.Resumed {
		n.pollers.wakeAll() // the tasks start only after every upstream has answered a poll
	}
	n.wakePlaceLoop()
	return &wire.OfferResponse{Accepted: true}
}

// offerDelay returns the time for which an offer was on its way, or a little more; 0 if its
// origin does not know the clock of this VM.
func offerDelay(r *wire.OfferRequest) (time.Duration, error) {
	if r.DeadlineClockUS == 0 {
		return 0, nil
	}
	clock, err := bootTime()
	if err != nil {
		return 0, err
	}
	left := time.Duration(r.DeadlineClockUS)*time.Microsecond - clock
	return max(time.Duration(r.DeadlineUS)*time.Microsecond-left, 0), nil
}

func (n *Node) handleWithdraw(_ context.Context, _ *wire.Hello, r *wire.WithdrawRequest) wire.Message {
	if r.Term == 0 {
		n.withdrawJob(r.Origin, r.Job, r.Submission)
	} else {
		n.apply(n.withdrawInTerm(r))
		n.wakePlaceLoop()
	}
	return &wire.WithdrawResponse{}
}

// withdrawInTerm withdraws a job unless the term of its offer is over. The term changes with
// the jobs removed, so that a later offer of the submission goes on.
func (n *Node) withdrawInTerm(r *wire.WithdrawRequest) scheduler.Actions {
	n.term.transition.Lock() // no term begins between the check and the withdrawal
	defer n.term.transition.Unlock()
	if r.Term != n.termFor(r.Origin) {
		return scheduler.Actions{}
	}
	return n.scheduler.Withdraw(time.Now(), r.Origin, r.Job, r.Submission)
}

// withdrawJob ends a submission for good: an offer of it that arrives later is refused.
func (n *Node) withdrawJob(origin, job string, submission uint64) {
	now := time.Now()
	n.withdrawn.add(now, submissionRef{origin, job, submission})
	n.apply(n.scheduler.Withdraw(now, origin, job, submission))
	n.wakePlaceLoop()
}

// placeLoop places waiting tasks whenever jobs have arrived or capacity has
// become free.
func (n *Node) placeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.placeSignal:
		}
		now := time.Now() // read first: a pause after the check makes the orders late
		if err := n.checkPause(); err != nil {
			return err
		}
		if !n.canPlace(now) {
			continue // the next tick tries again
		}
		starts := n.scheduler.Place(now)
		for _, start := range starts {
			n.decisions.Placement(&start, n.taskName(start.Run.Task))
			n.observePlacement(&start)
			n.pendingOrders.Add(1)
			go func() {
				defer n.pendingOrders.Add(-1)
				n.startRun(ctx, start)
			}()
		}
	}
}

// tickLoop calls the scheduler's Tick.
func (n *Node) tickLoop(ctx context.Context) error {
	coverage, splits := logging.NewCoverageLog(n.log), logging.NewSplitLog(n.log)
	var load loadObserver
	ticker := time.NewTicker(scheduler.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := n.checkPause(); err != nil {
			return err
		}
		now := time.Now()
		n.apply(n.scheduler.Tick(now))
		n.logSplit(now, splits)
		load.observe(n, now)
		c, ok := n.scheduler.Coverage()
		coverage.Observe(now, c, ok)
		n.wakePlaceLoop()
	}
}

// startRun sends a start order and passes the answer to the scheduler.
func (n *Node) startRun(ctx context.Context, start scheduler.Start) {
	sent := time.Now()
	orderCtx, cancel := context.WithTimeout(ctx, n.rtt.timeout())
	defer cancel()
	result, clock, err := n.deps.Upstreams.Start(orderCtx, start)
	now := time.Now()
	n.observeOrder(result, now.Sub(sent))
	n.metrics.observeStart(result, now.Sub(sent), start.Waited)
	if result != scheduler.OrderDone {
		n.log.Info("start order failed", slog.String("job", start.Run.Job), slog.String("task", n.taskName(start.Run.Task)), slog.Int("attempt", start.Run.Attempt),
			slog.String("upstream", start.Upstream.Name), slog.String("result", result.String()), slog.Int64("took_us", now.Sub(sent).Microseconds()), slog.Any("error", err))
	}
	n.apply(n.scheduler.HandleStartResult(now, start, result, clock))
	if result == scheduler.OrderDone {
		n.pollers.wakeOne(start.Upstream.Name)
	} else {
		n.wakePlaceLoop()
	}
}

// observeOrder updates the timeout for calls to upstreams from the response time
// of an order.
func (n *Node) observeOrder(result scheduler.OrderResult, took time.Duration) {
	if result >= scheduler.OrderUnanswered {
		n.rtt.observeTimeout()
	} else {
		n.rtt.observe(took)
	}
}

// maxStopBackoff limits the delay between two attempts to stop a run, which
// doubles each time.
const maxStopBackoff = 320 * time.Millisecond

// stopRun sends a stop order until the scheduler requests no further attempt.
func (n *Node) stopRun(ctx context.Context, stop scheduler.Stop) {
	for backoff := time.Duration(0); ; {
		n.log.Info("sending stop order", slog.String("job", stop.Run.Job), slog.String("task", n.taskName(stop.Run.Task)), slog.Int("attempt", stop.Run.Attempt),
			slog.String("upstream", stop.Upstream.Name), slog.String("why", stop.Reason))
		sent := time.Now()
		orderCtx, cancel := context.WithTimeout(ctx, n.rtt.timeout())
		result, clock, err := n.deps.Upstreams.Stop(orderCtx, stop)
		cancel()
		if err != nil {
			n.log.Info("stop order failed", slog.String("job", stop.Run.Job), slog.String("task", n.taskName(stop.Run.Task)), slog.Int("attempt", stop.Run.Attempt),
				slog.String("upstream", stop.Upstream.Name), slog.Any("error", err))
		}
		n.observeOrder(result, time.Since(sent))
		n.metrics.Stops.Inc()
		actions, retry, after := n.scheduler.HandleStopResult(time.Now(), stop, result, clock)
		n.apply(actions)
		backoff = min(max(2*backoff, after), maxStopBackoff)
		if !retry || !wait.For(ctx, backoff) {
			return
		}
	}
}

// apply carries out the actions that the scheduler requests.
func (n *Node) apply(a scheduler.Actions) {
	for _, stop := range a.Stops {
		n.pendingOrders.Add(1)
		go func() {
			defer n.pendingOrders.Add(-1)
			n.stopRun(n.runCtx, stop)
		}()
	}
	for _, upstream := range a.Polls {
		go n.pollNow(n.runCtx, upstream)
	}
	n.logRuns(&a)
	byOrigin := map[string]*originReport{}
	for _, notice := range a.Notices {
		r := byOrigin[notice.Origin]
		if r == nil {
			r = &originReport{CompletionsRequest: wire.CompletionsRequest{Term: n.termFor(notice.Origin)}}
			byOrigin[notice.Origin] = r
		}
		if notice.Completion != (scheduler.CompletionRef{}) {
			r.refs = append(r.refs, notice.Completion)
		}
		if notice.History != (history.Task{}) {
			r.Histories = append(r.Histories, historyToWire(notice.Task, notice.History))
		}
		if notice.Kind == scheduler.TaskRetried {
			continue
		}
		if notice.Kind != scheduler.TaskDone && notice.Term != r.Term {
			n.log.Info("notice dropped, the job belongs to another term", slog.String("job", notice.Task.Job), slog.String("origin", notice.Origin),
				slog.Uint64("notice_term", notice.Term), slog.Uint64("term", r.Term))
			continue
		}
		switch notice.Kind {
		case scheduler.TaskDone, scheduler.TaskFailed:
			r.Completions = append(r.Completions, wire.TaskCompletion{Job: notice.Task.Job, Submission: notice.Submission, Index: notice.Task.Index, Failed: notice.Kind == scheduler.TaskFailed, Reason: notice.Reason, Result: notice.Result, Upstream: notice.Upstream})
		default:
			n.log.Info("job abandoned", slog.String("job", notice.Task.Job), slog.String("origin", notice.Origin),
				slog.String("reason", notice.Reason), slog.Bool("started", notice.Kind == scheduler.JobAbandoned))
			r.Abandoned = append(r.Abandoned, wire.AbandonedJob{
				Job: notice.Task.Job, Submission: notice.Submission, Started: notice.Kind == scheduler.JobAbandoned,
				Reason: notice.Reason, Code: uint8(notice.Code), RetryAfterUS: notice.RetryAfter.Microseconds(),
			})
		}
	}
	for origin, r := range byOrigin {
		if origin == n.config.VM {
			n.deliverLocally(r)
		} else {
			n.outboxes.add(n, origin, r)
		}
	}
}

// logRuns logs the runs that were lost, found or listed after they had counted as over.
func (n *Node) logRuns(a *scheduler.Actions) {
	for _, lost := range a.Lost {
		n.log.Info("run lost", slog.String("job", lost.Job), slog.String("task", n.taskName(lost.Task)), slog.Int("attempt", lost.Attempt),
			slog.String("upstream", lost.Upstream), slog.Bool("started", lost.MayHaveRun), slog.String("why", lost.Reason),
			slog.Int64("process", lost.ProcessStart), slog.Int("sharing", lost.Sharing), slog.Int64("contact_ms", lost.Contact.Milliseconds()), slog.Float64("suspicion", lost.Suspicion))
	}
	for _, found := range a.Found {
		n.log.Info("run of another term found", slog.String("job", found.Job), slog.String("task", n.taskName(found.Task)), slog.Int("attempt", found.Attempt),
			slog.String("upstream", found.Upstream))
	}
	for _, end := range a.FoundEnds {
		n.metrics.observeFoundEnd(end.How)
		n.log.Info("run of another term ended", slog.String("job", end.Job), slog.String("task", n.taskName(end.Task)), slog.Int("attempt", end.Attempt),
			slog.String("upstream", end.Upstream), slog.String("how", end.How), slog.Int64("held_ms", end.Held.Milliseconds()),
			slog.String("origin", end.Origin), slog.Uint64("submission", end.Submission), slog.Int64("age_ms", end.Age.Milliseconds()))
	}
	n.logProbations(a.Probations)
	for _, r := range a.Resurfaced {
		n.metrics.observeResurfaced(r.State)
		n.log.Warn("run that counted as over was listed", slog.String("job", r.Job), slog.String("task", n.taskName(r.Task)), slog.Int("attempt", r.Attempt),
			slog.String("upstream", r.Upstream), slog.String("how", r.State), slog.String("why_over", r.Reason), slog.Int64("since_ms", r.Since.Milliseconds()))
	}
}

// deliverLocally processes a report to this node.
func (n *Node) deliverLocally(r *originReport) {
	moved := n.applyCompletions(n.config.VM, &r.CompletionsRequest)
	if len(moved) == 0 {
		n.scheduler.ConfirmDelivery(r.refs)
		return
	}
	go func() {
		if n.forwardCompletions(n.runCtx, moved) {
			n.scheduler.ConfirmDelivery(r.refs)
		} else {
			n.confirmLater(r.refs)
		}
	}()
}

// originReport is a report to an origin, with the references of the completions to
// confirm to the scheduler once the report is delivered.
type originReport struct {
	wire.CompletionsRequest
	refs []scheduler.CompletionRef
}

// outboxes holds the reports that are not delivered yet.
type outboxes struct {
	mu   sync.Mutex // guards the field below
	byVM map[string]*outbox
}

// outbox collects reports to one origin while a request is in flight.
type outbox struct {
	mu      sync.Mutex // guards the fields below
	next    originReport
	sending bool
}

func (o *outboxes) add(n *Node, origin string, r *originReport) {
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
		// Reports of an earlier term are dropped: the origin offers their jobs again
		// in the new term.
		n.confirmLater(box.next.refs)
		box.next = originReport{CompletionsRequest: wire.CompletionsRequest{Term: r.Term}}
	}
	box.next.Completions = append(box.next.Completions, r.Completions...)
	box.next.Abandoned = append(box.next.Abandoned, r.Abandoned...)
	box.next.Histories = append(box.next.Histories, r.Histories...)
	box.next.refs = append(box.next.refs, r.refs...)
	if !box.sending {
		box.sending = true
		go box.send(n, origin)
	}
}

// send delivers the collected reports. If the origin does not answer, its jobs
// are abandoned; it offers them again once it is reachable.
func (b *outbox) send(n *Node, origin string) {
	for {
		b.mu.Lock()
		r := b.next
		b.next = originReport{CompletionsRequest: wire.CompletionsRequest{Term: r.Term}}
		if len(r.Completions)+len(r.Abandoned)+len(r.Histories) == 0 {
			b.sending = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		if err := n.deliver(origin, &r.CompletionsRequest); err == nil {
			n.scheduler.ConfirmDelivery(r.refs)
		} else {
			n.confirmLater(r.refs)
			n.log.Info("completions not delivered", slog.String("origin", origin), slog.Int("ends", len(r.Completions)), slog.Any("error", err))
			before := n.origins.countAbandon(origin)
			n.apply(n.scheduler.AbandonJobsOf(time.Now(), origin, before))
		}
	}
}

// confirmLater confirms undelivered completions to the scheduler after
// CompletionRetention. Until then they stay listed at their upstreams, where a
// dispatcher that is offered their jobs finds them.
func (n *Node) confirmLater(refs []scheduler.CompletionRef) {
	if len(refs) > 0 {
		time.AfterFunc(scheduler.CompletionRetention, func() { n.scheduler.ConfirmDelivery(refs) })
	}
}

// deliverAttempts is the number of attempts to deliver a report. The second one
// uses a new connection.
const deliverAttempts = 2

// deliver sends a report to an origin.
func (n *Node) deliver(origin string, r *wire.CompletionsRequest) error {
	var err error
	for range deliverAttempts {
		ctx, cancel := context.WithTimeout(n.runCtx, n.peerTimeout()/2)
		var response wire.CompletionsResponse
		err = n.peers.Call(ctx, n.fleet.Address(origin), r, &response)
		cancel()
		if err == nil && response.Incomplete {
			return errors.New("the dispatcher that has a job now does not know that a task of it has completed")
		}
		if err == nil {
			return nil
		}
	}
	return err
}

// originDataCentre returns the data centre of an origin, or "" if this VM dispatches for its
// own data centre only, so that the choice does not matter.
func (n *Node) originDataCentre(origin string) string {
	if n.view.Load().Scope == fleet.ScopeDataCentre {
		return ""
	}
	return n.fleet.DataCentre(origin)
}
