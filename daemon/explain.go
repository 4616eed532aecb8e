package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mustardstep/mustardstep/internal/api"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/submission"
)

// Explain implements operators.Backend. It asks the owner of the submission. If
// the owner does not answer, it returns what this VM knows.
func (d *Daemon) Explain(ctx context.Context, id submission.ID) *api.Explanation {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Network.PeerTimeout)
	defer cancel()
	view := d.ownership.View()
	owner, _, ok := view.Ranked(view.HomeOf(id.Caller), id.Hash())
	if !ok || owner == view.Self {
		return d.explainLocal(ctx, id)
	}
	var response wire.ExplainResponse
	err := d.peers.Call(ctx, owner.Address, &wire.ExplainRequest{Caller: id.Caller, Key: id.Key}, &response)
	report := new(api.Explanation)
	if err == nil {
		err = json.Unmarshal(response.Report, report)
	}
	if err != nil {
		report = d.explainLocal(ctx, id)
		report.Reason = "the owner " + owner.VM + " did not answer: " + err.Error()
	}
	return report
}

// handleExplain answers a peer with what this VM knows of a submission.
func (d *Daemon) handleExplain(ctx context.Context, _ *wire.Hello, m *wire.ExplainRequest) wire.Message {
	report, err := json.Marshal(d.explainLocal(ctx, submission.ID{Caller: m.Caller, Key: m.Key}))
	if err != nil {
		return &wire.ErrorResponse{Reason: err.Error()}
	}
	return &wire.ExplainResponse{Report: report}
}

// explainLocal returns what this VM knows of a submission. For a running
// submission it also asks the dispatcher.
func (d *Daemon) explainLocal(ctx context.Context, id submission.ID) *api.Explanation {
	report := &api.Explanation{VM: d.settings.Network.VM, State: "unknown", Placements: []api.Placement{}}
	if e := d.submissions.Owned(time.Now(), id); e != nil {
		report.State, report.Reason = submissionState(e)
	}
	j, found := d.submissions.Work(id).(*runningJob)
	if !found {
		return report
	}
	e, known, err := d.dispatch.Explain(ctx, j.id)
	if err != nil {
		report.Reason = "the dispatcher did not answer: " + err.Error()
	}
	if !known {
		return report
	}
	report.Dispatcher, report.Open, report.Waiting, report.TotalWaiting = e.Dispatcher, e.Open, e.Waiting, e.TotalWaiting
	for _, p := range e.Placed {
		report.Placements = append(report.Placements, api.Placement{
			Task: p.Index, Attempt: p.Attempt, Upstream: p.Upstream, State: p.State, AgeUS: p.AgeUS,
		})
	}
	return report
}

// submissionState returns the state of a submission and why it failed, if it did.
func submissionState(e *submission.Entry) (state, reason string) {
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
