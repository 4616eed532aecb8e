package node

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/mustardstep/mustardstep/fleet"
	"github.com/mustardstep/mustardstep/intake"
	"github.com/mustardstep/mustardstep/internal/rendezvous"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// formerRouteTime is the time after a change of the data centres that get new jobs for which the
// dispatchers that would have got a job before are asked whether they know it. Its caller may
// have sent it to another VM before the change, whose connection has broken. It exceeds the time
// for which callers wait.
const formerRouteTime = 10 * time.Second

// formerRoutes holds the data centres that get new jobs, and those that did shortly before.
type formerRoutes struct {
	mu      sync.Mutex // guards the fields below
	known   bool       // whether current has been set
	current []string   // in ascending order
	former  []formerRoute
	// queries holds the jobs whose former dispatchers are being asked, or have been.
	queries map[*intake.Job[Job]]*routeQuery
}

type formerRoute struct {
	dataCentres []string
	until       time.Time
}

// routeQuery is a question to former dispatchers whether they know a job.
type routeQuery struct {
	asked      []string // the data centres whose dispatchers are asked
	done       bool
	dataCentre string // of the one that knows the job, if any
}

// update sets the data centres that get new jobs. open reports whether former ones are still asked.
func (f *formerRoutes) update(now time.Time, dataCentres []string) (open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.former = slices.DeleteFunc(f.former, func(r formerRoute) bool { return now.After(r.until) })
	if f.known && !slices.Equal(f.current, dataCentres) {
		f.former = append(f.former, formerRoute{f.current, now.Add(formerRouteTime)})
	}
	f.known, f.current = true, dataCentres
	for j := range f.queries {
		if isDone(j) || len(f.former) == 0 {
			delete(f.queries, j)
		}
	}
	return len(f.former) > 0
}

// choose returns the data centre that gets a new job, empty if there is none, and those that
// would have got it shortly before. Until the first update, the own one gets every job.
func (f *formerRoutes) choose(job, own string) (dataCentre string, former []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return own, nil
	}
	dataCentre = bestDataCentre(job, f.current)
	for _, r := range f.former {
		if name := bestDataCentre(job, r.dataCentres); name != "" && name != dataCentre && !slices.Contains(former, name) {
			former = append(former, name)
		}
	}
	return dataCentre, former
}

// bestDataCentre returns the data centre that ranks first for a job, empty if there is none.
func bestDataCentre(job string, dataCentres []string) string {
	hashes := make([]uint64, 0, len(dataCentres))
	for _, name := range dataCentres {
		hashes = append(hashes, rendezvous.Hash(name))
	}
	if best := rendezvous.Best(rendezvous.Hash(job), hashes); best >= 0 {
		return dataCentres[best]
	}
	return ""
}

// begin returns the query of a job to some data centres, and whether it has just begun. A query to
// others, from before a change, does not count.
func (f *formerRoutes) begin(j *intake.Job[Job], former []string) (q routeQuery, begun bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.queries[j]; known != nil && slices.Equal(known.asked, former) {
		return *known, false
	}
	if f.queries == nil {
		f.queries = map[*intake.Job[Job]]*routeQuery{}
	}
	f.queries[j] = &routeQuery{asked: former}
	return *f.queries[j], true
}

// end records the result of a query, unless another one has begun since. If it failed, the next call
// of begin begins it again.
func (f *formerRoutes) end(j *intake.Job[Job], former []string, dataCentre string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queries[j]
	switch {
	case q == nil || !slices.Equal(q.asked, former):
	case !ok:
		delete(f.queries, j)
	default:
		q.done, q.dataCentre = true, dataCentre
	}
}

// knows reports whether a former dispatcher has answered that it knows a job.
func (f *formerRoutes) knows(j *intake.Job[Job]) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queries[j]
	return q != nil && q.dataCentre != ""
}

// routeNewJob returns the data centre whose dispatcher gets a job that has not been offered. ok is
// false while former dispatchers are being asked whether they know the job.
func (n *Node) routeNewJob(j *intake.Job[Job], v *fleet.View) (dataCentre string, ok bool) {
	dataCentre, former := n.formerRoutes.choose(j.ID, n.config.DataCentre)
	if len(former) == 0 {
		return dataCentre, true
	}
	q, begun := n.formerRoutes.begin(j, former)
	if begun {
		go n.queryFormer(j, v, former)
	}
	if q.dataCentre != "" {
		dataCentre = q.dataCentre
	}
	return dataCentre, q.done
}

// queryFormer asks the dispatchers of some data centres whether they know a job.
func (n *Node) queryFormer(j *intake.Job[Job], v *fleet.View, former []string) {
	knownIn, ok := "", true
	for _, dataCentre := range former {
		var known bool
		if known, ok = n.queryDispatcher(v, dataCentre, j.ID); known {
			knownIn = dataCentre
			n.log.Info("job stays in the data centre that knows it", slog.String("job", j.ID), slog.String("data_centre", dataCentre))
		}
		if known || !ok {
			break
		}
	}
	n.formerRoutes.end(j, former, knownIn, ok)
	if ok && !isDone(j) {
		n.offer(j, n.view.Load())
	}
}

// queryDispatcher asks the dispatcher of a data centre whether it knows a job. ok is false if it is
// not certain. A dispatcher elsewhere that has been unreachable for long keeps no job of this data centre.
func (n *Node) queryDispatcher(v *fleet.View, dataCentre, job string) (known, ok bool) {
	member := v.Dispatcher
	if dataCentre != n.config.DataCentre {
		remote, found := v.RemoteDispatcher(dataCentre)
		if !found {
			return false, n.elsewhere.isLost(time.Now(), dataCentre)
		}
		member = remote.Member
	}
	var answer wire.PlacementsResponse
	switch member.VM {
	case "":
		return false, false
	case n.config.VM:
		answer = *n.placements(job)
	default:
		ctx, cancel := context.WithTimeout(n.runCtx, n.peerTimeout())
		defer cancel()
		if err := n.peers.Call(ctx, member.Address, &wire.PlacementsRequest{Job: job}, &answer); err != nil {
			n.log.Info("former dispatcher of a job not asked", slog.String("job", job), slog.String("dispatcher", member.VM), slog.Any("error", err))
			return false, false
		}
	}
	return answer.Known, answer.Known || !answer.Unsettled
}
