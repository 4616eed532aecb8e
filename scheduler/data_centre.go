package scheduler

import "time"

const (
	// remoteCost is the factor of the cost of an upstream that is in another data centre than
	// the origin of a job. Speeds are known to about 5 %, so upstreams whose costs differ by
	// less than a tenth are about equally good.
	remoteCost = 1.1
	// timelyQuantile is the share of tasks that must end in time on an upstream that is
	// preferred because it is near.
	timelyQuantile = 0.9
)

// nearness compares upstreams by cost and by their data centres.
type nearness struct {
	dataCentre string // of the origin; empty if it does not matter
	// maxSlowdown is the greatest slowdown at which the task is likely to end in time.
	maxSlowdown float64
}

// nearness returns the preference of a task for the data centre of its origin.
func (c *candidate) nearness(now time.Time) nearness {
	if c.job.DataCentre == "" {
		return nearness{}
	}
	longest := c.model.quantile(c.job.Estimate, timelyQuantile)
	return nearness{c.job.DataCentre, c.targetAt.Sub(now).Seconds() / longest}
}

// factor returns the factor of the cost of an upstream: greater than 1 in another data centre,
// and where the preference could make the answer late. It is never less than 1, because
// shards are skipped by the costs without it.
func (n *nearness) factor(u *upstream) float64 {
	if u.DataCentre != n.dataCentre || u.model.slowdown() > n.maxSlowdown {
		return remoteCost
	}
	return 1
}
