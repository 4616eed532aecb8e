package overload

import (
	"cmp"
	"slices"
	"time"
)

// QueueReport describes a queue while capacity is short.
type QueueReport struct {
	Queue string
	// Wait is the expected wait of a new job, Target the target time of the last one.
	Wait, Target time.Duration
	// Wanted and Rate are the work per second that the queue requests and gets.
	Wanted, Rate float64
	// Rejected counts the rejected jobs by Reason.
	Rejected [reasonCount]uint64
}

// Share returns the part of the requested work that the queue gets.
func (q *QueueReport) Share() float64 {
	if q.Wanted <= 0 {
		return 1
	}
	return q.Rate / q.Wanted
}

// Report returns the state of all queues by name, and whether capacity is scarce, so that late
// answers do not count as useful.
func (c *Controller) Report(now time.Duration) (queues []QueueReport, scarce bool) {
	for _, s := range c.shards {
		s.mu.Lock()
		for name, q := range s.queues {
			wait := c.Wait(c.Ahead(now, now+q.due))
			queues = append(queues, QueueReport{Queue: name, Wait: wait, Target: q.target, Wanted: q.wanted, Rate: q.rate, Rejected: q.rejected})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(queues, func(a, b QueueReport) int { return cmp.Compare(a.Queue, b.Queue) })
	return queues, c.Short(now) && c.IsScarce()
}
