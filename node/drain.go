package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/verdict"
)

const (
	// drainPollInterval is the interval at which a drain checks its conditions.
	drainPollInterval = 20 * time.Millisecond
	// lastAnswersTimeout limits the time for the answers to the requests that are pending
	// when DrainTimeout has passed, and for the withdrawals of their jobs. It covers several
	// attempts to reach a dispatcher.
	lastAnswersTimeout = 300 * time.Millisecond
)

// drain makes the node unready, waits for the pending requests and hands
// dispatching over to another VM.
func (n *Node) drain(front Frontend) {
	n.log.Info("node is draining", slog.Int("jobs", n.jobs.Len()))
	ctx, cancel := context.WithTimeout(n.runCtx, n.config.DrainTimeout)
	defer cancel()
	n.BeginDrain()
	wait.For(ctx, n.config.DrainDelay)
	n.stopFrontend(ctx, front)
	n.HandOver(ctx)
}

// stopFrontend waits until the pending requests are answered. When the context is done, it
// ends their jobs. It returns once the jobs that have ended are withdrawn, or after
// lastAnswersTimeout.
func (n *Node) stopFrontend(ctx context.Context, front Frontend) {
	last, cancel := context.WithCancel(n.runCtx)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- front.Shutdown(last) }()
	var err error
	select {
	case err = <-stopped:
		time.AfterFunc(lastAnswersTimeout, cancel)
	case <-ctx.Done():
		time.AfterFunc(lastAnswersTimeout, cancel)
		n.endJobs()
		err = <-stopped
	}
	if err != nil {
		n.log.Warn("pending requests aborted", slog.Int("jobs", n.jobs.Len()), slog.Any("error", err))
	}
	n.waitWithdrawn(last)
}

// endJobs answers all jobs, and from then on every job that is added, because this VM stops.
func (n *Node) endJobs() {
	n.stopping.Store(true)
	jobs := n.jobs.All()
	n.log.Info("node stops with pending requests", slog.Int("jobs", len(jobs)))
	for _, j := range jobs {
		n.endStopping(j)
	}
}

// endStopping answers a job because this VM stops.
func (n *Node) endStopping(j *intake.Job[Job]) {
	n.end(j, intake.Answer{Outcome: intake.NotRun, Code: verdict.CodeNotReady, Reason: "this VM is stopping", RetryAfter: verdict.MinRetryAfter})
}

// waitWithdrawn waits until no withdrawal is to be acknowledged, and no order of this VM to be
// answered: the answer to a start order of a job that has ended causes a stop order.
func (n *Node) waitWithdrawn(ctx context.Context) {
	for n.withdrawals.open.Load() > 0 || n.pendingOrders.Load() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			n.log.Warn("node stops with jobs that may not be withdrawn", slog.Int64("withdrawals", n.withdrawals.open.Load()), slog.Int64("orders", n.pendingOrders.Load()))
			return
		}
	}
}

// BeginDrain starts a graceful stop: the node becomes unready, and another VM
// takes over dispatching.
func (n *Node) BeginDrain() {
	n.draining.Store(true)
	n.fleet.MarkDraining()
	n.wakeTermLoop()
}

// HandOver waits until another VM dispatches. It returns at once if no other VM
// is reachable.
func (n *Node) HandOver(ctx context.Context) {
	for n.scheduler.Dispatching() && len(n.view.Load().Reachable) > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return
		}
	}
}
