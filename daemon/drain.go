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

// drainPollInterval is the interval at which a drain checks its conditions.
const drainPollInterval = 5 * time.Millisecond

// jobSet holds the running jobs of this VM. It is safe for concurrent use.
type jobSet struct {
	mu   sync.Mutex // guards jobs
	jobs map[*runningJob]bool
}

func (s *jobSet) add(j *runningJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs == nil {
		s.jobs = map[*runningJob]bool{}
	}
	s.jobs[j] = true
}

func (s *jobSet) remove(j *runningJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, j)
}

func (s *jobSet) all() []*runningJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobs []*runningJob
	for j := range s.jobs {
		jobs = append(jobs, j)
	}
	return jobs
}

// cancelAll cancels every running job with a failure.
func (d *Daemon) cancelAll(failure *verdict.Error) {
	for _, j := range d.jobs.all() {
		d.cancelJob(j, failure)
	}
}

// drain stops this VM without interrupting requests. The VM becomes unready, and
// the next VMs in rank take over its submissions. Once the calls and jobs in
// progress have finished, drain transfers the records to the other members and
// announces the termination.
func (d *Daemon) drain() error {
	d.beginDrain()
	d.log.Info("VM is draining")
	ctx, cancel := context.WithTimeout(context.Background(), d.liveSettings.Load().Jobs.DrainTimeout)
	defer cancel()
	// Leave returns true once no start record awaits its acknowledgement.
	d.waitUntil(ctx, func() bool { return d.ownership.Leave(time.Now()) })
	d.perform(d.ownership.DueActions(time.Now()))
	d.dispatch.BeginDrain()
	wait.For(ctx, d.settings.Jobs.DrainDelay)
	err := d.front.Shutdown(ctx)
	finished := d.waitUntil(ctx, func() bool { return d.forwards.Load() == 0 && len(d.jobs.all()) == 0 })
	if !finished {
		d.log.Warn("drain timed out with jobs still running", slog.Int("jobs", len(d.jobs.all())))
	}
	d.dispatch.HandOver(ctx)
	d.stopped.Store(true)
	d.transferAndTerminate(ctx)
	return err
}

// transferAndTerminate sends the records of this VM to the other members of the
// data centre and announces its termination.
func (d *Daemon) transferAndTerminate(ctx context.Context) {
	d.forEachPeer(func(m membership.Member) { d.sendTransfer(ctx, m) })
	d.ownership.Membership().MarkTerminated(time.Now())
	d.forEachPeer(func(m membership.Member) { d.sendHeartbeat(ctx, m) })
}

// forEachPeer calls do concurrently for every other member of the data centre
// and waits for all calls to return.
func (d *Daemon) forEachPeer(do func(membership.Member)) {
	var wg sync.WaitGroup
	for _, m := range d.ownership.Membership().LocalPeers() {
		wg.Go(func() { do(m) })
	}
	wg.Wait()
}

// waitUntil polls a condition until it holds. It returns false if the context is
// done first.
func (d *Daemon) waitUntil(ctx context.Context, holds func() bool) bool {
	for !holds() {
		if !wait.For(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}
