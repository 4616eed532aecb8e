package overload

import "time"

// Published is the state of the queues that a dispatcher has last published. It is immutable.
type Published struct {
	// VM and Term identify the dispatcher and its term. The state was received at At.
	VM   string
	Term uint64
	At   time.Time
	// Waits holds the expected wait of a new job by queue, for queues in which it is long.
	Waits map[string]time.Duration
}

const (
	// maxPublishedQueues bounds the published state.
	maxPublishedQueues = 16
	// publishedAge is the number of heartbeat intervals for which a published state is used.
	publishedAge = 3
	// certainWait is the part of the published wait on which an origin relies: the wait may
	// have become shorter since, and declared run times are off by 40 %.
	certainWait = 0.5
)

// LongWaits returns the queues to publish, with the expected wait of a new job. None is published
// unless capacity is scarce, because the dispatcher otherwise admits jobs whose answers are late.
func LongWaits(queues []QueueReport, scarce bool) map[string]time.Duration {
	waits := map[string]time.Duration{}
	for _, q := range queues {
		if scarce && q.Wait > q.Target && len(waits) < maxPublishedQueues {
			waits[q.Queue] = q.Wait
		}
	}
	return waits
}

// Rejects reports whether an origin may reject a new job of a queue without offering it: the state
// is that of the present dispatcher, it is recent, and the wait alone is longer than the time in
// which an answer is useful. interval is that between heartbeats.
func (p *Published) Rejects(now time.Time, vm string, term uint64, interval time.Duration, queue string, run, target time.Duration) (wait time.Duration, rejects bool) {
	if p == nil || p.VM != vm || p.Term != term || now.Sub(p.At) > publishedAge*interval {
		return 0, false
	}
	wait = p.Waits[queue]
	return wait, wait > 0 && time.Duration(certainWait*float64(wait))+run > target
}
