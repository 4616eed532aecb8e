package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mustardstep/mustardstep/dispatch"
	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/submission"
)

// explainer is a dispatcher that keeps its decisions.
type explainer interface {
	Explain(service string, id submission.ID) dispatch.Explanation
}

// Explain implements operators.Backend. It asks the owner of the submission;
// where that cannot be reached, this VM answers with what it knows.
func (d *Daemon) Explain(ctx context.Context, id submission.ID) *api.Explanation {
	view := d.node.View()
	owner, _, ok := view.Ranked(view.HomeOf(id.Caller), id.Hash())
	if !ok || owner == view.Self {
		return d.explainHere(id)
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.Network.PeerTimeout)
	defer cancel()
	var response wire.ExplainResponse
	err := d.peers.Call(ctx, owner.Address, &wire.ExplainRequest{Caller: id.Caller, Key: id.Key}, &response)
	report := new(api.Explanation)
	if err == nil {
		err = json.Unmarshal(response.Report, report)
	}
	if err != nil {
		report = d.explainHere(id)
		report.Reason = "the owner " + owner.VM + " does not answer: " + err.Error()
	}
	return report
}

// handleExplain answers a peer that asks on behalf of an operator.
func (d *Daemon) handleExplain(_ context.Context, _ *wire.Hello, m *wire.ExplainRequest) wire.Message {
	report, err := json.Marshal(d.explainHere(submission.ID{Caller: m.Caller, Key: m.Key}))
	if err != nil {
		return &wire.ErrorResponse{Reason: err.Error()}
	}
	return &wire.ExplainResponse{Report: report}
}

// explainHere returns what this VM knows of a submission.
func (d *Daemon) explainHere(id submission.ID) *api.Explanation {
	report := &api.Explanation{VM: d.settings.Network.VM, State: "unknown", Placed: []api.Placement{}}
	if e := d.submissions.Owned(time.Now(), id); e != nil {
		report.State, report.Reason = stateOf(e)
	}
	placing, keeps := d.dispatcher.(explainer)
	if !keeps {
		return report
	}
	for service := range d.Catalog().Services() {
		found := placing.Explain(service, id)
		if found.Waiting == 0 && len(found.Placed) == 0 {
			continue
		}
		report.Service, report.Waiting, report.Ahead = service, found.Waiting, found.Ahead
		report.ExpectedWaitUS = found.ExpectedWait.Microseconds()
		for _, p := range found.Placed {
			report.Placed = append(report.Placed, placementOf(p))
		}
	}
	return report
}

// stateOf returns the state of a submission and the reason of its failure.
func stateOf(e *submission.Entry) (state, reason string) {
	select {
	case <-e.Done():
	default:
		return "running", ""
	}
	if failure := e.Outcome().Failure; failure != nil {
		return failure.Verdict.String(), failure.Reason
	}
	return "complete", ""
}

func placementOf(p dispatch.Decision) api.Placement {
	return api.Placement{
		AtUS: p.At.UnixMicro(), Task: p.Task, Upstream: p.Upstream, Reason: p.Reason.String(),
		WaitedUS: p.Waited.Microseconds(), Declined: p.Declined,
		Upstreams: p.Upstreams, Ejected: p.Ejected, Slots: p.Slots,
	}
}
