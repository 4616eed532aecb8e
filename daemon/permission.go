package daemon

import (
	"time"

	"github.com/mustardstep/mustardstep/submission"
)

// permissionPoll is the time between looks at a permission that is missing.
const permissionPoll = 10 * time.Millisecond

// permit tells the upstream client until when task starts may be written.
func (d *Daemon) permit() (until time.Time, ok bool) {
	return d.node.Members().StartUntil(time.Now())
}

// awaitPermission waits until a task of the entry may start. It returns false
// where the deadline passes first or this process is no longer the incarnation
// that began the submission.
func (d *Daemon) awaitPermission(e *submission.Entry, deadline time.Time) bool {
	for {
		now := time.Now()
		if _, ok := d.node.StartUntil(now, e); ok {
			return true
		}
		if e.Starter != d.node.View().Self.ID() || now.After(deadline) {
			return false
		}
		time.Sleep(permissionPoll)
	}
}
