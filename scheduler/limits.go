package scheduler

import "time"

// Limits on the settings of the platform within which runs are bounded as documented.
const (
	// MinLeaseMax is the shortest Config.LeaseMax. Upstreams would shorten the leases that polls
	// request, and runs could end between two polls.
	MinLeaseMax = lease
	// MaxStopTime is the longest time that an upstream may take to stop a run. A run that is stopped
	// in a split is then over before its caller can return.
	MaxStopTime = abandonLead + returnMargin
)

// ShortLeaseTime returns the time after which a run is over at the latest whose job has become
// unwanted, if its last lease was short: a tick until that is noticed, the lease on a slow clock,
// and the margins.
func ShortLeaseTime() time.Duration {
	longest := float64(shortLease) / (1 - clockError)
	return TickInterval + time.Duration(longest) + leaseMargin + returnMargin
}
