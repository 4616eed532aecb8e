package scheduler

import (
	"time"
)

// ResurfacedRun is a run that counted as over without a listed completion, and that its
// upstream lists afterwards. If it is active, its task may have two runs at once.
type ResurfacedRun struct {
	Run
	Upstream string
	// State is "active", or the kind of the completion.
	State string
	// Reason tells why the run counted as over, and Since for how long.
	Reason string
	Since  time.Duration
}

// activeState is the State of a resurfaced run that has not finished.
const activeState = "active"

// overRetention is the time for which runs that counted as over are remembered. It exceeds
// the time after which an order may be executed late.
const overRetention = 10 * time.Second

// overRun tells why a run counted as over, and since when.
type overRun struct {
	reason string
	at     time.Time
}

// noteOver remembers a run that counts as over without a completion.
func (u *upstream) noteOver(now time.Time, r Run, reason string) {
	if u.over == nil {
		u.over = map[Run]overRun{}
	}
	u.over[r] = overRun{reason, now}
}

// noteListed records that the upstream lists a run. It adds the run to the actions if it
// counted as over. A run that has lapsed or was lost has not outlived its lease.
func (u *upstream) noteListed(now time.Time, r Run, state string, a *Actions) {
	o, ok := u.over[r]
	if !ok {
		return
	}
	delete(u.over, r)
	if state != CompletionLapsed.String() && state != CompletionLost.String() {
		a.Resurfaced = append(a.Resurfaced, ResurfacedRun{r, u.Name, state, o.reason, now.Sub(o.at)})
	}
}

// expireOver forgets runs that have counted as over for overRetention.
func (u *upstream) expireOver(now time.Time) {
	for r, o := range u.over {
		if now.Sub(o.at) > overRetention {
			delete(u.over, r)
		}
	}
}
