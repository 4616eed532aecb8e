package daemon

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/peer"
	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/submission"
	"github.com/mustardstep/mustardstep/verdict"
)

// encodeAnswer encodes an answer for a peer.
func encodeAnswer(answer submission.Answer) *wire.SubmitResponse {
	response := &wire.SubmitResponse{
		Verdict: uint8(verdict.Complete), Results: answer.Outcome.Results, Owner: answer.Owner,
		Reroute: answer.Reroute, Unstarted: answer.Unstarted,
	}
	if failure := answer.Outcome.Failure; failure != nil {
		response.Verdict = uint8(failure.Verdict)
		response.Code = uint8(failure.Code)
		response.Reason = failure.Reason
		response.RetryAfterMS = failure.RetryAfter.Milliseconds()
	}
	return response
}

// decodeOutcome decodes a peer's answer.
func decodeOutcome(m *wire.SubmitResponse) submission.Outcome {
	if verdict.Verdict(m.Verdict) == verdict.Complete {
		return submission.Outcome{Results: m.Results}
	}
	return submission.Outcome{Failure: &verdict.Error{
		Verdict: verdict.Verdict(m.Verdict), Code: verdict.Code(m.Code), Reason: m.Reason,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}}
}

// callVerdict returns NotRun if the request of a failed call cannot have reached
// the peer, and MayHaveRun otherwise.
func callVerdict(err error) verdict.Verdict {
	var failure *peer.Error
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return verdict.MayHaveRun
}
