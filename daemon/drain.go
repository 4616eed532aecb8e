package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/internal/wait"
	"github.com/mustardstep/mustardstep/membership"
	"github.com/mustardstep/mustardstep/verdict"
)

// drainPollInterval is the time between looks at what a drain waits for.
const drainPollInterval = 5 * time.Millisecond

// jobSet holds the jobs that run on this VM. It is safe for concurrent use.
type jobSet struct {
	mu   sync.Mutex // guards jobs
	jobs map[*runningJob]bool
}

func (s *jobSet) add(run *runningJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs == nil {
		s.jobs = map[*runningJob]bool{}
	}
	s.jobs[run] = true
}

func (s *jobSet) remove(run *runningJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, run)
}

func (s *jobSet) all() []*runningJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []*runningJob
	for run := range s.jobs {
		runs = append(runs, run)
	}
	return runs
}

// cancelAll ends every job of this VM.
func (d *Daemon) cancelAll(failure *verdict.Error) {
	for _, run := range d.jobs.all() {
		d.cancelJob(run, failure)
	}
}

// drain stops this VM without cutting a request: readiness falls, submissions
// pass to the next in rank, the calls and jobs in progress end, their answers
// are handed over, and the end is announced.
func (d *Daemon) drain() error {
	d.beginDrain()
	d.log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), d.liveSettings.Load().Jobs.DrainTimeout)
	defer cancel()
	d.waitUntil(ctx, func() bool { return d.node.Leave(time.Now()) })
	d.perform(d.node.DueActions(time.Now()))
	d.pool.BeginDrain()
	wait.For(ctx, d.settings.Jobs.DrainDelay)
	err := d.front.Shutdown(ctx)
	finished := d.waitUntil(ctx, func() bool { return d.forwards.Load() == 0 && len(d.jobs.all()) == 0 })
	if !finished {
		d.log.Warn("drain timeout", slog.Int("jobs", len(d.jobs.all())))
	}
	d.pool.HandOver(ctx)
	d.stopped.Store(true)
	d.transferAndTerminate(ctx)
	return err
}

// transferAndTerminate gives the answers to the members that follow this one and announces
// its end.
func (d *Daemon) transferAndTerminate(ctx context.Context) {
	d.forEachPeer(func(m membership.Member) { d.sendTransfer(ctx, m) })
	d.node.Members().MarkTerminated(time.Now())
	d.forEachPeer(func(m membership.Member) { d.sendHeartbeat(ctx, m) })
}

// forEachPeer does something for every other member of the data centre at once.
func (d *Daemon) forEachPeer(do func(membership.Member)) {
	var wg sync.WaitGroup
	for _, m := range d.node.Members().LocalPeers() {
		wg.Go(func() { do(m) })
	}
	wg.Wait()
}

// waitUntil waits until a condition holds or the context ends.
func (d *Daemon) waitUntil(ctx context.Context, holds func() bool) bool {
	for !holds() {
		if !wait.For(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}
