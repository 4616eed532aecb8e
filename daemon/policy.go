package daemon

import (
	"expvar"
	"time"

	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/dispatch/baseline"
	"github.com/mustardstep/mustardstep/internal/settings"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// policyMustardstep names the policy of package dispatch.
const policyMustardstep = "mustardstep"

// dispatcher decides which upstream runs which task. Its methods are those of
// dispatch.Dispatcher.
type dispatcher interface {
	Add(now time.Time, tasks []*dispatch.Task) ([]dispatch.Assignment, *verdict.Error)
	Finish(now time.Time, a dispatch.Assignment, r dispatch.Result, next []dispatch.Assignment) (_ []dispatch.Assignment, dropped bool)
	Cancel(service string, id submission.ID) int
	Tick(now time.Time) []dispatch.Assignment
	SetUpstreams(now time.Time, service string, upstreams []dispatch.Upstream) []dispatch.Assignment
}

func newDispatcher(s *settings.DaemonProgram) dispatcher {
	if s.Dispatch.Policy != policyMustardstep {
		return baseline.New(baseline.Policy(s.Dispatch.Policy), s.Jobs.MaxQueued)
	}
	return dispatch.New(dispatch.Config{
		MaxQueued: s.Jobs.MaxQueued, LoanTime: s.Dispatch.LoanTime,
		BorrowWait: s.Dispatch.BorrowWait, BorrowBudget: s.Dispatch.BorrowBudget,
	})
}

// publishDispatch publishes the counters of the dispatcher.
func (d *Daemon) publishDispatch() {
	if l, lends := d.dispatcher.(lender); lends {
		d.metrics.vars.Set("slots_borrowed", expvar.Func(func() any { return l.BorrowedSlots() }))
		d.metrics.vars.Set("upstream_ejections", expvar.Func(func() any { return l.Ejections() }))
	}
}
