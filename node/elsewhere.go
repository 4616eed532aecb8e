package node

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/verdict"
)

// remoteLossTimeout is the time without a dispatcher in another data centre after which its jobs
// are answered and new ones refused. The peer timeout has passed before. It allows for a
// successor there that begins its term, and by its end the dispatcher has stopped the runs of
// this VM if it does not hear it either.
const remoteLossTimeout = 600 * time.Millisecond

// elsewhere tells which dispatchers of other data centres this node can use. It is needed in a
// divided fleet while the own data centre is evacuated, and until the last job is answered that
// went elsewhere.
type elsewhere struct {
	mu    sync.Mutex           // guards the fields below
	since time.Time            // when heartbeats to other data centres began; zero while none are sent
	seen  map[string]time.Time // when a dispatcher of a data centre was last usable
}

// Reasons for which a job was sent to another data centre or answered instead, in metrics.
const (
	elsewhereSent           = "sent"
	elsewhereNoDataCentre   = "no data centre in service"
	elsewhereNoDispatcher   = "no dispatcher reachable"
	elsewhereDispatcherLost = "dispatcher lost"
)

// updateElsewhere begins or ends the exchange of heartbeats with other data centres.
func (n *Node) updateElsewhere(now time.Time, v *fleet.View) {
	e := &n.elsewhere
	evacuated := n.evacuation.table.State().Contains(n.config.DataCentre)
	asking := n.formerRoutes.update(now, n.newJobDataCentres())
	// The evacuation may have ended before the division, so that no exchange is active yet.
	active := v.Scope == fleet.ScopeDataCentre && (evacuated || asking) || e.active() && n.jobs.AnyOutside(n.config.DataCentre)
	n.fleet.SetExchange(active)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !active:
		e.since, e.seen = time.Time{}, nil
		return
	case e.since.IsZero():
		e.since, e.seen = now, map[string]time.Time{}
	}
	for _, h := range v.Remote {
		if h.Term != 0 && h.Hears {
			e.seen[h.Member.DataCentre] = now
		}
	}
}

// active reports whether heartbeats are exchanged with other data centres.
func (e *elsewhere) active() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.since.IsZero()
}

// isLost reports whether no dispatcher of a data centre has been usable for remoteLossTimeout.
func (e *elsewhere) isLost(now time.Time, dataCentre string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.since.IsZero() && now.Sub(later(e.since, e.seen[dataCentre])) > remoteLossTimeout
}

// route returns the view with the dispatcher to which a job is to be offered, and its data centre,
// empty if one dispatcher serves all. ok is false if there is none at present, or if the job has
// been answered.
func (n *Node) route(j *intake.Job[Job], v *fleet.View) (_ *fleet.View, dataCentre string, ok bool) {
	if v.Scope == fleet.ScopeFleet {
		return v, "", v.Dispatcher.VM != ""
	}
	own := n.config.DataCentre
	dataCentre, offered := n.jobs.OfferedIn(j)
	switch {
	case offered && dataCentre == "":
		dataCentre = own // it was offered before the division of the fleet
	case !offered:
		if dataCentre, ok = n.routeNewJob(j, v); !ok {
			return nil, "", false
		}
	}
	switch dataCentre {
	case own:
		return v, own, v.Dispatcher.VM != ""
	case "":
		n.endElsewhere(j, elsewhereNoDataCentre, "every data centre is evacuated")
		return nil, "", false
	}
	remote, found := v.RemoteDispatcher(dataCentre)
	if !found {
		switch lost := n.elsewhere.isLost(time.Now(), dataCentre); {
		case lost && offered:
			n.endElsewhere(j, elsewhereDispatcherLost, fmt.Sprintf("the dispatcher of data centre %s, where tasks may run, is unreachable", dataCentre))
		case lost:
			n.endElsewhere(j, elsewhereNoDispatcher, fmt.Sprintf("data centre %s is evacuated, and no dispatcher of %s is reachable", own, dataCentre))
		}
		return nil, "", false
	}
	routed := *v
	routed.Dispatcher, routed.Term = remote.Member, remote.Term
	return &routed, dataCentre, true
}

// newJobDataCentres returns the data centres whose dispatchers get new jobs of this one: its own, or,
// if that is evacuated, the others that are not. Which of them gets a job depends on its ID
// alone, so that a job that is sent again to another VM of this data centre reaches the dispatcher
// that knows its runs. Whether a dispatcher is reachable must not matter, since other VMs may
// reach it.
func (n *Node) newJobDataCentres() []string {
	state := n.evacuation.table.State()
	if !state.Contains(n.config.DataCentre) {
		return []string{n.config.DataCentre}
	}
	return slices.DeleteFunc(n.fleet.OtherDataCentres(), state.Contains)
}

// endElsewhere answers a job that no dispatcher of another data centre can run. The answer is not
// run, or abandoned if tasks may have started.
func (n *Node) endElsewhere(j *intake.Job[Job], reason, text string) {
	n.metrics.observeElsewhere(reason)
	n.log.Info("job without a dispatcher in another data centre", slog.String("job", j.ID), slog.String("reason", text))
	n.end(j, intake.Answer{Outcome: intake.NotRun, Code: verdict.CodeUnreachable, Reason: text, RetryAfter: verdict.MinRetryAfter})
}

// noteSentElsewhere logs and counts a job that is first offered to another data centre.
func (n *Node) noteSentElsewhere(o *intake.Offer[Job], v *fleet.View, dataCentre string) {
	if dataCentre == "" || dataCentre == n.config.DataCentre || o.Resumed {
		return
	}
	n.metrics.observeElsewhere(elsewhereSent)
	n.log.Info("job goes to another data centre", slog.String("job", o.Job.ID), slog.String("data_centre", dataCentre),
		slog.String("dispatcher", v.Dispatcher.VM), slog.Int("tasks", len(o.Tasks)))
}

// hears reports whether the sender of a heartbeat hears this node and keeps its jobs if it is in
// another scope. Older releases abandon them; they report no evacuated data centres.
func hears(h *wire.FleetHeartbeat) bool { return h.Answered && h.EvacuationRevision != 0 }

// isNewElsewhere reports whether a heartbeat of a member of another data centre tells something
// about its term that the view does not show.
func (n *Node) isNewElsewhere(v *fleet.View, h *wire.FleetHeartbeat) bool {
	if v.InScope(n.fleet.Self(), h.From.DataCentre) || !n.elsewhere.active() {
		return false
	}
	for _, r := range v.Remote {
		if r.Member.VM == h.From.VM {
			return r.Term != h.Term || r.Hears != hears(h)
		}
	}
	return h.Term != 0
}
