package daemon

import (
	"time"

	"github.com/mustardstep/mustardstep/dispatch"
)

// workerIdle is the time without a task after which a goroutine ends.
const workerIdle = time.Second

// startTask runs an assignment on a goroutine that waits for one, or on a new
// one. The stack of a goroutine that has run a task has its full size, which
// would be copied several times for each task otherwise.
func (d *Daemon) startTask(a dispatch.Assignment) {
	select {
	case d.work <- a:
	default:
		go d.worker(a)
	}
}

// worker runs tasks until none has come for workerIdle.
func (d *Daemon) worker(a dispatch.Assignment) {
	d.run(a)
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		select {
		case a = <-d.work:
			d.run(a)
			idle.Reset(workerIdle)
		case <-idle.C:
			return
		}
	}
}
