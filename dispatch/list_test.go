package dispatch

import (
	"fmt"
	"sync"
	"testing"
)

// finishAll ends assignments and all that follow from them.
func finishAll(d *Dispatcher, running []Assignment) {
	for len(running) > 0 {
		next, _ := d.Finish(start, running[0], Result{Ending: Done}, nil)
		running = append(running[1:], next...)
	}
}

// TestAssignWhileTheListIsRead hands over the same list of upstreams again and
// again while tasks run; the race detector watches.
func TestAssignWhileTheListIsRead(t *testing.T) {
	d := newTest(1000, 4, 4, 4)
	stop := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				finishAll(d, d.SetUpstreams(start, "s", upstreamsOf(4, 4, 4)))
			}
		}
	})
	for job := range 200 {
		finishAll(d, add(t, d, start, normalCall, fmt.Sprint(job), 10))
	}
	close(stop)
	reader.Wait()
}
