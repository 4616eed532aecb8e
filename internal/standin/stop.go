package standin

import (
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/valyala/fasthttp"
)

// taskName identifies a task at an upstream.
type taskName struct {
	submission string
	task       int
}

// sleep pretends to run a task. It returns false where the task was stopped.
func (u *upstream) sleep(task *api.TaskRequest, run time.Duration) bool {
	name := taskName{task.Submission, task.Task}
	stop := make(chan struct{})
	u.mu.Lock()
	if u.stops == nil {
		u.stops = map[taskName]chan struct{}{}
	}
	u.stops[name] = stop
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.stops, name)
	}()
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// stop ends a task that runs (DELETE /v1/tasks?submission=S&task=N). A task
// that does not run is left as it is.
func (u *upstream) stop(c *fasthttp.RequestCtx) {
	args := c.QueryArgs()
	name := taskName{string(args.Peek("submission")), args.GetUintOrZero("task")}
	u.mu.Lock()
	defer u.mu.Unlock()
	if stop := u.stops[name]; stop != nil {
		close(stop)
		delete(u.stops, name)
	}
	c.SetStatusCode(fasthttp.StatusNoContent)
}
