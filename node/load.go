package node

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/overload"
	"github.com/mustardstep/mustardstep/verdict"
)

const (
	// loadInterval is the interval at which the load is published and counted. It is that of
	// heartbeats.
	loadInterval = 100 * time.Millisecond
	// loadLogInterval limits the log lines about rejections.
	loadLogInterval = time.Second
)

// loadObserver counts and logs the rejections of this VM as dispatcher. It is used by tickLoop
// only.
type loadObserver struct {
	observedAt, loggedAt time.Time
	counted, logged      map[string][3]uint64 // rejections by queue
}

// observe publishes, counts and logs the load if it is due.
func (o *loadObserver) observe(n *Node, now time.Time) {
	if now.Sub(o.observedAt) < loadInterval {
		return
	}
	o.observedAt = now
	queues, scarce := n.scheduler.LoadReport(now)
	var published []wire.QueueLoad
	for name, wait := range overload.LongWaits(queues, scarce) {
		published = append(published, wire.QueueLoad{Queue: name, WaitUS: wait.Microseconds()})
	}
	n.publishedLoad.Store(&published)
	log := now.Sub(o.loggedAt) >= loadLogInterval
	counted, logged := map[string][3]uint64{}, o.logged
	if log {
		o.loggedAt, logged = now, map[string][3]uint64{}
	}
	for i := range queues {
		q := &queues[i]
		n.metrics.observeQueue(q, o.counted[q.Queue])
		counted[q.Queue] = q.Rejected
		if !log {
			continue
		}
		logged[q.Queue] = q.Rejected
		hopeless := q.Rejected[overload.Hopeless] - min(o.logged[q.Queue][overload.Hopeless], q.Rejected[overload.Hopeless])
		above := q.Rejected[overload.AboveShare] - min(o.logged[q.Queue][overload.AboveShare], q.Rejected[overload.AboveShare])
		if hopeless+above > 0 {
			n.log.Info("jobs rejected, capacity is short", slog.String("queue", q.Queue), slog.Uint64("hopeless", hopeless), slog.Uint64("above_share", above),
				slog.Int64("wait_ms", q.Wait.Milliseconds()), slog.Float64("share", q.Share()))
		}
	}
	o.counted, o.logged = counted, logged
}

// observeQueue counts the rejections of a queue beyond those counted before.
func (m *Metrics) observeQueue(q *overload.QueueReport, before [3]uint64) {
	m.set.GetOrCreateGauge(fmt.Sprintf("mustardstep_queue_expected_wait_seconds{queue=%q}", q.Queue), nil).Set(q.Wait.Seconds())
	m.set.GetOrCreateGauge(fmt.Sprintf("mustardstep_queue_share{queue=%q}", q.Queue), nil).Set(q.Share())
	for reason, count := range q.Rejected {
		if count > before[reason] {
			m.countRejected(q.Queue, overload.Reason(reason).String(), count-before[reason])
		}
	}
}

func (m *Metrics) countRejected(queue, reason string, count uint64) {
	m.set.GetOrCreateCounter(fmt.Sprintf("mustardstep_jobs_rejected_total{queue=%q,reason=%q}", queue, reason)).AddInt64(int64(count))
}

// load returns the load to announce to a peer.
func (n *Node) load(term uint64) []wire.QueueLoad {
	if published := n.publishedLoad.Load(); published != nil && term != 0 {
		return *published
	}
	return nil
}

// receiveLoad records the load that the dispatcher of this VM has published.
func (n *Node) receiveLoad(now time.Time, h *wire.FleetHeartbeat) {
	if h.Term == 0 || n.view.Load().Dispatcher.VM != h.From.VM {
		return
	}
	p := &overload.Published{VM: h.From.VM, Term: h.Term, At: now}
	if len(h.Load) > 0 {
		p.Waits = map[string]time.Duration{}
	}
	for _, q := range h.Load {
		p.Waits[q.Queue] = time.Duration(q.WaitUS) * time.Microsecond
	}
	n.dispatcherLoad.Store(p)
}

// rejectHopeless answers a new job without offering it if the state that the dispatcher has
// published shows that it is hopeless. It reports whether it did. Jobs that may go to a dispatcher
// of another data centre are not rejected, because its load is not known here.
func (n *Node) rejectHopeless(j *intake.Job[Job], v *fleet.View) bool {
	if v.Scope == fleet.ScopeDataCentre && (n.evacuation.table.State().Contains(n.config.DataCentre) || n.elsewhere.active()) {
		return false
	}
	job := &j.Spec
	target := time.Duration(job.Queue.Stretch*float64(job.Estimate)) + job.Queue.Slack
	now := time.Now()
	wait, rejects := n.dispatcherLoad.Load().Rejects(now, v.Dispatcher.VM, v.Term, n.fleet.Interval(), job.Queue.Name, job.Estimate, target-now.Sub(j.Arrived))
	if !rejects || v.Dispatcher.VM == n.config.VM || job.AtMostOnce {
		return false
	}
	n.metrics.countRejected(job.Queue.Name, "origin", 1)
	n.end(j, intake.Answer{
		Outcome: intake.NotRun, Code: verdict.CodeOverloaded, Reason: "capacity is short: the dispatcher has reported a wait of " + wait.Round(time.Millisecond).String(),
		RetryAfter: overload.RetryAfter(max(wait, verdict.MinRetryAfter), j.ID),
	})
	return true
}

// account returns the flow of an offered job below its queue: the data centre of its origin, or
// the origin if this VM does not know its data centre. Callers of the platform name no account.
func (n *Node) account(r *wire.OfferRequest) string {
	if name := n.fleet.DataCentre(r.Origin); name != "" {
		return "data centre " + name
	}
	return r.Origin
}
