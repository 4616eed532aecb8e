package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// Explanation describes the state of a job that has no answer yet.
type Explanation struct {
	// Dispatcher is the VM that dispatches the job. It is empty if the job has no
	// dispatcher.
	Dispatcher string
	// Open is the number of unfinished tasks.
	Open int
	wire.PlacementsResponse
}

// Explain asks the dispatcher of a job where its tasks run. known is false if
// this VM does not hold the job.
func (n *Node) Explain(ctx context.Context, id string) (e Explanation, known bool, err error) {
	j := n.jobs.Find(id)
	if j == nil {
		return e, false, nil
	}
	e.Dispatcher, e.Open = n.jobs.Progress(j)
	switch {
	case e.Dispatcher == "":
	case e.Dispatcher == n.config.VM:
		e.PlacementsResponse = *n.placements(id)
	case !n.fleet.Reachable(time.Now(), e.Dispatcher):
		err = errors.Newf("dispatcher %s is not reachable", e.Dispatcher)
	default:
		err = n.peers.Call(ctx, n.fleet.Address(e.Dispatcher), &wire.PlacementsRequest{Job: id}, &e.PlacementsResponse)
	}
	return e, true, err
}

func (n *Node) handlePlacements(_ context.Context, _ *wire.Hello, r *wire.PlacementsRequest) wire.Message {
	return n.placements(r.Job)
}

func (n *Node) placements(id string) *wire.PlacementsResponse {
	waiting, placed := n.scheduler.Explain(time.Now(), id)
	known, settled := n.scheduler.Known(id)
	response := &wire.PlacementsResponse{Waiting: waiting, TotalWaiting: n.scheduler.Waiting(), Known: known, Unsettled: !settled}
	for _, p := range placed {
		response.Placed = append(response.Placed, wire.TaskPlacement{
			Index: p.Index, Attempt: p.Attempt, Upstream: p.Upstream, State: p.State, AgeUS: p.Age.Microseconds(),
		})
	}
	slices.SortFunc(response.Placed, func(a, b wire.TaskPlacement) int { return cmp.Compare(a.Index, b.Index) })
	return response
}

// DispatchStatus describes the node's work as a dispatcher, for operators: the
// fencing token of its term or 0, the number of upstreams it has claimed, and the
// names of the upstreams that receive no tasks because of their failures.
func (n *Node) DispatchStatus() (token int64, claimed int, ejected []string) {
	if token = n.term.current(); token == 0 {
		return 0, 0, nil
	}
	for _, u := range n.scheduler.Summaries() {
		if u.Claimed {
			claimed++
		}
		if u.Ejected {
			ejected = append(ejected, u.Name)
		}
	}
	slices.Sort(ejected)
	return token, claimed, ejected
}

// Evacuated returns the data centres on whose upstreams no new task is to start, for operators.
func (n *Node) Evacuated() []string { return n.evacuation.table.State().DataCentres }
